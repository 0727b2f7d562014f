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
}

impl EventSplitter {
    /// Creates a splitter that drops events up to an ID.
    pub fn after(delivered_through: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), delivered_through }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes all complete events from the buffer.
    pub fn take_complete(&mut self) -> Option<EventBatch> {
        let end = end_of_last_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let events = self.drop_delivered(bytes);
        (!events.bytes.is_empty()).then_some(events)
    }

    /// Returns whether the buffer holds an incomplete event of more than [`MAX_EVENT_BYTES`], which
    /// a backend server in trouble may send without end.
    pub fn is_event_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES && end_of_last_event(&self.buf).is_none()
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
