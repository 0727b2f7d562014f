//! Parser and encoder for server-sent events.

use bytes::Bytes;
use serde_json::Value;

/// Data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";
/// Comment event that keeps an idle connection open.
pub const KEEP_ALIVE: Bytes = Bytes::from_static(b": keep-alive\n\n");
/// Maximum size of an event from a backend server, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// Incremental parser of an event stream.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: Vec<u8>,
    /// Number of bytes of `buf` already searched for a line end.
    searched: usize,
    data: Vec<u8>,
}

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event, if any.
    ///
    /// # Errors
    /// If the event is too long.
    pub fn next_event(&mut self) -> Result<Option<Vec<u8>>, EventTooLong> {
        while let Some(line) = self.next_line() {
            if line.is_empty() && !self.data.is_empty() {
                return Ok(Some(std::mem::take(&mut self.data)));
            }
            self.append_field(&line);
            if self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) }
    }

    /// Returns whether the input ends within an event.
    pub fn has_partial_event(&self) -> bool {
        !self.data.is_empty() || !self.buf.is_empty()
    }

    fn next_line(&mut self) -> Option<Vec<u8>> {
        let Some(end) = self.buf[self.searched..].iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buf.len();
            return None;
        };
        let end = self.searched + end;
        self.searched = 0;
        let mut line: Vec<u8> = self.buf.drain(..=end).collect();
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some(line)
    }

    fn append_field(&mut self, line: &[u8]) {
        let Some(value) = line.strip_prefix(b"data:") else { return };
        if !self.data.is_empty() {
            self.data.push(b'\n');
        }
        self.data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
}

/// Encodes an event with the given data.
pub fn event(data: &[u8]) -> Bytes {
    [b"data: ", data, b"\n\n"].concat().into()
}

/// Encodes an event with JSON data.
pub fn json_event(value: &Value) -> Bytes {
    event(value.to_string().as_bytes())
}
