//! Rate limit of requests to a cold backend server.
//!
//! A backend server is cold for a period after its start, after an ejection and after the end of an
//! evacuation. During that period, the configuration may limit the rate of requests to it.
//!
//! Dividing a low rate among many instances would leave each with less than one request per second,
//! so rendezvous hashing selects a few instances that may send to a cold backend server at all.
//! Instances may temporarily disagree on the selection; the limit leaves room for a second set.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::names::{BackendServerName, InstanceName};
use crate::routing::rank::rank;

/// Number of instances that may send to a cold backend server.
pub const COLD_SENDERS: usize = 2;
/// Sliding window of the rate limit: the second that it applies to, with a margin.
const RATE_WINDOW: Duration = Duration::from_millis(1_050);

/// Limit of the requests to a cold backend server per second, over all instances: the configured
/// rate times `overage`, plus `slack`.
#[derive(Debug, Clone, Copy)]
pub struct ColdSettings {
    /// Factor of the configured rate.
    pub overage: f64,
    /// Additional requests per second.
    pub slack: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { overage: 1.5, slack: 5.0 }
    }
}

/// Returns whether this instance is one of the few that may send to a cold backend server.
///
/// An instance that is not in its own list may not send, as its view of the others may be
/// incomplete.
pub fn may_send_to_cold<'a>(
    this_instance: &InstanceName,
    instances: impl Iterator<Item = &'a InstanceName>,
    server: &BackendServerName,
) -> bool {
    let key = xxh3_64(server.as_str().as_bytes());
    let mut is_listed = false;
    let instances = instances.inspect(|other| is_listed |= *other == this_instance);
    rank(this_instance, instances, key) < COLD_SENDERS && is_listed
}

/// Limits the rate of this instance's requests to a cold backend server.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    times: VecDeque<Instant>,
}

impl ColdRateLimiter {
    /// Returns whether another request fits into this instance's share of the rate `per_s`.
    ///
    /// The share is small enough for two disjoint sets of senders to stay within the limit.
    pub fn allows(&mut self, now: Instant, per_s: f64, cfg: &ColdSettings) -> bool {
        while self.times.front().is_some_and(|time| now.duration_since(*time) > RATE_WINDOW) {
            self.times.pop_front();
        }
        let limit = per_s.min((per_s * cfg.overage + cfg.slack) / 2.0);
        let share = (limit / COLD_SENDERS as f64).floor().max(1.0);
        (self.times.len() as f64) < share
    }

    /// Records a request.
    pub fn record_send(&mut self, now: Instant) {
        self.times.push_back(now);
    }
}
