//! Log of the streams that one process stores, in parts that are written while versions differ.
//!
//! The parts are a ring by time: most writes store only the newest part, and an old part is replaced by
//! a new one without a delete.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::routing::origins::Origin;

/// Number of parts of a log.
pub const PARTS: usize = 16;
/// Time after which a new part begins. With [`PARTS`], streams of 30 s are stored once; longer ones are
/// taken over into a new part.
const PART_TIME: Duration = Duration::from_secs(2);
/// Maximum number of streams in a part, of some 20 bytes each when stored.
const MAX_STREAMS_PER_PART: usize = 1 << 10;
/// Number of hexadecimal digits of a stream's key.
const KEY_DIGITS: usize = 16;

value! {
    /// A part of a log as stored.
    pub struct StoredPart {
        /// When it was written, in milliseconds since the Unix epoch.
        pub written_at_ms: u64,
        /// Streams by their origin.
        pub by_origin: Vec<StreamsOfOrigin>,
    }

    /// Streams that have the same origin.
    pub struct StreamsOfOrigin {
        /// What began them.
        pub origin: Origin,
        /// Their keys, 16 hexadecimal digits each, without separators.
        pub streams: String,
    }
}

impl StoredPart {
    /// Returns all streams with their origins. Keys that can't be read are left out.
    pub fn streams(&self) -> impl Iterator<Item = (u64, &Origin)> {
        self.by_origin.iter().flat_map(|of_origin| {
            let keys = of_origin.streams.as_bytes().chunks(KEY_DIGITS);
            let keys = keys.filter_map(|key| {
                u64::from_str_radix(std::str::from_utf8(key).ok()?, KEY_DIGITS as u32).ok()
            });
            keys.map(|key| (key, &of_origin.origin))
        })
    }
}

#[derive(Debug, Default)]
struct Part {
    /// Origins of streams, with the time until which they are needed.
    streams: BTreeMap<u64, (Origin, Instant)>,
    /// Number of changes, and how many of them are stored.
    changes: u64,
    stored_changes: u64,
}

/// A part that has to be stored.
#[derive(Debug)]
pub struct UnstoredPart {
    /// Number of the part.
    pub number: usize,
    /// Number of changes that it includes.
    pub changes: u64,
    /// What to store.
    pub part: StoredPart,
}

/// Streams that this process stores.
#[derive(Debug, Default)]
pub struct OriginLog {
    parts: [Part; PARTS],
    current: usize,
    current_began: Option<Instant>,
}

impl OriginLog {
    /// Records what began a stream, for a time.
    pub fn record(&mut self, now: Instant, stream: u64, origin: Origin, until: Instant) {
        let is_old = self.current_began.is_none_or(|began| now.duration_since(began) >= PART_TIME);
        if is_old || self.parts[self.current].streams.len() >= MAX_STREAMS_PER_PART {
            self.begin_part(now);
        }
        let part = &mut self.parts[self.current];
        part.streams.insert(stream, (origin, until));
        part.changes += 1;
    }

    /// Begins a new part in place of the oldest one, with its streams that are still needed. If these
    /// are more than half of a part, those that end first are dropped.
    fn begin_part(&mut self, now: Instant) {
        self.current = (self.current + 1) % PARTS;
        self.current_began = Some(now);
        let part = &mut self.parts[self.current];
        part.streams.retain(|_, (_, until)| *until > now);
        let surplus = part.streams.len().saturating_sub(MAX_STREAMS_PER_PART / 2);
        if surplus > 0 {
            let mut by_end: Vec<_> =
                part.streams.iter().map(|(stream, (_, until))| (*until, *stream)).collect();
            by_end.sort_unstable();
            by_end[..surplus].iter().for_each(|(_, stream)| drop(part.streams.remove(stream)));
        }
        part.changes += 1;
    }

    /// Returns the parts that have changed since they were stored.
    pub fn unstored(&self, written_at_ms: u64) -> Vec<UnstoredPart> {
        let changed =
            self.parts.iter().enumerate().filter(|(_, part)| part.changes > part.stored_changes);
        let unstored = changed.map(|(number, part)| UnstoredPart {
            number,
            changes: part.changes,
            part: stored_part(written_at_ms, &part.streams),
        });
        unstored.collect()
    }

    /// Records that a part was stored with a number of changes.
    pub fn mark_stored(&mut self, number: usize, changes: u64) {
        self.parts[number].stored_changes = changes;
    }

    /// Records that no part is stored any more.
    pub fn mark_all_unstored(&mut self) {
        self.parts.iter_mut().for_each(|part| part.stored_changes = 0);
    }
}

fn stored_part(written_at_ms: u64, streams: &BTreeMap<u64, (Origin, Instant)>) -> StoredPart {
    let mut by_origin: Vec<StreamsOfOrigin> = Vec::new();
    for (stream, (origin, _)) in streams {
        let key = format!("{stream:0KEY_DIGITS$x}");
        // A service has few versions.
        match by_origin.iter_mut().find(|known| known.origin == *origin) {
            Some(known) => known.streams.push_str(&key),
            None => by_origin.push(StreamsOfOrigin { origin: origin.clone(), streams: key }),
        }
    }
    StoredPart { written_at_ms, by_origin }
}

/// Streams that all processes have stored, for look-ups.
#[derive(Debug, Default)]
pub struct StoredOrigins {
    origins: Vec<Origin>,
    by_stream: BTreeMap<u64, u16>,
}

/// Maximum number of stored streams that an instance reads: those of 30 s of the largest fleet.
const MAX_STORED_STREAMS: usize = 64 << 10;

impl StoredOrigins {
    /// Adds the streams of a part, as long as there is room.
    pub fn add(&mut self, part: &StoredPart) {
        for (stream, origin) in part.streams() {
            let known = self.origins.iter().position(|known| known == origin);
            let index = known.unwrap_or_else(|| {
                self.origins.push(origin.clone());
                self.origins.len() - 1
            });
            let Ok(index) = u16::try_from(index) else { return };
            if self.by_stream.len() >= MAX_STORED_STREAMS {
                return;
            }
            self.by_stream.insert(stream, index);
        }
    }

    /// Returns what began a stream.
    pub fn get(&self, stream: u64) -> Option<&Origin> {
        self.by_stream.get(&stream).map(|index| &self.origins[usize::from(*index)])
    }

    /// Returns the number of streams.
    pub fn count(&self) -> usize {
        self.by_stream.len()
    }
}
