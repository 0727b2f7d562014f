//! How many requests of others run on a backend server, from the engine's late reports.
//!
//! A report counts all requests, measured some time ago. What this home had running at that time
//! is subtracted; the rest belongs to others, such as a previous home instance.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use super::report::Report;

/// How long the instance's own counts are kept to be compared with late reports.
const HISTORY: Duration = Duration::from_secs(10);
/// Uncertainty of the time at which a report was measured.
const MEASURED_WITHIN: Duration = Duration::from_millis(600);
/// Time after which requests of lost entries count as ended if the engine reports nothing.
const LOST_EXPIRY: Duration = Duration::from_secs(30);

/// The requests on a server that this home did not admit or lost sight of.
#[derive(Debug, Default)]
pub struct Occupancy {
    history: VecDeque<(Instant, u32)>,
    lost: Vec<Instant>,
    /// Least and greatest count of others that the latest report allows.
    reported: Option<(u32, u32)>,
    measured: Option<Instant>,
    resumes: bool,
}

impl Occupancy {
    /// Takes note of how many requests this home has running.
    pub fn set_own(&mut self, now: Instant, own: u32) {
        // Only the last count of an instant matters; those before lasted no time.
        if self.history.back().is_some_and(|(at, _)| *at == now) {
            self.history.pop_back();
        }
        self.history.push_back((now, own));
        while self.history.get(1).is_some_and(|(at, _)| now.duration_since(*at) > HISTORY) {
            self.history.pop_front();
        }
    }

    /// Takes note of a request whose entry is lost.
    pub fn lose(&mut self, now: Instant, own: u32) {
        self.lost.push(now);
        self.set_own(now, own);
    }

    /// Takes over the requests that an earlier home admitted.
    pub fn adopt(&mut self, now: Instant, in_flight: u32) {
        self.lost.extend((0..in_flight).map(|_| now));
    }

    /// Takes note of a report of the engine.
    pub fn report(&mut self, report: &Report) {
        if self.measured.is_some_and(|known| report.measured <= known) {
            return;
        }
        self.measured = Some(report.measured);
        self.resumes = report.load.resumes;
        let (least, most) = self.own_around(report.measured);
        let held = report.held();
        self.reported = Some((held.saturating_sub(most), held.saturating_sub(least)));
        self.lost.retain(|at| *at >= report.measured);
    }

    /// Forgets lost requests after a long time without reports.
    pub fn expire(&mut self, now: Instant) {
        self.lost.retain(|at| now.duration_since(*at) < LOST_EXPIRY);
    }

    /// Returns how many requests of others run at least.
    pub fn foreign(&self) -> u32 {
        self.reported.map_or(0, |(least, _)| least) + self.lost.len() as u32
    }

    /// Returns how many requests of others may run at most.
    pub fn foreign_at_most(&self) -> u32 {
        self.reported.map_or(0, |(_, most)| most) + self.lost.len() as u32
    }

    /// Returns whether the engine said that it goes on with broken answers.
    pub fn resumes(&self) -> bool {
        self.resumes
    }

    /// Returns the least and the greatest own count around an instant.
    fn own_around(&self, at: Instant) -> (u32, u32) {
        let from = at.checked_sub(MEASURED_WITHIN).unwrap_or(at);
        let to = at + MEASURED_WITHIN;
        let before =
            self.history.iter().rev().find(|(time, _)| *time <= from).map_or(0, |(_, own)| *own);
        self.history
            .iter()
            .filter(|(time, _)| *time > from && *time <= to)
            .fold((before, before), |(least, most), (_, own)| (least.min(*own), most.max(*own)))
    }
}
