//! Instances that are registered but gone for good, found by asking them now and then.
//!
//! Entries of instances last until they are deleted, and those of removed machines would divide
//! the bounds among ever more instances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::names::InstanceName;

/// Time without any answer after which an instance counts as gone; several times as long as
/// machines usually stay away.
pub const DEAD_AFTER: Duration = Duration::from_secs(60);

/// Since when instances have not answered.
#[derive(Debug, Default)]
pub struct FailureDetector {
    unanswered_since: HashMap<InstanceName, Instant>,
}

impl FailureDetector {
    /// Notes whether an instance answered; returns whether it counts as gone.
    pub fn record_probe(&mut self, now: Instant, name: &InstanceName, answered: bool) -> bool {
        if answered {
            self.unanswered_since.remove(name);
            return false;
        }
        let unanswered_since = *self.unanswered_since.entry(name.clone()).or_insert(now);
        now.duration_since(unanswered_since) >= DEAD_AFTER
    }

    /// Forgets everything, such as when another instance takes over the asking.
    pub fn clear(&mut self) {
        self.unanswered_since.clear();
    }

    /// Forgets the instances that are not registered any more.
    pub fn retain(&mut self, is_registered: impl Fn(&InstanceName) -> bool) {
        self.unanswered_since.retain(|name, _| is_registered(name));
    }
}
