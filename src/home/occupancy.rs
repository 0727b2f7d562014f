//! Number of requests on a backend server that others admitted, from delayed engine reports.
//!
//! A report counts all requests at the time of its measurement. The requests that this home had
//! running at that time are subtracted; the remainder are the external requests, admitted by others
//! such as a previous home instance.
//!
//! Requests whose entry instance was lost, and those that other instances listed when they denied
//! being home, may still run as well. They are added to the external ones until a report measured
//! later includes them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::report::LoadReport;

/// Time for which the instance's own counts are kept for comparison with delayed reports.
const OWN_HISTORY: Duration = Duration::from_secs(10);
/// Uncertainty of the measurement time of a report.
const MEASUREMENT_UNCERTAINTY: Duration = Duration::from_millis(600);
/// Time after which such an added request counts as ended if the engine sends no report.
const UNACCOUNTED_EXPIRY: Duration = Duration::from_secs(30);

/// Requests on a server that this home did not admit or whose entry instance was lost.
#[derive(Debug, Default)]
pub struct Occupancy {
    /// Number of running requests that this home admitted, at the time of each change.
    history: VecDeque<(Instant, u32)>,
    /// For each added request, the time at which it was added.
    unaccounted: Vec<Instant>,
    /// Bounds of the number of external requests according to the latest report.
    reported: Option<(u32, u32)>,
    measured_at: Option<Instant>,
    resumes: bool,
}

impl Occupancy {
    /// Records the number of running requests that this home admitted.
    pub fn record_own(&mut self, now: Instant, own: u32) {
        // Of several counts at one instant only the last one matters.
        if self.history.back().is_some_and(|(at, _)| *at == now) {
            self.history.pop_back();
        }
        self.history.push_back((now, own));
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > OWN_HISTORY) {
            self.history.pop_front();
        }
    }

    /// Records a request whose entry instance was lost, and the number of the remaining ones.
    pub fn record_lost(&mut self, now: Instant, own: u32) {
        self.unaccounted.push(now);
        self.record_own(now, own);
    }

    /// Records requests that other instances admitted and that are still running.
    pub fn record_inherited(&mut self, now: Instant, in_flight: u32) {
        self.unaccounted.extend((0..in_flight).map(|_| now));
    }

    /// Applies a load report of the engine.
    pub fn record_report(&mut self, report: &LoadReport) {
        if self.measured_at.is_some_and(|known| report.measured_at <= known) {
            return;
        }
        self.measured_at = Some(report.measured_at);
        self.resumes = report.load.resumes;
        let (min, max) = self.own_range_around(report.measured_at);
        let total = report.total_requests();
        self.reported = Some((total.saturating_sub(max), total.saturating_sub(min)));
        self.unaccounted.retain(|at| *at >= report.measured_at);
    }

    /// Discards added requests that no report has accounted for within [`UNACCOUNTED_EXPIRY`].
    pub fn expire(&mut self, now: Instant) {
        self.unaccounted.retain(|at| now.duration_since(*at) < UNACCOUNTED_EXPIRY);
    }

    /// Returns the least possible number of external requests.
    pub fn external_min(&self) -> u32 {
        self.reported.map_or(0, |(min, _)| min) + self.unaccounted.len() as u32
    }

    /// Returns the greatest possible number of external requests.
    pub fn external_max(&self) -> u32 {
        self.reported.map_or(0, |(_, max)| max) + self.unaccounted.len() as u32
    }

    /// Returns whether the engine can resume an interrupted response.
    pub fn resumes(&self) -> bool {
        self.resumes
    }

    /// Returns the least and the greatest number of own requests around an instant.
    fn own_range_around(&self, at: Instant) -> (u32, u32) {
        let from = at.checked_sub(MEASUREMENT_UNCERTAINTY).unwrap_or(at);
        let to = at + MEASUREMENT_UNCERTAINTY;
        let before =
            self.history.iter().rev().find(|(time, _)| *time <= from).map_or(0, |(_, own)| *own);
        self.history
            .iter()
            .filter(|(time, _)| *time > from && *time <= to)
            .fold((before, before), |(min, max), (_, own)| (min.min(*own), max.max(*own)))
    }
}
