//! Thundering herd: all instances lose their source of state at once.

use std::time::Duration;

use laburnumvalve::routing::direct_reads::{MAX_PROOF_AGE, SourceState};
use rstest::rstest;

/// Instances of one data centre in a fleet of 300.
const INSTANCES: usize = 60;

fn source(rank: usize, proof_age: Duration) -> SourceState {
    SourceState {
        proof_age: Some(proof_age),
        uptime: Duration::from_secs(60),
        has_seed: true,
        rank,
        since_response: Some(Duration::from_millis(200)),
    }
}

fn readers(proof_age: Duration) -> usize {
    (0..INSTANCES).filter(|rank| source(*rank, proof_age).needs_direct_read()).count()
}

#[test]
fn store_that_is_away_for_a_short_time_is_called_by_few_instances() {
    assert_eq!(readers(MAX_PROOF_AGE), 0);
    assert!(readers(MAX_PROOF_AGE + Duration::from_millis(500)) <= 8);
    assert!(readers(MAX_PROOF_AGE + Duration::from_millis(1_100)) <= 16);
}

/// A store that turns most instances away must be read by those that it serves before keys lapse.
#[test]
fn all_instances_read_the_store_before_keys_lapse() {
    assert_eq!(readers(Duration::from_millis(4_000)), INSTANCES);
}

#[rstest]
#[case::peers_silent(Some(Duration::from_millis(1_100)))]
#[case::no_peer_ever_responded(None)]
fn isolated_instance_reads_the_store_at_once(#[case] since_response: Option<Duration>) {
    let stale = MAX_PROOF_AGE + Duration::from_millis(1);

    let isolated = SourceState { since_response, ..source(INSTANCES - 1, stale) };

    assert!(isolated.needs_direct_read());
}

#[rstest]
#[case::beside_a_seed(true, 0, false)]
#[case::seed_does_not_respond(true, 700, true)]
#[case::no_seed(false, 0, true)]
fn starting_instance_asks_a_seed_first(
    #[case] has_seed: bool,
    #[case] uptime_ms: u64,
    #[case] expected: bool,
) {
    let starting = SourceState {
        proof_age: None,
        uptime: Duration::from_millis(uptime_ms),
        has_seed,
        ..source(0, Duration::ZERO)
    };

    assert_eq!(starting.needs_direct_read(), expected);
}
