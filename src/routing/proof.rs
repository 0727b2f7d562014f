//! How old the last proof is that the configuration in force is the newest one.

use std::time::Duration;

use crate::clock::BootTime;

/// Time that a request may still take from the check to the backend server.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// The newest proof that the known configuration was in force at some time.
///
/// A call proves the state at the time when it was sent, not when it was answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    sent_at: Option<BootTime>,
}

impl FreshnessProof {
    /// Takes a call that was sent at a time and answered with the configuration in force.
    pub fn record(&mut self, sent_at: BootTime) {
        self.sent_at = self.sent_at.max(Some(sent_at));
    }

    /// Returns the age of the newest proof; none if there never was one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.sent_at.map(|sent_at| now.since(sent_at))
    }

    /// Returns whether keys may be honoured, where a withdrawn key must end within `bound`.
    pub fn is_fresh(&self, now: BootTime, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age + SEND_MARGIN < bound)
    }
}
