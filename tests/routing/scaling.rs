//! Desired numbers of backend servers.

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
#[case::spot_price_above_limit(scaling(1, 6, 0.9), ServerCounts { on_demand: 3, spot: 0 }, ServerCounts { on_demand: 3, spot: 0 })]
fn spot_servers_carry_the_load(
    #[case] scaling: Scaling,
    #[case] current: ServerCounts,
    #[case] wanted: ServerCounts,
) {
    assert_eq!(desired_counts(&settings(), &scaling, current, true), wanted);
}

/// Guards against a lack of servers after the spot servers of a data centre were reclaimed at once:
/// on-demand servers must not be released before the replacements serve requests.
#[test]
fn on_demand_servers_stay_until_spot_servers_serve() {
    let desired = desired_counts(
        &settings(),
        &scaling(1, 6, 0.18),
        ServerCounts { on_demand: 3, spot: 2 },
        true,
    );

    assert_eq!(desired.on_demand, 3);
}

/// Guards against a fleet that stays on-demand because there is no room for all spot servers beside
/// the on-demand ones.
#[rstest]
#[case::half(32)]
#[case::full(64)]
#[case::few(4)]
fn on_demand_servers_are_replaced_step_by_step(#[case] on_demand: u32) {
    let scaling = scaling(1, 64, 0.18);
    let mut current = ServerCounts { on_demand, spot: 0 };

    for _ in 0..16 {
        let desired = desired_counts(&ScalingSettings::default(), &scaling, current, true);
        let total = desired.on_demand + current.spot;
        assert!(total >= on_demand.min(48), "{total} servers are left of {current:?}");
        current = desired;
    }

    assert_eq!(current, ServerCounts { on_demand: 4, spot: 60 });
}

#[test]
fn fleet_without_traffic_does_not_pay_for_on_demand_servers() {
    let current = ServerCounts { on_demand: 32, spot: 0 };

    let desired =
        desired_counts(&ScalingSettings::default(), &scaling(1, 64, 0.18), current, false);

    assert_eq!(desired, ServerCounts { on_demand: 4, spot: 60 });
}

#[rstest]
fn on_demand_and_spot_together_stay_within_max(
    #[values(1, 2, 5, 40)] max: u32,
    #[values(0, 1, 3, 40)] on_demand: u32,
    #[values(0, 1, 3, 40)] spot: u32,
    #[values(true, false)] has_traffic: bool,
) {
    let on_demand = on_demand.min(max);
    let spot = spot.min(max - on_demand);

    let desired = desired_counts(
        &settings(),
        &scaling(1, max, 0.18),
        ServerCounts { on_demand, spot },
        has_traffic,
    );

    assert!(desired.on_demand >= 1);
    assert!(desired.on_demand + desired.spot <= max, "{desired:?}");
}
