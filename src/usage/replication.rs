//! How far each keeper has the records of this instance, and what to send it next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::keepers::{KEEPERS, choose_keepers};
use super::writer::Records;
use crate::names::InstanceName;
use crate::peer::generated::v1::{KeepUsageRequest, UsageRecord};
use crate::peer::{Member, Members};

/// Records in one message to a keeper.
const MAX_RECORDS_IN_MESSAGE: usize = 2_000;
/// How long a keeper that failed is avoided.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// What one of the keepers has.
#[derive(Debug, Default)]
struct Slot {
    peer: Option<Member>,
    confirmed: u64,
    told_durable: u64,
    busy: bool,
}

/// A message to send to a keeper.
#[derive(Debug)]
pub struct Delivery {
    /// Which of the keepers.
    pub slot: usize,
    /// The keeper.
    pub peer: Member,
    /// The message.
    pub req: KeepUsageRequest,
    /// Sequence up to which the keeper has all records afterwards.
    pub up_to: u64,
}

/// The state of all keepers.
#[derive(Debug, Default)]
pub struct Replication {
    slots: [Slot; KEEPERS],
    avoided: BTreeMap<InstanceName, Instant>,
}

impl Replication {
    /// Decides what to send now; each delivery must be followed by [`Replication::delivered`].
    pub fn next_deliveries(
        &mut self,
        members: &Members,
        me: &InstanceName,
        incarnation: u64,
        pending: &Records,
        durable: u64,
    ) -> Vec<Delivery> {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        let avoided: BTreeSet<InstanceName> = self.avoided.keys().cloned().collect();
        let chosen = choose_keepers(members, me, &avoided);
        let mut deliveries = Vec::new();
        for (index, (slot, peer)) in self.slots.iter_mut().zip(chosen).enumerate() {
            if slot.busy {
                continue;
            }
            slot.assign(peer, durable);
            let Some(peer) = slot.peer.clone() else { continue };
            if avoided.contains(&peer.name) {
                continue;
            }
            if let Some((records, up_to)) = slot.unsent(pending, durable) {
                slot.busy = true;
                let instance = me.to_string();
                let req =
                    KeepUsageRequest { instance, incarnation, records, durable_up_to: durable };
                deliveries.push(Delivery { slot: index, peer, req, up_to });
            }
        }
        deliveries
    }

    /// Takes note of how a delivery ended.
    pub fn delivered(&mut self, slot: usize, up_to: u64, durable: u64, success: bool) {
        let slot = &mut self.slots[slot];
        slot.busy = false;
        if success {
            slot.confirmed = slot.confirmed.max(up_to);
            slot.told_durable = durable;
        } else if let Some(peer) = &slot.peer {
            self.avoided.insert(peer.name.clone(), Instant::now() + AVOID_TIME);
        }
    }

    /// Returns whether every keeper that answers has a record.
    pub fn is_kept(&self, sequence: u64) -> bool {
        self.slots.iter().all(|slot| {
            let reachable =
                slot.peer.as_ref().is_some_and(|peer| !self.avoided.contains_key(&peer.name));
            !reachable || slot.confirmed >= sequence
        })
    }
}

impl Slot {
    /// Sets the peer; a new one has no records yet.
    fn assign(&mut self, peer: Option<Member>, durable: u64) {
        let name = |member: &Option<Member>| member.as_ref().map(|member| member.name.clone());
        if name(&self.peer) != name(&peer) {
            self.confirmed = durable;
            self.told_durable = durable;
        }
        self.peer = peer;
    }

    /// Returns the records that the peer lacks, if there is anything to tell it.
    fn unsent(&self, pending: &Records, durable: u64) -> Option<(Vec<UsageRecord>, u64)> {
        let records: Vec<UsageRecord> = pending
            .range(self.confirmed + 1..)
            .take(MAX_RECORDS_IN_MESSAGE)
            .map(|(_, record)| record.clone())
            .collect();
        let up_to = records.last().map_or(self.confirmed, |record| record.sequence);
        (!records.is_empty() || self.told_durable < durable).then_some((records, up_to))
    }
}
