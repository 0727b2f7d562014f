//! Request counts per organisation and time window.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::clock::BootTime;
use crate::names::{InstanceName, OrganisationName};

/// Number of past windows that are retained.
const RETAINED_WINDOWS: u64 = 6;
/// Largest difference between the wall clock and the monotonic clock that is treated as drift; a
/// larger one is a step.
const MAX_DRIFT: Duration = Duration::from_millis(150);

/// Time after the end of a window within which its counts arrive in the store: 1 s until an
/// instance sends them, 0.3 s at each of two relaying levels, a publishing period of 1 s, and a
/// margin for the store call and clock skew.
const SETTLE_TIME: Duration = Duration::from_millis(2_800);
/// Time after the recovery of the store within which delayed counts arrive there: 0.5 s until an
/// instance detects the recovery, a publishing period and a call.
const SETTLE_AFTER_RECOVERY: Duration = Duration::from_millis(1_700);
/// Time before the deadline of a report at which its counts are finalised even if some may be
/// missing; leaves time for two calls.
const DEADLINE_MARGIN: Duration = Duration::from_millis(800);

/// Returns whether the counts of a window may be finalised.
///
/// `since_end` is the time since the window's end, `max_report_delay` the time from that end to the
/// deadline of its report, and `since_recovery` the time since the store recovered from an outage.
pub fn may_finalise(
    since_end: Duration,
    max_report_delay: Duration,
    since_recovery: Option<Duration>,
) -> bool {
    let has_settled = since_recovery.is_none_or(|since| since >= SETTLE_AFTER_RECOVERY);
    since_end >= SETTLE_TIME && (has_settled || since_end + DEADLINE_MARGIN >= max_report_delay)
}

/// Maximum difference of the wall clocks of two instances that is allowed for.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_millis(1_000);

/// Returns whether a window may be sealed in an era of the store: no earlier than its beginning could
/// the window have been sealed for the first time. Both times are since the Unix epoch.
pub fn may_seal_in_era(window_end: Duration, era_began: Duration) -> bool {
    window_end + SETTLE_TIME >= era_began + MAX_CLOCK_DIFFERENCE
}

/// Number of requests that started to run, by organisation.
pub type RequestCounts = BTreeMap<OrganisationName, u64>;

/// Wall clock that is advanced by the monotonic clock.
///
/// It follows slow drift of the system's wall clock and ignores steps.
#[derive(Debug, Clone, Copy)]
pub struct StepFilteredClock {
    base_unix_ms: u64,
    base_at: BootTime,
}

impl StepFilteredClock {
    /// Creates a clock from simultaneous readings of the wall clock and the monotonic clock.
    pub fn new(wall_ms: u64, now: BootTime) -> Self {
        Self { base_unix_ms: wall_ms, base_at: now }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn unix_millis(&self, now: BootTime) -> u64 {
        self.base_unix_ms + now.since(self.base_at).as_millis() as u64
    }

    /// Synchronises with the wall clock, unless it was stepped; in that case returns the step in
    /// ms.
    pub fn synchronise(&mut self, wall_ms: u64, now: BootTime) -> Option<i64> {
        let step = wall_ms as i64 - self.unix_millis(now) as i64;
        if step.unsigned_abs() > MAX_DRIFT.as_millis() as u64 {
            return Some(step);
        }
        *self = Self { base_unix_ms: wall_ms, base_at: now };
        None
    }
}

/// Request counts of one process, by window.
pub type WindowCounts = BTreeMap<u64, RequestCounts>;

/// Request counts of the latest windows, by the process that counted them.
///
/// A grow-only counter (G-counter): the counts of a process never decrease, so copies are merged by
/// taking the maximum. Updates may arrive late, repeatedly or over several paths.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tallies {
    processes: BTreeMap<String, WindowCounts>,
}

impl Tallies {
    /// Counts one request that started to run in a window.
    pub fn increment(&mut self, process: &str, window: u64, organisation: &OrganisationName) {
        let windows = self.processes.entry(process.to_owned()).or_default();
        let counts = windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
        self.drop_windows_before(window.saturating_sub(RETAINED_WINDOWS));
    }

    /// Merges the counts of another copy.
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

    /// Returns the latest window with counts; 0 if there are none.
    pub fn latest_window(&self) -> u64 {
        let latest = self.processes.values().filter_map(|windows| windows.keys().last()).max();
        latest.copied().unwrap_or_default()
    }

    /// Returns the counts that exceed those of another copy.
    fn newer_than(&self, other: &Self) -> Self {
        let mut newer = Self::default();
        for (process, windows) in &self.processes {
            for (window, counts) in windows {
                let other_counts =
                    other.processes.get(process).and_then(|windows| windows.get(window));
                let is_known = |name: &OrganisationName, count: u64| {
                    other_counts
                        .and_then(|counts| counts.get(name))
                        .is_some_and(|known| *known >= count)
                };
                let larger = counts.iter().filter(|(name, count)| !is_known(name, **count));
                let larger: RequestCounts =
                    larger.map(|(name, count)| (name.clone(), *count)).collect();
                if !larger.is_empty() {
                    newer.processes.entry(process.clone()).or_default().insert(*window, larger);
                }
            }
        }
        newer
    }

    /// Returns the counts of a window, summed over all processes.
    pub fn sum(&self, window: u64) -> RequestCounts {
        let mut total = RequestCounts::new();
        for windows in self.processes.values() {
            for (organisation, count) in windows.get(&window).into_iter().flatten() {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }

    /// Drops all windows outside of a range.
    pub fn retain_windows(&mut self, range: RangeInclusive<u64>) {
        for windows in self.processes.values_mut() {
            windows.retain(|window, _| range.contains(window));
        }
        self.processes.retain(|_, windows| !windows.is_empty());
    }

    fn drop_windows_before(&mut self, oldest: u64) {
        self.retain_windows(oldest..=u64::MAX);
    }
}

/// Counts that another process has acknowledged.
///
/// Counts are sent only to a peer whose last response was usable. In an outage of the store, when
/// instances try one peer after another, each would otherwise get the counts of all the others.
#[derive(Debug, Default)]
pub struct SentTallies {
    process: String,
    tallies: Tallies,
    usable_peer: Option<InstanceName>,
}

impl SentTallies {
    /// Returns the known counts that the peer has not acknowledged, including those that were sent
    /// without an acknowledgement; none if its last response was not usable.
    pub fn unsent(&self, peer: &InstanceName, known: &Tallies) -> Tallies {
        if self.is_usable(peer) { known.newer_than(&self.tallies) } else { Tallies::default() }
    }

    /// Returns whether the last pull was answered by this peer with usable state.
    pub fn is_usable(&self, peer: &InstanceName) -> bool {
        self.usable_peer.as_ref() == Some(peer)
    }

    /// Records whether the response of a peer was usable.
    pub fn record_response(&mut self, peer: &InstanceName, is_usable: bool) {
        self.usable_peer = is_usable.then(|| peer.clone());
    }

    /// Records that a process acknowledged counts. If it is a different process than before, counts
    /// acknowledged by the previous one are discarded.
    pub fn record_acknowledged(&mut self, process: String, acknowledged: &Tallies) {
        if process != self.process {
            self.process = process;
            self.tallies = Tallies::default();
        }
        self.tallies.merge(acknowledged);
    }
}
