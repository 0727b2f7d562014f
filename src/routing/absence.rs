//! Failure detection of registered instances, from periodic probes.
//!
//! Entries of instances do not expire. If dead instances were not detected and deregistered, their
//! entries would accumulate, and limits would be divided among instances that no longer exist.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::names::InstanceName;

/// Time from the first of consecutive failed probes after which an instance is considered dead;
/// several times as long as a machine usually stays unreachable.
pub const DEAD_AFTER: Duration = Duration::from_secs(60);

/// Tracks since when instances have not answered probes.
#[derive(Debug, Default)]
pub struct FailureDetector {
    unanswered_since: HashMap<InstanceName, Instant>,
}

impl FailureDetector {
    /// Records the result of a probe; returns whether the instance is considered dead.
    pub fn record_probe(&mut self, now: Instant, name: &InstanceName, answered: bool) -> bool {
        if answered {
            self.unanswered_since.remove(name);
            return false;
        }
        let unanswered_since = *self.unanswered_since.entry(name.clone()).or_insert(now);
        now.duration_since(unanswered_since) >= DEAD_AFTER
    }

    /// Discards all records, such as when another instance takes over probing.
    pub fn clear(&mut self) {
        self.unanswered_since.clear();
    }

    /// Discards the records of instances that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&InstanceName) -> bool) {
        self.unanswered_since.retain(|name, _| is_registered(name));
    }
}
