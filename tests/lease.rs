//! Property tests of the lease state machine over interleavings of pauses, restarts, lost responses
//! and delayed writes: at most one instance holds the lease at any time.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::lease::{
    Holder, LeaseCall, LeaseRecord, LeaseSettings, LeaseStateMachine, LeaseWrite,
};
use laburnumvalve::platform::{Object, PlatformError};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const SEED: u64 = 0x1ea5e;
const TERM: Duration = Duration::from_secs(10);
/// Clock rates in thousandths. Their differences are within the safety margin of the lease.
const CLOCK_RATES: [u64; 3] = [1_000, 980, 1_020];
/// Boot-time clock of each machine at the start of a test.
const BOOT_TIMES_MS: [u64; 3] = [5_000, 900_000_000, 0];

/// What happens to a call to the object API.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Answered,
    ResponseLost,
    /// The response arrives at the participant's next step.
    ResponseDelayed,
    /// The caller gets no response. A write may take effect in a later step.
    RequestDelayed,
    Refused,
}

#[derive(Debug, Clone)]
enum Transition {
    Advance(u64),
    Act(usize, CallOutcome),
    Release(usize, CallOutcome),
    DeliverDelayedWrite(usize),
    Restart(usize),
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let outcome = || {
            prop_oneof![
                6 => Just(CallOutcome::Answered),
                2 => Just(CallOutcome::ResponseLost),
                2 => Just(CallOutcome::ResponseDelayed),
                2 => Just(CallOutcome::RequestDelayed),
                1 => Just(CallOutcome::Refused),
            ]
        };
        let participant = || 0..CLOCK_RATES.len();
        prop_oneof![
            8 => (1_u64..4_000).prop_map(Transition::Advance),
            2 => (8_000_u64..11_000).prop_map(Transition::Advance),
            16 => (participant(), outcome())
                .prop_map(|(index, outcome)| Transition::Act(index, outcome)),
            1 => (participant(), outcome())
                .prop_map(|(index, outcome)| Transition::Release(index, outcome)),
            3 => (0_usize..4).prop_map(Transition::DeliverDelayedWrite),
            1 => participant().prop_map(Transition::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

enum DelayedResponse {
    Read(Option<Object<LeaseRecord>>),
    Write(LeaseWrite, Result<String, PlatformError>),
}

struct Participant {
    machine: LeaseStateMachine,
    delayed_response: Option<DelayedResponse>,
}

/// Participants in one lease and the object API that stores it.
struct Simulation {
    now_ms: u64,
    stored: Option<Object<LeaseRecord>>,
    write_count: u64,
    delayed_writes: Vec<LeaseWrite>,
    participants: Vec<Participant>,
    holders_by_epoch: BTreeMap<u64, Holder>,
    last_incarnation: u64,
}

fn response_lost() -> PlatformError {
    PlatformError::Unknown("lost".to_owned())
}

fn participant(name: usize, incarnation: u64) -> Participant {
    let instance = format!("i{name}").into();
    let this_holder = Holder { instance, incarnation };
    Participant {
        machine: LeaseStateMachine::new(this_holder, LeaseSettings::from_term(TERM)),
        delayed_response: None,
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 0,
            stored: None,
            write_count: 0,
            delayed_writes: Vec::new(),
            participants: (0..CLOCK_RATES.len()).map(|name| participant(name, 0)).collect(),
            holders_by_epoch: BTreeMap::new(),
            last_incarnation: 0,
        }
    }

    fn local_time(&self, index: usize) -> BootTime {
        let micros = BOOT_TIMES_MS[index] * 1_000 + self.now_ms * CLOCK_RATES[index];
        BootTime::from_start(Duration::from_micros(micros))
    }

    fn store(&mut self, write: &LeaseWrite) -> Result<String, PlatformError> {
        if self.stored.as_ref().map(|object| &object.version) != write.version.as_ref() {
            return Err(PlatformError::Conflict);
        }
        self.write_count += 1;
        let version = self.write_count.to_string();
        if let Some(holder) = &write.record.holder {
            let first_holder =
                self.holders_by_epoch.entry(write.record.epoch).or_insert_with(|| holder.clone());
            assert_eq!(
                first_holder, holder,
                "two holders share epoch {}, seed {SEED}",
                write.record.epoch
            );
            self.check_former_holders(holder, &write.record.former);
        }
        let previous_epoch = self.stored.as_ref().map_or(0, |object| object.spec.epoch);
        assert!(
            write.record.epoch >= previous_epoch,
            "the epoch decreased from {previous_epoch} to {}, seed {SEED}",
            write.record.epoch
        );
        let spec = write.record.clone();
        self.stored = Some(Object { name: "role".to_owned(), version: version.clone(), spec });
        Ok(version)
    }

    /// Checks that a holder that did not release the lease is listed as former holder by its
    /// successor.
    fn check_former_holders(&self, holder: &Holder, former: &[Holder]) {
        let previous_holder = self.stored.as_ref().and_then(|object| object.spec.holder.as_ref());
        let Some(previous_holder) =
            previous_holder.filter(|previous_holder| previous_holder.instance != holder.instance)
        else {
            return;
        };
        assert!(
            former.contains(previous_holder),
            "former holder {previous_holder:?} is not listed in {former:?}, seed {SEED}"
        );
    }

    fn deliver_delayed_response(&mut self, index: usize) -> bool {
        let now = self.local_time(index);
        let participant = &mut self.participants[index];
        match participant.delayed_response.take() {
            Some(DelayedResponse::Read(found)) => participant.machine.on_read(now, Ok(found)),
            Some(DelayedResponse::Write(write, result)) => {
                participant.machine.on_write(write, result)
            }
            None => return false,
        }
        true
    }

    fn act(&mut self, index: usize, outcome: CallOutcome) {
        let now = self.local_time(index);
        let call = self.participants[index].machine.next_call(now);
        self.perform(index, call, outcome);
    }

    fn perform(&mut self, index: usize, call: LeaseCall, outcome: CallOutcome) {
        match call {
            LeaseCall::Read => self.read(index, outcome),
            LeaseCall::Write(write) => self.write(index, write, outcome),
        }
    }

    fn read(&mut self, index: usize, outcome: CallOutcome) {
        let (now, found) = (self.local_time(index), self.stored.clone());
        let participant = &mut self.participants[index];
        match outcome {
            CallOutcome::Answered => participant.machine.on_read(now, Ok(found)),
            CallOutcome::ResponseDelayed => {
                participant.delayed_response = Some(DelayedResponse::Read(found))
            }
            _ => participant.machine.on_read(now, Err(response_lost())),
        }
    }

    fn write(&mut self, index: usize, write: LeaseWrite, outcome: CallOutcome) {
        let result = match outcome {
            CallOutcome::Answered | CallOutcome::ResponseDelayed => self.store(&write),
            CallOutcome::ResponseLost => self.store(&write).and(Err(response_lost())),
            CallOutcome::RequestDelayed => {
                self.delayed_writes.push(write.clone());
                Err(response_lost())
            }
            CallOutcome::Refused => Err(PlatformError::Refused("outage".to_owned())),
        };
        let participant = &mut self.participants[index];
        if matches!(outcome, CallOutcome::ResponseDelayed) {
            participant.delayed_response = Some(DelayedResponse::Write(write, result));
        } else {
            participant.machine.on_write(write, result);
        }
    }

    fn current_holders(&self) -> Vec<usize> {
        (0..self.participants.len())
            .filter(|index| {
                self.participants[*index].machine.held(self.local_time(*index)).is_some()
            })
            .collect()
    }
}

struct LeaseTest;

impl StateMachineTest for LeaseTest {
    type SystemUnderTest = Simulation;
    type Reference = Reference;

    fn init_test((): &()) -> Simulation {
        Simulation::new()
    }

    fn apply(mut simulation: Simulation, (): &(), transition: Transition) -> Simulation {
        match transition {
            Transition::Advance(ms) => simulation.now_ms += ms,
            Transition::Act(index, outcome) => {
                if !simulation.deliver_delayed_response(index) {
                    simulation.act(index, outcome);
                }
            }
            Transition::Release(index, outcome) => {
                simulation.deliver_delayed_response(index);
                let now = simulation.local_time(index);
                if let Some(call) = simulation.participants[index].machine.release(now) {
                    simulation.perform(index, call, outcome);
                }
            }
            Transition::DeliverDelayedWrite(index) => {
                if index < simulation.delayed_writes.len() {
                    let write = simulation.delayed_writes.remove(index);
                    let _ = simulation.store(&write);
                }
            }
            Transition::Restart(index) => {
                simulation.last_incarnation += 1;
                simulation.participants[index] = participant(index, simulation.last_incarnation);
            }
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation, (): &()) {
        let current_holders = simulation.current_holders();
        assert!(
            current_holders.len() <= 1,
            "{current_holders:?} hold the lease at once, seed {SEED}"
        );
    }
}

fn config() -> Config {
    println!("seed {SEED}");
    let rng_seed = RngSeed::Fixed(SEED);
    Config { cases: 400, rng_seed, failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn one_holder_at_a_time(sequential 20..120 => LeaseTest);
}

#[test]
fn a_successor_waits_a_whole_term_by_its_own_clock() {
    // Arrange: the first holder acquired the lease and stopped; its renewal was not answered.
    let mut simulation = Simulation::new();
    for outcome in [CallOutcome::Answered, CallOutcome::Answered, CallOutcome::ResponseLost] {
        simulation.act(0, outcome);
    }

    // Act: another instance polls until it holds the lease.
    let mut waited_ms = 0;
    while simulation.participants[1].machine.held(simulation.local_time(1)).is_none() {
        simulation.act(1, CallOutcome::Answered);
        simulation.now_ms += 100;
        waited_ms += 100;
        assert!(waited_ms < 12_000, "the lease was not acquired");
    }

    // Assert: it waited a whole term, and the epoch increased.
    assert!(waited_ms * CLOCK_RATES[1] >= TERM.as_micros() as u64);
    assert_eq!(simulation.stored.map(|object| object.spec.epoch), Some(2));
}

#[test]
fn an_unanswered_acquiring_write_counts_once_it_is_read_back() {
    // Arrange
    let mut simulation = Simulation::new();
    simulation.act(0, CallOutcome::Answered);

    // Act
    simulation.act(0, CallOutcome::ResponseLost);
    let before = simulation.current_holders();
    simulation.now_ms += 2_000;
    simulation.act(0, CallOutcome::Answered);

    // Assert: the term counts from before the write was sent.
    assert!(before.is_empty());
    let held =
        simulation.participants[0].machine.held(simulation.local_time(0)).expect("read back");
    assert_eq!(held.until.since(simulation.local_time(0)), Duration::from_secs(7));
}
