//! How much a home instance may grant on a cold server while others may believe to be its home.
//!
//! Views of the fleet differ for some seconds, so two or more instances can grant slots on one
//! server at a time. Three rules keep their sum within the server's cold limit:
//!
//! 1. An instance in doubt, which is one that can't tell that every other listed instance hears
//!    it, grants by rank: the instance at rank `r` of the home order has `cold_limit / 2^(r+1)`
//!    slots, rounded up for rank 0 and down for the others. These shares add up to `cold_limit` at
//!    most.
//! 2. A new home grants nothing, and one whose doubt has ended no more than its share, before all
//!    other instances have said that they are not home of the server and how many requests they
//!    had admitted, which count until a later report. Where one doesn't answer or is still home,
//!    the new home waits for a hold time and a report that the engine measured after the tenure began; then it grants its share by rank.
//! 3. What the engine reports beyond the instance's own requests is taken off the limit before the
//!    share is worked out. Otherwise two new homes would both fill the place that a frozen
//!    previous home left, which may hold more than its own share.
//!
//! The previous home grants up to the whole limit only while every other instance hears it, and
//! an instance that hears it doesn't become home; when that ends it grants within its share, so
//! what it holds can only fall towards the share. The new home's slots are within its own share
//! and within what the report leaves free.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::BackendServer;
use crate::names::InstanceName;
use crate::peer::generated::v1::InFlightReply;
use crate::peer::{Member, Members};

/// Time that a new home waits for a previous home that doesn't answer.
pub const HOLD: Duration = Duration::from_secs(4);

/// Time after which a standing that was not renewed counts as doubtful, as after a pause.
const STANDING_EXPIRY: Duration = Duration::from_millis(1_500);

/// Ranks of the home order whose instances a home checks.
///
/// An instance of a later rank can become home only if it hears none of these, and its share of a
/// cold limit below 32 is zero then.
const CHECKED_RANKS: usize = 4;
/// Time between two looks from which this process must have been paused.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after a pause in which what is known of the members may be out of date.
const DOUBT_AFTER_PAUSE: Duration = Duration::from_secs(3);

/// What an instance knows of its place among possible homes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Position in the home order, from 0.
    pub rank: u32,
    /// Whether some listed instance may not hear this one.
    pub doubt: bool,
}

impl Standing {
    /// Works out the standing of the instance `own` for a backend server.
    pub fn of(own: &InstanceName, server: &BackendServer, members: &Members) -> Self {
        let order = members.home_order(&server.name, &server.data_centre);
        let rank = order.iter().position(|member| member.name == *own).unwrap_or(order.len());
        let mut others = order.iter().filter(|member| member.name != *own).take(CHECKED_RANKS);
        let doubt = others.any(|member| !members.certain.contains(&member.name));
        Self { rank: rank as u32, doubt }
    }
}

/// Returns the other instances that a new home asks whether they are home too.
pub fn to_ask(own: &InstanceName, server: &BackendServer, members: &Members) -> Vec<Member> {
    let order = members.home_order(&server.name, &server.data_centre);
    let others = order.into_iter().filter(|member| member.name != *own && !member.leaving);
    others.take(CHECKED_RANKS).cloned().collect()
}

/// Returns how many requests run from earlier tenures, if all instances asked say that they are
/// not home.
pub fn left_behind(replies: &[Option<InFlightReply>]) -> Option<u32> {
    replies.iter().try_fold(0, |sum, reply| {
        let reply = reply.as_ref()?;
        (!reply.active).then_some(sum + reply.entries.len() as u32)
    })
}

/// Notices that this process was paused, after which its view of the members may be out of date.
#[derive(Debug, Clone)]
pub struct PauseWatch {
    looked: Instant,
    doubt_until: Instant,
}

impl PauseWatch {
    /// Begins to watch.
    pub fn new(now: Instant) -> Self {
        Self { looked: now, doubt_until: now }
    }

    /// Looks at the time, and returns whether a pause was too short ago to trust the view.
    pub fn in_doubt(&mut self, now: Instant) -> bool {
        if now.duration_since(self.looked) > PAUSE {
            self.doubt_until = now + DOUBT_AFTER_PAUSE;
        }
        self.looked = now;
        now < self.doubt_until
    }
}

/// The time in which an instance is home of a backend server.
#[derive(Debug, Clone)]
pub struct Tenure {
    since: Instant,
    standing: Standing,
    renewed: Instant,
    /// When it was last in doubt.
    doubted: Instant,
    given_up: bool,
    reported: bool,
}

impl Tenure {
    /// Begins a tenure; nothing is granted on a cold server yet.
    pub fn new(now: Instant, standing: Standing) -> Self {
        Self { since: now, standing, renewed: now, doubted: now, given_up: false, reported: false }
    }

    /// Takes over a renewed standing.
    ///
    /// After a doubt another instance may have granted slots, so the others must be asked again.
    pub fn set_standing(&mut self, now: Instant, standing: Standing) {
        if standing.doubt || self.is_expired(now) {
            self.given_up = false;
            self.doubted = now;
        }
        self.standing = standing;
        self.renewed = now;
    }

    /// Takes note that no other instance was home when all were asked; returns whether it counts.
    pub fn previous_gave_up(&mut self, asked: Instant) -> bool {
        let counts = asked >= self.doubted && !self.standing.doubt;
        self.given_up |= counts;
        counts
    }

    /// Returns whether the other instances are to be asked whether they are home.
    pub fn must_ask(&self) -> bool {
        !self.given_up
    }

    /// Takes note of an engine report measured at an instant.
    pub fn reported(&mut self, measured: Instant) {
        self.reported |= measured > self.since;
    }

    /// Returns how many requests this instance may have running on a cold server.
    ///
    /// `foreign` is the number of requests on the server that others sent; `unreported` tells that
    /// the server is known not to report its load.
    pub fn cold_allowance(
        &self,
        now: Instant,
        cold_limit: u32,
        foreign: u32,
        unreported: bool,
    ) -> u32 {
        let sole = self.given_up && !self.is_expired(now);
        let held = now >= self.since + HOLD && (self.reported || unreported);
        let left = cold_limit.saturating_sub(foreign);
        match (sole, held) {
            (true, _) => left,
            (false, true) => share(self.standing.rank, left),
            (false, false) => 0,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now > self.renewed + STANDING_EXPIRY
    }
}

/// Returns the slots of a cold server that the instance at a rank may grant in doubt.
pub fn share(rank: u32, cold_limit: u32) -> u32 {
    match rank {
        0 => cold_limit.div_ceil(2),
        rank => cold_limit.checked_shr(rank + 1).unwrap_or(0),
    }
}
