//! Urgency that backend servers are told.

use std::collections::BTreeSet;

use laburnumvalve::routing::urgency::{URGENCIES, UrgencyScale};
use proptest::prelude::*;
use rstest::rstest;

/// Organisation and route of the more urgent request, then of the less urgent one.
///
/// Guards against urgent streams that are preempted, or wait, while less urgent ones of the same
/// organisation run, because the priority of the organisation hid that of the route.
#[rstest]
#[case::routes_of_one_organisation(Some(1), 0, Some(1), 1)]
#[case::routes_of_organisations_with_the_same_priority(Some(0), 0, Some(0), 2)]
#[case::organisation_goes_before_the_route(Some(0), 2, Some(1), 0)]
#[case::routes_without_organisation(None, 0, None, 1)]
#[case::organisation_without_priority(None, 0, Some(1), 0)]
fn more_urgent_request_has_the_lower_number(
    #[case] first_organisation: Option<u8>,
    #[case] first_route: u8,
    #[case] second_organisation: Option<u8>,
    #[case] second_route: u8,
) {
    let scale = UrgencyScale::new(&BTreeSet::from([0, 1, 2]), &[None, Some(0), Some(1)].into());

    let first = scale.urgency(first_organisation, first_route);
    let second = scale.urgency(second_organisation, second_route);

    assert!(first < second, "{first} and {second}");
}

proptest! {
    /// Guards against an order that is reversed when the priorities don't fit into the urgencies.
    #[test]
    fn order_holds_for_any_number_of_priorities(
        routes in prop::collection::btree_set(any::<u8>(), 1..20),
        organisations in prop::collection::btree_set(any::<Option<u8>>(), 1..20),
    ) {
        let scale = UrgencyScale::new(&routes, &organisations);

        let mut pairs: Vec<(u8, u8, u8)> = Vec::new();
        for organisation in &organisations {
            for route in &routes {
                let urgency = scale.urgency(*organisation, *route);
                pairs.push((organisation.unwrap_or(*route), *route, urgency));
            }
        }
        pairs.sort_unstable();

        prop_assert!(pairs.windows(2).all(|pair| pair[0].2 <= pair[1].2), "{pairs:?}");
        prop_assert!(pairs.iter().all(|pair| usize::from(pair.2) < URGENCIES));
    }
}
