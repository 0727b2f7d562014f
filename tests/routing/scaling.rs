//! Numbers of backend servers to order.

use std::collections::HashMap;
use std::time::Duration;

use laburnumvalve::routing::catalog::Scaling;
use laburnumvalve::routing::scaling::{ScalingSettings, ServerCounts, desired_counts};
use rstest::rstest;

fn scaling(min: u32, max: u32, spot_price_ratio: f64) -> Scaling {
    Scaling {
        min,
        max,
        spot_price_ratio,
        startup_time: Duration::from_secs(4),
        prices: HashMap::new(),
    }
}

fn settings() -> ScalingSettings {
    ScalingSettings { on_demand_share: 0.15, spot_share: 0.5, max_spot_price_ratio: 0.6 }
}

#[rstest]
#[case::small(scaling(1, 6, 0.18), ServerCounts { on_demand: 3, spot: 3 }, ServerCounts { on_demand: 1, spot: 3 })]
#[case::large(scaling(1, 40, 0.18), ServerCounts { on_demand: 20, spot: 20 }, ServerCounts { on_demand: 6, spot: 20 })]
#[case::reclaimable_ones_are_dear(scaling(1, 6, 0.9), ServerCounts { on_demand: 3, spot: 0 }, ServerCounts { on_demand: 3, spot: 0 })]
fn reclaimable_servers_carry_the_load(
    #[case] scaling: Scaling,
    #[case] current: ServerCounts,
    #[case] wanted: ServerCounts,
) {
    assert_eq!(desired_counts(&settings(), &scaling, current), wanted);
}

/// Pattern: the reclaimable backend servers of a data centre are taken away in a burst.
#[test]
fn lasting_servers_stay_until_reclaimable_ones_serve() {
    let desired =
        desired_counts(&settings(), &scaling(1, 6, 0.18), ServerCounts { on_demand: 3, spot: 2 });

    assert_eq!(desired.on_demand, 3);
}

#[rstest]
fn bounds_hold_for_both_kinds_together(
    #[values(1, 2, 5, 40)] max: u32,
    #[values(0, 1, 3, 40)] on_demand: u32,
    #[values(0, 1, 3, 40)] spot: u32,
) {
    let on_demand = on_demand.min(max);
    let spot = spot.min(max - on_demand);

    let desired =
        desired_counts(&settings(), &scaling(1, max, 0.18), ServerCounts { on_demand, spot });

    assert!(desired.on_demand >= 1);
    assert!(desired.on_demand + desired.spot <= max, "{desired:?}");
}
