//! The share of a retry budget that one instance may use.
//!
//! The budget of a service holds over all instances together: a part of its requests plus a
//! constant, in a sliding window. Each instance keeps to that part of its own requests and to an
//! equal share of the constant, so that the shares add up to no more than the budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of its share that an instance uses, since instances may count their number differently.
const SAFETY_FACTOR: f64 = 0.7;

/// Bounds of the repeats to one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all instances.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// Requests and repeats of one service at this instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Instant, cfg: &RetryBudgetSettings) {
        drop_expired(&mut self.requests, now, cfg.window);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of the budget; returns false if it is used up.
    ///
    /// `instances` is the number of instances that share the constant part.
    pub fn try_acquire(
        &mut self,
        now: Instant,
        instances: usize,
        cfg: &RetryBudgetSettings,
    ) -> bool {
        let is_within_budget = self.remaining(now, instances, cfg) > 0;
        if is_within_budget {
            self.retries.push_back(now);
        }
        is_within_budget
    }

    /// Returns the repeats that are left of the budget now.
    pub fn remaining(&mut self, now: Instant, instances: usize, cfg: &RetryBudgetSettings) -> u64 {
        drop_expired(&mut self.requests, now, cfg.window);
        drop_expired(&mut self.retries, now, cfg.window);
        let share = cfg.slack / instances.max(1) as f64;
        let allowed = SAFETY_FACTOR * (cfg.ratio * self.requests.len() as f64 + share);
        (allowed.max(0.0) as u64).saturating_sub(self.retries.len() as u64)
    }
}

fn drop_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|time| now.duration_since(*time) > window) {
        times.pop_front();
    }
}
