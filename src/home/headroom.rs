//! Slots that are kept free for higher tiers.
//!
//! A running request is never preempted, so a slot given to a long request of a lower tier is gone
//! for many seconds. The slots that each tier needs are estimated from the work that arrives, by
//! Little's law, with a margin of its standard deviation; lower tiers get what is left. At least
//! one slot is never kept back.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::Tier;
use crate::config::model::TIERS;

/// Time over which arrivals are averaged.
const AVERAGING_WINDOW: Duration = Duration::from_secs(6);
/// Standard deviations of the needed slots that are kept besides their mean.
const MARGIN_STD_DEVS: f64 = 0.7;

/// The work that arrives in each tier.
#[derive(Debug, Clone)]
pub struct Headroom {
    /// Slots that each tier needs on average.
    needed: [f64; TIERS],
    updated_at: Instant,
}

impl Headroom {
    /// Begins with nothing known.
    pub fn new(now: Instant) -> Self {
        Self { needed: [0.0; TIERS], updated_at: now }
    }

    /// Takes note of a request that holds a slot for a time.
    pub fn record_arrival(&mut self, now: Instant, tier: Tier, slot_time: Duration) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let window = AVERAGING_WINDOW.as_secs_f64();
        for needed in &mut self.needed {
            *needed *= (-elapsed / window).exp();
        }
        if let Some(needed) = self.needed.get_mut(usize::from(tier.0)) {
            *needed += slot_time.as_secs_f64() / window;
        }
    }

    /// Returns the slots that are kept free from a tier while higher tiers have `running` requests.
    pub fn reserved(&self, now: Instant, tier: Tier, running: u32, limit: u32) -> u32 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / AVERAGING_WINDOW.as_secs_f64()).exp();
        let higher = &self.needed[..usize::from(tier.0).min(TIERS)];
        let mean = higher.iter().sum::<f64>() * decay;
        let target = (mean + MARGIN_STD_DEVS * mean.sqrt()).round() as u32;
        target.min(limit.saturating_sub(1)).saturating_sub(running)
    }
}
