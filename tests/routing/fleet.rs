//! Which backend servers may be used, as their entries come and go.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use laburnumvalve::routing::fleet::{Fleet, REREGISTRATION_GRACE, Registration};

use rstest::rstest;

use crate::support::{entry, fleet, usable};

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_draining_backend_server_gets_no_work() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 2);

    fleet.upsert(now, 2, Registration { is_draining: true, ..entry("a-0", "a") });

    assert_eq!(usable(&fleet).len(), 1);
    assert_eq!(fleet.draining_since(&"a-0".into()), Some(now));
}

#[test]
fn an_older_revision_does_not_undo_a_newer_one() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 1);
    fleet.upsert(now, 5, Registration { is_draining: true, ..entry("a-0", "a") });

    fleet.upsert(now, 4, entry("a-0", "a"));

    assert!(usable(&fleet).is_empty());
}

#[rstest]
#[case::registry_answers(true)]
#[case::registry_is_away(false)]
fn news_from_before_a_removal_does_not_undo_it(#[case] answers: bool) {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 1);
    fleet.record_registry_call(now, answers);
    fleet.remove(now, 9, &"a-0".into());

    fleet.upsert(now, 8, entry("a-0", "a"));
    fleet.record_registry_call(now, true);
    fleet.purge_lapsed(now + REREGISTRATION_GRACE);

    assert!(usable(&fleet).is_empty());
}

#[test]
fn a_removed_entry_is_out_of_use_at_once_while_the_registry_answers() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 2);

    fleet.remove(now, 2, &"a-0".into());

    assert_eq!(usable(&fleet).len(), 1);
    assert!(fleet.draining_since(&"a-0".into()).is_some());
}

/// Pattern: all backend servers restart under new names while the registry is away, and their
/// former entries stay for a while.
#[test]
fn a_server_whose_address_another_one_has_gets_no_work() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 2);
    fleet.record_registry_call(start, false);
    let later = at(start, 2_000);
    let new = |number: u64| Registration {
        address: entry(&format!("a-{number}"), "a").address,
        ..entry(&format!("new-{number}"), "a")
    };

    fleet.apply_list(later, 9, vec![(8, new(0)), (9, new(1))]);

    let names: HashSet<_> = usable(&fleet).into_iter().map(|server| server.entry.name).collect();
    assert_eq!(names, HashSet::from(["new-0".into(), "new-1".into()]));
}

/// Pattern: an address is used again and again; the newest process has it, whichever entry comes
/// last.
#[test]
fn the_process_that_started_last_has_the_address() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let at_one = |name: &str, born| Registration {
        address: entry("a-0", "a").address,
        started_at_ms: Some(born),
        ..entry(name, "a")
    };
    fleet.upsert(now, 1, at_one("new", 2_000));

    fleet.upsert(now, 2, at_one("former", 1_000));
    assert_eq!(usable(&fleet)[0].entry.name, "new".into());
    fleet.remove(now, 2, &"new".into());
    fleet.upsert(now, 3, at_one("former", 1_000));

    assert_eq!(usable(&fleet)[0].entry.name, "former".into());
}

#[test]
fn entries_that_lapse_while_the_registry_is_away_stay_until_it_has_returned_for_a_while() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 2);
    fleet.record_registry_call(start, false);

    fleet.apply_list(at(start, 100), 2, vec![(1, entry("a-1", "a"))]);
    assert_eq!(usable(&fleet).len(), 2);

    fleet.record_registry_call(at(start, 5_000), true);
    fleet.purge_lapsed(at(start, 5_500));
    assert_eq!(usable(&fleet).len(), 2, "it may register again");

    fleet.purge_lapsed(at(start, 5_001) + REREGISTRATION_GRACE);
    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn an_entry_that_returns_in_time_stays() {
    let start = Instant::now();
    let mut fleet = fleet(start, &["a"], 1);
    fleet.record_registry_call(start, false);
    fleet.remove(start, 2, &"a-0".into());
    fleet.record_registry_call(at(start, 1_000), true);

    fleet.upsert(at(start, 2_000), 9, entry("a-0", "a"));
    fleet.purge_lapsed(at(start, 10_000));

    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn a_list_of_an_older_revision_is_ignored() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.apply_list(now, 9, vec![(9, entry("a-0", "a"))]);

    fleet.apply_list(now, 8, Vec::new());

    assert_eq!(usable(&fleet).len(), 1);
}

#[test]
fn backend_servers_of_a_returned_data_centre_are_cold() {
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
fn cold_time_counts_from_the_entry_and_not_from_each_copy_of_it() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    let cold = Registration { cold_duration: Duration::from_secs(3), ..entry("a-0", "a") };

    fleet.upsert(now, 7, cold.clone());
    fleet.upsert(at(now, 2_000), 7, cold);

    assert!(!fleet.get(&"a-0".into()).expect("it is listed").is_cold(at(now, 3_100)));
}

/// Found by the soak (seed 524): the server became cold for longer while its data centre was out.
#[test]
fn the_return_of_a_data_centre_shortens_no_cold_time() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.set_evacuated(now, HashSet::from(["a".into()]), |_| Duration::ZERO);
    fleet.upsert(
        now,
        1,
        Registration { cold_duration: Duration::from_secs(5), ..entry("long", "a") },
    );
    fleet.upsert(now, 1, entry("warm", "a"));

    fleet.set_evacuated(now, HashSet::new(), |_| Duration::from_secs(2));

    let is_cold =
        |name: &str, ms| fleet.get(&name.into()).expect("it is known").is_cold(at(now, ms));
    assert_eq!((is_cold("long", 4_900), is_cold("long", 5_100)), (true, false));
    assert_eq!((is_cold("warm", 1_900), is_cold("warm", 2_100)), (true, false));
}

/// Pattern: a server that comes and goes between two calls; its removal is taken first.
#[rstest]
#[case::registry_answers(true)]
#[case::registry_fails(false)]
fn a_removed_server_stays_out_though_its_entry_is_heard_of_only_afterwards(#[case] answers: bool) {
    let now = Instant::now();
    let mut fleet = fleet(now, &["kolkata-a"], 2);
    fleet.record_registry_call(now, answers);

    fleet.remove(now, 72, &"brief".into());
    fleet.upsert(now, 69, entry("brief", "kolkata-a"));

    assert!(!fleet.is_usable(&"brief".into()));
    fleet.upsert(now, 80, entry("brief", "kolkata-a"));
    assert!(fleet.is_usable(&"brief".into()), "it has come back");
}
