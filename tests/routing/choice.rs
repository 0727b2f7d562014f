//! Selection of an engine under various workloads.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use laburnumvalve::names::BackendServerName;
use laburnumvalve::routing::choose::{Choice, ChoiceSettings, Demand, choose};
use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::load::{Loads, ReportedLoad, Verdict};
use laburnumvalve::routing::mix::{FleetSize, WorkloadMix};
use rstest::rstest;

use crate::support::{entry, fleet, long_prompt, short_prompt, usable};

const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const SIZE: FleetSize = FleetSize { engines: 70, slots: 24, instances: 62 };

fn pick(now: Instant, local: &str, demand: &Demand, servers: &[Server], loads: &Loads) -> Choice {
    let servers: Vec<&Server> = servers.iter().collect();
    let cfg = ChoiceSettings::default();
    choose(now, &cfg, &local.into(), demand, &servers, loads).expect("there are engines")
}

/// Guards against a prefix being computed on several engines when callers in all data centres send
/// prompts with the same prefix.
#[test]
fn all_instances_send_a_shared_prefix_to_the_same_engine() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &DATA_CENTRES, 4));

    let mut engines_by_subject: HashMap<u64, HashSet<BackendServerName>> = HashMap::new();
    for subject in 0..64 {
        for data_centre in DATA_CENTRES {
            let demand = long_prompt(subject);
            let choice = pick(now, data_centre, &demand, &servers, &Loads::default());
            engines_by_subject.entry(subject).or_default().insert(choice.server);
        }
    }

    assert!(
        engines_by_subject.values().all(|engines| engines.len() == 1),
        "{engines_by_subject:?}"
    );
    let engines: HashSet<_> = engines_by_subject.values().flatten().collect();
    assert!(engines.len() >= 7, "64 prefixes are assigned to only {} engines", engines.len());
}

/// Guards against pauses in running streams: prefill of a long prompt delays the events of the
/// streams on the same engine.
#[test]
fn long_and_short_prompts_use_different_engines() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &DATA_CENTRES, 4));
    let mut loads = Loads::default();

    let (mut long_engines, mut short_engines) = (HashSet::new(), HashSet::new());
    for number in 0..60 {
        let data_centre = DATA_CENTRES[number as usize % 3];
        for (demand, chosen) in
            [(long_prompt(number), &mut long_engines), (short_prompt(number), &mut short_engines)]
        {
            let choice = pick(now, data_centre, &demand, &servers, &loads);
            let load = loads.get_or_insert(&choice.server);
            load.start_request(now, choice.prefill_tokens, std::iter::empty());
            // Prefill ends at once, while the streams continue.
            load.finish_prefill(choice.prefill_tokens);
            if demand.prompt_tokens > 2_048 {
                load.finish_request();
            }
            chosen.insert(choice.server);
        }
    }

    assert!(
        long_engines.is_disjoint(&short_engines),
        "shared: {:?}",
        long_engines.intersection(&short_engines)
    );
    assert_eq!(short_engines.len(), 3, "short prompts are sent to {short_engines:?}");
}

/// Guards against all streams going to one engine after the spot servers of two data centres were
/// reclaimed and one engine is left in each.
#[test]
fn short_prompts_use_several_engines_when_data_centres_shrink() {
    let now = Instant::now();
    let mut fleet = fleet(now, &["a"], 6);
    fleet.upsert(now, 1, entry("b-0", "b"));
    fleet.upsert(now, 1, entry("c-0", "c"));
    let servers = usable(&fleet);
    let mut loads = Loads::default();

    let mut chosen = HashSet::new();
    for number in 0..90 {
        let choice = pick(now, "a", &short_prompt(number), &servers, &loads);
        loads.get_or_insert(&choice.server).start_request(now, 0, std::iter::empty());
        chosen.insert(choice.server);
    }

    assert!(chosen.len() >= 2, "90 streams run on {chosen:?}");
}

/// Guards against queueing on one engine during a burst of prompts with the same prefix.
#[test]
fn hot_prefix_spills_over_when_its_engine_has_a_backlog() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &DATA_CENTRES, 4));
    let mut loads = Loads::default();

    let mut chosen = HashSet::new();
    for _ in 0..12 {
        let choice = pick(now, "a", &long_prompt(7), &servers, &loads);
        loads.get_or_insert(&choice.server).start_request(
            now,
            choice.prefill_tokens,
            std::iter::empty(),
        );
        chosen.insert(choice.server);
    }

    assert!(chosen.len() > 1, "all 12 concurrent prompts were sent to one engine");
}

/// Guards against preferring an engine that fails requests while its health check succeeds.
#[test]
fn failing_engine_is_avoided() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 2));
    let mut loads = Loads::default();
    let failing = pick(now, "a", &long_prompt(3), &servers, &loads).server;

    for _ in 0..6 {
        loads.get_or_insert(&failing).record_verdict(now, Verdict::Failed);
    }
    let choice = pick(now, "a", &long_prompt(3), &servers, &loads);

    assert_ne!(choice.server, failing);
}

#[rstest]
#[case::reported_waiting(ReportedLoad { running: 64, waiting: 20, slots: 64 })]
#[case::reported_full(ReportedLoad { running: 120, waiting: 0, slots: 64 })]
fn full_engine_is_avoided(#[case] reported: ReportedLoad) {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 3));
    let mut loads = Loads::default();
    let affinity = pick(now, "a", &long_prompt(5), &servers, &loads).server;

    loads.get_or_insert(&affinity).record_report(now, reported);
    let choice = pick(now, "a", &long_prompt(5), &servers, &loads);

    assert_ne!(choice.server, affinity);
}

#[test]
fn engine_is_ejected_after_two_transport_failures_and_readmitted() {
    let now = Instant::now();
    let mut loads = Loads::default();
    let load = loads.get_or_insert(&"a-0".into());

    assert!(
        !load.record_verdict(now, Verdict::TransportFailure),
        "one transport failure must not eject the engine"
    );
    assert!(load.record_verdict(now, Verdict::TransportFailure));

    assert!(load.is_ejected(now));
    assert!(!load.is_ejected(now + Duration::from_secs(1)));
    load.record_verdict(now + Duration::from_secs(1), Verdict::Success);
    assert!(!load.is_ejected(now));
}

/// Guards against a fixed division of the engines when the workload shifts between long prompts and
/// long responses.
#[rstest]
#[case::long_prompts(40, 4, 0.15, 0.3)]
#[case::even(20, 20, 0.2, 0.45)]
#[case::long_responses(4, 40, 0.4, 0.45)]
fn short_pool_share_follows_the_workload(
    #[case] long: u64,
    #[case] short: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let start = Instant::now();
    let cfg = ChoiceSettings::default();
    let mut mix = WorkloadMix::default();

    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        (0..long).for_each(|subject| mix.record(now, &cfg, &long_prompt(subject), 1, 24));
        (0..short).for_each(|subject| mix.record(now, &cfg, &short_prompt(subject), 1, 24));
    }

    let share = mix.short_pool_share(&cfg, &short_prompt(0), 1, SIZE);
    assert!((least..=most).contains(&share), "{share}");
}

/// Returns a mix of long and short prompts with the given urgencies, and so many short prompts in
/// flight.
fn mix_in_flight(short_urgency: u8, long_urgency: u8, in_flight: u64) -> WorkloadMix {
    let (start, cfg) = (Instant::now(), ChoiceSettings::default());
    let mut mix = WorkloadMix::default();
    for tenth in 0..20 {
        let now = start + Duration::from_millis(100 * tenth);
        mix.record(now, &cfg, &long_prompt(tenth), long_urgency, 24);
        mix.record(now, &cfg, &short_prompt(tenth), short_urgency, 24);
    }
    (0..in_flight).for_each(|n| mix.start_run(&cfg, &short_prompt(n), short_urgency));
    mix
}

/// Urgencies of short and long prompts, and the expected share of the engines for short prompts.
///
/// Guards against urgent short prompts that wait in a burst for the few engines of their pool, while
/// less urgent long prompts start at once on the others.
#[rstest]
#[case::short_prompts_are_urgent(0, 1, 0.7, 0.85)]
#[case::all_are_equal(1, 1, 0.15, 0.45)]
#[case::long_prompts_are_urgent(1, 0, 0.15, 0.45)]
fn urgent_short_prompts_use_further_engines_in_a_burst(
    #[case] short_urgency: u8,
    #[case] long_urgency: u8,
    #[case] least: f64,
    #[case] most: f64,
) {
    let cfg = ChoiceSettings::default();
    let mut mix = mix_in_flight(short_urgency, long_urgency, 20);

    let share = mix.short_pool_share(&cfg, &short_prompt(0), short_urgency, SIZE);
    assert!((least..=most).contains(&share), "{share}");
    (0..20).for_each(|n| mix.finish_run(&cfg, &short_prompt(n), short_urgency));
    let share = mix.short_pool_share(&cfg, &short_prompt(0), short_urgency, SIZE);
    assert!((0.15..=0.45).contains(&share), "{share} after the burst");
}

/// Guards against long prompts that are crowded together, and fail, for a burst of urgent ones.
#[test]
fn long_prompts_keep_their_engines_in_a_burst_of_urgent_ones() {
    let cfg = ChoiceSettings::default();
    let mix = mix_in_flight(0, 1, 20);

    let share = mix.short_pool_share(&cfg, &long_prompt(0), 1, SIZE);

    assert!((0.15..=0.45).contains(&share), "{share}");
}
