//! Which backend servers are usable as their registry entries change.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use laburnumvalve::routing::fleet::{Fleet, REREGISTRATION_GRACE, Registration};

use rstest::rstest;

use crate::support::{entry, fleet, usable};

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn draining_server_is_not_usable() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 2);

    fleet.upsert(now, 2, Registration { is_draining: true, ..entry("a-0", "a") });

    assert_eq!(usable(&fleet).len(), 1);
    assert_eq!(fleet.draining_since(&"a-0".into()), Some(now));
}

#[test]
fn stale_revision_is_ignored() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 1);
    fleet.upsert(now, 5, Registration { is_draining: true, ..entry("a-0", "a") });

    fleet.upsert(now, 4, entry("a-0", "a"));

    assert!(usable(&fleet).is_empty());
}

#[rstest]
#[case::registry_available(true)]
#[case::registry_unavailable(false)]
fn entry_older_than_its_removal_is_ignored(#[case] is_available: bool) {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 1);
    fleet.set_registry_available(now, is_available);
    fleet.remove(now, 9, &"a-0".into());

    fleet.upsert(now, 8, entry("a-0", "a"));
    fleet.set_registry_available(now, true);
    fleet.purge_lapsed(now + REREGISTRATION_GRACE);

    assert!(usable(&fleet).is_empty());
}

#[test]
fn removed_server_is_unusable_at_once_while_registry_is_available() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 2);

    fleet.remove(now, 2, &"a-0".into());

    assert_eq!(usable(&fleet).len(), 1);
    assert!(fleet.draining_since(&"a-0".into()).is_some());
}

/// Guards against requests to outdated entries: all backend servers restart under new names during
/// a registry outage, and their previous entries have not lapsed yet.
#[test]
fn server_is_unusable_after_another_takes_its_address() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 2);
    fleet.set_registry_available(start, false);
    let later = at(start, 2_000);
    let renamed = |number: u64| Registration {
        address: entry(&format!("a-{number}"), "a").address,
        ..entry(&format!("new-{number}"), "a")
    };

    fleet.apply_list(later, 9, vec![(8, renamed(0)), (9, renamed(1))]);

    let names: HashSet<_> = usable(&fleet).into_iter().map(|server| server.entry.name).collect();
    assert_eq!(names, HashSet::from(["new-0".into(), "new-1".into()]));
}

/// Guards against an outdated entry taking over an address: addresses are reused, and entries may
/// arrive in any order.
#[test]
fn latest_started_process_owns_the_address() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let with_shared_address = |name: &str, started_at_ms| Registration {
        address: entry("a-0", "a").address,
        started_at_ms: Some(started_at_ms),
        ..entry(name, "a")
    };
    fleet.upsert(now, 1, with_shared_address("new", 2_000));

    fleet.upsert(now, 2, with_shared_address("former", 1_000));
    assert_eq!(usable(&fleet)[0].entry.name, "new".into());
    fleet.remove(now, 2, &"new".into());
    fleet.upsert(now, 3, with_shared_address("former", 1_000));

    assert_eq!(usable(&fleet)[0].entry.name, "former".into());
}

#[test]
fn entries_lapsed_during_registry_outage_stay_until_grace_period_ends() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 2);
    fleet.set_registry_available(start, false);

    fleet.apply_list(at(start, 100), 2, vec![(1, entry("a-1", "a"))]);
    assert_eq!(usable(&fleet).len(), 2);

    fleet.set_registry_available(at(start, 5_000), true);
    fleet.purge_lapsed(at(start, 5_500));
    assert_eq!(usable(&fleet).len(), 2, "the server may still register again");

    fleet.purge_lapsed(at(start, 5_001) + REREGISTRATION_GRACE);
    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn entry_reregistered_within_grace_period_stays() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 1);
    fleet.set_registry_available(start, false);
    fleet.remove(start, 2, &"a-0".into());
    fleet.set_registry_available(at(start, 1_000), true);

    fleet.upsert(at(start, 2_000), 9, entry("a-0", "a"));
    fleet.purge_lapsed(at(start, 10_000));

    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn stale_list_is_ignored() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.apply_list(now, 9, vec![(9, entry("a-0", "a"))]);

    fleet.apply_list(now, 8, Vec::new());

    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn servers_are_cold_after_evacuation_ends() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a", "b"], 1);
    let cold = |_: &_| Duration::from_secs(3);

    fleet.set_evacuated(now, HashSet::from(["a".into()]), cold);
    assert_eq!(usable(&fleet).len(), 1);
    fleet.set_evacuated(at(now, 5_000), HashSet::new(), cold);

    let returned = fleet.get(&"a-0".into()).expect("it is listed");
    assert!(returned.is_cold(at(now, 7_900)));
    assert!(!returned.is_cold(at(now, 8_100)));
    assert!(!fleet.get(&"b-0".into()).expect("it is listed").is_cold(at(now, 5_000)));
}

#[test]
fn repeated_entry_does_not_restart_cold_period() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let cold = Registration { remaining_cold_period: Duration::from_secs(3), ..entry("a-0", "a") };

    fleet.upsert(now, 7, cold.clone());
    fleet.upsert(at(now, 2_000), 7, cold);

    assert!(!fleet.get(&"a-0".into()).expect("it is listed").is_cold(at(now, 3_100)));
}

/// Guards against the end of an evacuation shortening a longer cold period that began during it;
/// found by the soak test (seed 524).
#[test]
fn end_of_evacuation_does_not_shorten_cold_period() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.set_evacuated(now, HashSet::from(["a".into()]), |_| Duration::ZERO);
    fleet.upsert(
        now,
        1,
        Registration { remaining_cold_period: Duration::from_secs(5), ..entry("long", "a") },
    );
    fleet.upsert(now, 1, entry("warm", "a"));

    fleet.set_evacuated(now, HashSet::new(), |_| Duration::from_secs(2));

    let is_cold =
        |name: &str, ms| fleet.get(&name.into()).expect("it is known").is_cold(at(now, ms));
    assert_eq!((is_cold("long", 4_900), is_cold("long", 5_100)), (true, false));
    assert_eq!((is_cold("warm", 1_900), is_cold("warm", 2_100)), (true, false));
}

/// Guards against a removed server becoming usable: it is added and removed between two calls, and
/// the removal is processed first.
#[rstest]
#[case::registry_available(true)]
#[case::registry_unavailable(false)]
fn removal_received_before_the_entry_keeps_server_unusable(#[case] is_available: bool) {
    let now = Instant::now();
    let mut fleet = fleet(now, &["kolkata-a"], 2);
    fleet.set_registry_available(now, is_available);

    fleet.remove(now, 72, &"brief".into());
    fleet.upsert(now, 69, entry("brief", "kolkata-a"));

    assert!(!fleet.is_usable(&"brief".into()));
    fleet.upsert(now, 80, entry("brief", "kolkata-a"));
    assert!(fleet.is_usable(&"brief".into()), "a newer entry makes the server usable again");
}

/// Guards against the cold period of an ejection or of the end of an evacuation ending with the
/// next entry of the server, which doesn't know of it.
#[rstest]
#[case::same_process(Some(1), true)]
#[case::restarted(Some(2), false)]
fn newer_entry_keeps_the_assumed_cold_period_of_the_process(
    #[case] started_at_ms: Option<u64>,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.upsert(now, 1, Registration { started_at_ms: Some(1), ..entry("a-0", "a") });
    fleet.mark_cold(now, &"a-0".into(), Duration::from_secs(3));

    fleet.upsert(at(now, 500), 2, Registration { started_at_ms, ..entry("a-0", "a") });

    let server = fleet.get(&"a-0".into()).expect("it is listed");
    assert_eq!(server.is_cold(at(now, 2_900)), expected);
    assert!(!server.is_cold(at(now, 3_100)));
}
