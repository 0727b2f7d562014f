//! Counts calls and limits their rate.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Period of a rate limit.
const SECOND: Duration = Duration::from_secs(1);

/// Returns whether a label has all words of a text.
pub(super) fn label_matches(label: &str, words: &str) -> bool {
    words.split_whitespace().all(|word| label.split(' ').any(|part| part == word))
}

/// At most so many calls in each second.
#[derive(Debug)]
pub(super) struct RateLimit {
    per_second: Option<u32>,
    since: Instant,
    taken: u32,
}

impl RateLimit {
    pub(super) fn new(per_second: Option<u32>) -> Self {
        Self { per_second, since: Instant::now(), taken: 0 }
    }

    /// Counts a call; returns whether it is within the limit.
    pub(super) fn take(&mut self) -> bool {
        if self.since.elapsed() >= SECOND {
            self.since = Instant::now();
            self.taken = 0;
        }
        self.taken += 1;
        self.per_second.is_none_or(|limit| self.taken <= limit)
    }
}

/// Calls by label.
#[derive(Debug)]
pub(super) struct Calls {
    counts: BTreeMap<String, u64>,
    writes: RateLimit,
    reads: RateLimit,
}

impl Calls {
    pub(super) fn new(writes: Option<u32>, reads: Option<u32>) -> Self {
        Self {
            counts: BTreeMap::new(),
            writes: RateLimit::new(writes),
            reads: RateLimit::new(reads),
        }
    }

    /// Counts a call; returns whether it is within the rate limits of the object API.
    pub(super) fn count(&mut self, label: &str) -> bool {
        *self.counts.entry(label.to_owned()).or_default() += 1;
        match label.split(' ').next() {
            Some("create" | "update" | "delete") => self.writes.take(),
            Some("get" | "list" | "watch") => self.reads.take(),
            _ => true,
        }
    }

    pub(super) fn by_label(&self) -> BTreeMap<String, u64> {
        self.counts.clone()
    }

    pub(super) fn matching(&self, words: &str) -> u64 {
        self.counts.iter().filter(|(label, _)| label_matches(label, words)).map(|(_, n)| n).sum()
    }

    pub(super) fn reset(&mut self) {
        self.counts.clear();
    }
}
