//! What began each stream: a stream can go on only at the service and the software version that
//! began it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::names::SoftwareVersion;
use crate::routing::catalog::ServiceName;

/// Time within which a caller takes up a stream that broke off.
pub const TAKE_UP_TIME: Duration = Duration::from_secs(15);
/// Maximum number of streams that an instance remembers: ten times those of the largest fleet.
const MAX_STREAMS: usize = 16 << 10;

value! {
    /// What began a stream.
    pub struct Origin {
        /// Service of the backend server.
        pub service: ServiceName,
        /// Version of its software.
        pub version: SoftwareVersion,
    }
}

/// Returns the key of a stream: a hash of the ID of the attempt that brought its first event.
pub fn stream_key(attempt: &[u8]) -> u64 {
    xxh3_64(attempt)
}

/// Origins of streams that are in progress or may be taken up again.
#[derive(Debug, Default)]
pub struct Origins {
    by_stream: HashMap<u64, (Origin, Instant)>,
    /// The same streams by the time until which they are remembered.
    by_end: BTreeSet<(Instant, u64)>,
}

impl Origins {
    /// Records what began a stream, at least until a time.
    ///
    /// If there are too many streams, the one that ends first is forgotten.
    pub fn record(&mut self, now: Instant, stream: u64, origin: Origin, until: Instant) {
        self.purge(now);
        let (origin, until) = match self.by_stream.remove(&stream) {
            // If the service differs, the route has moved, and the stream went on at the new one.
            Some((known, known_until)) => {
                self.by_end.remove(&(known_until, stream));
                let is_same_service = known.service == origin.service;
                (if is_same_service { known } else { origin }, until.max(known_until))
            }
            None => (origin, until),
        };
        if self.by_stream.len() >= MAX_STREAMS
            && let Some((_, first)) = self.by_end.pop_first()
        {
            self.by_stream.remove(&first);
        }
        self.by_stream.insert(stream, (origin, until));
        self.by_end.insert((until, stream));
    }

    /// Returns what began a stream, if it is known.
    pub fn get(&self, stream: u64) -> Option<&Origin> {
        self.by_stream.get(&stream).map(|(origin, _)| origin)
    }

    /// Returns the number of known streams.
    pub fn count(&self) -> usize {
        self.by_stream.len()
    }

    /// Forgets streams that can't be taken up any more.
    pub fn purge(&mut self, now: Instant) {
        while let Some((until, stream)) = self.by_end.first().copied()
            && until <= now
        {
            self.by_end.pop_first();
            self.by_stream.remove(&stream);
        }
    }
}
