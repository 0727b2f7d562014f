//! How many requests of others run on a backend server, from the engine's late reports.
//!
//! A report counts all requests, measured some time ago. What this home had running at that time
//! is subtracted; the rest belongs to others, such as a previous home instance.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::report::LoadReport;

/// How long the instance's own counts are kept to be compared with late reports.
const OWN_HISTORY: Duration = Duration::from_secs(10);
/// Uncertainty of the time at which a report was measured.
const MEASUREMENT_UNCERTAINTY: Duration = Duration::from_millis(600);
/// Time after which requests of lost entries count as ended if the engine reports nothing.
const LOST_EXPIRY: Duration = Duration::from_secs(30);

/// The requests on a server that this home did not admit or lost sight of.
#[derive(Debug, Default)]
pub struct Occupancy {
    history: VecDeque<(Instant, u32)>,
    lost: Vec<Instant>,
    /// Least and greatest count of others that the latest report allows.
    reported: Option<(u32, u32)>,
    measured_at: Option<Instant>,
    resumes: bool,
}

impl Occupancy {
    /// Takes note of how many requests this home has running.
    pub fn record_own(&mut self, now: Instant, own: u32) {
        // Only the last count of an instant matters; those before lasted no time.
        if self.history.back().is_some_and(|(at, _)| *at == now) {
            self.history.pop_back();
        }
        self.history.push_back((now, own));
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > OWN_HISTORY) {
            self.history.pop_front();
        }
    }

    /// Takes note of a request whose entry is lost.
    pub fn record_lost(&mut self, now: Instant, own: u32) {
        self.lost.push(now);
        self.record_own(now, own);
    }

    /// Takes over the requests that an earlier home admitted.
    pub fn record_inherited(&mut self, now: Instant, in_flight: u32) {
        self.lost.extend((0..in_flight).map(|_| now));
    }

    /// Takes note of a report of the engine.
    pub fn record_report(&mut self, report: &LoadReport) {
        if self.measured_at.is_some_and(|known| report.measured_at <= known) {
            return;
        }
        self.measured_at = Some(report.measured_at);
        self.resumes = report.load.resumes;
        let (min, max) = self.own_range_around(report.measured_at);
        let total = report.total_requests();
        self.reported = Some((total.saturating_sub(max), total.saturating_sub(min)));
        self.lost.retain(|at| *at >= report.measured_at);
    }

    /// Forgets lost requests after a long time without reports.
    pub fn expire(&mut self, now: Instant) {
        self.lost.retain(|at| now.duration_since(*at) < LOST_EXPIRY);
    }

    /// Returns how many requests of others run at least.
    pub fn external_min(&self) -> u32 {
        self.reported.map_or(0, |(min, _)| min) + self.lost.len() as u32
    }

    /// Returns how many requests of others may run at most.
    pub fn external_max(&self) -> u32 {
        self.reported.map_or(0, |(_, max)| max) + self.lost.len() as u32
    }

    /// Returns whether the engine said that it goes on with broken answers.
    pub fn resumes(&self) -> bool {
        self.resumes
    }

    /// Returns the least and the greatest own count around an instant.
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
