//! Counts of requests by organisation in windows of true time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::names::OrganisationName;

/// Windows that are kept after their end.
const KEPT_WINDOWS: u64 = 6;
/// Difference between the time of day and the steady clock that counts as a step, not as drift.
const MAX_DRIFT: Duration = Duration::from_millis(150);

/// Time after the end of a window in which its counts arrive in the store: a second until an
/// instance tells them, 0.3 s at each of two ranks that pass them on, a publishing period of a
/// second, a call and clocks that differ.
const SETTLE: Duration = Duration::from_millis(2_800);
/// Time after the return of the store in which counts that were held back arrive there: a
/// publishing period and a call, for an instance that notices the return half a second later.
const SETTLE_AFTER_RETURN: Duration = Duration::from_millis(1_700);
/// Time before a report is due at which the counts are fixed as they are: two calls.
const DUE_MARGIN: Duration = Duration::from_millis(800);

/// Returns whether the counts of a window may be fixed.
///
/// `since_end` is the time since the window's end, `due` the time after its end at which its
/// report is due, and `since_return` the time since the store came back from an outage.
pub fn may_fix(since_end: Duration, due: Duration, since_return: Option<Duration>) -> bool {
    let has_settled = since_return.is_none_or(|since| since >= SETTLE_AFTER_RETURN);
    since_end >= SETTLE && (has_settled || since_end + DUE_MARGIN >= due)
}

/// Requests that began to run, by organisation.
pub type Counts = BTreeMap<OrganisationName, u64>;

/// True time, kept from the first reading of the time of day and the steady clock.
///
/// The time of day may be stepped; a step is ignored, slow drift is followed.
#[derive(Debug, Clone, Copy)]
pub struct TrueTime {
    base_ms: u64,
    at: BootTime,
}

impl TrueTime {
    /// Starts from a reading of both clocks.
    pub fn new(wall_ms: u64, now: BootTime) -> Self {
        Self { base_ms: wall_ms, at: now }
    }

    /// Returns milliseconds since 1970.
    pub fn millis(&self, now: BootTime) -> u64 {
        self.base_ms + now.since(self.at).as_millis() as u64
    }

    /// Follows the time of day unless it was stepped; returns the step in ms if it was.
    pub fn follow(&mut self, wall_ms: u64, now: BootTime) -> Option<i64> {
        let step = wall_ms as i64 - self.millis(now) as i64;
        if step.unsigned_abs() > MAX_DRIFT.as_millis() as u64 {
            return Some(step);
        }
        *self = Self { base_ms: wall_ms, at: now };
        None
    }
}

/// Counts of one process by window.
pub type WindowCounts = BTreeMap<u64, Counts>;

/// Counts of the latest windows, by the process that counted.
///
/// Counts of one process only grow, so copies are merged by taking the larger figure: a
/// grow-only counter, which may arrive late, twice and on several ways.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tallies {
    processes: BTreeMap<String, WindowCounts>,
}

impl Tallies {
    /// Counts one request that began to run in a window.
    pub fn count(&mut self, process: &str, window: u64, organisation: &OrganisationName) {
        let windows = self.processes.entry(process.to_owned()).or_default();
        let counts = windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        self.forget_before(window.saturating_sub(KEPT_WINDOWS));
    }

    /// Takes counts from another copy.
    pub fn merge(&mut self, other: &Self) {
        for (process, windows) in &other.processes {
            let own = self.processes.entry(process.clone()).or_default();
            for (window, counts) in windows {
                let own = own.entry(*window).or_default();
                for (organisation, count) in counts {
                    let own = own.entry(organisation.clone()).or_default();
                    *own = (*own).max(*count);
                }
            }
        }
        self.forget_before(self.latest_window().saturating_sub(KEPT_WINDOWS));
    }

    /// Returns the latest window that has counts; 0 if none has.
    pub fn latest_window(&self) -> u64 {
        let latest = self.processes.values().filter_map(|windows| windows.keys().last()).max();
        latest.copied().unwrap_or_default()
    }

    /// Returns the counts that are larger than in another copy.
    fn since(&self, other: &Self) -> Self {
        let mut more = Self::default();
        for (process, windows) in &self.processes {
            for (window, counts) in windows {
                let told = other.processes.get(process).and_then(|windows| windows.get(window));
                let is_told = |name: &OrganisationName, count: u64| {
                    told.and_then(|counts| counts.get(name)).is_some_and(|told| *told >= count)
                };
                let larger = counts.iter().filter(|(name, count)| !is_told(name, **count));
                let larger: Counts = larger.map(|(name, count)| (name.clone(), *count)).collect();
                if !larger.is_empty() {
                    more.processes.entry(process.clone()).or_default().insert(*window, larger);
                }
            }
        }
        more
    }

    /// Returns the counts of a window over all processes.
    pub fn add_up(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        for windows in self.processes.values() {
            for (organisation, count) in windows.get(&window).into_iter().flatten() {
                *sum.entry(organisation.clone()).or_default() += count;
            }
        }
        sum
    }

    fn forget_before(&mut self, oldest: u64) {
        for windows in self.processes.values_mut() {
            windows.retain(|window, _| *window >= oldest);
        }
        self.processes.retain(|_, windows| !windows.is_empty());
    }
}

/// The counts that this instance has told to another process.
#[derive(Debug, Default)]
pub struct Told {
    process: String,
    tallies: Tallies,
}

impl Told {
    /// Returns what the process lacks of the known counts.
    pub fn lacking(&self, known: &Tallies) -> Tallies {
        known.since(&self.tallies)
    }

    /// Notes that a process heard counts; if it is another one, it lacks all others.
    pub fn note(&mut self, process: String, heard: &Tallies) {
        if process != self.process {
            *self = Self { process, ..Self::default() };
        }
        self.tallies.merge(heard);
    }
}
