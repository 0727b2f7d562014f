//! What this instance has heard from each peer, and what follows: suspected or certain.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::list::MemberList;
use super::members::Members;
use crate::names::InstanceName;

/// Up to this many listed instances, beats go to all of them.
pub const SMALL_FLEET: usize = 32;
/// Refused connections in a row after which a peer counts as gone at once.
const REFUSALS_TO_SUSPECT: u32 = 2;

/// DetectorTimeouts of the failure detector.
///
/// `certain_within` is shorter than `suspect_after`: an instance stops being certain of a peer
/// before that peer may suspect it, because the peer received the acknowledged beat after it was
/// sent. Source of the rule: leases as in Gray and Cheriton (1989).
#[derive(Debug, Clone, Copy)]
pub struct DetectorTimeouts {
    /// Silence after which a peer is suspected.
    pub suspect_after: Duration,
    /// Age of the latest acknowledged own beat up to which this instance is certain of a peer.
    pub certain_within: Duration,
}

impl DetectorTimeouts {
    /// Derives the timeouts from the silence after which a peer is suspected.
    pub fn new(suspect_after: Duration) -> Self {
        Self { suspect_after, certain_within: suspect_after * 6 / 10 }
    }
}

/// What was heard from one peer.
#[derive(Debug, Clone)]
struct Presence {
    incarnation: u64,
    listed_at: Instant,
    /// Whether it beats often enough that its silence tells something.
    sends_regular_beats: bool,
    last_contact_at: Option<Instant>,
    /// When the latest beat that the peer acknowledged was sent.
    acknowledged_at: Option<Instant>,
    refused_connections: u32,
    draining: bool,
}

/// What was heard from all peers.
#[derive(Debug, Clone)]
pub struct PresenceTable {
    own: InstanceName,
    timeouts: DetectorTimeouts,
    peers: BTreeMap<InstanceName, Presence>,
}

impl PresenceTable {
    /// Makes an empty table for the instance `own`.
    pub fn new(own: InstanceName, timeouts: DetectorTimeouts) -> Self {
        Self { own, timeouts, peers: BTreeMap::new() }
    }

    /// Takes over a new list: forgets instances that left it, and starts to wait for new ones.
    pub fn apply_list(&mut self, list: &MemberList, now: Instant) {
        self.peers.retain(|name, _| list.members.contains_key(name));
        let is_small_fleet = list.members.len() <= SMALL_FLEET;
        let local_data_centre = list.members.get(&self.own).map(|own| own.data_centre.clone());
        for (name, member) in list.members.iter().filter(|(name, _)| **name != self.own) {
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

    /// Notes that a beat or a reply arrived from a peer.
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

    /// Notes that a peer acknowledged a beat that was sent at `sent`.
    pub fn record_acknowledgement(&mut self, peer: &InstanceName, sent: Instant) {
        if let Some(presence) = self.peers.get_mut(peer) {
            presence.acknowledged_at = presence.acknowledged_at.max(Some(sent));
        }
    }

    /// Notes that a peer's port refused the connection.
    pub fn record_refused_connection(&mut self, peer: &InstanceName) {
        if let Some(presence) = self.peers.get_mut(peer) {
            presence.refused_connections += 1;
        }
    }

    /// Returns the members as seen now.
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
            members.suspected.insert(self.own.clone());
        }
        members
    }

    fn is_unreachable(&self, presence: &Presence, now: Instant) -> bool {
        let since = presence.last_contact_at.unwrap_or(presence.listed_at);
        let silent = now.duration_since(since) > self.timeouts.suspect_after;
        presence.refused_connections >= REFUSALS_TO_SUSPECT
            || (presence.sends_regular_beats && silent)
    }

    fn is_certain(&self, presence: &Presence, now: Instant) -> bool {
        presence
            .acknowledged_at
            .is_some_and(|sent| now.duration_since(sent) <= self.timeouts.certain_within)
    }
}
