//! Choice of an engine under the loads that decide how callers fare.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use laburnumvalve::names::BackendServerName;
use laburnumvalve::routing::choose::{Choice, ChoiceSettings, Demand, choose};
use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::load::{Loads, ReportedLoad, Verdict};
use laburnumvalve::routing::mix::WorkloadMix;
use rstest::rstest;

use crate::support::{entry, fleet, long_prompt, short_prompt, usable};

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn pick(now: Instant, here: &str, demand: &Demand, servers: &[Server], loads: &Loads) -> Choice {
    let servers: Vec<&Server> = servers.iter().collect();
    let cfg = ChoiceSettings::default();
    choose(now, &cfg, &here.into(), demand, &servers, loads).expect("there are engines")
}

/// Pattern: many callers ask about the same subjects from all data centres at once.
#[test]
fn each_subject_is_read_at_one_engine_by_all_instances() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &CENTRES, 4));

    let mut homes: HashMap<u64, HashSet<BackendServerName>> = HashMap::new();
    for subject in 0..64 {
        for here in CENTRES {
            let demand = long_prompt(subject);
            let choice = pick(now, here, &demand, &servers, &Loads::default());
            homes.entry(subject).or_default().insert(choice.server);
        }
    }

    assert!(homes.values().all(|engines| engines.len() == 1), "{homes:?}");
    let engines: HashSet<_> = homes.values().flatten().collect();
    assert!(engines.len() >= 7, "64 subjects are at {} engines only", engines.len());
}

/// Pattern: long prompts arrive beside streams, whose events would wait while they are read.
#[test]
fn long_prompts_and_streams_go_to_different_engines() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &CENTRES, 4));
    let mut loads = Loads::default();

    let (mut of_long, mut of_short) = (HashSet::new(), HashSet::new());
    for number in 0..60 {
        let here = CENTRES[number as usize % 3];
        for (demand, chosen) in
            [(long_prompt(number), &mut of_long), (short_prompt(number), &mut of_short)]
        {
            let choice = pick(now, here, &demand, &servers, &loads);
            let load = loads.get_or_insert(&choice.server);
            load.start_request(now, choice.prefill_tokens, std::iter::empty());
            // Prompts are read at once; streams go on.
            load.finish_prefill(choice.prefill_tokens);
            if demand.prompt_tokens > 2_048 {
                load.finish_request();
            }
            chosen.insert(choice.server);
        }
    }

    assert!(of_long.is_disjoint(&of_short), "shared: {:?}", of_long.intersection(&of_short));
    assert_eq!(of_short.len(), 3, "streams go to {of_short:?}");
}

/// Pattern: two data centres are reclaimed in a burst, and one engine is left in each.
#[test]
fn streams_keep_several_engines_when_data_centres_shrink() {
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

    assert!(chosen.len() >= 2, "90 streams run at {chosen:?}");
}

/// Pattern: a burst of prompts about one subject fills its engine.
#[test]
fn a_hot_subject_spills_over_when_its_engine_has_a_backlog() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &CENTRES, 4));
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

    assert!(chosen.len() > 1, "12 prompts at once wait at one engine");
}

/// Pattern: an engine fails a part of its requests while its health check is good.
#[test]
fn an_engine_that_fails_requests_gets_fewer() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 2));
    let mut loads = Loads::default();
    let grey = pick(now, "a", &long_prompt(3), &servers, &loads).server;

    for _ in 0..6 {
        loads.get_or_insert(&grey).record_verdict(now, Verdict::Failed);
    }
    let choice = pick(now, "a", &long_prompt(3), &servers, &loads);

    assert_ne!(choice.server, grey);
}

#[rstest]
#[case::told_waiting(ReportedLoad { running: 64, waiting: 20, slots: 64 })]
#[case::told_full(ReportedLoad { running: 120, waiting: 0, slots: 64 })]
fn a_full_engine_is_avoided(#[case] told: ReportedLoad) {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 3));
    let mut loads = Loads::default();
    let home = pick(now, "a", &long_prompt(5), &servers, &loads).server;

    loads.get_or_insert(&home).record_report(now, told);
    let choice = pick(now, "a", &long_prompt(5), &servers, &loads);

    assert_ne!(choice.server, home);
}

#[test]
fn a_broken_engine_is_left_out_and_tried_again() {
    let now = Instant::now();
    let mut loads = Loads::default();
    let load = loads.get_or_insert(&"a-0".into());

    assert!(!load.record_verdict(now, Verdict::TransportFailure), "one break is no proof");
    assert!(load.record_verdict(now, Verdict::TransportFailure));

    assert!(load.is_ejected(now));
    assert!(!load.is_ejected(now + Duration::from_secs(1)));
    load.record_verdict(now + Duration::from_secs(1), Verdict::Success);
    assert!(!load.is_ejected(now));
}

/// Pattern: traffic swings between long prompts and long answers.
#[rstest]
#[case::long_prompts(40, 4, 0.15, 0.3)]
#[case::even(20, 20, 0.2, 0.45)]
#[case::long_answers(4, 40, 0.4, 0.45)]
fn engines_are_divided_by_the_work_of_each_kind(
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
        (0..long).for_each(|subject| mix.record(now, &cfg, &long_prompt(subject), 24));
        (0..short).for_each(|subject| mix.record(now, &cfg, &short_prompt(subject), 24));
    }

    let share = mix.short_pool_share(&cfg);
    assert!((least..=most).contains(&share), "{share}");
}
