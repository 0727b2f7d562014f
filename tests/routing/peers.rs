//! State that instances pass on to each other, and whom they ask.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumvalve::names::InstanceName;
use laburnumvalve::routing::absence::{DEAD_AFTER, FailureDetector};
use laburnumvalve::routing::members::{Member, Members};
use laburnumvalve::routing::mirror::{Item, Mirror, Update};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

/// Seed of the drawn cases.
const SEED: u64 = 20_261_206;

fn put(name: &str, revision: u64) -> Item {
    Item { name: name.to_owned(), revision, value: Some(json!(revision)) }
}

fn deleted(name: &str, revision: u64) -> Item {
    Item { name: name.to_owned(), revision, value: None }
}

fn whole(at: u64, items: Vec<Item>) -> Update {
    Update { revision: at, is_snapshot: true, items }
}

fn changes(at: u64, items: Vec<Item>) -> Update {
    Update { revision: at, is_snapshot: false, items }
}

fn names(mirror: &Mirror) -> Vec<String> {
    mirror.names().map(str::to_owned).collect()
}

#[test]
fn an_older_update_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(&whole(10, vec![put("a", 9)]));

    let taken = mirror.apply(&whole(8, vec![put("gone-since", 8)]));

    assert!(!taken);
    assert_eq!(names(&mirror), ["a"]);
}

/// Pattern: machines are replaced for good, while others are only away for a while.
#[test]
fn an_instance_that_never_answers_counts_as_gone_after_a_while() {
    let start = Instant::now();
    let mut absences = FailureDetector::default();
    let (gone, away) = ("gone".into(), "away".into());
    let half = start + DEAD_AFTER / 2;

    assert!(
        !absences.record_probe(start, &gone, false) && !absences.record_probe(start, &away, false)
    );
    assert!(
        !absences.record_probe(half, &gone, false) && !absences.record_probe(half, &away, true)
    );

    assert!(absences.record_probe(start + DEAD_AFTER, &gone, false));
    assert!(!absences.record_probe(start + DEAD_AFTER, &away, false));
}

#[test]
fn changes_alone_do_not_fill_an_empty_copy() {
    let mut mirror = Mirror::default();

    assert!(!mirror.apply(&changes(10, vec![put("a", 10)])));
    assert_eq!(mirror.revision(), None);
}

#[test]
fn a_reader_that_missed_too_many_deletions_gets_everything() {
    let mut mirror = Mirror::default();
    mirror.apply(&whole(1, vec![put("kept", 1)]));
    for revision in 2..2_000 {
        mirror.apply(&changes(revision, vec![deleted("other", revision)]));
    }

    let update = mirror.changes_since(Some(5)).expect("the reader is behind");

    assert!(update.is_snapshot);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// A copy that is kept up to date from another copy, at any times, has the same objects.
    #[test]
    fn a_copy_of_a_copy_is_the_same(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), any::<bool>()), 1..200),
    ) {
        let mut source = Mirror::default();
        source.apply(&whole(1, Vec::new()));
        let mut copy = Mirror::default();
        for (revision, (name, is_deleted, asks)) in (2..).zip(steps) {
            let name = name.to_string();
            let item = if is_deleted { deleted(&name, revision) } else { put(&name, revision) };
            source.apply(&changes(revision, vec![item]));
            if asks && let Some(update) = source.changes_since(copy.revision()) {
                copy.apply(&update);
                prop_assert_eq!(names(&copy), names(&source));
                prop_assert_eq!(copy.revision(), source.revision());
            }
        }
    }
}

fn members(count: usize) -> Members {
    let mut members = Members::default();
    for index in 0..count {
        let data_centre = if index % 2 == 0 { "a" } else { "b" };
        let address = "127.0.0.1:9".parse().expect("the address is valid");
        let member = Member { data_centre: data_centre.into(), address };
        members.put(format!("instance-{index}").into(), member);
    }
    members
}

#[test]
fn one_instance_of_a_small_data_centre_has_no_source_and_the_others_ask_it() {
    let now = Instant::now();
    let members = members(18);
    let near: Vec<InstanceName> = members.names().cloned().collect();
    let in_a = |name: &&InstanceName| {
        name.as_str().rsplit('-').next().is_some_and(|n| n.parse::<u32>().is_ok_and(|n| n % 2 == 0))
    };

    let sources: Vec<_> = near
        .iter()
        .filter(in_a)
        .map(|me| members.upstream_peer(now, me, &"a".into()).map(|(name, _)| name.clone()))
        .collect();

    assert_eq!(sources.iter().filter(|source| source.is_none()).count(), 1);
    let asked: std::collections::HashSet<_> = sources.into_iter().flatten().collect();
    assert_eq!(asked.len(), 1, "the others ask {asked:?}");
}

/// Returns whom each instance of data centre `a` asks.
fn sources(now: Instant, members: &Members) -> BTreeMap<InstanceName, Option<InstanceName>> {
    let near = members.all().filter(|(_, member)| member.data_centre.as_str() == "a");
    let asked = |me| members.upstream_peer(now, me, &"a".into()).map(|(name, _)| name.clone());
    near.map(|(me, _)| (me.clone(), asked(me))).collect()
}

/// Pattern: one reader for a large data centre, which all others ask at once.
#[test]
fn no_instance_of_a_large_data_centre_is_asked_by_many_and_all_reach_the_reader() {
    let now = Instant::now();

    let sources = sources(now, &members(200));

    let mut askers: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for asked in sources.values().flatten() {
        *askers.entry(asked).or_default() += 1;
    }
    assert_eq!(sources.values().filter(|asked| asked.is_none()).count(), 1);
    assert!(askers.values().all(|count| *count <= 8), "{askers:?}");
    for me in sources.keys() {
        let mut ranks = 0;
        let mut at = me;
        while let Some(source) = &sources[at] {
            (at, ranks) = (source, ranks + 1);
        }
        assert!(ranks <= 3, "{me} is {ranks} ranks below the reader");
    }
}

/// Each instance passes over those that it can't reach, which others may reach.
#[test]
fn instances_that_pass_over_different_ones_ask_in_no_circle() {
    let now = Instant::now();
    let all = members(60);
    let near: Vec<InstanceName> = sources(now, &all).into_keys().collect();

    let mut asked = BTreeMap::new();
    for (number, me) in near.iter().enumerate() {
        let mut view = members(60);
        near.iter().skip(number % 7).step_by(3).for_each(|name| view.skip(now, name));
        asked.insert(me, view.upstream_peer(now, me, &"a".into()).map(|(name, _)| name.clone()));
    }

    for me in &near {
        let mut at = me.clone();
        for _ in 0..near.len() {
            match &asked[&at] {
                Some(source) => at = source.clone(),
                None => break,
            }
        }
        assert_eq!(asked[&at], None, "{me} asks in a circle");
    }
}

#[test]
fn a_failed_source_is_passed_over_for_a_while() {
    let now = Instant::now();
    let mut members = members(20);
    let me = members
        .names()
        .find(|me| members.upstream_peer(now, me, &"a".into()).is_some())
        .expect("there are several instances")
        .clone();
    let first = members.upstream_peer(now, &me, &"a".into()).expect("it has one").0.clone();

    members.skip(now, &first);

    let next = members.upstream_peer(now, &me, &"a".into()).map(|(name, _)| name.clone());
    assert_ne!(next, Some(first.clone()));
    let later = now + Duration::from_secs(5);
    assert_eq!(members.upstream_peer(later, &me, &"a".into()).map(|(name, _)| name), Some(&first));
}
