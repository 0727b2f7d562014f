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

#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Answered,
    AnswerLost,
    AnswerSlow,
    Delayed,
    Refused,
}

#[derive(Debug, Clone)]
enum Transition {
    Advance(u64),
    Act(usize, CallOutcome),
    Release(usize, CallOutcome),
    DeliverDelayed(usize),
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
                2 => Just(CallOutcome::AnswerLost),
                2 => Just(CallOutcome::AnswerSlow),
                2 => Just(CallOutcome::Delayed),
                1 => Just(CallOutcome::Refused),
            ]
        };
        let node = || 0..CLOCK_RATES.len();
        prop_oneof![
            8 => (1_u64..4_000).prop_map(Transition::Advance),
            2 => (8_000_u64..11_000).prop_map(Transition::Advance),
            16 => (node(), outcome()).prop_map(|(node, outcome)| Transition::Act(node, outcome)),
            1 => (node(), outcome()).prop_map(|(node, outcome)| Transition::Release(node, outcome)),
            3 => (0_usize..4).prop_map(Transition::DeliverDelayed),
            1 => node().prop_map(Transition::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

enum Pending {
    Read(Option<Object<LeaseRecord>>),
    Write(LeaseWrite, Result<String, PlatformError>),
}

struct Node {
    machine: LeaseStateMachine,
    pending: Option<Pending>,
}

struct World {
    now_ms: u64,
    stored: Option<Object<LeaseRecord>>,
    writes: u64,
    delayed: Vec<LeaseWrite>,
    nodes: Vec<Node>,
    holders: BTreeMap<u64, Holder>,
    incarnations: u64,
}

fn answer_lost() -> PlatformError {
    PlatformError::Unknown("lost".to_owned())
}

fn node(name: usize, incarnation: u64) -> Node {
    let instance = format!("i{name}").into();
    let this_holder = Holder { instance, incarnation };
    Node {
        machine: LeaseStateMachine::new(this_holder, LeaseSettings::from_term(TERM)),
        pending: None,
    }
}

impl World {
    fn new() -> Self {
        Self {
            now_ms: 0,
            stored: None,
            writes: 0,
            delayed: Vec::new(),
            nodes: (0..CLOCK_RATES.len()).map(|name| node(name, 0)).collect(),
            holders: BTreeMap::new(),
            incarnations: 0,
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
        self.writes += 1;
        let version = self.writes.to_string();
        if let Some(holder) = &write.record.holder {
            let known = self.holders.entry(write.record.epoch).or_insert_with(|| holder.clone());
            assert_eq!(known, holder, "two holders share an epoch, seed {SEED}");
            self.check_former_holders(holder, &write.record.former);
        }
        let before = self.stored.as_ref().map_or(0, |object| object.spec.epoch);
        assert!(write.record.epoch >= before, "the epoch decreased, seed {SEED}");
        let spec = write.record.clone();
        self.stored = Some(Object { name: "role".to_owned(), version: version.clone(), spec });
        Ok(version)
    }

    /// Checks that a holder that did not release the lease is listed as former holder by its
    /// successor.
    fn check_former_holders(&self, holder: &Holder, former: &[Holder]) {
        let before = self.stored.as_ref().and_then(|object| object.spec.holder.as_ref());
        let Some(before) = before.filter(|before| before.instance != holder.instance) else {
            return;
        };
        assert!(former.contains(before), "a former holder is not listed, seed {SEED}");
    }

    fn deliver_pending(&mut self, index: usize) -> bool {
        let now = self.local_time(index);
        let node = &mut self.nodes[index];
        match node.pending.take() {
            Some(Pending::Read(found)) => node.machine.on_read(now, Ok(found)),
            Some(Pending::Write(write, answer)) => node.machine.on_write(write, answer),
            None => return false,
        }
        true
    }

    fn act(&mut self, index: usize, outcome: CallOutcome) {
        let now = self.local_time(index);
        let call = self.nodes[index].machine.next_call(now);
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
        let node = &mut self.nodes[index];
        match outcome {
            CallOutcome::Answered => node.machine.on_read(now, Ok(found)),
            CallOutcome::AnswerSlow => node.pending = Some(Pending::Read(found)),
            _ => node.machine.on_read(now, Err(answer_lost())),
        }
    }

    fn write(&mut self, index: usize, write: LeaseWrite, outcome: CallOutcome) {
        let answer = match outcome {
            CallOutcome::Answered | CallOutcome::AnswerSlow => self.store(&write),
            CallOutcome::AnswerLost => self.store(&write).and(Err(answer_lost())),
            CallOutcome::Delayed => {
                self.delayed.push(write.clone());
                Err(answer_lost())
            }
            CallOutcome::Refused => Err(PlatformError::Refused("outage".to_owned())),
        };
        let node = &mut self.nodes[index];
        if matches!(outcome, CallOutcome::AnswerSlow) {
            node.pending = Some(Pending::Write(write, answer));
        } else {
            node.machine.on_write(write, answer);
        }
    }

    fn holders_now(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].machine.held(self.local_time(*index)).is_some())
            .collect()
    }
}

struct LeaseTest;

impl StateMachineTest for LeaseTest {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        match transition {
            Transition::Advance(ms) => world.now_ms += ms,
            Transition::Act(index, outcome) => {
                if !world.deliver_pending(index) {
                    world.act(index, outcome);
                }
            }
            Transition::Release(index, outcome) => {
                world.deliver_pending(index);
                let now = world.local_time(index);
                if let Some(call) = world.nodes[index].machine.release(now) {
                    world.perform(index, call, outcome);
                }
            }
            Transition::DeliverDelayed(index) => {
                if index < world.delayed.len() {
                    let write = world.delayed.remove(index);
                    let _ = world.store(&write);
                }
            }
            Transition::Restart(index) => {
                world.incarnations += 1;
                world.nodes[index] = node(index, world.incarnations);
            }
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        let holders_now = world.holders_now();
        assert!(holders_now.len() <= 1, "{holders_now:?} hold the lease at once, seed {SEED}");
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
    let mut world = World::new();
    for outcome in [CallOutcome::Answered, CallOutcome::Answered, CallOutcome::AnswerLost] {
        world.act(0, outcome);
    }

    // Act: another instance polls until it holds the lease.
    let mut waited_ms = 0;
    while world.nodes[1].machine.held(world.local_time(1)).is_none() {
        world.act(1, CallOutcome::Answered);
        world.now_ms += 100;
        waited_ms += 100;
        assert!(waited_ms < 12_000, "the lease was not acquired");
    }

    // Assert: it waited a whole term, and the epoch increased.
    assert!(waited_ms * CLOCK_RATES[1] >= TERM.as_micros() as u64);
    assert_eq!(world.stored.map(|object| object.spec.epoch), Some(2));
}

#[test]
fn an_unanswered_acquiring_write_counts_once_it_is_read_back() {
    // Arrange
    let mut world = World::new();
    world.act(0, CallOutcome::Answered);

    // Act
    world.act(0, CallOutcome::AnswerLost);
    let before = world.holders_now();
    world.now_ms += 2_000;
    world.act(0, CallOutcome::Answered);

    // Assert: the term counts from before the write was sent.
    assert!(before.is_empty());
    let held = world.nodes[0].machine.held(world.local_time(0)).expect("read back");
    assert_eq!(held.until.since(world.local_time(0)), Duration::from_secs(7));
}
