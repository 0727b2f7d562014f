//! Migration of running streams while a burst fills the engines.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use laburnumvalve::names::BackendServerName;
use laburnumvalve::routing::choose::ChoiceSettings;
use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::load::{Loads, ReportedLoad};
use laburnumvalve::routing::migration::MigrationAttempts;

use crate::support::{fleet, short_prompt, usable};

const DELAY: Duration = Duration::from_millis(500);

fn pick(
    attempts: &MigrationAttempts,
    now: Instant,
    servers: &[Server],
    loads: &Loads,
) -> Option<BackendServerName> {
    let servers: Vec<&Server> = servers.iter().collect();
    let (cfg, demand) = (ChoiceSettings::default(), short_prompt(1));
    let choice = attempts.choose_engine(now, &cfg, &"a".into(), &demand, &servers, loads);
    choice.map(|choice| choice.server)
}

/// Guards against streams that are offered again to the engine that had no room for them, or to
/// full engines of the short-prompt pool only, while others have room.
#[test]
fn stream_is_offered_to_each_engine_once() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 8));
    let mut attempts = MigrationAttempts::after(DELAY);

    let mut asked = HashSet::new();
    while let Some(engine) = pick(&attempts, now, &servers, &Loads::default()) {
        attempts.record_refusal(engine.clone());
        assert!(asked.insert(engine), "an engine was asked twice");
    }

    assert_eq!(asked.len(), servers.len());
}

/// Guards against streams that are sent to full engines although reports of their load show it.
#[test]
fn engine_with_a_free_slot_goes_before_full_ones() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 8));
    let (roomy, full) = servers.split_first().expect("there are engines");
    let mut loads = Loads::default();
    for server in full {
        let slots = server.entry.slots;
        let report = ReportedLoad { running: slots, waiting: 0, slots };
        loads.get_or_insert(&server.entry.name).record_report(now, report);
    }

    let chosen = pick(&MigrationAttempts::after(DELAY), now, &servers, &loads);

    assert_eq!(chosen.as_ref(), Some(&roomy.entry.name));
}

/// Guards against many streams of one instance that ask the same full engine.
#[test]
fn engine_that_refused_one_stream_is_passed_over_by_others_for_a_while() {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a"], 2));
    let mut loads = Loads::default();
    let first = pick(&MigrationAttempts::after(DELAY), now, &servers, &loads);
    let first = first.expect("there are engines");

    loads.get_or_insert(&first).record_refused_copy(now);

    for _ in 0..20 {
        let other = pick(&MigrationAttempts::after(DELAY), now, &servers, &loads);
        assert_ne!(other.as_ref(), Some(&first));
    }
    let later = now + Duration::from_secs(1);
    let load = loads.get(&first).expect("the load is tracked");
    assert!(load.has_room_for_run(later, 64));
}

#[test]
fn attempts_begin_after_the_delay_and_are_spaced_and_bounded() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut attempts = MigrationAttempts::after(DELAY);

    assert!(!attempts.is_due(at(9_000), None));
    assert!(!attempts.is_due(at(400), Some(now)));
    assert!(attempts.is_due(at(600), Some(now)));
    attempts.record_start(at(600));
    assert!(!attempts.is_due(at(610), Some(now)));
    let mut count = 1;
    while attempts.is_due(at(700 + 100 * count), Some(now)) {
        attempts.record_start(at(700 + 100 * count));
        count += 1;
        assert!(count < 100, "the number of attempts is not bounded");
    }
    assert!(count > 4, "only {count} attempts");
    assert!(!MigrationAttempts::excluded().is_due(at(600), Some(now)));
}
