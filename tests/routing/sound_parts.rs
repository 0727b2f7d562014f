//! Prompt parts that were answered lately, and the limit of the bytes of evidence.

use std::collections::BTreeSet;
use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::routing::byte_budget::{ByteBudget, ByteBudgetSettings};
use laburnumvalve::routing::choose::PromptPart;
use laburnumvalve::routing::quarantine::{CrashEvidence, CrashKey, ServerProcess, Standing};
use laburnumvalve::routing::sound_parts::SoundParts;

/// A part that all requests of a route share.
const POPULAR: u64 = 1;
/// A part that crashes servers.
const DEADLY: u64 = 0xdead;
/// Reports in a message.
const LIMIT: usize = 64;

fn at(time: Duration) -> BootTime {
    BootTime::from_start(Duration::from_secs(1_000) + time)
}

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect()
}

fn process(number: usize) -> ServerProcess {
    ServerProcess::of(&format!("engine-{number}").as_str().into(), Some(1))
}

/// Guards against blame for a popular part whose answers go on at other servers while some crash.
#[test]
fn part_that_was_answered_lately_is_not_blamed() {
    let mut sound = SoundParts::default();
    sound.record(at(Duration::ZERO), &parts(&[POPULAR]));

    let soon = sound.without_sound(at(Duration::from_secs(1)), &parts(&[POPULAR, DEADLY]));
    let later = sound.without_sound(at(Duration::from_secs(3)), &parts(&[POPULAR, DEADLY]));

    assert_eq!((soon, later), (parts(&[DEADLY]), parts(&[POPULAR, DEADLY])));
}

#[test]
fn number_of_remembered_parts_is_bounded() {
    let mut sound = SoundParts::default();

    (0..10_000).for_each(|id| sound.record(at(Duration::ZERO), &parts(&[id])));

    assert!(sound.count() <= 1_024, "{} parts", sound.count());
}

/// Evidence after many servers crashed at once, each with requests of other parts, between two crashes
/// by a deadly part.
fn after_mass_crash() -> (CrashEvidence, BTreeSet<CrashKey>) {
    let mut evidence = CrashEvidence::default();
    let mut news = BTreeSet::new();
    news.extend(evidence.record_crash(at(Duration::ZERO), &parts(&[DEADLY]), &process(900)));
    for number in 0..200 {
        let time = Duration::from_secs(1) + Duration::from_millis(number as u64);
        let crash =
            evidence.record_crash(at(time), &parts(&[1_000 + number as u64]), &process(number));
        news.extend(crash);
    }
    let time = Duration::from_secs(2);
    news.extend(evidence.record_crash(at(time), &parts(&[DEADLY]), &process(901)));
    (evidence, news)
}

/// Guards against a flood of messages on days with many crashes, in which the few reports that matter are
/// late.
#[test]
fn reports_of_suspected_parts_are_told_first() {
    let (evidence, news) = after_mass_crash();

    let told = evidence.most_telling(&news, LIMIT);

    assert_eq!(told.len(), LIMIT);
    assert_eq!(told.iter().filter(|(part, _)| *part == DEADLY).count(), 2);
}

/// Guards against instances that send each other all they know each second, as single crashes differ
/// between them.
#[test]
fn comparisons_are_about_suspected_parts_only() {
    let (evidence, _) = after_mass_crash();
    let mut other = CrashEvidence::default();
    let now = at(Duration::from_secs(3));
    assert_ne!(evidence.digest(), other.digest());

    let reports = evidence.strongest_reports(now, LIMIT);
    other.merge(now, &reports);

    assert_eq!(reports.len(), 2);
    assert_eq!(evidence.digest(), other.digest());
    assert_eq!(other.standing(now, &parts(&[DEADLY])), Standing::Suspect);
}

/// Guards against a part that stays quarantined at some instances after it was cleared at others.
#[test]
fn cleared_part_is_told_to_an_instance_that_still_suspects_it() {
    let now = at(Duration::from_secs(3));
    let (mut evidence, _) = after_mass_crash();
    let mut other = CrashEvidence::default();
    other.merge(now, &evidence.strongest_reports(now, LIMIT));

    evidence.clear(&parts(&[DEADLY]));
    other.merge(now, &evidence.strongest_reports(now, LIMIT));

    assert_eq!(other.standing(now, &parts(&[DEADLY])), Standing::Sound);
    assert_eq!((evidence.digest(), other.digest()), (0, 0));
}

/// Guards against more bytes for evidence than an instance may send for control.
#[test]
fn bytes_are_limited_in_the_long_run() {
    let cfg = ByteBudgetSettings { bytes_per_second: 4_000.0, burst_bytes: 48_000.0 };
    let mut budget = ByteBudget::new(cfg);
    let (mut now, mut sent) = (Duration::ZERO, 0);
    let end = Duration::from_secs(60);

    while now < end {
        let wait = budget.wait(at(now));
        if wait.is_zero() {
            budget.spend(at(now), 5_000);
            sent += 5_000;
        }
        now += wait.max(Duration::from_millis(10));
    }

    assert!((240_000..=48_000 + 240_000 + 5_000).contains(&sent), "{sent} bytes in a minute");
}
