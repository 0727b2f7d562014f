//! Slots reserved for higher tiers.
//!
//! A running request is never preempted, so a slot granted to a long request of a lower tier stays
//! unavailable for many seconds. The number of slots that each tier needs is estimated from its
//! arrivals by Little's law, plus a margin in standard deviations, and reserved from lower tiers.
//! At least one slot is never reserved.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::Tier;
use crate::config::model::TIERS;

/// Time constant of the exponential average of arrivals.
const AVERAGING_WINDOW: Duration = Duration::from_secs(6);
/// Reserve on top of the mean demand, in standard deviations of the demand.
const MARGIN_STD_DEVS: f64 = 0.7;

/// Slot demand of each tier.
#[derive(Debug, Clone)]
pub struct Headroom {
    /// Mean number of slots that each tier needs.
    needed: [f64; TIERS],
    updated_at: Instant,
}

impl Headroom {
    /// Creates an estimate without any arrivals.
    pub fn new(now: Instant) -> Self {
        Self { needed: [0.0; TIERS], updated_at: now }
    }

    /// Records an arrival that is expected to occupy a slot for `slot_time`.
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

    /// Returns the number of slots reserved from a tier while higher tiers run `running` requests.
    pub fn reserved(&self, now: Instant, tier: Tier, running: u32, limit: u32) -> u32 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / AVERAGING_WINDOW.as_secs_f64()).exp();
        let higher = &self.needed[..usize::from(tier.0).min(TIERS)];
        let mean = higher.iter().sum::<f64>() * decay;
        let target = (mean + MARGIN_STD_DEVS * mean.sqrt()).round() as u32;
        target.min(limit.saturating_sub(1)).saturating_sub(running)
    }
}
