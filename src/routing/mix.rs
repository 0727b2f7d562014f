//! Division of the engines between long and short prompts, according to the recent workload.

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

/// Exponentially decayed work of recent requests, in ms of engine time.
#[derive(Debug, Default)]
pub struct WorkloadMix {
    long_ms: f64,
    short_ms: f64,
    updated_at: Option<Instant>,
}

impl WorkloadMix {
    /// Records a request; `slots` is the number of slots of an engine.
    pub fn record(&mut self, now: Instant, cfg: &ChoiceSettings, demand: &Demand, slots: u32) {
        let decay =
            self.updated_at.map_or(1.0, |at| exponential_decay(now.duration_since(at), HALF_LIFE));
        self.updated_at = Some(now);
        self.long_ms *= decay;
        self.short_ms *= decay;
        let shared: u64 = demand.shared_prefix().iter().map(|part| part.tokens).sum();
        let prefill_ms =
            demand.prompt_tokens.saturating_sub(shared) as f64 / cfg.prefill_tokens_per_ms;
        let decode_ms = demand.output_tokens as f64 * DECODE_STEP_MS / f64::from(slots.max(1));
        if demand.prompt_tokens >= cfg.long_prompt_tokens {
            self.long_ms += (prefill_ms + decode_ms) / LONG_POOL_UTILISATION;
        } else if demand.prompt_tokens > 0 {
            self.short_ms += (prefill_ms + decode_ms) / SHORT_POOL_UTILISATION;
        }
    }

    /// Returns the share of the engines to reserve for short prompts.
    pub fn short_pool_share(&self, cfg: &ChoiceSettings) -> f64 {
        let short_ms = self.short_ms + PRIOR_MS * cfg.short_pool_share;
        let long_ms = self.long_ms + PRIOR_MS * (1.0 - cfg.short_pool_share);
        (short_ms / (short_ms + long_ms))
            .clamp(SHORT_POOL_SHARE_BOUNDS[0], SHORT_POOL_SHARE_BOUNDS[1])
    }
}
