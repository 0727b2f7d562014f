//! Slots that a home instance may grant on a cold server while others may also act as its home.
//!
//! Views of the fleet can differ for some seconds, so several instances may grant slots on the same
//! server at once. Three rules keep the sum of their grants within the server's cold limit:
//!
//! 1. An uncertain instance, which cannot tell whether every other listed instance hears it
//!    (receives its heartbeats), grants by rank: rank `r` of the home order has
//!    `cold_limit / 2^(r+1)` slots, rounded up for rank 0 and down for all others. These shares add
//!    up to at most `cold_limit`.
//! 2. A new home grants nothing until all other instances have denied being home of the server.
//!    They also say how many requests that they admitted are still running; these count until a
//!    later report. If an instance does not answer or still is home, the new home waits for
//!    [`TAKEOVER_HOLD`] and a report measured after its tenure began, and then grants its share by
//!    rank. A home that was uncertain must be confirmed again in the same way, and grants no more
//!    than its share until then.
//! 3. Requests that the engine reports beyond the instance's own are subtracted from the limit
//!    before the share is computed. Otherwise two new homes could both fill a slot freed by a
//!    frozen previous home, which may hold more than its own share.
//!
//! A home grants up to the whole limit only while every other instance hears it, and an instance
//! that hears it does not become home. Once some instance may not hear it, the home grants no slot
//! beyond its share, so a number of requests above the share only decreases. A new home meanwhile
//! stays within its own share and within the slots that the latest report leaves free.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::BackendServer;
use crate::names::InstanceName;
use crate::peer::generated::v1::InFlightReply;
use crate::peer::{Member, Members};

/// Time that a new home waits if the previous home does not answer.
pub const TAKEOVER_HOLD: Duration = Duration::from_secs(4);

/// Age from which a home rank that was not refreshed counts as uncertain, as after a pause.
const RANK_EXPIRY: Duration = Duration::from_millis(1_500);

/// Number of other instances, in home order, that a home checks.
///
/// An instance of a later rank becomes home only if it hears none of these, and its share of a cold
/// limit below 32 is zero.
const CHECKED_RANKS: usize = 4;
/// Time between two checks above which the process must have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Time after a pause during which the view of the members may be stale.
const STALE_VIEW_AFTER_PAUSE: Duration = Duration::from_secs(3);

/// Position of an instance among the possible homes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeRank {
    /// Position in the home order, starting at 0.
    pub rank: u32,
    /// Whether some other listed instance may not hear this one.
    pub uncertain: bool,
}

impl HomeRank {
    /// Computes the rank of the instance `own` for a backend server.
    pub fn of(own: &InstanceName, server: &BackendServer, members: &Members) -> Self {
        let order = members.home_order(&server.name, &server.data_centre);
        let rank = order.iter().position(|member| member.name == *own).unwrap_or(order.len());
        let mut others = order.iter().filter(|member| member.name != *own).take(CHECKED_RANKS);
        let uncertain = others.any(|member| !members.certain.contains(&member.name));
        Self { rank: rank as u32, uncertain }
    }
}

/// Returns the other instances that a new home queries for whether they are home.
pub fn instances_to_query(
    own: &InstanceName,
    server: &BackendServer,
    members: &Members,
) -> Vec<Member> {
    let order = members.home_order(&server.name, &server.data_centre);
    let others = order.into_iter().filter(|member| member.name != *own && !member.leaving);
    others.take(CHECKED_RANKS).cloned().collect()
}

/// Returns the number of requests still running that others admitted, or nothing unless all
/// queried instances answered that they are not home.
pub fn inherited_requests(replies: &[Option<InFlightReply>]) -> Option<u32> {
    replies.iter().try_fold(0, |sum, reply| {
        let reply = reply.as_ref()?;
        (!reply.active).then_some(sum + reply.entries.len() as u32)
    })
}

/// Detects pauses of this process, after which its view of the members may be stale.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    last_check: Instant,
    stale_until: Instant,
}

impl PauseDetector {
    /// Creates a detector whose first interval starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_check: now, stale_until: now }
    }

    /// Records a check, and returns whether the view of the members may still be stale.
    pub fn recently_paused(&mut self, now: Instant) -> bool {
        if now.duration_since(self.last_check) > PAUSE_THRESHOLD {
            self.stale_until = now + STALE_VIEW_AFTER_PAUSE;
        }
        self.last_check = now;
        now < self.stale_until
    }
}

/// Period during which an instance is home of a backend server.
#[derive(Debug, Clone)]
pub struct Tenure {
    since: Instant,
    home_rank: HomeRank,
    /// Time at which the rank was last refreshed.
    renewed_at: Instant,
    /// Time at which the rank was last uncertain.
    last_uncertain: Instant,
    /// Whether all others have denied being home since then.
    sole_home: bool,
    /// Whether an engine report measured during this tenure has arrived.
    has_report: bool,
}

impl Tenure {
    /// Starts a tenure, in which no slot of a cold server may be granted yet.
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

    /// Refreshes the home rank.
    ///
    /// While the rank was uncertain, another instance may have granted slots, so the others must be
    /// queried again.
    pub fn set_home_rank(&mut self, now: Instant, home_rank: HomeRank) {
        if home_rank.uncertain || self.is_expired(now) {
            self.sole_home = false;
            self.last_uncertain = now;
        }
        self.home_rank = home_rank;
        self.renewed_at = now;
    }

    /// Records that all others, queried at an instant, denied being home.
    ///
    /// Returns whether this is valid, which it is not if the rank was uncertain since the query.
    pub fn confirm_sole_home(&mut self, queried_at: Instant) -> bool {
        let valid = queried_at >= self.last_uncertain && !self.home_rank.uncertain;
        self.sole_home |= valid;
        valid
    }

    /// Returns whether the other instances must be queried for whether they are home.
    pub fn needs_confirmation(&self) -> bool {
        !self.sole_home
    }

    /// Records an engine report measured at an instant.
    pub fn record_report(&mut self, measured_at: Instant) {
        self.has_report |= measured_at > self.since;
    }

    /// Returns the number of requests that this instance may have running on a cold server.
    ///
    /// `external` is the number of requests on the server that others admitted; `no_load_endpoint`
    /// tells that the server has no load endpoint.
    pub fn cold_allowance(
        &self,
        now: Instant,
        cold_limit: u32,
        external: u32,
        no_load_endpoint: bool,
    ) -> u32 {
        let sole = self.sole_home && !self.is_expired(now);
        let share_allowed =
            now >= self.since + TAKEOVER_HOLD && (self.has_report || no_load_endpoint);
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

/// Returns the share of a cold limit that an uncertain instance of a rank may grant.
pub fn share(rank: u32, cold_limit: u32) -> u32 {
    match rank {
        0 => cold_limit.div_ceil(2),
        rank => cold_limit.checked_shr(rank + 1).unwrap_or(0),
    }
}
