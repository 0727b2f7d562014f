//! How many backend servers a service should have in each data centre.
//!
//! Reclaimable backend servers cost a fraction of the others, so they carry most of the load; a
//! few others stay, because all reclaimable ones of a data centre may leave at once.

use crate::routing::catalog::Scaling;

/// Backend servers to have in each data centre, as parts of the most that it may have.
#[derive(Debug, Clone, Copy)]
pub struct ScalingSettings {
    /// Part that lasting backend servers make up.
    pub on_demand_share: f64,
    /// Part that reclaimable backend servers make up.
    pub spot_share: f64,
    /// Price of a reclaimable backend server, relative to a lasting one, up to which it is used.
    pub max_spot_price_ratio: f64,
}

impl Default for ScalingSettings {
    fn default() -> Self {
        Self { on_demand_share: 0.05, spot_share: 0.95, max_spot_price_ratio: 0.6 }
    }
}

/// Backend servers of one service in one data centre that serve and are not about to leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Lasting ones.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub spot: u32,
}

/// Backend servers that should be there.
pub type DesiredCounts = ServerCounts;

/// Returns what to order for one data centre.
///
/// Lasting backend servers are given up only once the reclaimable ones serve.
pub fn desired_counts(
    cfg: &ScalingSettings,
    scaling: &Scaling,
    current: ServerCounts,
) -> DesiredCounts {
    if scaling.spot_price_ratio > cfg.max_spot_price_ratio {
        return current;
    }
    let share_of_max = |share: f64| (f64::from(scaling.max) * share).ceil() as u32;
    let on_demand =
        share_of_max(cfg.on_demand_share).clamp(scaling.min.min(scaling.max), scaling.max);
    let spot = share_of_max(cfg.spot_share).min(scaling.max - on_demand);
    let on_demand = if current.spot >= spot { on_demand } else { current.on_demand.max(on_demand) };
    DesiredCounts { on_demand, spot: spot.min(scaling.max.saturating_sub(on_demand)) }
}
