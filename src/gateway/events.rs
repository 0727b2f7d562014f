//! Splits a server-sent event stream at event boundaries without changing its bytes.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, which is buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Empty lines, which end an event, after the end of its last line.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Complete events and the ID of the last one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// ID of the last event that has one.
    pub last_id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Events up to this ID are dropped, as the caller already received them.
    delivered_through: Option<u64>,
    has_foreign_bytes: bool,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to an ID.
    pub fn after(delivered_through: Option<u64>) -> Self {
        Self { delivered_through, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes all complete events from the buffer, up to bytes that are no event.
    pub fn take_complete(&mut self) -> Option<EventBatch> {
        if self.has_foreign_bytes {
            return None;
        }
        let end = end_of_last_event(&self.buf)?;
        let own = length_of_own_events(&self.buf[..end]);
        self.has_foreign_bytes = own < end;
        let bytes = self.buf.split_to(own).freeze();
        let events = self.drop_delivered(bytes);
        (!events.bytes.is_empty()).then_some(events)
    }

    /// Returns whether the buffer holds an incomplete event of more than [`MAX_EVENT_BYTES`], which
    /// a backend server in trouble may send without end.
    pub fn is_event_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES && end_of_last_event(&self.buf).is_none()
    }

    /// Returns whether the last complete block of lines is no event, such as the head or the text of
    /// an error. Nothing after it belongs to the stream.
    pub fn has_foreign_bytes(&self) -> bool {
        self.has_foreign_bytes
    }

    /// Returns whether the buffer holds a part of an event.
    pub fn has_incomplete_event(&self) -> bool {
        self.buf.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Takes the empty lines at the end of a stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        (!self.buf.is_empty()).then(|| self.buf.split().freeze())
    }

    fn drop_delivered(&mut self, bytes: Bytes) -> EventBatch {
        let last_id = find_last_id(&bytes);
        let Some(delivered_through) = self.delivered_through else {
            return EventBatch { bytes, last_id };
        };
        let mut start = 0;
        while let Some(length) = end_of_first_event(&bytes[start..]) {
            if find_last_id(&bytes[start..start + length]).is_none_or(|id| id > delivered_through) {
                break;
            }
            start += length;
        }
        if start < bytes.len() {
            self.delivered_through = None;
        }
        EventBatch { bytes: bytes.slice(start..), last_id }
    }
}

/// Returns the length of the events before the first block of lines that is none.
fn length_of_own_events(blocks: &[u8]) -> usize {
    let (mut own, mut end) = (0, 0);
    for line in blocks.split_inclusive(|byte| *byte == b'\n') {
        end += line.len();
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if !is_event_line(text) {
            break;
        }
        if text.is_empty() {
            own = end;
        }
    }
    own
}

/// Returns whether a line is empty, a comment or a field of an event, whose name is a single word.
fn is_event_line(line: &[u8]) -> bool {
    let line = line.strip_prefix(b"\xEF\xBB\xBF").unwrap_or(line);
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.iter().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(byte))
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let last = |end: &[u8]| bytes.windows(end.len()).rposition(|found| found == end);
    let ends = EVENT_ENDS.iter().filter_map(|end| Some(last(end)? + end.len()));
    ends.max()
}

fn end_of_first_event(bytes: &[u8]) -> Option<usize> {
    let first = |end: &[u8]| bytes.windows(end.len()).position(|found| found == end);
    let ends = EVENT_ENDS.iter().filter_map(|end| Some(first(end)? + end.len()));
    ends.min()
}

/// Returns the last `id` field of complete events.
fn find_last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
