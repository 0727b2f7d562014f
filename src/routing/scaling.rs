//! Desired number of backend servers of a service in each data centre.
//!
//! Spot servers cost a fraction of on-demand servers, so they carry most of the load. A few
//! on-demand servers remain, because all spot servers of a data centre may be reclaimed at once.

use crate::routing::catalog::Scaling;

/// Desired backend servers in each data centre, as fractions of the configured maximum.
#[derive(Debug, Clone, Copy)]
pub struct ScalingSettings {
    /// Fraction of on-demand servers.
    pub on_demand_share: f64,
    /// Fraction of spot servers.
    pub spot_share: f64,
    /// Highest price of a spot server, relative to an on-demand server, at which spot servers are
    /// used.
    pub max_spot_price_ratio: f64,
}

impl Default for ScalingSettings {
    fn default() -> Self {
        Self { on_demand_share: 0.05, spot_share: 0.95, max_spot_price_ratio: 0.6 }
    }
}

/// Share of the maximum that is released at once.
const MAX_RELEASED_SHARE: f64 = 0.25;

/// Number of backend servers of one service in one data centre, not counting draining ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// On-demand servers.
    pub on_demand: u32,
    /// Spot servers.
    pub spot: u32,
}

/// Desired number of backend servers.
pub type DesiredCounts = ServerCounts;

/// Returns the desired number of backend servers in one data centre.
///
/// On-demand servers are released only once the spot servers serve requests. If the maximum leaves no
/// room for all of these beside the on-demand servers, a part of the latter is released once the room
/// is used, so that the capacity never drops by much. A fleet without any traffic yet doesn't wait for them. If
/// spot servers are too expensive, the current counts are kept.
pub fn desired_counts(
    cfg: &ScalingSettings,
    scaling: &Scaling,
    current: ServerCounts,
    has_traffic: bool,
) -> DesiredCounts {
    if scaling.spot_price_ratio > cfg.max_spot_price_ratio {
        return current;
    }
    let share_of_max = |share: f64| (f64::from(scaling.max) * share).ceil() as u32;
    let min_on_demand =
        share_of_max(cfg.on_demand_share).clamp(scaling.min.min(scaling.max), scaling.max);
    let max_spot = share_of_max(cfg.spot_share).min(scaling.max - min_on_demand);
    let room = max_spot.min(scaling.max.saturating_sub(current.on_demand));
    let on_demand = if !has_traffic || current.spot >= max_spot {
        min_on_demand
    } else if current.spot >= room {
        let released = share_of_max(MAX_RELEASED_SHARE);
        current.on_demand.saturating_sub(released).max(min_on_demand)
    } else {
        current.on_demand.max(min_on_demand)
    };
    DesiredCounts { on_demand, spot: max_spot.min(scaling.max.saturating_sub(on_demand)) }
}
