//! Property tests of tallies and seals over interleavings of writers and reporters: each record is
//! counted in one window, and each window is reported with one total.

use std::collections::BTreeMap;

use laburnumvalve::names::OrganisationName;
use laburnumvalve::peer::generated::v1::UsageRecord;
use laburnumvalve::platform::Object;
use laburnumvalve::usage::seal::{Seal, next_seal};
use laburnumvalve::usage::tally::{Tally, TotalsByOrganisation, UsageTotals, add_totals};
use laburnumvalve::usage::writer::Records;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 0x5ea1;
const OWNERS: usize = 2;
const REPORTERS: usize = 2;
/// Clock skew of each reporter, in windows.
const CLOCK_SKEW_WINDOWS: [u64; REPORTERS] = [0, 2];

/// What happens to a write to the object API.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Answered,
    ResponseLost,
    /// The writer gets no response. The write may take effect in a later step.
    RequestDelayed,
}

/// Writer of an owner's records: the owner itself or a replica on its behalf.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Writer {
    Owner,
    Replica,
}

#[derive(Debug, Clone)]
enum Op {
    Record(usize, u8),
    ReadTally(usize, Writer),
    WriteTally(usize, Writer, CallOutcome),
    DeliverDelayedWrite(usize),
    WindowEnds,
    LoadSeals(usize),
    ListTallies(usize),
    CreateSeal(usize, CallOutcome),
    ReportSeals(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = || {
        prop_oneof![
            4 => Just(CallOutcome::Answered),
            1 => Just(CallOutcome::ResponseLost),
            1 => Just(CallOutcome::RequestDelayed),
        ]
    };
    let writer = || prop_oneof![Just(Writer::Owner), Just(Writer::Replica)];
    let (owner, reporter) = (|| 0..OWNERS, || 0..REPORTERS);
    prop_oneof![
        4 => (owner(), 0_u8..3).prop_map(|(owner, organisation)| Op::Record(owner, organisation)),
        2 => (owner(), writer()).prop_map(|(owner, writer)| Op::ReadTally(owner, writer)),
        4 => (owner(), writer(), outcome())
            .prop_map(|(owner, writer, outcome)| Op::WriteTally(owner, writer, outcome)),
        1 => (0_usize..3).prop_map(Op::DeliverDelayedWrite),
        2 => Just(Op::WindowEnds),
        1 => reporter().prop_map(Op::LoadSeals),
        3 => reporter().prop_map(Op::ListTallies),
        3 => (reporter(), outcome())
            .prop_map(|(reporter, outcome)| Op::CreateSeal(reporter, outcome)),
        2 => reporter().prop_map(Op::ReportSeals),
    ]
}

enum DelayedWrite {
    Tally(usize, String, Tally),
    Seal(Seal),
}

#[derive(Default)]
struct Reporter {
    known_seals: BTreeMap<u64, Seal>,
    listed: Option<Vec<Object<Tally>>>,
}

/// Writers, reporters and the object API that they share.
#[derive(Default)]
struct Simulation {
    window: u64,
    versions: u64,
    recorded: TotalsByOrganisation,
    sequences: [u64; OWNERS],
    unwritten: [BTreeMap<Writer, Records>; OWNERS],
    known_tallies: [BTreeMap<Writer, Object<Tally>>; OWNERS],
    tallies: BTreeMap<usize, Object<Tally>>,
    seals: BTreeMap<u64, Seal>,
    sealed_positions: BTreeMap<String, u64>,
    delayed_writes: Vec<DelayedWrite>,
    reporters: [Reporter; REPORTERS],
    reports: BTreeMap<(u64, OrganisationName), UsageTotals>,
}

fn name(owner: usize) -> String {
    format!("owner-{owner}")
}

impl Simulation {
    fn record(&mut self, owner: usize, organisation: u8) {
        self.sequences[owner] += 1;
        let sequence = self.sequences[owner];
        let organisation = format!("o{organisation}");
        let record = UsageRecord {
            sequence,
            organisation: organisation.clone(),
            prompt_tokens: 1,
            output_tokens: sequence,
            ..UsageRecord::default()
        };
        *self.recorded.entry(organisation.into()).or_default() += UsageTotals::from(&record);
        for writer in [Writer::Owner, Writer::Replica] {
            self.unwritten[owner].entry(writer).or_default().insert(sequence, record.clone());
        }
    }

    fn read(&mut self, owner: usize, writer: Writer) {
        match self.tallies.get(&owner) {
            Some(object) => self.known_tallies[owner].insert(writer, object.clone()),
            None => self.known_tallies[owner].remove(&writer),
        };
    }

    fn write(&mut self, owner: usize, writer: Writer, outcome: CallOutcome) {
        let records = self.unwritten[owner].get(&writer).cloned().unwrap_or_default();
        let known = self.known_tallies[owner].remove(&writer);
        let (version, mut tally) =
            known.map_or_else(Default::default, |object| (object.version, object.spec));
        tally.prune(self.sealed_positions.get(&name(owner)).copied().unwrap_or_default());
        tally.append(records.values());
        match outcome {
            CallOutcome::RequestDelayed => {
                self.delayed_writes.push(DelayedWrite::Tally(owner, version, tally))
            }
            CallOutcome::ResponseLost => drop(self.store_tally(owner, &version, tally)),
            CallOutcome::Answered => {
                if let Some(object) = self.store_tally(owner, &version, tally) {
                    let unwritten = self.unwritten[owner].entry(writer).or_default();
                    unwritten.retain(|sequence, _| !object.spec.counted.contains(*sequence));
                    self.known_tallies[owner].insert(writer, object);
                }
            }
        }
    }

    fn store_tally(&mut self, owner: usize, version: &str, tally: Tally) -> Option<Object<Tally>> {
        if self.tallies.get(&owner).map_or("", |object| &object.version) != version {
            return None;
        }
        self.versions += 1;
        let version = self.versions.to_string();
        let object = Object { name: name(owner), version, spec: tally };
        self.tallies.insert(owner, object.clone());
        Some(object)
    }

    fn list(&mut self, reporter: usize) {
        self.reporters[reporter].listed = Some(self.tallies.values().cloned().collect());
    }

    fn create(&mut self, reporter: usize, outcome: CallOutcome) {
        let window = self.window + CLOCK_SKEW_WINDOWS[reporter];
        let Reporter { known_seals, listed } = &mut self.reporters[reporter];
        let Some(tallies) = listed.take() else { return };
        let latest = known_seals.last_key_value().map(|(_, seal)| seal);
        let Some(seal) = next_seal(latest, &tallies, window) else { return };
        let number = seal.number;
        match outcome {
            CallOutcome::RequestDelayed => self.delayed_writes.push(DelayedWrite::Seal(seal)),
            CallOutcome::Answered | CallOutcome::ResponseLost => self.store_seal(seal),
        }
        // After a conflict or a lost response, the reporter reads the stored seal.
        if let Some(seal) = self.seals.get(&number) {
            self.reporters[reporter].known_seals.insert(number, seal.clone());
        }
    }

    fn store_seal(&mut self, seal: Seal) {
        self.seals.entry(seal.number).or_insert(seal);
    }

    fn report(&mut self, reporter: usize) {
        for seal in self.reporters[reporter].known_seals.values() {
            for (organisation, totals) in &seal.totals {
                let key = (seal.window, organisation.clone());
                let accepted = *self.reports.entry(key).or_insert(*totals);
                assert_eq!(
                    accepted, *totals,
                    "a window has two totals for an organisation, seed {SEED}"
                );
            }
            for (name, position) in &seal.sealed_positions {
                let sealed = self.sealed_positions.entry(name.clone()).or_default();
                *sealed = (*sealed).max(*position);
            }
        }
    }

    fn deliver_delayed_write(&mut self, index: usize) {
        if index >= self.delayed_writes.len() {
            return;
        }
        match self.delayed_writes.remove(index) {
            DelayedWrite::Tally(owner, version, tally) => {
                self.store_tally(owner, &version, tally);
            }
            DelayedWrite::Seal(seal) => self.store_seal(seal),
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Record(owner, organisation) => self.record(*owner, *organisation),
            Op::ReadTally(owner, writer) => self.read(*owner, *writer),
            Op::WriteTally(owner, writer, outcome) => self.write(*owner, *writer, *outcome),
            Op::DeliverDelayedWrite(index) => self.deliver_delayed_write(*index),
            Op::WindowEnds => self.window += 1,
            Op::LoadSeals(reporter) => self.load(*reporter),
            Op::ListTallies(reporter) => self.list(*reporter),
            Op::CreateSeal(reporter, outcome) => self.create(*reporter, *outcome),
            Op::ReportSeals(reporter) => self.report(*reporter),
        }
    }

    fn load(&mut self, reporter: usize) {
        self.reporters[reporter] = Reporter { known_seals: self.seals.clone(), listed: None };
    }

    /// Delivers all delayed writes, then writes all records and reports all windows.
    fn settle(&mut self) {
        while !self.delayed_writes.is_empty() {
            self.deliver_delayed_write(0);
        }
        for owner in 0..OWNERS {
            for writer in [Writer::Replica, Writer::Owner] {
                self.read(owner, writer);
                self.write(owner, writer, CallOutcome::Answered);
            }
        }
        self.load(0);
        self.list(0);
        self.window += 1 + CLOCK_SKEW_WINDOWS[1];
        self.create(0, CallOutcome::Answered);
        self.report(0);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 800,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn each_record_is_in_one_window_and_each_window_has_one_total(
        ops in prop::collection::vec(op(), 1..150),
    ) {
        let mut simulation = Simulation::default();

        ops.iter().for_each(|op| simulation.apply(op));
        simulation.settle();

        let mut sealed = TotalsByOrganisation::new();
        simulation.seals.values().for_each(|seal| add_totals(&mut sealed, &seal.totals));
        prop_assert_eq!(&sealed, &simulation.recorded, "sealed, recorded, seed {}", SEED);
        let mut reported = TotalsByOrganisation::new();
        for ((_, organisation), totals) in &simulation.reports {
            *reported.entry(organisation.clone()).or_default() += *totals;
        }
        prop_assert_eq!(&reported, &simulation.recorded, "reported, recorded, seed {}", SEED);
    }
}
