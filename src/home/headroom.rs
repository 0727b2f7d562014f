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
const WINDOW: Duration = Duration::from_secs(6);
/// Standard deviations of the needed slots that are kept besides their mean.
const MARGIN: f64 = 0.7;

/// The work that arrives in each tier.
#[derive(Debug, Clone)]
pub struct Headroom {
    /// Slots that each tier needs on average.
    needed: [f64; TIERS],
    updated: Instant,
}

impl Headroom {
    /// Begins with nothing known.
    pub fn new(now: Instant) -> Self {
        Self { needed: [0.0; TIERS], updated: now }
    }

    /// Takes note of a request that holds a slot for a time.
    pub fn arrived(&mut self, now: Instant, tier: Tier, hold: Duration) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        let window = WINDOW.as_secs_f64();
        for needed in &mut self.needed {
            *needed *= (-passed / window).exp();
        }
        if let Some(needed) = self.needed.get_mut(usize::from(tier.0)) {
            *needed += hold.as_secs_f64() / window;
        }
    }

    /// Returns the slots that are kept free from a tier while higher tiers have `running` requests.
    pub fn reserved(&self, now: Instant, tier: Tier, running: u32, limit: u32) -> u32 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = (-passed / WINDOW.as_secs_f64()).exp();
        let higher = &self.needed[..usize::from(tier.0).min(TIERS)];
        let mean = higher.iter().sum::<f64>() * decay;
        let wanted = (mean + MARGIN * mean.sqrt()).round() as u32;
        wanted.min(limit.saturating_sub(1)).saturating_sub(running)
    }
}
