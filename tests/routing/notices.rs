//! Backend servers that say in a response that they leave or want no requests for a while.

use std::time::{Duration, Instant};

use laburnumvalve::routing::fleet::{Fleet, Registration};
use laburnumvalve::routing::notices::Notice;

use crate::support::{entry, fleet, usable};

const PAUSE: Duration = Duration::from_secs(3);
const LEAVING: Notice = Notice { is_leaving: true, pause: None };
const PAUSED: Notice = Notice { is_leaving: false, pause: Some(PAUSE) };

/// Returns a fleet of two engines, of which one has given a notice.
fn after_notice(now: Instant, notice: Notice) -> Fleet {
    let mut fleet = fleet(now, &["a"], 2);
    fleet.record_notice(now, &"a-0".into(), None, notice);
    fleet
}

fn names(fleet: &Fleet) -> Vec<String> {
    usable(fleet).iter().map(|server| server.entry.name.to_string()).collect()
}

fn pause_left(fleet: &Fleet, now: Instant, name: &str) -> Option<Duration> {
    fleet.pause_left(now, &fleet.get(&name.into()).expect("the engine is known").entry)
}

fn restarted(name: &str) -> Registration {
    Registration { started_at_ms: Some(9), ..entry(name, "a") }
}

#[test]
fn leaving_server_is_not_usable_and_counts_as_draining() {
    let now = Instant::now();

    let fleet = after_notice(now, LEAVING);

    assert_eq!(names(&fleet), ["a-1"]);
    assert_eq!(fleet.draining_since(&"a-0".into()), Some(now));
}

/// Guards against requests to a leaving server after its entry, which says nothing, is read again.
#[test]
fn leaving_outlasts_a_new_list_and_newer_entries() {
    let now = Instant::now();
    let mut fleet = after_notice(now, LEAVING);

    fleet.apply_list(now, 7, vec![(7, entry("a-0", "a")), (7, entry("a-1", "a"))]);
    fleet.upsert(now, 8, entry("a-0", "a"));
    fleet.purge_lapsed(now + Duration::from_secs(60));

    assert_eq!(names(&fleet), ["a-1"]);
}

/// Guards against a server that stays unused because the former process at its address has left.
#[test]
fn new_process_and_other_server_at_the_address_are_usable() {
    let now = Instant::now();
    let mut fleet = after_notice(now, LEAVING);
    fleet.record_notice(now, &"a-1".into(), None, LEAVING);

    fleet.upsert(now, 2, restarted("a-0"));
    let address = entry("a-1", "a").address;
    fleet.upsert(now, 3, Registration { address, ..restarted("other") });

    let mut names = names(&fleet);
    names.sort();
    assert_eq!(names, ["a-0", "other"]);
}

#[test]
fn notices_of_servers_that_are_gone_are_dropped() {
    let now = Instant::now();
    let mut fleet = after_notice(now, LEAVING);
    fleet.remove(now, 2, &"a-0".into());

    fleet.purge_lapsed(now + Duration::from_secs(60));
    fleet.purge_lapsed(now + Duration::from_secs(61));
    fleet.upsert(now, 3, entry("a-0", "a"));

    assert_eq!(usable(&fleet).len(), 2);
}

#[test]
fn pause_lasts_as_long_as_stated_and_outlasts_a_new_list() {
    let now = Instant::now();
    let mut fleet = after_notice(now, PAUSED);

    fleet.apply_list(now, 7, vec![(7, entry("a-0", "a")), (7, entry("a-1", "a"))]);

    assert_eq!(pause_left(&fleet, now, "a-0"), Some(PAUSE));
    assert_eq!(pause_left(&fleet, now + PAUSE, "a-0"), None);
    assert_eq!(pause_left(&fleet, now, "a-1"), None);
}

#[test]
fn later_and_shorter_pause_does_not_end_an_earlier_one() {
    let now = Instant::now();
    let mut fleet = after_notice(now, PAUSED);
    let shorter = Notice { pause: Some(PAUSE / 2), ..PAUSED };

    fleet.record_notice(now, &"a-0".into(), None, shorter);

    assert_eq!(pause_left(&fleet, now, "a-0"), Some(PAUSE));
}

#[test]
fn pause_ends_with_the_process_that_asked_for_it() {
    let now = Instant::now();
    let mut fleet = after_notice(now, PAUSED);

    fleet.upsert(now, 2, restarted("a-0"));

    assert_eq!(pause_left(&fleet, now, "a-0"), None);
}

/// Guards against a `Retry-After` to callers that is much longer than they have to wait.
#[test]
fn shortest_pause_is_stated_only_if_all_servers_pause() {
    let now = Instant::now();
    let mut fleet = after_notice(now, PAUSED);
    let service = "engines".into();
    assert_eq!(fleet.shortest_pause(now, &service), None);

    let notice = Notice { pause: Some(PAUSE * 2), ..PAUSED };
    fleet.record_notice(now, &"a-1".into(), None, notice);

    assert_eq!(fleet.shortest_pause(now, &service), Some(PAUSE));
}
