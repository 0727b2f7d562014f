//! The pace of model loads, which all read the same rate-limited weight store.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket that allows one model load in each period.
#[derive(Debug, Clone)]
pub struct LoadPace {
    period: Duration,
    burst: u32,
    available: f64,
    refilled: Instant,
}

impl LoadPace {
    /// Makes a full bucket.
    pub fn new(period: Duration, burst: u32) -> Self {
        Self { period, burst, available: burst.into(), refilled: Instant::now() }
    }

    /// Takes one load; returns false if it must wait.
    pub fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = (now - self.refilled).as_secs_f64() / self.period.as_secs_f64();
        self.available = (self.available + gained).min(self.burst.into());
        self.refilled = now;
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
