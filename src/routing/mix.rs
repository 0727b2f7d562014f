//! How the engines are divided between long and short prompts, by the work of each.

use std::time::{Duration, Instant};

use crate::routing::choose::{ChoiceSettings, Demand};
use crate::routing::load::exponential_decay;

/// Time in which half of the memory of past requests fades.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Work that is assumed at the start, in ms, so that the first requests do not decide alone.
const PRIOR_MS: f64 = 1_500.0;
/// Time that an engine takes for each token of an answer, in ms: its step at half of its slots.
const DECODE_STEP_MS: f64 = 7.0;
/// Part of its time that an engine for long prompts may read prompts, so that few wait.
const LONG_POOL_UTILISATION: f64 = 0.4;
/// Part of its slots that an engine for short prompts may use.
const SHORT_POOL_UTILISATION: f64 = 0.64;
/// Bounds of the part of the engines that is kept for short prompts.
const SHORT_POOL_SHARE_BOUNDS: [f64; 2] = [0.15, 0.45];

/// The work that requests asked for lately, in ms of an engine.
#[derive(Debug, Default)]
pub struct WorkloadMix {
    long_ms: f64,
    short_ms: f64,
    updated_at: Option<Instant>,
}

impl WorkloadMix {
    /// Notes a request; `slots` are those of an engine.
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

    /// Returns the part of the engines to keep for short prompts.
    pub fn short_pool_share(&self, cfg: &ChoiceSettings) -> f64 {
        let short_ms = self.short_ms + PRIOR_MS * cfg.short_pool_share;
        let long_ms = self.long_ms + PRIOR_MS * (1.0 - cfg.short_pool_share);
        (short_ms / (short_ms + long_ms))
            .clamp(SHORT_POOL_SHARE_BOUNDS[0], SHORT_POOL_SHARE_BOUNDS[1])
    }
}
