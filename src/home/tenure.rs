//! How much a home instance may grant on a cold server while others may believe to be its home.
//!
//! Views of the fleet differ for some seconds, so two or more instances can grant slots on one
//! server at a time. Three rules keep their sum within the server's cold limit:
//!
//! 1. An instance in doubt, which is one that can't tell that every other listed instance hears
//!    it, grants by rank: the instance at rank `r` of the home order has `cold_limit / 2^(r+1)`
//!    slots, rounded up for rank 0 and down for the others. These shares add up to `cold_limit` at
//!    most.
//! 2. A new home grants nothing before all other instances have said that they are not home of
//!    the server. Where one doesn't answer or is still home, the new home waits for a hold time and
//!    a report that the engine measured after the tenure began; then it grants its share by rank.
//! 3. What the engine reports beyond the instance's own requests is taken off.
//!
//! The previous home grants up to the whole limit only while every other instance hears it, and
//! an instance that hears it doesn't become home; when that ends it grants within its share, so
//! what it holds can only fall towards the share. The new home's slots are within its own share
//! and within what the report leaves free.

use std::time::Duration;

use tokio::time::Instant;

/// Time that a new home waits for a previous home that doesn't answer.
pub const HOLD: Duration = Duration::from_secs(4);

/// Time after which a standing that was not renewed counts as doubtful, as after a pause.
const STANDING_EXPIRY: Duration = Duration::from_millis(1_500);

/// What an instance knows of its place among possible homes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Position in the home order, from 0.
    pub rank: u32,
    /// Whether some listed instance may not hear this one.
    pub doubt: bool,
}

/// The time in which an instance is home of a backend server.
#[derive(Debug, Clone)]
pub struct Tenure {
    since: Instant,
    standing: Standing,
    renewed: Instant,
    given_up: bool,
    reported: bool,
}

impl Tenure {
    /// Begins a tenure; nothing is granted on a cold server yet.
    pub fn new(now: Instant, standing: Standing) -> Self {
        Self { since: now, standing, renewed: now, given_up: false, reported: false }
    }

    /// Takes over a renewed standing.
    pub fn set_standing(&mut self, now: Instant, standing: Standing) {
        self.standing = standing;
        self.renewed = now;
    }

    /// Takes note that no other instance grants slots from an earlier tenure.
    pub fn previous_gave_up(&mut self) {
        self.given_up = true;
    }

    /// Takes note of an engine report measured at an instant.
    pub fn reported(&mut self, measured: Instant) {
        self.reported |= measured > self.since;
    }

    /// Returns how many requests this instance may have running on a cold server.
    ///
    /// `foreign` is the number of requests on the server that others sent; `reports` tells whether
    /// the server reports its load at all.
    pub fn cold_allowance(
        &self,
        now: Instant,
        cold_limit: u32,
        foreign: u32,
        reports: bool,
    ) -> u32 {
        let held = now >= self.since + HOLD && (self.reported || !reports);
        let doubt = self.standing.doubt || now > self.renewed + STANDING_EXPIRY;
        let cap = match (self.given_up, doubt) {
            (true, false) => cold_limit,
            (true, true) => share(self.standing.rank, cold_limit),
            (false, _) if held => share(self.standing.rank, cold_limit),
            (false, _) => 0,
        };
        cap.min(cold_limit.saturating_sub(foreign))
    }
}

/// Returns the slots of a cold server that the instance at a rank may grant in doubt.
pub fn share(rank: u32, cold_limit: u32) -> u32 {
    match rank {
        0 => cold_limit.div_ceil(2),
        rank => cold_limit.checked_shr(rank + 1).unwrap_or(0),
    }
}
