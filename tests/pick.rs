//! Selection of candidate backend servers.

mod home_support;

use std::collections::BTreeMap;
use std::sync::Arc;

use home_support::{class, config, members, organisation, server};
use laburnumvalve::clock::Hlc;
use laburnumvalve::config::{BackendServer, InForce, Mark, MarkTarget, Marks, ServerKind};
use laburnumvalve::home::{Candidate, PickCriteria, Picker};
use laburnumvalve::peer::Loads;
use laburnumvalve::peer::generated::v1::ServerLoad;
use rstest::rstest;

/// Number of simulated requests in each test.
const SAMPLES: u64 = 1_000;

fn load(server: &str, wait_ms: u32) -> ServerLoad {
    let running = if wait_ms > 0 { 8 } else { 0 };
    ServerLoad {
        backend_server: server.to_owned(),
        running,
        limit: 8,
        wait_ms,
        ..ServerLoad::default()
    }
}

fn loads(all: Vec<ServerLoad>) -> Loads {
    all.into_iter().map(|load| (load.backend_server.as_str().into(), load)).collect()
}

fn in_force(servers: Vec<BackendServer>) -> InForce {
    let classes = vec![class("gold", 0, 0), class("bulk", 4, 0)];
    let config = config(classes, vec![organisation("org", 1)], servers);
    InForce { config: Arc::new(config), ..InForce::default() }
}

fn four_servers() -> Vec<BackendServer> {
    ["s0", "s1", "s2", "s3"].map(|name| server(name, 8, 2)).into()
}

/// Returns the candidates of one request; `prefix` and `seed` distinguish requests.
fn pick(in_force: &InForce, loads: &Loads, class: &str, prefix: u64, seed: u64) -> Vec<Candidate> {
    let criteria = PickCriteria {
        route: &in_force.config.routes["chat"],
        class: &in_force.config.classes[class],
        prefix,
        seed,
        exclude: &[],
    };
    let members = members(&[("one", String::new())]);
    Picker::new("a".into()).candidates(in_force, &members, loads, &criteria)
}

/// Counts how often each server is the first candidate.
fn first_candidate_counts(in_force: &InForce, loads: &Loads, class: &str) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for sample in 0..SAMPLES {
        for candidate in pick(in_force, loads, class, sample, sample).into_iter().take(1) {
            *counts.entry(candidate.server.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equally_loaded_servers_get_equal_shares() {
    let in_force = in_force(four_servers());
    let idle = loads(["s0", "s1", "s2", "s3"].map(|name| load(name, 0)).into());
    for (server, count) in first_candidate_counts(&in_force, &idle, "gold") {
        assert!((150..350).contains(&count), "{server}: {count}");
    }
}

#[test]
fn a_conversation_stays_on_its_server_until_the_wait_costs_more() {
    let in_force = in_force(four_servers());
    let idle = loads(["s0", "s1", "s2", "s3"].map(|name| load(name, 0)).into());
    let preferred = pick(&in_force, &idle, "gold", 42, 0)[0].server.clone();

    let same =
        (0..SAMPLES).all(|seed| pick(&in_force, &idle, "gold", 42, seed)[0].server == preferred);
    assert!(same, "a conversation must stay on an idle server");

    let mut busy = idle;
    busy.insert(preferred.clone(), load(preferred.as_str(), 5_000));
    let moved =
        (0..SAMPLES).all(|seed| pick(&in_force, &busy, "gold", 42, seed)[0].server != preferred);
    assert!(moved, "a long wait must outweigh the cached prefix");
}

#[rstest]
#[case::cold(ServerLoad { cold: true, ..load("s0", 0) })]
#[case::ejected(ServerLoad { ejected: true, ..load("s0", 0) })]
#[case::waiting(load("s0", 4_000))]
fn a_server_that_is_cold_or_ejected_or_has_a_queue_is_avoided(#[case] worse: ServerLoad) {
    let in_force = in_force(four_servers());
    let mut all = vec![worse];
    all.extend(["s1", "s2", "s3"].map(|name| load(name, 0)));
    assert_eq!(first_candidate_counts(&in_force, &loads(all), "gold").get("s0"), None);
}

#[test]
fn the_top_tier_avoids_reclaimable_servers_and_bulk_work_prefers_them() {
    let mut servers = four_servers();
    servers[0].kind = ServerKind::Reclaimable;
    let in_force = in_force(servers);
    let idle = loads(["s0", "s1", "s2", "s3"].map(|name| load(name, 0)).into());

    assert_eq!(first_candidate_counts(&in_force, &idle, "gold").get("s0"), None);
    assert!(first_candidate_counts(&in_force, &idle, "bulk")["s0"] > SAMPLES / 4);
}

#[test]
fn a_server_out_of_service_is_not_a_candidate() {
    let mut in_force = in_force(four_servers());
    let mut marks = Marks::default();
    marks.merge(Mark::Service {
        target: MarkTarget::BackendServer("s1".into()),
        at: Hlc(1),
        in_service: false,
    });
    in_force.marks = Arc::new(marks);

    let never = (0..SAMPLES).all(|sample| {
        let candidates = pick(&in_force, &Loads::new(), "gold", sample, sample);
        candidates.iter().all(|candidate| candidate.server.as_str() != "s1")
    });
    assert!(never);
}

/// The first candidate may wait as long as the second would; the last candidate has no bound.
#[test]
fn the_wait_bound_of_the_first_candidate_covers_the_wait_of_the_second() {
    let in_force = in_force(four_servers());
    let all = loads(["s0", "s1", "s2", "s3"].map(|name| load(name, 1_000)).into());
    let candidates = pick(&in_force, &all, "gold", 1, 1);
    assert_eq!(candidates.len(), 2);
    assert!(candidates[0].wait_bound.is_some_and(|bound| bound.as_millis() >= 1_000));
    assert_eq!(candidates[1].wait_bound, None);
}
