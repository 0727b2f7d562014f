//! Log of the streams that a process has begun, and what is stored of it.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use laburnumvalve::routing::origin_log::{OriginLog, PARTS, StoredOrigins, StoredPart};
use laburnumvalve::routing::origins::Origin;

/// Time for which a stream is needed.
const KEEP: Duration = Duration::from_secs(30);
/// Largest object of the platform's store.
const MAX_VALUE_BYTES: usize = 1 << 20;

fn origin(version: &str) -> Origin {
    Origin { service: "engines".into(), version: version.into() }
}

/// The stored parts of a log, as the store has them after each write.
#[derive(Default)]
struct Stored([Option<StoredPart>; PARTS]);

impl Stored {
    /// Stores what has changed; returns the number of writes.
    fn update(&mut self, log: &mut OriginLog) -> usize {
        let unstored = log.unstored(0);
        for part in &unstored {
            self.0[part.number] = Some(part.part.clone());
            log.mark_stored(part.number, part.changes);
        }
        unstored.len()
    }

    fn read(&self) -> StoredOrigins {
        let mut origins = StoredOrigins::default();
        self.0.iter().flatten().for_each(|part| origins.add(part));
        origins
    }
}

/// Guards against streams that are missing from the store while they can be taken up.
#[test]
fn stored_parts_have_all_streams_that_are_needed() {
    let start = Instant::now();
    let (mut log, mut stored) = (OriginLog::default(), Stored::default());
    let versions = ["v1", "v2"];

    for second in 0..200_u64 {
        let now = start + Duration::from_secs(second);
        // Each tenth stream lasts for long.
        let keep = if second % 10 == 0 { KEEP * 3 } else { KEEP };
        let stream = second.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        log.record(now, stream, origin(versions[second as usize % 2]), now + keep);
        let writes = stored.update(&mut log);
        assert!(writes <= 2, "{writes} writes at {second} s");

        let read = stored.read();
        for began in 0..=second {
            let keep = if began % 10 == 0 { KEEP * 3 } else { KEEP };
            if Duration::from_secs(second - began) < keep {
                let stream = began.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let expected = origin(versions[began as usize % 2]);
                assert_eq!(read.get(stream), Some(&expected), "began {began}, at {second} s");
            }
        }
    }
    assert!(stored.read().count() < 60, "streams are never forgotten");
}

/// Guards against objects that the store refuses, and a log that grows without bound.
#[test]
fn parts_stay_small_under_a_flood_of_streams() {
    let now = Instant::now();
    let mut log = OriginLog::default();

    (0..100_000).for_each(|stream| log.record(now, stream, origin("v1"), now + KEEP));

    let parts = log.unstored(0);
    let size = |part: &StoredPart| serde_json::to_vec(part).expect("it is JSON").len();
    assert!(parts.iter().all(|part| size(&part.part) < MAX_VALUE_BYTES / 8));
    let newest = parts.iter().flat_map(|part| part.part.streams().map(|(stream, _)| stream));
    assert!(newest.collect::<HashSet<_>>().contains(&99_999));
}

/// Guards against a part that counts as stored though a stream came while it was written.
#[test]
fn stream_that_came_during_a_write_is_written_next() {
    let now = Instant::now();
    let mut log = OriginLog::default();
    log.record(now, 1, origin("v1"), now + KEEP);
    let unstored = log.unstored(0);
    log.record(now, 2, origin("v1"), now + KEEP);
    log.mark_stored(unstored[0].number, unstored[0].changes);

    let next = log.unstored(0);

    assert_eq!(next[0].part.streams().map(|(stream, _)| stream).collect::<Vec<_>>(), [1, 2]);
    log.mark_stored(next[0].number, next[0].changes);
    assert!(log.unstored(0).is_empty());
    log.mark_all_unstored();
    assert_eq!(log.unstored(0).len(), 1);
}
