//! Age of the last proof that the known configuration is the current one.

use std::time::Duration;

use crate::clock::BootTime;

/// Time allowed from the check until the request reaches the backend server.
const SEND_MARGIN: Duration = Duration::from_millis(300);

/// The latest proof that the known configuration was current.
///
/// A call proves the state at the time it was sent, not at the time of its response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreshnessProof {
    sent_at: Option<BootTime>,
}

impl FreshnessProof {
    /// Records a call, sent at `sent_at`, that confirmed the known configuration.
    pub fn record(&mut self, sent_at: BootTime) {
        self.sent_at = self.sent_at.max(Some(sent_at));
    }

    /// Returns the age of the latest proof; `None` if there is none.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.sent_at.map(|sent_at| now.since(sent_at))
    }

    /// Returns whether API keys may be accepted, given that a withdrawn key must be rejected within
    /// `max_age` of its withdrawal.
    pub fn is_fresh(&self, now: BootTime, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age + SEND_MARGIN < max_age)
    }
}
