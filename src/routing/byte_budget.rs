//! Limit of the bytes that an instance sends for one purpose: a token bucket.

use std::time::Duration;

use crate::clock::BootTime;

/// Settings of a budget.
#[derive(Debug, Clone, Copy)]
pub struct ByteBudgetSettings {
    /// Bytes per second in the long run.
    pub bytes_per_second: f64,
    /// Bytes that may be sent at once after a pause.
    pub burst_bytes: f64,
}

impl Default for ByteBudgetSettings {
    /// Half of what an instance may send for control, and some messages to four others at once.
    fn default() -> Self {
        Self { bytes_per_second: 4_000.0, burst_bytes: 48_000.0 }
    }
}

/// Bytes that may be sent. The last message may exceed it; the debt delays the next one.
#[derive(Debug, Default)]
pub struct ByteBudget {
    cfg: ByteBudgetSettings,
    spent: f64,
    /// When that was last reduced by what was earned since.
    at: Option<BootTime>,
}

impl ByteBudget {
    /// Creates a budget with the given limits.
    pub fn new(cfg: ByteBudgetSettings) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Records that bytes were sent.
    pub fn spend(&mut self, now: BootTime, bytes: usize) {
        self.refill(now);
        self.spent += bytes as f64;
    }

    /// Returns the time until bytes may be sent again; zero if they may be now.
    pub fn wait(&mut self, now: BootTime) -> Duration {
        self.refill(now);
        let debt = (self.spent - self.cfg.burst_bytes).max(0.0);
        Duration::from_secs_f64(debt / self.cfg.bytes_per_second)
    }

    fn refill(&mut self, now: BootTime) {
        let since = self.at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        self.spent = (self.spent - since.as_secs_f64() * self.cfg.bytes_per_second).max(0.0);
    }
}
