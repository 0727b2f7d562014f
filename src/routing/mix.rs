//! How the engines are divided between long and short prompts, by the work of each.

use std::time::{Duration, Instant};

use crate::routing::choose::{ChoiceSettings, Demand};
use crate::routing::load::kept_part;

/// Time in which half of the memory of past requests fades.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Work that is assumed at the start, in ms, so that the first requests do not decide alone.
const PRIOR_MS: f64 = 1_500.0;
/// Time that an engine takes for each token of an answer, in ms: its step at half of its slots.
const STEP_MS: f64 = 7.0;
/// Part of its time that an engine for long prompts may read prompts, so that few wait.
const LONG_BUSY: f64 = 0.4;
/// Part of its slots that an engine for short prompts may use.
const SHORT_BUSY: f64 = 0.64;
/// Bounds of the part of the engines that is kept for short prompts.
const SHARES: [f64; 2] = [0.15, 0.45];

/// The work that requests asked for lately, in ms of an engine.
#[derive(Debug, Default)]
pub struct WorkMix {
    long: f64,
    short: f64,
    at: Option<Instant>,
}

impl WorkMix {
    /// Notes a request; `slots` are those of an engine.
    pub fn note(&mut self, now: Instant, cfg: &ChoiceSettings, demand: &Demand, slots: u32) {
        let keep = self.at.map_or(1.0, |at| kept_part(now.duration_since(at), HALF_LIFE));
        self.at = Some(now);
        self.long *= keep;
        self.short *= keep;
        let shared: u64 = demand.shared().iter().map(|part| part.tokens).sum();
        let reading = demand.prompt_tokens.saturating_sub(shared) as f64 / cfg.tokens_per_ms;
        let answering = demand.output_tokens as f64 * STEP_MS / f64::from(slots.max(1));
        if demand.prompt_tokens >= cfg.long_prompt {
            self.long += (reading + answering) / LONG_BUSY;
        } else if demand.prompt_tokens > 0 {
            self.short += (reading + answering) / SHORT_BUSY;
        }
    }

    /// Returns the part of the engines to keep for short prompts.
    pub fn short_share(&self, cfg: &ChoiceSettings) -> f64 {
        let short = self.short + PRIOR_MS * cfg.short_share;
        let long = self.long + PRIOR_MS * (1.0 - cfg.short_share);
        (short / (short + long)).clamp(SHARES[0], SHARES[1])
    }
}
