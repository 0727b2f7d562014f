//! Counts of requests by organisation in windows of true time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::names::OrganisationName;

/// Windows that are kept after their end.
const RETAINED_WINDOWS: u64 = 6;
/// Difference between the time of day and the steady clock that counts as a step, not as drift.
const MAX_DRIFT: Duration = Duration::from_millis(150);

/// Time after the end of a window in which its counts arrive in the store: a second until an
/// instance tells them, 0.3 s at each of two ranks that pass them on, a publishing period of a
/// second, a call and clocks that differ.
const SETTLE_TIME: Duration = Duration::from_millis(2_800);
/// Time after the return of the store in which counts that were held back arrive there: a
/// publishing period and a call, for an instance that notices the return half a second later.
const SETTLE_AFTER_RECOVERY: Duration = Duration::from_millis(1_700);
/// Time before a report is due at which the counts are fixed as they are: two calls.
const DEADLINE_MARGIN: Duration = Duration::from_millis(800);

/// Returns whether the counts of a window may be fixed.
///
/// `since_end` is the time since the window's end, `due` the time after its end at which its
/// report is due, and `since_return` the time since the store came back from an outage.
pub fn may_finalise(since_end: Duration, due: Duration, since_recovery: Option<Duration>) -> bool {
    let has_settled = since_recovery.is_none_or(|since| since >= SETTLE_AFTER_RECOVERY);
    since_end >= SETTLE_TIME && (has_settled || since_end + DEADLINE_MARGIN >= due)
}

/// Requests that began to run, by organisation.
pub type RequestCounts = BTreeMap<OrganisationName, u64>;

/// True time, kept from the first reading of the time of day and the steady clock.
///
/// The time of day may be stepped; a step is ignored, slow drift is followed.
#[derive(Debug, Clone, Copy)]
pub struct StepFilteredClock {
    base_unix_ms: u64,
    base_at: BootTime,
}

impl StepFilteredClock {
    /// Starts from a reading of both clocks.
    pub fn new(wall_ms: u64, now: BootTime) -> Self {
        Self { base_unix_ms: wall_ms, base_at: now }
    }

    /// Returns milliseconds since 1970.
    pub fn unix_millis(&self, now: BootTime) -> u64 {
        self.base_unix_ms + now.since(self.base_at).as_millis() as u64
    }

    /// Follows the time of day unless it was stepped; returns the step in ms if it was.
    pub fn synchronise(&mut self, wall_ms: u64, now: BootTime) -> Option<i64> {
        let step = wall_ms as i64 - self.unix_millis(now) as i64;
        if step.unsigned_abs() > MAX_DRIFT.as_millis() as u64 {
            return Some(step);
        }
        *self = Self { base_unix_ms: wall_ms, base_at: now };
        None
    }
}

/// Counts of one process by window.
pub type WindowCounts = BTreeMap<u64, RequestCounts>;

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
    pub fn increment(&mut self, process: &str, window: u64, organisation: &OrganisationName) {
        let windows = self.processes.entry(process.to_owned()).or_default();
        let counts = windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        self.drop_windows_before(window.saturating_sub(RETAINED_WINDOWS));
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
        self.drop_windows_before(self.latest_window().saturating_sub(RETAINED_WINDOWS));
    }

    /// Returns the latest window that has counts; 0 if none has.
    pub fn latest_window(&self) -> u64 {
        let latest = self.processes.values().filter_map(|windows| windows.keys().last()).max();
        latest.copied().unwrap_or_default()
    }

    /// Returns the counts that are larger than in another copy.
    fn newer_than(&self, other: &Self) -> Self {
        let mut newer = Self::default();
        for (process, windows) in &self.processes {
            for (window, counts) in windows {
                let sent = other.processes.get(process).and_then(|windows| windows.get(window));
                let is_sent = |name: &OrganisationName, count: u64| {
                    sent.and_then(|counts| counts.get(name)).is_some_and(|sent| *sent >= count)
                };
                let larger = counts.iter().filter(|(name, count)| !is_sent(name, **count));
                let larger: RequestCounts =
                    larger.map(|(name, count)| (name.clone(), *count)).collect();
                if !larger.is_empty() {
                    newer.processes.entry(process.clone()).or_default().insert(*window, larger);
                }
            }
        }
        newer
    }

    /// Returns the counts of a window over all processes.
    pub fn sum(&self, window: u64) -> RequestCounts {
        let mut total = RequestCounts::new();
        for windows in self.processes.values() {
            for (organisation, count) in windows.get(&window).into_iter().flatten() {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }

    fn drop_windows_before(&mut self, oldest: u64) {
        for windows in self.processes.values_mut() {
            windows.retain(|window, _| *window >= oldest);
        }
        self.processes.retain(|_, windows| !windows.is_empty());
    }
}

/// The counts that this instance has told to another process.
#[derive(Debug, Default)]
pub struct SentTallies {
    process: String,
    tallies: Tallies,
}

impl SentTallies {
    /// Returns what the process lacks of the known counts.
    pub fn unsent(&self, known: &Tallies) -> Tallies {
        known.newer_than(&self.tallies)
    }

    /// Notes that a process heard counts; if it is another one, it lacks all others.
    pub fn record_acknowledged(&mut self, process: String, acknowledged: &Tallies) {
        if process != self.process {
            *self = Self { process, ..Self::default() };
        }
        self.tallies.merge(acknowledged);
    }
}
