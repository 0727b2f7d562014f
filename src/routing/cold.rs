//! The limit of requests to a cold backend server, kept by few instances for each.
//!
//! Fractions of a small rate for each of many instances would be useless, so rendezvous hashing
//! names the instances that may send to a cold backend server at all. Instances may disagree for
//! a while on who they are; the rate leaves room for a second set of them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::names::{BackendServerName, InstanceName};
use crate::routing::rank::rank;

/// Instances that may send to a cold backend server.
pub const COLD_SENDERS: usize = 2;
/// Sliding window of the limit.
const RATE_WINDOW: Duration = Duration::from_millis(1_050);

/// Bounds of the requests to a cold backend server within one second, over all instances.
#[derive(Debug, Clone, Copy)]
pub struct ColdSettings {
    /// Multiple of the rate that a backend server states.
    pub overage: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self { overage: 1.5, slack: 5.0 }
    }
}

/// Returns whether an instance is among the few that may send to a cold backend server.
///
/// An instance that is not listed yet does not know the others, so it may not.
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

/// Requests that this instance sent to a cold backend server within the last second.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    times: VecDeque<Instant>,
}

impl ColdRateLimiter {
    /// Returns whether another request fits into this instance's share of a rate per second.
    ///
    /// Two sets of senders together stay within the bounds.
    pub fn allows(&mut self, now: Instant, per_s: f64, cfg: &ColdSettings) -> bool {
        while self.times.front().is_some_and(|time| now.duration_since(*time) > RATE_WINDOW) {
            self.times.pop_front();
        }
        let bound = per_s.min((per_s * cfg.overage + cfg.slack) / 2.0);
        let share = (bound / COLD_SENDERS as f64).floor().max(1.0);
        (self.times.len() as f64) < share
    }

    /// Notes a request.
    pub fn record_send(&mut self, now: Instant) {
        self.times.push_back(now);
    }
}
