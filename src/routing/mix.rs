//! Division of the engines between long and short prompts, according to the recent workload.
//!
//! In a burst of urgent short prompts, a division in proportion to the work alone would leave them
//! waiting in their pool while less urgent long prompts start in the other one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::routing::choose::{ChoiceSettings, Demand};
use crate::routing::load::exponential_decay;

/// Half-life of the recorded work.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Work assumed initially, in ms, so that the first requests alone do not determine the division.
const PRIOR_MS: f64 = 1_500.0;
/// Time that an engine takes per output token, in ms: the duration of a step with half of its slots
/// in use.
const DECODE_STEP_MS: f64 = 7.0;
/// Target utilisation of an engine for long prompts, as a fraction of its time; low, so that few
/// prompts wait.
const LONG_POOL_UTILISATION: f64 = 0.4;
/// Target utilisation of an engine for short prompts, as a fraction of its slots.
const SHORT_POOL_UTILISATION: f64 = 0.64;
/// Minimum and maximum share of the engines in the short-prompt pool.
const SHORT_POOL_SHARE_BOUNDS: [f64; 2] = [0.15, 0.45];

/// Maximum share of the engines that urgent short prompts use without a penalty.
const MAX_URGENT_POOL_SHARE: f64 = 0.85;

/// Engines of a service and the instances that send requests to them.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of usable engines.
    pub engines: usize,
    /// Slots of an engine.
    pub slots: u32,
    /// Number of instances, each of which is assumed to receive an equal part of the requests.
    pub instances: usize,
}

/// Work of requests with the same urgency.
#[derive(Debug, Default, Clone, Copy)]
struct Work {
    /// Recent work of long prompts, in ms of engine time.
    long_ms: f64,
    /// Recent work of short prompts, in ms of engine time.
    short_ms: f64,
    /// Requests with short prompts that were sent and have not ended.
    short_in_flight: u32,
}

/// Work of recent requests by urgency, exponentially decayed.
#[derive(Debug, Default)]
pub struct WorkloadMix {
    /// At most one entry for each urgency that servers distinguish.
    by_urgency: BTreeMap<u8, Work>,
    updated_at: Option<Instant>,
}

impl WorkloadMix {
    /// Records a request; `slots` is the number of slots of an engine.
    pub fn record(
        &mut self,
        now: Instant,
        cfg: &ChoiceSettings,
        demand: &Demand,
        urgency: u8,
        slots: u32,
    ) {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.updated_at = Some(now);
        let decay = exponential_decay(age, HALF_LIFE);
        for work in self.by_urgency.values_mut() {
            work.long_ms *= decay;
            work.short_ms *= decay;
        }
        let shared: u64 = demand.shared_prefix().iter().map(|part| part.tokens).sum();
        let prefill_ms =
            demand.prompt_tokens.saturating_sub(shared) as f64 / cfg.prefill_tokens_per_ms;
        let decode_ms = demand.output_tokens as f64 * DECODE_STEP_MS / f64::from(slots.max(1));
        let work = self.by_urgency.entry(urgency).or_default();
        if demand.prompt_tokens >= cfg.long_prompt_tokens {
            work.long_ms += (prefill_ms + decode_ms) / LONG_POOL_UTILISATION;
        } else if demand.prompt_tokens > 0 {
            work.short_ms += (prefill_ms + decode_ms) / SHORT_POOL_UTILISATION;
        }
    }

    /// Records that a request was sent to an engine.
    pub fn start_run(&mut self, cfg: &ChoiceSettings, demand: &Demand, urgency: u8) {
        if is_short(cfg, demand) {
            self.by_urgency.entry(urgency).or_default().short_in_flight += 1;
        }
    }

    /// Records that a request that was sent has ended.
    pub fn finish_run(&mut self, cfg: &ChoiceSettings, demand: &Demand, urgency: u8) {
        if is_short(cfg, demand) {
            let work = self.by_urgency.entry(urgency).or_default();
            work.short_in_flight = work.short_in_flight.saturating_sub(1);
        }
    }

    /// Returns the share of the engines that a request takes to be reserved for short prompts.
    ///
    /// The engines are divided in proportion to the work. Short prompts that are more urgent than
    /// most long ones use further engines as soon as they don't fit into their own; there, engines
    /// admit them first. Long prompts keep off the proportional part only, so that they don't
    /// starve.
    pub fn short_pool_share(
        &self,
        cfg: &ChoiceSettings,
        demand: &Demand,
        urgency: u8,
        fleet: FleetSize,
    ) -> f64 {
        let sum = |part: fn(&Work) -> f64| self.by_urgency.values().map(part).sum::<f64>();
        let short_ms = sum(|work| work.short_ms) + PRIOR_MS * cfg.short_pool_share;
        let long_ms = sum(|work| work.long_ms) + PRIOR_MS * (1.0 - cfg.short_pool_share);
        let proportional = (short_ms / (short_ms + long_ms))
            .clamp(SHORT_POOL_SHARE_BOUNDS[0], SHORT_POOL_SHARE_BOUNDS[1]);
        match self.typical_long_urgency() {
            Some(long) if is_short(cfg, demand) && urgency < long => {
                proportional.max(self.occupied_share(long, fleet).min(MAX_URGENT_POOL_SHARE))
            }
            _ => proportional,
        }
    }

    /// Returns the share of all slots that short prompts more urgent than `limit` take, waiting
    /// ones included, if the other instances have as many as this one.
    fn occupied_share(&self, limit: u8, fleet: FleetSize) -> f64 {
        let urgent = self.by_urgency.range(..limit);
        let in_flight: u32 = urgent.map(|(_, work)| work.short_in_flight).sum();
        let slots = fleet.engines as f64 * f64::from(fleet.slots);
        f64::from(in_flight) * fleet.instances as f64 / slots.max(1.0)
    }

    /// Returns the urgency up to which half of the long prompts' work lies; `None` if there is none.
    fn typical_long_urgency(&self) -> Option<u8> {
        let half = self.by_urgency.values().map(|work| work.long_ms).sum::<f64>() / 2.0;
        let mut sum = 0.0;
        let found = self.by_urgency.iter().find(|(_, work)| {
            sum += work.long_ms;
            work.long_ms > 0.0 && sum >= half
        });
        found.map(|(urgency, _)| *urgency)
    }
}

/// Returns whether a request to an engine has a short prompt.
fn is_short(cfg: &ChoiceSettings, demand: &Demand) -> bool {
    (1..cfg.long_prompt_tokens).contains(&demand.prompt_tokens)
}
