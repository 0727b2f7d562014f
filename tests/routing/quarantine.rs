//! Queries of death: requests with a part that crashes each server which begins to answer them.

use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::routing::choose::PromptPart;
use laburnumvalve::routing::quarantine::{
    CrashEvidence, CrashKey, ServerProcess, Standing, Trial, may_try,
};
use proptest::prelude::*;

/// A part that crashes servers.
const DEADLY: u64 = 0xdead;
/// A part that all requests of a route share.
const POPULAR: u64 = 1;
/// Time between two crashes that have no common cause.
const APART: Duration = Duration::from_millis(400);
/// Instances of the largest fleet of these tests.
const INSTANCES: usize = 62;
/// Time within which instances exchange their evidence.
const EXCHANGE_TIME: Duration = Duration::from_millis(500);

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect()
}

fn process(number: usize) -> ServerProcess {
    ServerProcess::of(&format!("engine-{number}").as_str().into(), Some(1))
}

fn at(time: Duration) -> BootTime {
    BootTime::from_start(Duration::from_secs(1_000) + time)
}

/// Returns the evidence after `crashes` of different servers, [`APART`] from each other.
fn after_crashes(crashes: usize, ids: &[u64]) -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for number in 0..crashes {
        evidence.record_crash(at(APART * number as u32), &parts(ids), &process(number));
    }
    evidence
}

fn standing(evidence: &CrashEvidence, time: Duration, ids: &[u64]) -> Standing {
    evidence.standing(at(time), &parts(ids))
}

fn trial(evidence: &CrashEvidence, time: Duration, ids: &[u64]) -> Option<Trial> {
    match standing(evidence, time, ids) {
        Standing::Convicted(trial) => trial,
        Standing::Sound | Standing::Suspect => None,
    }
}

#[test]
fn part_is_convicted_by_crashes_one_after_another() {
    let standings: Vec<Standing> = (0..4)
        .map(|crashes| standing(&after_crashes(crashes, &[DEADLY]), APART * 3, &[DEADLY]))
        .collect();

    assert_eq!(standings[..3], [Standing::Sound, Standing::Sound, Standing::Suspect]);
    assert!(matches!(standings[3], Standing::Convicted(Some(_))), "{:?}", standings[3]);
}

/// Guards against blame for an outage of a data centre, whose servers fail at the same moment.
#[test]
fn servers_that_crash_together_do_not_convict_a_part() {
    let mut evidence = CrashEvidence::default();
    for number in 0..20 {
        let time = Duration::from_millis(number as u64 * 5);
        evidence.record_crash(at(time), &parts(&[POPULAR]), &process(number));
    }

    assert_eq!(standing(&evidence, APART, &[POPULAR]), Standing::Sound);
}

/// Guards against the conviction of parts whose requests ran beside those that crashed the server.
#[test]
fn answered_part_is_cleared_of_earlier_crashes() {
    let mut evidence = after_crashes(2, &[POPULAR, DEADLY]);

    evidence.clear(&parts(&[POPULAR, 77]));
    evidence.record_crash(at(APART * 2), &parts(&[POPULAR, DEADLY]), &process(2));

    assert_eq!(standing(&evidence, APART * 3, &[POPULAR, 77]), Standing::Sound);
    assert!(trial(&evidence, APART * 3, &[POPULAR, DEADLY]).is_some());
}

/// Guards against blame for crashes of a part that is convicted already.
#[test]
fn crash_that_a_convicted_part_explains_is_no_evidence_against_others() {
    let mut evidence = after_crashes(3, &[DEADLY]);

    for number in 3..9 {
        let now = at(APART * number as u32);
        evidence.record_crash(now, &parts(&[POPULAR, DEADLY]), &process(number));
        // A request that ran beside it, seen by another instance.
        evidence.record_crash(now, &parts(&[POPULAR, 77]), &process(number));
    }

    assert_eq!(standing(&evidence, APART * 9, &[POPULAR, 77]), Standing::Sound);
}

/// Guards against the refusal of a sound session whose part is in all requests that crash servers.
#[test]
fn part_convicted_along_with_another_one_is_sent_without_it_and_then_cleared() {
    let session = 500;
    let mut evidence = after_crashes(3, &[POPULAR, session, DEADLY]);
    evidence.clear(&parts(&[POPULAR]));

    let before = standing(&evidence, APART * 3, &[POPULAR, session]);
    evidence.clear(&parts(&[POPULAR, session]));

    assert_eq!(before, Standing::Suspect);
    assert_eq!(standing(&evidence, APART * 3, &[POPULAR, session]), Standing::Sound);
    assert!(trial(&evidence, APART * 3, &[POPULAR, session, DEADLY]).is_some());
}

#[test]
fn request_with_two_convicted_parts_is_no_trial() {
    let evidence = after_crashes(3, &[DEADLY, 0xbad]);

    let found = standing(&evidence, Duration::from_secs(60), &[DEADLY, 0xbad]);

    assert_eq!(found, Standing::Convicted(None));
}

/// Guards against the refusal of sound requests where all requests with their parts crashed servers.
#[test]
fn parts_convicted_along_with_another_one_are_sent_without_it() {
    let evidence = after_crashes(3, &[POPULAR, 500, DEADLY]);

    let found = standing(&evidence, APART * 3, &[POPULAR, 500]);

    assert_eq!(found, Standing::Suspect);
}

/// Guards against trials that cost as many servers as the crashes did.
#[test]
fn trials_become_rare_with_each_crash() {
    let due_in = |crashes: usize| {
        let last = APART * (crashes as u32 - 1);
        trial(&after_crashes(crashes, &[DEADLY]), last, &[DEADLY]).map(|trial| trial.due_in)
    };

    let seconds: Vec<_> = (3..7).map(|crashes| due_in(crashes).map(|due| due.as_secs())).collect();

    assert_eq!(seconds, [Some(2), Some(20), Some(200), Some(600)]);
}

#[test]
fn only_one_instance_makes_a_trial_that_is_just_due() {
    let allowed = |overdue| (0..INSTANCES).filter(|rank| may_try(*rank, overdue)).count();

    assert_eq!(allowed(Duration::ZERO), 1);
    assert_eq!(allowed(Duration::from_secs(20)), 4);
    assert_eq!(allowed(Duration::from_secs(3_600)), INSTANCES);
}

#[test]
fn evidence_that_convicts_nothing_expires() {
    let mut evidence = after_crashes(2, &[DEADLY]);

    evidence.purge(at(Duration::from_secs(62)));

    assert!(evidence.is_empty());
}

#[test]
fn evidence_against_thousands_of_parts_is_bounded_and_keeps_the_convicted_one() {
    let mut evidence = after_crashes(3, &[DEADLY]);

    for number in 0..5_000_u64 {
        let time = APART * 3 + Duration::from_millis(number);
        evidence.record_crash(at(time), &parts(&[10_000 + number]), &process(100));
    }
    for number in 0..1_000 {
        let time = APART * 4 + Duration::from_millis(number as u64);
        evidence.record_crash(at(time), &parts(&[DEADLY]), &process(200 + number));
    }

    assert!(evidence.len() <= 256, "{} parts", evidence.len());
    let reports = evidence.reports(at(APART));
    assert!(reports.iter().filter(|report| report.part == DEADLY).count() <= 32);
    assert!(evidence.convicted().eq([DEADLY]));
}

/// Returns the keys of some crashes: few parts and servers, so that many coincide.
fn crash_keys() -> impl Strategy<Value = Vec<(u64, usize, bool)>> {
    proptest::collection::vec((0..4_u64, 0..6_usize, any::<bool>()), 1..30)
}

proptest! {
    /// Guards against instances that disagree for good on what is convicted.
    #[test]
    fn evidence_is_the_same_in_whatever_order_it_arrives(crashes in crash_keys()) {
        let now = at(Duration::from_secs(10));
        let mut reporter = CrashEvidence::default();
        let mut batches = Vec::new();
        for (index, (part, number, is_answered)) in crashes.iter().enumerate() {
            reporter.record_crash(at(APART * index as u32), &parts(&[*part]), &process(*number));
            if *is_answered {
                reporter.clear(&parts(&[*part]));
            }
            batches.push(reporter.reports(now));
        }
        let (mut forwards, mut backwards) = (CrashEvidence::default(), CrashEvidence::default());

        batches.iter().for_each(|batch| drop(forwards.merge(now, batch)));
        batches.iter().rev().for_each(|batch| drop(backwards.merge(now, batch)));
        let again: Vec<CrashKey> = forwards.merge(now, &reporter.reports(now));

        prop_assert!(again.is_empty());
        prop_assert!(forwards.convicted().eq(backwards.convicted()));
    }
}

/// Plays requests of which a twentieth has a deadly part, at instances that each see few of them
/// and exchange their evidence now and then. Returns the times of all crashes.
fn play_deadly_requests(per_second: u32, length: Duration) -> Vec<Duration> {
    let mut instances = vec![CrashEvidence::default(); INSTANCES];
    let mut crashes = Vec::new();
    let mut exchanged_at = Duration::ZERO;
    for number in 0..(per_second * length.as_secs() as u32) as usize {
        let time = Duration::from_secs(1) * number as u32 / per_second;
        let is_deadly = number % 20 == 0;
        let ids = if is_deadly { vec![POPULAR, DEADLY] } else { vec![POPULAR, 100] };
        let ids = parts(&ids);
        let index = number * 7 % INSTANCES;
        match instances[index].standing(at(time), &ids) {
            Standing::Convicted(Some(trial)) if trial.due_in.is_zero() && index == 0 => {}
            Standing::Convicted(_) => continue,
            Standing::Sound | Standing::Suspect => {}
        }
        if is_deadly {
            instances[index].record_crash(at(time), &ids, &process(crashes.len()));
            crashes.push(time);
        } else {
            instances[index].clear(&ids);
        }
        if time >= exchanged_at + EXCHANGE_TIME {
            exchanged_at = time;
            let all: Vec<_> = instances.iter().flat_map(|it| it.reports(at(time))).collect();
            instances.iter_mut().for_each(|it| drop(it.merge(at(time), &all)));
        }
    }
    crashes
}

/// Guards against a query of death that crashes one server after another, while each instance sees
/// only a few of the crashes.
#[test]
fn deadly_part_crashes_few_servers_after_the_instances_have_exchanged_evidence() {
    for per_second in [20, 120, 600] {
        let crashes = play_deadly_requests(per_second, Duration::from_secs(30));

        let counted_from = crashes.get(4).map_or(Duration::MAX, |fifth| *fifth + 2 * EXCHANGE_TIME);
        let late = crashes.iter().filter(|time| **time > counted_from).count();
        assert!(late <= 3, "{per_second} requests a second: {late} late of {crashes:?}");
    }
}
