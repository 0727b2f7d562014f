//! The failure detector: tracks contact with each peer, and derives which peers are suspected and
//! of which this instance is certain.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::list::MemberList;
use super::members::Members;
use crate::names::InstanceName;

/// Maximum number of listed instances at which heartbeats go to all of them.
pub const SMALL_FLEET: usize = 32;
/// Number of consecutive refused connections at which a peer is suspected before the timeout.
const REFUSED_CONNECTIONS_TO_SUSPECT: u32 = 2;

/// Timeouts of the failure detector.
///
/// `certain_within` is shorter than `suspect_after`, and it runs from the sending of a heartbeat,
/// which precedes its receipt. An instance therefore stops being certain of a peer before that peer
/// may suspect it. This is the rule of leases by Gray and Cheriton (1989).
#[derive(Debug, Clone, Copy)]
pub struct DetectorTimeouts {
    /// Time without contact after which a peer is suspected.
    pub suspect_after: Duration,
    /// Maximum age of the latest heartbeat that a peer acknowledged for this instance to be certain
    /// of that peer.
    pub certain_within: Duration,
}

impl DetectorTimeouts {
    /// Derives the timeouts from the time without contact after which a peer is suspected.
    pub fn new(suspect_after: Duration) -> Self {
        Self { suspect_after, certain_within: suspect_after * 6 / 10 }
    }
}

/// Contact with one peer.
#[derive(Debug, Clone)]
struct Presence {
    incarnation: u64,
    listed_at: Instant,
    /// Whether the peer sends a heartbeat to this instance in each period, so that missing ones
    /// indicate a failure.
    sends_regular_beats: bool,
    last_contact_at: Option<Instant>,
    /// Time when the latest heartbeat that the peer acknowledged was sent.
    acknowledged_at: Option<Instant>,
    refused_connections: u32,
    draining: bool,
}

/// Contact with all peers.
#[derive(Debug, Clone)]
pub struct PresenceTable {
    this_instance: InstanceName,
    timeouts: DetectorTimeouts,
    peers: BTreeMap<InstanceName, Presence>,
}

impl PresenceTable {
    /// Creates an empty table for an instance.
    pub fn new(this_instance: InstanceName, timeouts: DetectorTimeouts) -> Self {
        Self { this_instance, timeouts, peers: BTreeMap::new() }
    }

    /// Applies a new list: removes peers that are no longer listed and adds new ones, whose timeout
    /// runs from now.
    pub fn apply_list(&mut self, list: &MemberList, now: Instant) {
        self.peers.retain(|name, _| list.members.contains_key(name));
        let is_small_fleet = list.members.len() <= SMALL_FLEET;
        let local_data_centre =
            list.members.get(&self.this_instance).map(|member| member.data_centre.clone());
        for (name, member) in list.members.iter().filter(|(name, _)| **name != self.this_instance) {
            let sends_regular_beats =
                is_small_fleet || Some(&member.data_centre) == local_data_centre.as_ref();
            let presence = self.peers.entry(name.clone()).or_insert(Presence {
                incarnation: 0,
                listed_at: now,
                sends_regular_beats,
                last_contact_at: None,
                acknowledged_at: None,
                refused_connections: 0,
                draining: false,
            });
            presence.sends_regular_beats = sends_regular_beats;
        }
    }

    /// Records a heartbeat or a reply from a peer.
    ///
    /// A new incarnation voids the acknowledgements of the former process.
    pub fn record_contact(
        &mut self,
        peer: &InstanceName,
        incarnation: u64,
        draining: bool,
        now: Instant,
    ) {
        if let Some(presence) = self.peers.get_mut(peer) {
            if presence.incarnation != incarnation {
                presence.incarnation = incarnation;
                presence.acknowledged_at = None;
            }
            presence.last_contact_at = Some(now);
            presence.refused_connections = 0;
            presence.draining = draining;
        }
    }

    /// Records that a peer acknowledged a heartbeat that was sent at `sent`.
    pub fn record_acknowledgement(&mut self, peer: &InstanceName, sent: Instant) {
        if let Some(presence) = self.peers.get_mut(peer) {
            presence.acknowledged_at = presence.acknowledged_at.max(Some(sent));
        }
    }

    /// Records that a connection to a peer failed.
    pub fn record_refused_connection(&mut self, peer: &InstanceName) {
        if let Some(presence) = self.peers.get_mut(peer) {
            presence.refused_connections += 1;
        }
    }

    /// Returns the listed instances with those suspected and certain at `now`.
    pub fn members(&self, list: &MemberList, draining: bool, now: Instant) -> Members {
        let mut members =
            Members { revision: list.revision, listed: list.members.clone(), ..Members::default() };
        for (name, presence) in &self.peers {
            if presence.draining || self.is_unreachable(presence, now) {
                members.suspected.insert(name.clone());
            }
            if self.is_certain(presence, now) {
                members.certain.insert(name.clone());
            }
        }
        if draining {
            members.suspected.insert(self.this_instance.clone());
        }
        members
    }

    fn is_unreachable(&self, presence: &Presence, now: Instant) -> bool {
        let since = presence.last_contact_at.unwrap_or(presence.listed_at);
        let timed_out = now.duration_since(since) > self.timeouts.suspect_after;
        presence.refused_connections >= REFUSED_CONNECTIONS_TO_SUSPECT
            || (presence.sends_regular_beats && timed_out)
    }

    fn is_certain(&self, presence: &Presence, now: Instant) -> bool {
        presence
            .acknowledged_at
            .is_some_and(|sent| now.duration_since(sent) <= self.timeouts.certain_within)
    }
}
