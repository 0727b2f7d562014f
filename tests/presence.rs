//! The failure detector: which peers are suspected and of which an instance is certain.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumvalve::names::InstanceName;
use laburnumvalve::peer::Member;
use laburnumvalve::peer::list::MemberList;
use laburnumvalve::peer::presence::{DetectorTimeouts, PresenceTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

/// Seed of the generated cases.
const SEED: u64 = 20_261_204;

const SUSPECT_AFTER: Duration = Duration::from_millis(3_500);

fn list(names: &[&str]) -> MemberList {
    let member = |name: &str| Member {
        name: name.into(),
        data_centre: "kolkata-a".into(),
        peer_address: "127.0.0.1:1".into(),
        leaving: false,
    };
    let members: BTreeMap<InstanceName, Member> =
        names.iter().map(|name| ((*name).into(), member(name))).collect();
    MemberList { revision: 1, members }
}

fn table_of(own: &str, now: Instant) -> PresenceTable {
    let mut table = PresenceTable::new(own.into(), DetectorTimeouts::new(SUSPECT_AFTER));
    table.apply_list(&list(&["a", "b"]), now);
    table
}

#[rstest]
#[case::at_timeout(3_500, false)]
#[case::after_timeout(3_501, true)]
fn peer_is_suspected_after_timeout_without_contact(
    #[case] silent_ms: u64,
    #[case] suspected: bool,
) {
    let start = Instant::now();
    let mut table = table_of("a", start);
    table.record_contact(&"b".into(), 1, false, start);

    let members =
        table.members(&list(&["a", "b"]), false, start + Duration::from_millis(silent_ms));

    assert_eq!(members.suspected.contains("b"), suspected);
}

#[test]
fn restart_of_a_peer_voids_acknowledgements_of_its_former_process() {
    let start = Instant::now();
    let mut table = table_of("a", start);
    table.record_contact(&"b".into(), 1, false, start);
    table.record_acknowledgement(&"b".into(), start);

    table.record_contact(&"b".into(), 2, false, start);

    assert!(!table.members(&list(&["a", "b"]), false, start).certain.contains("b"));
}

/// In a large fleet, only instances in the local data centre send this one a heartbeat in each
/// period. Guards against suspecting instances of other data centres, whose heartbeats are rare.
#[rstest]
#[case::local_data_centre("local-1", true)]
#[case::another_data_centre("remote-1", false)]
fn only_local_peers_of_large_fleet_are_suspected_when_silent(
    #[case] silent: &str,
    #[case] suspected: bool,
) {
    let start = Instant::now();
    let names: Vec<String> =
        (0..20).flat_map(|n| [format!("local-{n}"), format!("remote-{n}")]).collect();
    let mut list = list(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for (name, member) in &mut list.members {
        let is_remote = name.as_str().starts_with("remote");
        member.data_centre = if is_remote { "kolkata-b" } else { "kolkata-a" }.into();
    }
    let mut table = PresenceTable::new("local-0".into(), DetectorTimeouts::new(SUSPECT_AFTER));
    table.apply_list(&list, start);

    let members = table.members(&list, false, start + Duration::from_secs(10));

    assert_eq!(members.suspected.contains(silent), suspected);
}

#[test]
fn peer_is_suspected_at_once_after_two_refused_connections() {
    let start = Instant::now();
    let mut table = table_of("a", start);
    table.record_contact(&"b".into(), 1, false, start);

    table.record_refused_connection(&"b".into());
    let after_one = table.members(&list(&["a", "b"]), false, start).suspected.contains("b");
    table.record_refused_connection(&"b".into());
    let after_two = table.members(&list(&["a", "b"]), false, start).suspected.contains("b");

    assert_eq!((after_one, after_two), (false, true));
}

/// Generates the same cases on every run.
fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded())]

    /// While a is certain of b, b does not suspect a, even if heartbeats and replies are lost or
    /// delayed. Guards against two instances that both act as home of a backend server.
    #[test]
    fn peer_does_not_suspect_an_instance_that_is_certain_of_it(
        beats in proptest::collection::vec((0u64..1_500, 0u64..6_000, 0u64..6_000, any::<bool>(), any::<bool>()), 1..40),
        step in 1u64..400,
    ) {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        // Each heartbeat of a: time since the previous one, delay to b, delay of the reply, whether
        // the heartbeat is lost, whether the reply is lost.
        let mut sent = 0;
        let mut arrivals = Vec::new();
        for (gap, delay, reply_delay, lost, reply_lost) in beats {
            sent += gap;
            if !lost {
                arrivals.push((sent + delay, sent, (!reply_lost).then_some(sent + delay + reply_delay)));
            }
        }
        arrivals.sort_unstable();
        let (mut a, mut b) = (table_of("a", start), table_of("b", start));
        let (mut received, mut acknowledged) = (vec![false; arrivals.len()], vec![false; arrivals.len()]);
        for now in (0..sent + 15_000).step_by(step as usize) {
            for (index, (arrival, sent, reply)) in arrivals.iter().enumerate() {
                if *arrival <= now && !received[index] {
                    received[index] = true;
                    b.record_contact(&"a".into(), 7, false, at(*arrival));
                }
                if reply.is_some_and(|reply| reply <= now) && !acknowledged[index] {
                    acknowledged[index] = true;
                    a.record_contact(&"b".into(), 9, false, at(now));
                    a.record_acknowledgement(&"b".into(), at(*sent));
                }
            }
            let certain = a.members(&list(&["a", "b"]), false, at(now)).certain.contains("b");
            let suspects = b.members(&list(&["a", "b"]), false, at(now)).suspected.contains("a");
            prop_assert!(!(certain && suspects), "at {now} ms, a is certain of b and b suspects a");
        }
    }
}
