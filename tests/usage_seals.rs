//! Properties of tallies and seals over many interleavings of writers and reporters.

use std::collections::BTreeMap;

use laburnumvalve::names::OrganisationName;
use laburnumvalve::peer::generated::v1::UsageRecord;
use laburnumvalve::platform::Object;
use laburnumvalve::usage::seal::{Seal, next_seal};
use laburnumvalve::usage::tally::{Figures, FiguresByOrganisation, Tally, add_totals};
use laburnumvalve::usage::writer::Records;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 0x5ea1;
const OWNERS: usize = 2;
const REPORTERS: usize = 2;
/// Windows by which the clocks of the reporters differ.
const SKEW: [u64; REPORTERS] = [0, 2];

#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Delayed,
}

/// Who writes the records of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Writer {
    Owner,
    Keeper,
}

#[derive(Debug, Clone)]
enum Op {
    Record(usize, u8),
    Read(usize, Writer),
    Write(usize, Writer, Fate),
    Land(usize),
    WindowEnds,
    Load(usize),
    List(usize),
    Create(usize, Fate),
    Report(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let fate = || prop_oneof![4 => Just(Fate::Answered), 1 => Just(Fate::AnswerLost), 1 => Just(Fate::Delayed)];
    let writer = || prop_oneof![Just(Writer::Owner), Just(Writer::Keeper)];
    let (owner, reporter) = (|| 0..OWNERS, || 0..REPORTERS);
    prop_oneof![
        4 => (owner(), 0_u8..3).prop_map(|(owner, organisation)| Op::Record(owner, organisation)),
        2 => (owner(), writer()).prop_map(|(owner, writer)| Op::Read(owner, writer)),
        4 => (owner(), writer(), fate()).prop_map(|(owner, by, fate)| Op::Write(owner, by, fate)),
        1 => (0_usize..3).prop_map(Op::Land),
        2 => Just(Op::WindowEnds),
        1 => reporter().prop_map(Op::Load),
        3 => reporter().prop_map(Op::List),
        3 => (reporter(), fate()).prop_map(|(reporter, fate)| Op::Create(reporter, fate)),
        2 => reporter().prop_map(Op::Report),
    ]
}

enum Delayed {
    Tally(usize, String, Tally),
    Seal(Seal),
}

#[derive(Default)]
struct Reporter {
    known: BTreeMap<u64, Seal>,
    listed: Option<Vec<Object<Tally>>>,
}

#[derive(Default)]
struct World {
    window: u64,
    versions: u64,
    recorded: FiguresByOrganisation,
    sequences: [u64; OWNERS],
    records: [BTreeMap<Writer, Records>; OWNERS],
    known: [BTreeMap<Writer, Object<Tally>>; OWNERS],
    tallies: BTreeMap<usize, Object<Tally>>,
    seals: BTreeMap<u64, Seal>,
    sealed_marks: BTreeMap<String, u64>,
    delayed: Vec<Delayed>,
    reporters: [Reporter; REPORTERS],
    reports: BTreeMap<(u64, OrganisationName), Figures>,
}

fn name(owner: usize) -> String {
    format!("owner-{owner}")
}

impl World {
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
        *self.recorded.entry(organisation.into()).or_default() += Figures::from(&record);
        for writer in [Writer::Owner, Writer::Keeper] {
            self.records[owner].entry(writer).or_default().insert(sequence, record.clone());
        }
    }

    fn read(&mut self, owner: usize, writer: Writer) {
        match self.tallies.get(&owner) {
            Some(object) => self.known[owner].insert(writer, object.clone()),
            None => self.known[owner].remove(&writer),
        };
    }

    fn write(&mut self, owner: usize, writer: Writer, fate: Fate) {
        let records = self.records[owner].get(&writer).cloned().unwrap_or_default();
        let known = self.known[owner].remove(&writer);
        let (version, mut tally) = known.map_or_else(Default::default, |o| (o.version, o.spec));
        tally.prune(self.sealed_marks.get(&name(owner)).copied().unwrap_or_default());
        tally.append(records.values());
        match fate {
            Fate::Delayed => self.delayed.push(Delayed::Tally(owner, version, tally)),
            Fate::AnswerLost => drop(self.store_tally(owner, &version, tally)),
            Fate::Answered => {
                if let Some(object) = self.store_tally(owner, &version, tally) {
                    let open = self.records[owner].entry(writer).or_default();
                    open.retain(|sequence, _| !object.spec.taken.contains(*sequence));
                    self.known[owner].insert(writer, object);
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

    fn create(&mut self, reporter: usize, fate: Fate) {
        let window = self.window + SKEW[reporter];
        let Reporter { known, listed } = &mut self.reporters[reporter];
        let Some(tallies) = listed.take() else { return };
        let latest = known.last_key_value().map(|(_, seal)| seal);
        let Some(seal) = next_seal(latest, &tallies, window) else { return };
        let number = seal.number;
        match fate {
            Fate::Delayed => self.delayed.push(Delayed::Seal(seal)),
            Fate::Answered | Fate::AnswerLost => self.store_seal(seal),
        }
        // A conflict and a lost answer are both settled by reading the seal back.
        if let Some(seal) = self.seals.get(&number) {
            self.reporters[reporter].known.insert(number, seal.clone());
        }
    }

    fn store_seal(&mut self, seal: Seal) {
        self.seals.entry(seal.number).or_insert(seal);
    }

    fn report(&mut self, reporter: usize) {
        for seal in self.reporters[reporter].known.values() {
            for (organisation, figures) in &seal.figures {
                let key = (seal.window, organisation.clone());
                let accepted = *self.reports.entry(key).or_insert(*figures);
                assert_eq!(accepted, *figures, "a window has two figures, seed {SEED}");
            }
            for (name, mark) in &seal.marks {
                let sealed = self.sealed_marks.entry(name.clone()).or_default();
                *sealed = (*sealed).max(*mark);
            }
        }
    }

    fn land(&mut self, index: usize) {
        if index >= self.delayed.len() {
            return;
        }
        match self.delayed.remove(index) {
            Delayed::Tally(owner, version, tally) => {
                self.store_tally(owner, &version, tally);
            }
            Delayed::Seal(seal) => self.store_seal(seal),
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Record(owner, organisation) => self.record(*owner, *organisation),
            Op::Read(owner, writer) => self.read(*owner, *writer),
            Op::Write(owner, writer, fate) => self.write(*owner, *writer, *fate),
            Op::Land(index) => self.land(*index),
            Op::WindowEnds => self.window += 1,
            Op::Load(reporter) => self.load(*reporter),
            Op::List(reporter) => self.list(*reporter),
            Op::Create(reporter, fate) => self.create(*reporter, *fate),
            Op::Report(reporter) => self.report(*reporter),
        }
    }

    fn load(&mut self, reporter: usize) {
        self.reporters[reporter] = Reporter { known: self.seals.clone(), listed: None };
    }

    /// Lets every delayed write land, every record be written and every window be reported.
    fn settle(&mut self) {
        while !self.delayed.is_empty() {
            self.land(0);
        }
        for owner in 0..OWNERS {
            for writer in [Writer::Keeper, Writer::Owner] {
                self.read(owner, writer);
                self.write(owner, writer, Fate::Answered);
            }
        }
        self.load(0);
        self.list(0);
        self.window += 1 + SKEW[1];
        self.create(0, Fate::Answered);
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
    fn each_record_is_in_one_window_and_each_window_has_one_figure(
        ops in prop::collection::vec(op(), 1..150),
    ) {
        let mut world = World::default();

        ops.iter().for_each(|op| world.apply(op));
        world.settle();

        let mut sealed = FiguresByOrganisation::new();
        world.seals.values().for_each(|seal| add_totals(&mut sealed, &seal.figures));
        prop_assert_eq!(&sealed, &world.recorded, "sealed, recorded, seed {}", SEED);
        let mut reported = FiguresByOrganisation::new();
        for ((_, organisation), figures) in &world.reports {
            *reported.entry(organisation.clone()).or_default() += *figures;
        }
        prop_assert_eq!(&reported, &world.recorded, "reported, recorded, seed {}", SEED);
    }
}
