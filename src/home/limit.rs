//! How many requests may run at once on one backend server.
//!
//! A warm server's limit follows its token pace: it falls by a factor while tokens come slower
//! than their target, and grows by one while they are in time and the limit is used up. A server
//! in cold start gets its cold limit and nothing more, until a report measured after the start
//! says that it is warm, or, for a server without reports, until a run of requests succeeded.

use std::time::Duration;

use tokio::time::Instant;

use super::report::LoadReport;

/// Factor by which slow tokens lower the limit.
const SLOW_FACTOR: f64 = 0.85;
/// Factor by which an overload answer lowers the limit.
const OVERLOAD_FACTOR: f64 = 0.7;
/// Factor between token gap and target above which the limit falls.
const SLOW_MARGIN: f64 = 1.0;
/// Factor between token gap and target below which the limit may grow.
const FAST_MARGIN: f64 = 0.9;
/// Least time between two changes of the limit.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Factor between a first-token time and the usual one that hints at a cold start.
const COLD_FIRST_TOKEN_FACTOR: f64 = 6.0;
/// First-token time below which no cold start is suspected.
const COLD_FIRST_TOKEN_MIN: Duration = Duration::from_millis(1_500);
/// Factor by which the limit grows after each run of successes on the way to warm.
const RAMP_FACTOR: f64 = 1.5;

/// Time since its start after which an engine seen for the first time counts as warmed up.
const WARMED_UP_UPTIME_MS: u64 = 60_000;

/// Whether a backend server bears its full load.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// In cold start since an instant; `successes` counts requests that ended whole since then.
    Cold { since: Instant, successes: u32 },
    /// On the way to the full limit.
    Ramp { successes: u32 },
    /// Warm.
    Warm,
}

/// Capacity of a backend server as the sheet says it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Requests at once when warm.
    pub slots: u32,
    /// Requests at once in cold start.
    pub cold_limit: u32,
}

/// The adaptive limit of one backend server.
#[derive(Debug, Clone)]
pub struct Limit {
    capacity: Capacity,
    phase: Phase,
    value: f64,
    changed_at: Instant,
    token_gap: Option<f64>,
    first_token: Option<f64>,
    generation: Option<(u64, u64)>,
    unreported: bool,
    /// The limit at the time of a failure that may have been a restart.
    value_before_failure: Option<f64>,
}

impl Limit {
    /// Makes the limit of a server about which nothing is known, which counts as cold.
    pub fn new(capacity: Capacity, now: Instant) -> Self {
        Self {
            capacity,
            phase: Phase::Cold { since: now, successes: 0 },
            value: f64::from(capacity.cold_limit.max(1)),
            changed_at: now,
            token_gap: None,
            first_token: None,
            generation: None,
            unreported: false,
            value_before_failure: None,
        }
    }

    /// Takes over a changed capacity.
    pub fn set_capacity(&mut self, capacity: Capacity) {
        self.capacity = capacity;
        self.value = self.value.min(f64::from(capacity.slots.max(1)));
    }

    /// Returns how many requests may run at once.
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
        self.token_gap.map(Duration::from_secs_f64)
    }

    /// Returns the moving average of the time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token.map(Duration::from_secs_f64)
    }

    /// Takes note of a measured time between tokens.
    ///
    /// `used_up` tells whether as many requests run as the limit allows.
    pub fn record_token_gap(
        &mut self,
        now: Instant,
        gap: Duration,
        target: Duration,
        limit_reached: bool,
    ) {
        let gap = update_average(&mut self.token_gap, gap.as_secs_f64());
        if self.is_cold() || now < self.changed_at + CHANGE_PERIOD {
            return;
        }
        let gap_ratio = gap / target.as_secs_f64().max(1e-6);
        if gap_ratio > SLOW_MARGIN {
            self.set_value(now, self.value * SLOW_FACTOR);
        } else if gap_ratio < FAST_MARGIN && limit_reached && self.phase == Phase::Warm {
            self.set_value(now, self.value + 1.0);
        }
    }

    /// Takes note of a measured time to the first token; a jump means a cold start.
    pub fn record_first_token(&mut self, now: Instant, time: Duration) {
        let average = self.first_token;
        let jumped = average.is_some_and(|average| {
            time >= COLD_FIRST_TOKEN_MIN && time.as_secs_f64() > average * COLD_FIRST_TOKEN_FACTOR
        });
        if jumped && self.phase == Phase::Warm {
            self.enter_cold(now);
        } else {
            update_average(&mut self.first_token, time.as_secs_f64());
        }
    }

    /// Takes note of a request that ended whole.
    pub fn record_success(&mut self, now: Instant) {
        match self.phase {
            Phase::Cold { since, successes } => {
                let successes = successes + 1;
                self.phase = Phase::Cold { since, successes };
                if self.unreported && successes >= self.capacity.cold_limit.max(1) * 2 {
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

    /// Takes note of an answer that the server is over its limit.
    pub fn record_overload(&mut self, now: Instant) {
        self.set_value(now, self.value * OVERLOAD_FACTOR);
    }

    /// Takes note of a failed connection or answer, after which the server may have started anew.
    ///
    /// The server counts as cold until a report measured later says otherwise. If that one shows
    /// that it did not start anew, the limit goes back to where it was.
    pub fn record_failure(&mut self, now: Instant) {
        if self.phase == Phase::Warm {
            self.value_before_failure = Some(self.value);
        }
        self.enter_cold(now);
    }

    /// Takes note that the server doesn't report its load.
    pub fn set_unreported(&mut self) {
        self.unreported = true;
    }

    /// Returns whether the server is known not to report its load.
    pub fn is_unreported(&self) -> bool {
        self.unreported
    }

    /// Takes note of a report of the engine.
    pub fn record_report(&mut self, now: Instant, report: &LoadReport) {
        self.unreported = false;
        let load = &report.load;
        let seen = (load.generation, load.uptime_ms);
        let restarted = self.generation.is_some_and(|(generation, uptime)| {
            load.generation > generation
                || (load.generation == generation && load.uptime_ms < uptime)
        });
        let first = self.generation.is_none();
        let stale = self.generation.is_some_and(|(generation, _)| load.generation < generation);
        if stale {
            return;
        }
        self.generation = Some(seen);
        if !load.warm {
            self.value_before_failure = None;
            self.enter_cold_since(now, report.measured_at);
            return;
        }
        if restarted && !self.is_cold() {
            // The report itself shows that the new start is warm already.
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

/// Moves an average towards a sample and returns it.
fn update_average(slot: &mut Option<f64>, sample: f64) -> f64 {
    let value = slot.map_or(sample, |known| known + SAMPLE_WEIGHT * (sample - known));
    *slot = Some(value);
    value
}
