//! Claims of idempotency keys over interleavings of two and more requests with faults.

use std::collections::VecDeque;

use laburnumvalve::claim::machine::{
    Acquire, Acquired, Answer, Call, Change, Changed, MAX_CALLS, Next,
};
use laburnumvalve::claim::{ClaimRecord, ClaimState, StoredAnswer, StoredBody};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Seed of the drawn cases.
const SEED: u64 = 20_261_204;

/// Requests with the same idempotency key in one case.
const REQUESTS: usize = 3;

/// What a request does next.
#[derive(Debug)]
enum Stage {
    Acquiring(Acquire, Next<Acquired>),
    Marking(Change, Next<Changed>),
    Running(String),
    Finishing(Change, Next<Changed>),
    Ended,
}

/// One request with a claim.
#[derive(Debug)]
struct Request {
    record: ClaimRecord,
    stage: Stage,
    refused_not_run: bool,
    runs: u32,
}

/// The object of the claim, and writes that arrive late.
#[derive(Debug, Default)]
struct Store {
    object: Option<(u64, ClaimRecord)>,
    version: u64,
    late: VecDeque<Call>,
}

/// What the schedule does to one call.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    LostBefore,
    LostAfter,
    Late,
    Refused,
}

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A request goes on; its call meets a fault, and a read tells its holder gone or not.
    Advance(usize, Fault, bool),
    /// The oldest late write arrives.
    Deliver,
    /// A request's instance is killed.
    Crash(usize),
}

fn record(index: usize) -> ClaimRecord {
    ClaimRecord {
        request: format!("request-{index}").into(),
        instance: format!("instance-{}", index % 2).as_str().into(),
        incarnation: 1,
        content_hash: "same".to_owned(),
        created_ms: 0,
        state: ClaimState::Claimed,
    }
}

fn answer() -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: StoredBody::Text("booked".to_owned()) }
}

impl Store {
    fn apply(&mut self, call: &Call, abandoned: bool) -> Answer {
        match call {
            Call::Read => self.object.clone().map_or(Answer::NotFound, |(version, record)| {
                Answer::Found { version: version.to_string(), record, abandoned }
            }),
            Call::Create(record) if self.object.is_none() => self.write(record),
            Call::Update(version, record) if self.has_version(version) => self.write(record),
            Call::Create(_) | Call::Update(..) => Answer::Conflict,
        }
    }

    fn has_version(&self, version: &str) -> bool {
        self.object.as_ref().is_some_and(|(known, _)| known.to_string() == version)
    }

    fn write(&mut self, record: &ClaimRecord) -> Answer {
        self.version += 1;
        self.object = Some((self.version, record.clone()));
        Answer::Written(self.version.to_string())
    }

    fn call(&mut self, call: Call, fault: Fault, abandoned: bool) -> Answer {
        match fault {
            Fault::None => self.apply(&call, abandoned),
            Fault::Refused => Answer::Refused,
            Fault::LostBefore => Answer::Unknown,
            Fault::LostAfter => {
                self.apply(&call, abandoned);
                Answer::Unknown
            }
            Fault::Late => {
                self.late.push_back(call);
                Answer::Unknown
            }
        }
    }

    fn deliver(&mut self) {
        if let Some(call) = self.late.pop_front() {
            self.apply(&call, false);
        }
    }
}

impl Request {
    fn new(index: usize) -> Self {
        let record = record(index);
        let mut acquire = Acquire::new(record.clone());
        let next = acquire.start();
        let stage = Stage::Acquiring(acquire, next);
        Self { record, stage, refused_not_run: false, runs: 0 }
    }

    fn advance(&mut self, store: &mut Store, fault: Fault, abandoned: bool) {
        let stage = std::mem::replace(&mut self.stage, Stage::Ended);
        self.stage = match stage {
            Stage::Acquiring(mut machine, Next::Call(call)) => {
                let next = machine.take(store.call(call, fault, abandoned));
                Stage::Acquiring(machine, next)
            }
            Stage::Acquiring(_, Next::End(end)) => self.acquired(end),
            Stage::Marking(mut machine, Next::Call(call)) => {
                let next = machine.take(store.call(call, fault, abandoned));
                Stage::Marking(machine, next)
            }
            Stage::Marking(_, Next::End(Changed::Written(version))) => {
                self.runs += 1;
                Stage::Running(version)
            }
            Stage::Marking(_, Next::End(_)) => self.refuse(),
            Stage::Running(version) => {
                let (machine, next) = self.change(version, ClaimState::Done(answer()));
                Stage::Finishing(machine, next)
            }
            Stage::Finishing(mut machine, Next::Call(call)) => {
                let next = machine.take(store.call(call, fault, abandoned));
                Stage::Finishing(machine, next)
            }
            Stage::Finishing(_, Next::End(_)) | Stage::Ended => Stage::Ended,
        };
    }

    fn acquired(&mut self, end: Acquired) -> Stage {
        match end {
            Acquired::Held(version) => {
                let (machine, next) = self.change(version, ClaimState::Sent);
                Stage::Marking(machine, next)
            }
            Acquired::Unavailable | Acquired::Mismatch => self.refuse(),
            Acquired::Replay(_) | Acquired::InProgress | Acquired::Unresolved => Stage::Ended,
        }
    }

    fn change(&self, version: String, state: ClaimState) -> (Change, Next<Changed>) {
        let mut machine = Change::new(version, ClaimRecord { state, ..self.record.clone() });
        let next = machine.start();
        (machine, next)
    }

    fn refuse(&mut self) -> Stage {
        self.refused_not_run = true;
        Stage::Ended
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::Late),
        1 => Just(Fault::Refused),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..REQUESTS, fault(), any::<bool>())
            .prop_map(|(request, fault, abandoned)| Step::Advance(request, fault, abandoned)),
        3 => Just(Step::Deliver),
        1 => (0..REQUESTS).prop_map(Step::Crash),
    ]
}

fn run(steps: &[Step]) -> Vec<Request> {
    let mut store = Store::default();
    let mut requests: Vec<Request> = (0..REQUESTS).map(Request::new).collect();
    for step in steps {
        match *step {
            Step::Advance(index, fault, abandoned) => {
                requests[index].advance(&mut store, fault, abandoned);
            }
            Step::Deliver => store.deliver(),
            Step::Crash(index) => requests[index].stage = Stage::Ended,
        }
    }
    requests
}

/// Draws the same cases on every run.
fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig {
        cases: 4_000,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Whatever is lost, late or killed, at most one of the requests runs, and none that was
    /// refused as not run.
    #[test]
    fn at_most_one_request_runs(steps in prop::collection::vec(step(), 0..60)) {
        let requests = run(&steps);

        let runs: u32 = requests.iter().map(|request| request.runs).sum();
        prop_assert!(runs <= 1, "{runs} runs");
        for request in &requests {
            prop_assert!(!request.refused_not_run || request.runs == 0);
        }
    }
}

#[rstest]
fn one_request_without_faults_runs_and_the_next_one_replays() {
    let both: Vec<Step> =
        [0, 1].iter().flat_map(|index| [Step::Advance(*index, Fault::None, false); 10]).collect();

    let requests = run(&both);

    assert_eq!([1, 0, 0], [requests[0].runs, requests[1].runs, requests[2].runs]);
}

#[rstest]
#[case::claimed_and_holder_gone(ClaimState::Claimed, true, None)]
#[case::claimed_and_holder_alive(ClaimState::Claimed, false, Some(Acquired::InProgress))]
#[case::sent_and_holder_alive(ClaimState::Sent, false, Some(Acquired::InProgress))]
#[case::sent_and_holder_gone(ClaimState::Sent, true, Some(Acquired::Unresolved))]
#[case::unresolved(ClaimState::Unresolved, false, Some(Acquired::Unresolved))]
#[case::done(ClaimState::Done(answer()), false, Some(Acquired::Replay(answer())))]
fn a_claim_of_another_request_is_judged_by_its_state(
    #[case] state: ClaimState,
    #[case] abandoned: bool,
    #[case] expected: Option<Acquired>,
) {
    let mut machine = Acquire::new(record(0));
    machine.start();
    machine.take(Answer::Conflict);

    let found = ClaimRecord { state, ..record(1) };
    let next = machine.take(Answer::Found { version: "7".to_owned(), record: found, abandoned });

    let take_over = Next::Call(Call::Update("7".to_owned(), record(0)));
    assert_eq!(expected.map_or(take_over, Next::End), next);
}

#[rstest]
fn a_change_without_any_answer_ends_as_unsure() {
    let mut machine = Change::new("1".to_owned(), record(0));
    let mut next = machine.start();
    let mut calls = 0;
    while let Next::Call(_) = next {
        calls += 1;
        next = machine.take(Answer::Unknown);
    }

    assert_eq!((Next::End(Changed::Unsure), MAX_CALLS), (next, calls));
}
