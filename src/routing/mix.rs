//! Division of the engines between long and short prompts, according to the recent workload.
//!
//! In a burst of urgent short prompts, a division in proportion to the work would leave them waiting
//! in their pool while less urgent long prompts start in the other one, so they get as many engines
//! as they need first.

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

/// Half-life of the recorded urgent work; short, as urgent requests wait in the meantime.
const URGENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Maximum share of the engines in the short-prompt pool if its work is the more urgent one. The
/// rest keeps less urgent requests from starving.
const MAX_URGENT_POOL_SHARE: f64 = 0.85;

/// Engines of a service and the instances that send requests to them.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of usable engines.
    pub engines: usize,
    /// Number of instances, each of which is assumed to receive an equal part of the requests.
    pub instances: usize,
}

/// Work of recent requests, in ms of engine time.
#[derive(Debug, Default, Clone, Copy)]
struct Work {
    long_ms: f64,
    short_ms: f64,
    /// Work of short prompts, decayed with the shorter half-life.
    recent_short_ms: f64,
}

/// Exponentially decayed work of recent requests by urgency.
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
        let recent_decay = exponential_decay(age, URGENT_HALF_LIFE);
        for work in self.by_urgency.values_mut() {
            work.long_ms *= decay;
            work.short_ms *= decay;
            work.recent_short_ms *= recent_decay;
        }
        let shared: u64 = demand.shared_prefix().iter().map(|part| part.tokens).sum();
        let prefill_ms =
            demand.prompt_tokens.saturating_sub(shared) as f64 / cfg.prefill_tokens_per_ms;
        let decode_ms = demand.output_tokens as f64 * DECODE_STEP_MS / f64::from(slots.max(1));
        let work = self.by_urgency.entry(urgency).or_default();
        if demand.prompt_tokens >= cfg.long_prompt_tokens {
            work.long_ms += (prefill_ms + decode_ms) / LONG_POOL_UTILISATION;
        } else if demand.prompt_tokens > 0 {
            let short_ms = (prefill_ms + decode_ms) / SHORT_POOL_UTILISATION;
            work.short_ms += short_ms;
            work.recent_short_ms += short_ms;
        }
    }

    /// Returns the share of the engines to reserve for short prompts.
    ///
    /// The engines are divided in proportion to the work. If short prompts are the more urgent
    /// ones, their pool has at least the engines that their work needs.
    pub fn short_pool_share(&self, cfg: &ChoiceSettings, fleet: FleetSize) -> f64 {
        let sum = |part: fn(&Work) -> f64| self.by_urgency.values().map(part).sum::<f64>();
        let short_ms = sum(|work| work.short_ms) + PRIOR_MS * cfg.short_pool_share;
        let long_ms = sum(|work| work.long_ms) + PRIOR_MS * (1.0 - cfg.short_pool_share);
        let proportional = (short_ms / (short_ms + long_ms))
            .clamp(SHORT_POOL_SHARE_BOUNDS[0], SHORT_POOL_SHARE_BOUNDS[1]);
        let needed = self.urgent_engines(fleet.instances) / fleet.engines.max(1) as f64;
        proportional.max(needed.min(MAX_URGENT_POOL_SHARE))
    }

    /// Returns the number of engines that the short prompts of all `instances` need which are more
    /// urgent than most long prompts.
    fn urgent_engines(&self, instances: usize) -> f64 {
        let Some(long_urgency) = self.typical_long_urgency() else { return 0.0 };
        let urgent = self.by_urgency.range(..long_urgency);
        let recent_ms: f64 = urgent.map(|(_, work)| work.recent_short_ms).sum();
        let window_ms = URGENT_HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2;
        recent_ms / window_ms * instances as f64
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
