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
pub const TAKEOVER_HOLD: Duration = Duration::from_secs(4);

/// Time after which a standing that was not renewed counts as doubtful, as after a pause.
const RANK_EXPIRY: Duration = Duration::from_millis(1_500);

/// Ranks of the home order whose instances a home checks.
///
/// An instance of a later rank can become home only if it hears none of these, and its share of a
/// cold limit below 32 is zero then.
const CHECKED_RANKS: usize = 4;
/// Time between two looks from which this process must have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Time after a pause in which what is known of the members may be out of date.
const STALE_VIEW_AFTER_PAUSE: Duration = Duration::from_secs(3);

/// What an instance knows of its place among possible homes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeRank {
    /// Position in the home order, from 0.
    pub rank: u32,
    /// Whether some listed instance may not hear this one.
    pub uncertain: bool,
}

impl HomeRank {
    /// Works out the standing of the instance `own` for a backend server.
    pub fn of(own: &InstanceName, server: &BackendServer, members: &Members) -> Self {
        let order = members.home_order(&server.name, &server.data_centre);
        let rank = order.iter().position(|member| member.name == *own).unwrap_or(order.len());
        let mut others = order.iter().filter(|member| member.name != *own).take(CHECKED_RANKS);
        let uncertain = others.any(|member| !members.certain.contains(&member.name));
        Self { rank: rank as u32, uncertain }
    }
}

/// Returns the other instances that a new home asks whether they are home too.
pub fn instances_to_query(
    own: &InstanceName,
    server: &BackendServer,
    members: &Members,
) -> Vec<Member> {
    let order = members.home_order(&server.name, &server.data_centre);
    let others = order.into_iter().filter(|member| member.name != *own && !member.leaving);
    others.take(CHECKED_RANKS).cloned().collect()
}

/// Returns how many requests run from earlier tenures, if all instances asked say that they are
/// not home.
pub fn inherited_requests(replies: &[Option<InFlightReply>]) -> Option<u32> {
    replies.iter().try_fold(0, |sum, reply| {
        let reply = reply.as_ref()?;
        (!reply.active).then_some(sum + reply.entries.len() as u32)
    })
}

/// Notices that this process was paused, after which its view of the members may be out of date.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last_check: Instant,
    stale_until: Instant,
}

impl PauseDetector {
    /// Begins to watch.
    pub fn new(now: Instant) -> Self {
        Self { last_check: now, stale_until: now }
    }

    /// Looks at the time, and returns whether a pause was too short ago to trust the view.
    pub fn recently_paused(&mut self, now: Instant) -> bool {
        if now.duration_since(self.last_check) > PAUSE_THRESHOLD {
            self.stale_until = now + STALE_VIEW_AFTER_PAUSE;
        }
        self.last_check = now;
        now < self.stale_until
    }
}

/// The time in which an instance is home of a backend server.
#[derive(Debug, Clone)]
pub struct Tenure {
    since: Instant,
    home_rank: HomeRank,
    renewed_at: Instant,
    /// When it was last in doubt.
    last_uncertain: Instant,
    sole_home: bool,
    has_report: bool,
}

impl Tenure {
    /// Begins a tenure; nothing is granted on a cold server yet.
    pub fn new(now: Instant, home_rank: HomeRank) -> Self {
        Self {
            since: now,
            home_rank,
            renewed_at: now,
            last_uncertain: now,
            sole_home: false,
            has_report: false,
        }
    }

    /// Takes over a renewed standing.
    ///
    /// After a doubt another instance may have granted slots, so the others must be asked again.
    pub fn set_home_rank(&mut self, now: Instant, home_rank: HomeRank) {
        if home_rank.uncertain || self.is_expired(now) {
            self.sole_home = false;
            self.last_uncertain = now;
        }
        self.home_rank = home_rank;
        self.renewed_at = now;
    }

    /// Takes note that no other instance was home when all were asked; returns whether it counts.
    pub fn confirm_sole_home(&mut self, queried_at: Instant) -> bool {
        let counts = queried_at >= self.last_uncertain && !self.home_rank.uncertain;
        self.sole_home |= counts;
        counts
    }

    /// Returns whether the other instances are to be asked whether they are home.
    pub fn needs_confirmation(&self) -> bool {
        !self.sole_home
    }

    /// Takes note of an engine report measured at an instant.
    pub fn record_report(&mut self, measured_at: Instant) {
        self.has_report |= measured_at > self.since;
    }

    /// Returns how many requests this instance may have running on a cold server.
    ///
    /// `foreign` is the number of requests on the server that others sent; `unreported` tells that
    /// the server is known not to report its load.
    pub fn cold_allowance(
        &self,
        now: Instant,
        cold_limit: u32,
        external: u32,
        unreported: bool,
    ) -> u32 {
        let sole = self.sole_home && !self.is_expired(now);
        let share_allowed = now >= self.since + TAKEOVER_HOLD && (self.has_report || unreported);
        let free = cold_limit.saturating_sub(external);
        match (sole, share_allowed) {
            (true, _) => free,
            (false, true) => share(self.home_rank.rank, free),
            (false, false) => 0,
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        now > self.renewed_at + RANK_EXPIRY
    }
}

/// Returns the slots of a cold server that the instance at a rank may grant in doubt.
pub fn share(rank: u32, cold_limit: u32) -> u32 {
    match rank {
        0 => cold_limit.div_ceil(2),
        rank => cold_limit.checked_shr(rank + 1).unwrap_or(0),
    }
}
