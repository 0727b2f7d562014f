//! Holders of the duty lease that seal and report windows, while the store comes back from copies at
//! any moment and calls take effect late.

use std::collections::BTreeMap;

use laburnumvalve::platform::{Object, PlatformError};
use laburnumvalve::routing::revision::{era_of, in_era, number_of};
use laburnumvalve::routing::seals::{
    Seal, SealStep, StoredSeal, first_step, step_after_confirm, step_after_create, step_after_read,
};
use laburnumvalve::routing::windows::RequestCounts;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const HOLDERS: usize = 3;
const STEPS: usize = 400;
const SEEDS: u64 = 4_000;

/// A write to the one seal of a window.
#[derive(Clone)]
enum Write {
    Create(Seal),
    Update(String, Seal),
}

/// The store, as far as one window goes. Small numbers of revisions are given out again.
#[derive(Clone, Default)]
struct WindowStore {
    era: u64,
    revision: u64,
    seal: Option<(u64, Seal)>,
    /// Published counts, which still grow after the window has ended.
    count: u64,
}

impl WindowStore {
    fn write(&mut self, write: &Write) -> Result<String, PlatformError> {
        let seal = match (write, &self.seal) {
            (Write::Create(seal), None) => seal,
            (Write::Update(_, _), None) => return Err(PlatformError::NotFound),
            (Write::Update(version, seal), Some((known, _)))
                if version.parse().map(number_of) == Ok(*known) =>
            {
                seal
            }
            _ => return Err(PlatformError::Conflict),
        };
        self.revision += 1;
        self.seal = Some((self.revision, seal.clone()));
        Ok(in_era(self.era, self.revision).to_string())
    }

    fn read(&self) -> Result<Object<StoredSeal>, PlatformError> {
        let (revision, seal) = self.seal.clone().ok_or(PlatformError::NotFound)?;
        let version = in_era(self.era, revision).to_string();
        Ok(Object { name: "7".to_owned(), version, spec: StoredSeal::Current(seal) })
    }
}

/// A process that takes itself for the holder of the lease.
struct SealingHolder {
    /// Latest era that it has heard of, and the one in which it began with the window.
    heard: u64,
    began_in: u64,
    /// Counts that it has read for the seal.
    counted: u64,
    step: Option<SealStep>,
    confirmed: Option<RequestCounts>,
}

impl SealingHolder {
    fn new(era: u64) -> Self {
        Self { heard: era, began_in: era, counted: 0, step: None, confirmed: None }
    }
}

/// A window that ended in the first era, whose store comes back from copies.
struct World {
    rng: StdRng,
    store: WindowStore,
    copy: WindowStore,
    holders: Vec<SealingHolder>,
    in_flight: Vec<Write>,
    reported: Vec<RequestCounts>,
}

impl World {
    fn new(seed: u64) -> Self {
        let store = WindowStore { era: 1, ..WindowStore::default() };
        let holders = (0..HOLDERS).map(|_| SealingHolder::new(1)).collect();
        let (rng, copy) = (StdRng::seed_from_u64(seed), store.clone());
        Self { rng, store, copy, holders, in_flight: Vec::new(), reported: Vec::new() }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0 => self.store.count += 1,
            // Changes of other objects take revisions, too.
            1 => self.store.revision += self.rng.random_range(0..3),
            2 => self.copy = self.store.clone(),
            3 if self.rng.random_bool(0.3) => {
                self.store = WindowStore { era: self.store.era + 1, ..self.copy.clone() };
            }
            4 => {
                let holder = self.rng.random_range(0..HOLDERS);
                self.holders[holder] = SealingHolder::new(self.store.era);
            }
            5..8 if !self.in_flight.is_empty() => {
                let index = self.rng.random_range(0..self.in_flight.len());
                // Nobody waits for the response any more.
                let _ = self.store.write(&self.in_flight.swap_remove(index));
            }
            8 => {
                let holder = self.rng.random_range(0..HOLDERS);
                self.holders[holder].heard = self.store.era;
            }
            _ => self.advance(),
        }
    }

    fn write(&mut self, write: Write) -> Result<String, PlatformError> {
        match self.rng.random_range(0..6) {
            0 => {
                self.in_flight.push(write);
                Err(PlatformError::Unknown("delayed".to_owned()))
            }
            1 => {
                let _ = self.store.write(&write);
                Err(PlatformError::Unknown("response lost".to_owned()))
            }
            _ => self.store.write(&write),
        }
    }

    /// Makes the next call of one holder.
    fn advance(&mut self) {
        let index = self.rng.random_range(0..HOLDERS);
        let holder = &mut self.holders[index];
        if let Some(counts) = &holder.confirmed {
            self.reported.push(counts.clone());
            return;
        }
        let (heard, counted) = (holder.heard, holder.counted);
        let Some(step) = holder.step.take() else {
            holder.began_in = heard;
            holder.counted = self.store.count;
            // Only in the first era can the window be sealed for the first time.
            holder.step = Some(first_step(heard == 1));
            return;
        };
        let may_create = holder.began_in == 1;
        let next = match step {
            SealStep::Create => {
                let counts = RequestCounts::from([("timers".into(), counted)]);
                let seal = Seal { era: holder.began_in, counts, is_confirmed: false };
                let result = self.write(Write::Create(seal.clone()));
                step_after_create(seal, result)
            }
            SealStep::Read => step_after_read(may_create, self.store.read()),
            SealStep::Confirm(version, seal) => {
                let is_current = version.parse().map(era_of) == Ok(heard);
                let result = match is_current {
                    true => self.write(Write::Update(version, seal.clone())),
                    false => Err(PlatformError::Conflict),
                };
                step_after_confirm(seal, result)
            }
            SealStep::Report(counts) => {
                self.holders[index].confirmed = Some(counts);
                return;
            }
            SealStep::GiveUp => return,
        };
        self.holders[index].step = next.ok();
    }
}

/// Guards against two reports of a window with different counts, whatever the order of calls, of late
/// writes and of returns of the store from a copy.
#[test]
fn window_is_reported_with_the_same_counts_over_returns_of_the_store() {
    let mut reported = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed);

        (0..STEPS).for_each(|_| world.step());

        reported += usize::from(!world.reported.is_empty());
        world.reported.dedup();
        assert!(world.reported.len() <= 1, "seed {seed}: {:?}", world.reported);
    }
    assert!(reported > SEEDS as usize / 4, "only {reported} windows were reported");
}

/// Guards against a window that can no longer be reported because an earlier version has sealed it.
#[rstest]
#[case::earlier_version(r#"{"timers":3}"#)]
#[case::this_version(r#"{"era":2,"counts":{"timers":3},"is_confirmed":true}"#)]
fn confirmed_seal_is_reported(#[case] stored: &str) {
    let spec = serde_json::from_str(stored).expect("it is a seal");
    let object = Object { name: "7".to_owned(), version: in_era(3, 9).to_string(), spec };

    let step = step_after_read(false, Ok(object));

    assert_eq!(step, Ok(SealStep::Report(BTreeMap::from([("timers".into(), 3)]))));
}
