//! Tests of versions and marks under random interleavings of edits, restarts, and delayed,
//! duplicated or lost messages.

use std::sync::Arc;

use laburnumvalve::clock::{Clock, Hlc};
use laburnumvalve::config::plan::{Edit, Plan, StoredConfig, plan};
use laburnumvalve::config::root::Root;
use laburnumvalve::config::shard::Shards;
use laburnumvalve::config::state::{Adoption, State};
use laburnumvalve::config::{Config, Key, KeyHash, Mark, MarkTarget, Marks, Organisation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random cases.
const SEED: u64 = 20_261_204;

const INSTANCES: usize = 3;
/// Wall-clock time of all edits; constant, so that no retired shard is deleted.
const NOW_MS: u64 = 1;

/// One step of a case; `instance`, `from` and `to` are indexes of instances. Indexes of keys and
/// messages are taken modulo their number.
#[derive(Debug, Clone)]
enum Step {
    /// An operator applies a sheet at an instance; the response may be lost, so that it is retried.
    Sheet {
        instance: usize,
        weight: u32,
        response_lost: bool,
    },
    /// Two edits are planned from the same version; the second one is retried after the first one
    /// was accepted.
    Race {
        instance: usize,
        weight: u32,
    },
    IssueKey {
        instance: usize,
    },
    Withdraw {
        instance: usize,
        key: usize,
    },
    Service {
        instance: usize,
        in_service: bool,
    },
    /// An instance stores its marks in the platform.
    Persist {
        instance: usize,
    },
    Compact {
        instance: usize,
    },
    /// An instance reads from the platform; the response is queued as a message.
    Read {
        to: usize,
    },
    /// An instance sends its state to another one.
    Send {
        from: usize,
        to: usize,
    },
    /// A queued message is delivered, and stays in the queue if `duplicate`.
    Deliver {
        message: usize,
        duplicate: bool,
    },
    Drop {
        message: usize,
    },
    /// An instance restarts with an empty state.
    Restart {
        instance: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        2 => (instance.clone(), 1..5u32, any::<bool>())
            .prop_map(|(instance, weight, response_lost)| {
                Step::Sheet { instance, weight, response_lost }
            }),
        1 => (instance.clone(), 1..5u32)
            .prop_map(|(instance, weight)| Step::Race { instance, weight }),
        2 => instance.clone().prop_map(|instance| Step::IssueKey { instance }),
        3 => (instance.clone(), any::<usize>())
            .prop_map(|(instance, key)| Step::Withdraw { instance, key }),
        2 => (instance.clone(), any::<bool>())
            .prop_map(|(instance, in_service)| Step::Service { instance, in_service }),
        2 => instance.clone().prop_map(|instance| Step::Persist { instance }),
        1 => instance.clone().prop_map(|instance| Step::Compact { instance }),
        4 => instance.clone().prop_map(|to| Step::Read { to }),
        4 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        8 => (any::<usize>(), any::<bool>())
            .prop_map(|(message, duplicate)| Step::Deliver { message, duplicate }),
        1 => any::<usize>().prop_map(|message| Step::Drop { message }),
        1 => instance.prop_map(|instance| Step::Restart { instance }),
    ]
}

/// A message to an instance, from another instance or the platform.
#[derive(Clone)]
struct Message {
    to: usize,
    root: Option<Arc<Root>>,
    shards: Shards,
    marks: Vec<Mark>,
}

/// The simulated platform, the instances and the messages in flight.
#[derive(Default)]
struct Simulation {
    stored: StoredConfig,
    instances: [State; INSTANCES],
    /// Keys that each instance has had withdrawn since its start.
    withdrawn: [Vec<KeyHash>; INSTANCES],
    messages: Vec<Message>,
    clock: Clock,
    edits: u64,
}

impl Simulation {
    fn step(&mut self, step: Step) {
        match step {
            Step::Sheet { instance, weight, response_lost } => {
                let id = self.next_id();
                let edit = Edit::Sheet {
                    config: Box::new(sheet(weight)),
                    based_on: self.stored.version(),
                };
                let version = self.run(instance, &edit, &id);
                if response_lost {
                    assert_eq!(
                        self.run(instance, &edit, &id),
                        version,
                        "a retried edit was applied twice"
                    );
                }
            }
            Step::Race { instance, weight } => self.race(instance, weight),
            Step::IssueKey { instance } => {
                let id = self.next_id();
                self.run(instance, &Edit::AddKey(KeyHash(id.clone()), key(&id)), &id);
            }
            Step::Withdraw { instance, key } => self.withdraw(instance, key),
            Step::Service { instance, in_service } => {
                let as_of =
                    self.instances[instance].root().map_or(Hlc::default(), |r| r.service_as_of);
                let latest =
                    self.instances[instance].marks().latest_service_timestamp().unwrap_or_default();
                let timestamp = self.clock.now().max(Hlc(as_of.max(latest).0 + 1));
                let target = MarkTarget::DataCentre("kolkata-a".into());
                let mark = Mark::Service { target, at: timestamp, in_service };
                self.instances[instance].merge(&[mark]);
            }
            Step::Persist { instance } => self.persist(instance),
            Step::Compact { instance } => {
                let id = self.next_id();
                self.run(instance, &Edit::CompactMarks, &id);
            }
            Step::Read { to } => {
                let marks = self.stored.marks.iter().collect();
                let (root, shards) = (self.stored.root.clone(), self.stored.shards.clone());
                self.messages.push(Message { to, root, shards, marks });
            }
            Step::Send { from, to } => self.send(from, to),
            Step::Deliver { message, duplicate } => self.deliver(message, duplicate),
            Step::Drop { message } if !self.messages.is_empty() => {
                let message = message % self.messages.len();
                self.messages.swap_remove(message);
            }
            Step::Drop { .. } => {}
            Step::Restart { instance } => {
                self.instances[instance] = State::default();
                self.withdrawn[instance].clear();
            }
        }
    }

    fn next_id(&mut self) -> String {
        self.edits += 1;
        format!("edit-{}", self.edits)
    }

    /// Plans an edit at an instance on the stored configuration, as the editor does.
    fn plan(&self, instance: usize, edit: &Edit, id: &str) -> Option<Plan> {
        let mut stored = self.stored.clone();
        for mark in self.instances[instance].marks().iter() {
            stored.marks.merge(mark);
        }
        let as_of = stored.root.as_ref().map_or(Hlc::default(), |root| root.service_as_of);
        stored.marks.retain(|mark| !matches!(mark, Mark::Service { at, .. } if *at <= as_of));
        plan(edit, &stored, id, &self.clock, NOW_MS).ok().flatten()
    }

    /// Executes an edit; returns the resulting version, or `None` if nothing changed.
    fn run(&mut self, instance: usize, edit: &Edit, id: &str) -> Option<u64> {
        if let Some(version) = self.stored.root.as_ref().and_then(|r| r.version_of_edit(id)) {
            return Some(version);
        }
        let plan = self.plan(instance, edit, id)?;
        let version = plan.root.version;
        self.accept(plan);
        Some(version)
    }

    fn accept(&mut self, plan: Plan) {
        assert_eq!(plan.root.version, self.stored.version() + 1);
        self.stored.root = Some(plan.root);
        self.stored.shards = plan.shards;
    }

    /// Checks that of two sheets based on the same version the second does not replace the first.
    fn race(&mut self, instance: usize, weight: u32) {
        let based_on = self.stored.version();
        let edit = |weight| Edit::Sheet { config: Box::new(sheet(weight)), based_on };
        let (first, second) = (self.next_id(), self.next_id());
        let Some(plan) = self.plan(instance, &edit(weight), &first) else { return };
        self.accept(plan);
        // The conditional update of the second fails, so it is planned again on the new version.
        assert!(
            self.plan(instance, &edit(weight + 10), &second).is_none(),
            "an accepted edit was overwritten"
        );
    }

    fn withdraw(&mut self, instance: usize, key: usize) {
        let keys: Vec<KeyHash> =
            self.instances[instance].in_force().config.keys.keys().cloned().collect();
        if !keys.is_empty() {
            let hash = keys[key % keys.len()].clone();
            self.instances[instance].merge(&[Mark::KeyWithdrawn(hash)]);
        }
    }

    fn persist(&mut self, instance: usize) {
        let state = &self.instances[instance];
        let mut merged: Marks = self.stored.marks.clone();
        let changed =
            state.marks().iter().fold(false, |changed, mark| merged.merge(mark) | changed);
        if changed {
            merged.retain(|mark| !state.supersedes(mark));
            self.stored.marks = merged;
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        let state = &self.instances[from];
        let marks = state.marks().iter().collect();
        let (root, shards) = (state.root().cloned(), Shards::clone(state.shards()));
        self.messages.push(Message { to, root, shards, marks });
    }

    fn deliver(&mut self, message: usize, duplicate: bool) {
        if self.messages.is_empty() {
            return;
        }
        let message = message % self.messages.len();
        let delivered = match duplicate {
            true => self.messages[message].clone(),
            false => self.messages.swap_remove(message),
        };
        self.receive(delivered);
    }

    fn receive(&mut self, message: Message) {
        let instance = &mut self.instances[message.to];
        let before = instance.version();
        if let Some(root) = message.root {
            let adoption = instance.adopt(root, &message.shards);
            assert!(!matches!(adoption, Adoption::Incomplete(_) | Adoption::Diverged));
        }
        instance.merge(&message.marks);
        assert!(instance.version() >= before, "the version decreased");
    }

    /// Checks that no withdrawn key becomes valid again on an instance, and records the keys that are
    /// withdrawn now.
    fn check(&mut self) {
        for (instance, withdrawn) in self.instances.iter().zip(&mut self.withdrawn) {
            let in_force = instance.in_force();
            for hash in in_force.config.keys.keys() {
                match in_force.valid_key(hash) {
                    Some(_) => assert!(!withdrawn.contains(hash), "{hash:?} became valid again"),
                    None if !withdrawn.contains(hash) => withdrawn.push(hash.clone()),
                    None => {}
                }
            }
        }
    }

    /// Exchanges all state, then checks that the instances have converged.
    fn deliver_all_and_compare(&mut self) {
        let withdrawn: Vec<KeyHash> = self.withdrawn.concat();
        for instance in 0..INSTANCES {
            self.step(Step::Read { to: instance });
            self.step(Step::Persist { instance });
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
                self.send(from, to);
            }
            while !self.messages.is_empty() {
                self.deliver(0, false);
            }
        }
        self.check();
        let first = &self.instances[0];
        for other in &self.instances[1..] {
            assert_eq!(other.version(), first.version());
            assert_eq!(other.digest(), first.digest());
            assert_eq!(other.in_force().effective(), first.in_force().effective());
        }
        assert_eq!(first.version(), self.stored.version());
        for hash in withdrawn {
            assert!(first.in_force().valid_key(&hash).is_none(), "{hash:?} became valid again");
        }
    }
}

fn sheet(weight: u32) -> Config {
    let organisation = Organisation {
        name: "shobdo".into(),
        weight,
        tokens_per_minute: None,
        max_running: None,
        max_waiting: 1,
    };
    let mut config = Config::default();
    config.organisations.insert(organisation.name.clone(), organisation);
    config
}

fn key(id: &str) -> Key {
    Key {
        id: id.into(),
        organisation: "shobdo".into(),
        default_class: None,
        allowed_classes: Default::default(),
        withdrawn: false,
    }
}

/// Returns a configuration that generates the same cases on every run.
fn seeded() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig {
        cases: 1_000,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against versions that decrease, withdrawn keys that become valid again, accepted
    /// edits that are lost, and instances that do not converge.
    #[test]
    fn versions_and_withdrawals_never_revert(steps in proptest::collection::vec(step(), 1..80)) {
        let mut simulation = Simulation::default();
        simulation.step(Step::Sheet { instance: 0, weight: 9, response_lost: false });
        for step in steps {
            simulation.step(step);
            simulation.check();
        }
        simulation.deliver_all_and_compare();
    }
}

/// Guards against an instance that adopts an older version, or a root with the same version and a
/// different history.
#[test]
fn an_outdated_or_diverged_root_is_ignored() {
    let mut ours = Simulation::default();
    let mut theirs = Simulation::default();
    for (simulation, weight) in [(&mut ours, 1), (&mut theirs, 2)] {
        simulation.step(Step::Sheet { instance: 0, weight, response_lost: false });
        simulation.step(Step::IssueKey { instance: 0 });
        simulation.step(Step::Read { to: 0 });
        simulation.deliver(0, false);
    }
    let diverged = theirs.stored.root.clone().expect("a root is stored");
    let instance = &mut ours.instances[0];
    let before = instance.in_force().config;

    let adoption = instance.adopt(diverged, &theirs.stored.shards);

    assert_eq!(adoption, Adoption::Diverged);
    assert_eq!(instance.in_force().config, before);
    ours.step(Step::Sheet { instance: 0, weight: 3, response_lost: false });
    let newer = ours.stored.root.clone().expect("a root is stored");
    let old = ours.instances[0].root().cloned().expect("a root is in force");
    let instance = &mut ours.instances[0];
    assert_eq!(instance.adopt(newer, &ours.stored.shards), Adoption::Adopted);
    assert_eq!(instance.adopt(old, &ours.stored.shards), Adoption::Outdated);
    assert_eq!(instance.version(), 3);
}

/// Guards against a configuration that lacks the records of a missing shard.
#[test]
fn a_root_without_all_shards_changes_nothing() {
    let mut simulation = Simulation::default();
    simulation.step(Step::Sheet { instance: 0, weight: 1, response_lost: false });
    let root = simulation.stored.root.clone().expect("a root is stored");

    let adoption = simulation.instances[0].adopt(root, &Shards::new());

    assert!(matches!(adoption, Adoption::Incomplete(missing) if !missing.is_empty()));
    assert_eq!(simulation.instances[0].version(), 0);
}
