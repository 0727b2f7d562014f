//! The registry, the copies of collections and usage windows over returns of the store from a copy.

use std::time::{Duration, Instant};

use laburnumvalve::json_text::JsonText;
use laburnumvalve::routing::fleet::{Fleet, REREGISTRATION_GRACE, Registration};
use laburnumvalve::routing::mirror::{Item, Mirror, Update};
use laburnumvalve::routing::revision::{era_of, in_era, number_of};
use laburnumvalve::routing::windows::may_seal_in_era;
use rstest::rstest;

use crate::support::{entry, usable};

fn process(name: &str, started_at_ms: u64) -> Registration {
    Registration { started_at_ms: Some(started_at_ms), ..entry(name, "a") }
}

/// Returns a fleet of two servers that was listed in the first era.
fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    let listed = vec![(in_era(1, 5), process("a-0", 1)), (in_era(1, 6), process("a-1", 1))];
    fleet.apply_list(now, in_era(1, 90), listed);
    fleet
}

#[test]
fn revision_of_a_later_era_is_greater() {
    let (former, later) = (in_era(1, 900), in_era(2, 5));

    assert!(later > former);
    assert_eq!((era_of(later), number_of(later)), (2, 5));
}

/// Guards against a server that is used again after its removal, which a copy of the registry lacks.
#[rstest]
#[case::same_process(1, 1)]
#[case::restarted(2, 2)]
fn removed_server_in_a_copy_is_used_only_after_a_restart(
    #[case] started_at_ms: u64,
    #[case] expected: usize,
) {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.remove(now, in_era(1, 91), &"a-0".into());

    let listed =
        vec![(in_era(2, 5), process("a-0", started_at_ms)), (in_era(2, 6), process("a-1", 1))];
    fleet.apply_list(now, in_era(2, 40), listed);

    assert_eq!(usable(&fleet).len(), expected);
}

/// Guards against a server that takes requests again while it drains, as a copy of the registry says.
#[test]
fn draining_server_stays_draining_until_it_is_written_again() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.upsert(now, in_era(1, 91), Registration { is_draining: true, ..process("a-0", 1) });

    for _ in 0..2 {
        let listed = vec![(in_era(2, 5), process("a-0", 1)), (in_era(2, 6), process("a-1", 1))];
        fleet.apply_list(now, in_era(2, 40), listed);
    }

    assert_eq!(usable(&fleet).len(), 1);
    fleet.upsert(now, in_era(2, 50), process("a-0", 1));
    assert_eq!(usable(&fleet).len(), 2);
}

/// Guards against live servers that are dropped, as a copy of the registry lacks them for a moment.
#[test]
fn server_missing_from_a_copy_is_used_until_it_should_be_written_again() {
    let now = Instant::now();
    let mut fleet = fleet(now);

    fleet.apply_list(now, in_era(2, 40), vec![(in_era(2, 6), process("a-1", 1))]);

    assert_eq!(usable(&fleet).len(), 2);
    fleet.purge_lapsed(now + REREGISTRATION_GRACE);
    assert_eq!(usable(&fleet).len(), 1);
}

fn snapshot(revision: u64, names: &[&str]) -> Update {
    let value = JsonText::encode(&1).expect("a number is JSON");
    let item = |name: &&str| Item { name: name.to_string(), revision, value: Some(value.clone()) };
    Update { revision, is_snapshot: true, items: names.iter().map(item).collect() }
}

/// Guards against peers that keep the state of a former era, as its revisions seem to be later.
#[test]
fn reader_of_a_former_era_gets_a_snapshot() {
    let mut source = Mirror::default();
    assert!(source.apply(&snapshot(in_era(1, 90), &["a", "b"])));
    assert!(source.apply(&snapshot(in_era(2, 40), &["a"])));

    let update = source.changes_since(Some(in_era(1, 90))).expect("the reader is behind");

    assert!(update.is_snapshot);
    assert_eq!((update.revision, update.items.len()), (in_era(2, 40), 1));
    assert!(!source.apply(&snapshot(in_era(1, 95), &["a", "b"])));
}

/// Guards against different counts for a window that was sealed and reported before the store's return.
#[rstest]
#[case::sealed_before(90, false)]
#[case::may_be_sealed_by_a_clock_that_is_ahead(98, false)]
#[case::ended_after(101, true)]
fn window_that_a_former_era_may_have_sealed_is_not_sealed_again(
    #[case] end_s: u64,
    #[case] expected: bool,
) {
    let began = Duration::from_secs(100);

    assert_eq!(may_seal_in_era(Duration::from_secs(end_s), began), expected);
}
