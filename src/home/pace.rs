//! Measured cost and speed of the requests of one backend server, used to estimate waiting times.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::ClassName;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of prompt tokens that cost as much as one output token.
pub const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;
/// Bounds of the correction factor for estimated costs.
const MIN_CORRECTION: f64 = 0.02;
const MAX_CORRECTION: f64 = 8.0;
/// Assumed speed of one slot in tokens per second before the first measurement.
const DEFAULT_SLOT_TOKENS_PER_SECOND: f64 = 30.0;
/// Assumed cost of a request in tokens before the first measurement.
const DEFAULT_COST: f64 = 200.0;

/// Returns the cost in tokens of a request with the given lengths.
pub fn cost(prompt_tokens: u64, output_tokens: u64) -> u64 {
    (output_tokens + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN).max(1)
}

/// Moving averages of request costs and slot speed.
#[derive(Debug, Clone)]
pub struct Pace {
    slot_tokens_per_second: f64,
    /// Whether a request has completed; before that, the averages hold assumed values.
    measured: bool,
    mean_cost: f64,
    /// Average ratio of actual to estimated cost.
    corrections: BTreeMap<ClassName, f64>,
    first_token_seconds: BTreeMap<ClassName, f64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slot_tokens_per_second: DEFAULT_SLOT_TOKENS_PER_SECOND,
            measured: false,
            mean_cost: DEFAULT_COST,
            corrections: BTreeMap::new(),
            first_token_seconds: BTreeMap::new(),
        }
    }
}

impl Pace {
    /// Returns the expected cost of a request, corrected by the past costs of its class.
    pub fn expected_cost(&self, class: &ClassName, estimate: u64) -> u64 {
        let correction = self.corrections.get(class).copied().unwrap_or(1.0);
        ((estimate as f64 * correction) as u64).max(1)
    }

    /// Records a request that completed.
    pub fn record_completion(
        &mut self,
        class: &ClassName,
        estimate: u64,
        cost: u64,
        held: Duration,
    ) {
        let sample = (cost as f64 / estimate.max(1) as f64).clamp(MIN_CORRECTION, MAX_CORRECTION);
        let correction = self.corrections.entry(class.clone()).or_insert(sample);
        *correction += SAMPLE_WEIGHT * (sample - *correction);
        self.mean_cost += SAMPLE_WEIGHT * (cost as f64 - self.mean_cost);
        if !held.is_zero() {
            self.measured = true;
            let tokens_per_second = cost as f64 / held.as_secs_f64();
            self.slot_tokens_per_second +=
                SAMPLE_WEIGHT * (tokens_per_second - self.slot_tokens_per_second);
        }
    }

    /// Returns whether the estimates are based on at least one completed request.
    pub fn is_measured(&self) -> bool {
        self.measured
    }

    /// Records a time to the first token.
    pub fn record_first_token(&mut self, class: &ClassName, time: Duration) {
        let sample = time.as_secs_f64();
        let known = self.first_token_seconds.entry(class.clone()).or_insert(sample);
        *known += SAMPLE_WEIGHT * (sample - *known);
    }

    /// Returns the average time to the first token of a class; zero before the first measurement.
    pub fn first_token(&self, class: &ClassName) -> Duration {
        self.first_token_seconds
            .get(class)
            .map_or(Duration::ZERO, |time| Duration::from_secs_f64(*time))
    }

    /// Estimates how long a request of a cost occupies a slot.
    pub fn slot_time(&self, cost: u64) -> Duration {
        Duration::from_secs_f64((cost as f64 / self.slot_tokens_per_second.max(0.1)).min(3_600.0))
    }

    /// Estimates the time until `slots` slots have served the work ahead and one of them is free.
    pub fn estimated_wait(&self, cost_ahead: u64, slots: u32) -> Duration {
        let tokens_per_second = self.slot_tokens_per_second.max(0.1) * f64::from(slots.max(1));
        Duration::from_secs_f64(
            ((cost_ahead as f64 + self.mean_cost) / tokens_per_second).min(3_600.0),
        )
    }
}
