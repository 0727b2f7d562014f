//! The share of a service's retry budget that this instance may use.
//!
//! The budget limits the retries of all instances together in a sliding window, to a ratio of the
//! requests plus a constant slack. Each instance applies the ratio to its own requests and takes an
//! equal share of the slack, so that all instances together stay within the budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of its share of the budget that an instance uses. The rest is a margin, as instances
/// may disagree on how many of them share the slack.
const SAFETY_FACTOR: f64 = 0.7;

/// Limits of the retries to one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, over all instances.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
    }
}

/// Requests and retries of one service at this instance.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant, cfg: &RetryBudgetSettings) {
        drop_expired(&mut self.requests, now, cfg.window);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    ///
    /// `instances` is the number of instances that share the slack.
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

    /// Returns the number of retries left in the budget.
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
