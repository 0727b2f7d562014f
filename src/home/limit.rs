//! Adaptive concurrency limit of one backend server.
//!
//! The limit of a warm server follows its token gap: it is multiplied by a factor below 1 while the
//! gap is above its target, and grows by one while the gap is below it and the limit is fully used.
//! A server in cold start is held at its cold limit until a report measured after the start says
//! that it is warm, or, if it has no load endpoint, until enough requests have succeeded.

use std::time::Duration;

use tokio::time::Instant;

use super::report::LoadReport;

/// Factor applied to the limit while tokens are late.
const SLOW_FACTOR: f64 = 0.85;
/// Factor applied to the limit after an overload response.
const OVERLOAD_FACTOR: f64 = 0.7;
/// Ratio of token gap to target above which the limit falls.
const SLOW_GAP_RATIO: f64 = 1.0;
/// Ratio of token gap to target below which the limit may grow.
const FAST_GAP_RATIO: f64 = 0.9;
/// Minimum time before token gaps may change the limit again.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Ratio of a first-token time to its average above which a cold start is assumed.
const COLD_FIRST_TOKEN_FACTOR: f64 = 6.0;
/// First-token time below which no cold start is assumed.
const COLD_FIRST_TOKEN_MIN: Duration = Duration::from_millis(1_500);
/// Factor applied to the limit after each series of successes during ramp-up.
const RAMP_FACTOR: f64 = 1.5;

/// Uptime in milliseconds from which an engine that is reported for the first time, and as warm,
/// gets its full limit without a ramp-up.
const WARMED_UP_UPTIME_MS: u64 = 60_000;

/// Warm-up state of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// In cold start; only a report measured after `since` shows that the server is warm.
    /// `successes` counts the requests completed in this phase.
    Cold { since: Instant, successes: u32 },
    /// Ramping up from the cold limit; `successes` counts towards the next step.
    Ramp { successes: u32 },
    /// No restriction besides the adaptive limit.
    Warm,
}

/// Configured capacity of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of concurrent requests when warm.
    pub slots: u32,
    /// Maximum number of concurrent requests in cold start.
    pub cold_limit: u32,
}

/// Adaptive concurrency limit of one backend server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    capacity: Capacity,
    phase: Phase,
    value: f64,
    changed_at: Instant,
    /// Moving average of the time between tokens.
    token_gap_seconds: Option<f64>,
    /// Moving average of the time to the first token.
    first_token_seconds: Option<f64>,
    /// Generation, and uptime in milliseconds, of the latest report.
    last_report: Option<(u64, u64)>,
    no_load_endpoint: bool,
    /// Limit before a failure that may have been a restart.
    value_before_failure: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates the limit of a server whose state is unknown, which counts as cold.
    pub fn new(capacity: Capacity, now: Instant) -> Self {
        Self {
            capacity,
            phase: Phase::Cold { since: now, successes: 0 },
            value: f64::from(capacity.cold_limit.max(1)),
            changed_at: now,
            token_gap_seconds: None,
            first_token_seconds: None,
            last_report: None,
            no_load_endpoint: false,
            value_before_failure: None,
        }
    }

    /// Applies a changed capacity.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.value = self.value.min(f64::from(capacity.slots.max(1)));
    }

    /// Returns the maximum number of concurrent requests.
    pub fn value(&self) -> u32 {
        match self.phase {
            Phase::Cold { .. } => self.capacity.cold_limit.min(self.capacity.slots).max(1),
            Phase::Ramp { .. } | Phase::Warm => {
                (self.value as u32).clamp(1, self.capacity.slots.max(1))
            }
        }
    }

    /// Returns whether the server is in cold start.
    pub fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold { .. })
    }

    /// Returns the moving average of the time between tokens.
    pub fn token_gap(&self) -> Option<Duration> {
        self.token_gap_seconds.map(Duration::from_secs_f64)
    }

    /// Returns the moving average of the time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token_seconds.map(Duration::from_secs_f64)
    }

    /// Records a measured time between tokens and adjusts the limit.
    ///
    /// `limit_reached` tells whether as many requests are running as the limit allows.
    pub fn record_token_gap(
        &mut self,
        now: Instant,
        gap: Duration,
        target: Duration,
        limit_reached: bool,
    ) {
        let gap = update_average(&mut self.token_gap_seconds, gap.as_secs_f64());
        if self.is_cold() || now < self.changed_at + CHANGE_PERIOD {
            return;
        }
        let gap_ratio = gap / target.as_secs_f64().max(1e-6);
        if gap_ratio > SLOW_GAP_RATIO {
            self.set_value(now, self.value * SLOW_FACTOR);
        } else if gap_ratio < FAST_GAP_RATIO && limit_reached && self.phase == Phase::Warm {
            self.set_value(now, self.value + 1.0);
        }
    }

    /// Records a measured time to the first token; a sudden increase counts as a cold start.
    pub fn record_first_token(&mut self, now: Instant, time: Duration) {
        let average = self.first_token_seconds;
        let jumped = average.is_some_and(|average| {
            time >= COLD_FIRST_TOKEN_MIN && time.as_secs_f64() > average * COLD_FIRST_TOKEN_FACTOR
        });
        if jumped && self.phase == Phase::Warm {
            self.enter_cold(now);
        } else {
            update_average(&mut self.first_token_seconds, time.as_secs_f64());
        }
    }

    /// Records a request that completed.
    pub fn record_success(&mut self, now: Instant) {
        match self.phase {
            Phase::Cold { since, successes } => {
                let successes = successes + 1;
                self.phase = Phase::Cold { since, successes };
                if self.no_load_endpoint && successes >= self.capacity.cold_limit.max(1) * 2 {
                    self.enter_ramp(now);
                }
            }
            Phase::Ramp { successes } if successes + 1 >= self.value as u32 / 2 => {
                self.set_value(now, self.value * RAMP_FACTOR);
                let full = self.value >= f64::from(self.capacity.slots);
                self.phase = if full { Phase::Warm } else { Phase::Ramp { successes: 0 } };
            }
            Phase::Ramp { successes } => self.phase = Phase::Ramp { successes: successes + 1 },
            Phase::Warm => {}
        }
    }

    /// Records an overload response of the server.
    pub fn record_overload(&mut self, now: Instant) {
        self.set_value(now, self.value * OVERLOAD_FACTOR);
    }

    /// Records a failed connection or response, after which the server may have restarted.
    ///
    /// The server counts as cold until a later report. If that report shows that it did not
    /// restart, the limit returns to its value before the failure.
    pub fn record_failure(&mut self, now: Instant) {
        if self.phase == Phase::Warm {
            self.value_before_failure = Some(self.value);
        }
        self.enter_cold(now);
    }

    /// Records that the server has no load endpoint.
    pub fn set_no_load_endpoint(&mut self) {
        self.no_load_endpoint = true;
    }

    /// Returns whether the server is known to have no load endpoint.
    pub fn has_no_load_endpoint(&self) -> bool {
        self.no_load_endpoint
    }

    /// Applies a load report of the engine.
    pub fn record_report(&mut self, now: Instant, report: &LoadReport) {
        self.no_load_endpoint = false;
        let load = &report.load;
        let seen = (load.generation, load.uptime_ms);
        let restarted = self.last_report.is_some_and(|(generation, uptime_ms)| {
            load.generation > generation
                || (load.generation == generation && load.uptime_ms < uptime_ms)
        });
        let first = self.last_report.is_none();
        let stale = self.last_report.is_some_and(|(generation, _)| load.generation < generation);
        if stale {
            return;
        }
        self.last_report = Some(seen);
        if !load.warm {
            self.value_before_failure = None;
            self.enter_cold_since(now, report.measured_at);
            return;
        }
        if restarted && !self.is_cold() {
            // The report itself shows that the restarted engine is warm.
            self.enter_ramp(now);
        }
        if let Phase::Cold { since, .. } = self.phase
            && report.measured_at > since
        {
            match self.value_before_failure.take().filter(|_| !restarted) {
                Some(value) => self.enter_warm(now, value),
                None if first && load.uptime_ms >= WARMED_UP_UPTIME_MS => {
                    self.enter_warm(now, f64::from(self.capacity.slots));
                }
                None => self.enter_ramp(now),
            }
        }
    }

    fn enter_cold(&mut self, now: Instant) {
        self.enter_cold_since(now, now);
    }

    fn enter_cold_since(&mut self, now: Instant, since: Instant) {
        if let Phase::Cold { since: known, successes } = self.phase {
            self.phase = Phase::Cold { since: known.max(since), successes };
            return;
        }
        self.phase = Phase::Cold { since, successes: 0 };
        self.value = f64::from(self.capacity.cold_limit.max(1));
        self.changed_at = now;
    }

    fn enter_ramp(&mut self, now: Instant) {
        self.value = f64::from(self.capacity.cold_limit.max(1));
        self.changed_at = now;
        let full = self.capacity.cold_limit >= self.capacity.slots;
        self.phase = if full { Phase::Warm } else { Phase::Ramp { successes: 0 } };
    }

    fn enter_warm(&mut self, now: Instant, value: f64) {
        self.phase = Phase::Warm;
        self.set_value(now, value);
    }

    fn set_value(&mut self, now: Instant, value: f64) {
        self.value = value.clamp(1.0, f64::from(self.capacity.slots.max(1)));
        self.changed_at = now;
    }
}

/// Updates a moving average with a sample and returns it.
fn update_average(slot: &mut Option<f64>, sample: f64) -> f64 {
    let value = slot.map_or(sample, |known| known + SAMPLE_WEIGHT * (sample - known));
    *slot = Some(value);
    value
}
