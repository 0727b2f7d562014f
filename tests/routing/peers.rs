//! Replication of state between instances, and the tree in which they pull from each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use laburnumvalve::json_text::JsonText;
use laburnumvalve::names::InstanceName;
use laburnumvalve::routing::absence::{DEAD_AFTER, FailureDetector};
use laburnumvalve::routing::members::{Member, Members};
use laburnumvalve::routing::mirror::{Item, Mirror, Update};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the generated cases.
const SEED: u64 = 20_261_206;

fn put(name: &str, revision: u64) -> Item {
    let value = JsonText::encode(&revision).expect("a number is JSON");
    Item { name: name.to_owned(), revision, value: Some(value) }
}

fn deleted(name: &str, revision: u64) -> Item {
    Item { name: name.to_owned(), revision, value: None }
}

fn snapshot(revision: u64, items: Vec<Item>) -> Update {
    Update { revision, is_snapshot: true, items }
}

fn incremental(revision: u64, items: Vec<Item>) -> Update {
    Update { revision, is_snapshot: false, items }
}

fn names(mirror: &Mirror) -> Vec<String> {
    mirror.names().map(str::to_owned).collect()
}

#[test]
fn stale_update_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.apply(&snapshot(10, vec![put("a", 9)]));

    let is_applied = mirror.apply(&snapshot(8, vec![put("deleted-since", 8)]));

    assert!(!is_applied);
    assert_eq!(names(&mirror), ["a"]);
}

/// Guards against declaring instances dead that are only temporarily unreachable, and against
/// keeping those of replaced machines.
#[test]
fn unresponsive_instance_is_declared_dead_after_timeout() {
    let start = Instant::now();
    let mut detector = FailureDetector::default();
    let (dead, unreachable) = ("dead".into(), "unreachable".into());
    let half = start + DEAD_AFTER / 2;

    assert!(
        !detector.record_probe(start, &dead, false)
            && !detector.record_probe(start, &unreachable, false)
    );
    assert!(
        !detector.record_probe(half, &dead, false)
            && !detector.record_probe(half, &unreachable, true)
    );

    assert!(detector.record_probe(start + DEAD_AFTER, &dead, false));
    assert!(!detector.record_probe(start + DEAD_AFTER, &unreachable, false));
}

#[test]
fn incremental_update_is_rejected_by_empty_mirror() {
    let mut mirror = Mirror::default();

    assert!(!mirror.apply(&incremental(10, vec![put("a", 10)])));
    assert_eq!(mirror.revision(), None);
}

#[test]
fn reader_that_missed_too_many_deletions_gets_snapshot() {
    let mut mirror = Mirror::default();
    mirror.apply(&snapshot(1, vec![put("kept", 1)]));
    for revision in 2..2_000 {
        mirror.apply(&incremental(revision, vec![deleted("other", revision)]));
    }

    let update = mirror.changes_since(Some(5)).expect("the reader is behind");

    assert!(update.is_snapshot);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// A mirror that is updated from another mirror at arbitrary times holds the same objects.
    #[test]
    fn chained_mirrors_converge(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), any::<bool>()), 1..200),
    ) {
        let mut source = Mirror::default();
        source.apply(&snapshot(1, Vec::new()));
        let mut copy = Mirror::default();
        for (revision, (name, is_deleted, pulls)) in (2..).zip(steps) {
            let name = name.to_string();
            let item = if is_deleted { deleted(&name, revision) } else { put(&name, revision) };
            source.apply(&incremental(revision, vec![item]));
            if pulls && let Some(update) = source.changes_since(copy.revision()) {
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
        let member = Member { data_centre: data_centre.into(), address, datagram_port: None };
        members.put(format!("instance-{index}").into(), member);
    }
    members
}

#[test]
fn small_data_centre_has_one_root_that_all_others_pull_from() {
    let now = Instant::now();
    let members = members(18);
    let all: Vec<InstanceName> = members.names().cloned().collect();
    let is_in_a = |name: &&InstanceName| {
        name.as_str().rsplit('-').next().is_some_and(|n| n.parse::<u32>().is_ok_and(|n| n % 2 == 0))
    };

    let upstream_peers: Vec<_> = all
        .iter()
        .filter(is_in_a)
        .map(|this_instance| {
            members.upstream_peer(now, this_instance, &"a".into()).map(|(name, _)| name.clone())
        })
        .collect();

    assert_eq!(upstream_peers.iter().filter(|upstream| upstream.is_none()).count(), 1);
    let upstream: std::collections::HashSet<_> = upstream_peers.into_iter().flatten().collect();
    assert_eq!(upstream.len(), 1, "the others pull from {upstream:?}");
}

/// Returns the upstream peer of each instance of data centre `a`.
fn upstream_peers(now: Instant, members: &Members) -> BTreeMap<InstanceName, Option<InstanceName>> {
    let local = members.all().filter(|(_, member)| member.data_centre.as_str() == "a");
    let upstream = |this_instance| {
        members.upstream_peer(now, this_instance, &"a".into()).map(|(name, _)| name.clone())
    };
    local.map(|(this_instance, _)| (this_instance.clone(), upstream(this_instance))).collect()
}

/// Guards against overload of the instance that reads the store, if all others of a large data
/// centre pulled from it directly.
#[test]
fn pull_tree_of_large_data_centre_has_bounded_fan_out_and_depth() {
    let now = Instant::now();

    let upstream_peers = upstream_peers(now, &members(200));

    let mut downstream_counts: BTreeMap<&InstanceName, usize> = BTreeMap::new();
    for upstream in upstream_peers.values().flatten() {
        *downstream_counts.entry(upstream).or_default() += 1;
    }
    assert_eq!(upstream_peers.values().filter(|upstream| upstream.is_none()).count(), 1);
    assert!(downstream_counts.values().all(|count| *count <= 8), "{downstream_counts:?}");
    for this_instance in upstream_peers.keys() {
        let mut depth = 0;
        let mut current = this_instance;
        while let Some(upstream) = &upstream_peers[current] {
            (current, depth) = (upstream, depth + 1);
        }
        assert!(depth <= 3, "{this_instance} is {depth} levels below the root");
    }
}

/// Guards against cycles in the tree: each instance skips the ones that it cannot reach, and these
/// differ between instances.
#[test]
fn skipping_different_instances_creates_no_cycle() {
    let now = Instant::now();
    let all = members(60);
    let local: Vec<InstanceName> = upstream_peers(now, &all).into_keys().collect();

    let mut upstream = BTreeMap::new();
    for (number, this_instance) in local.iter().enumerate() {
        let mut view = members(60);
        local.iter().skip(number % 7).step_by(3).for_each(|name| view.skip(now, name));
        upstream.insert(
            this_instance,
            view.upstream_peer(now, this_instance, &"a".into()).map(|(name, _)| name.clone()),
        );
    }

    for this_instance in &local {
        let mut current = this_instance.clone();
        for _ in 0..local.len() {
            match &upstream[&current] {
                Some(next) => current = next.clone(),
                None => break,
            }
        }
        assert_eq!(upstream[&current], None, "{this_instance} is part of a cycle");
    }
}

#[test]
fn failed_upstream_peer_is_skipped_temporarily() {
    let now = Instant::now();
    let mut members = members(20);
    let this_instance = members
        .names()
        .find(|this_instance| members.upstream_peer(now, this_instance, &"a".into()).is_some())
        .expect("there are several instances")
        .clone();
    let first =
        members.upstream_peer(now, &this_instance, &"a".into()).expect("it has one").0.clone();

    members.skip(now, &first);

    let next =
        members.upstream_peer(now, &this_instance, &"a".into()).map(|(name, _)| name.clone());
    assert_ne!(next, Some(first.clone()));
    let later = now + Duration::from_secs(5);
    assert_eq!(
        members.upstream_peer(later, &this_instance, &"a".into()).map(|(name, _)| name),
        Some(&first)
    );
}
