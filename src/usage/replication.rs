//! Replication state of the local usage records, and the next message for each replica.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::keepers::{REPLICA_COUNT, choose_replicas};
use super::writer::Records;
use crate::names::InstanceName;
use crate::peer::generated::v1::{KeepUsageRequest, UsageRecord};
use crate::peer::{Member, Members};

/// Maximum number of records in one message to a replica.
const MAX_RECORDS_PER_MESSAGE: usize = 2_000;
/// Time for which a replica is avoided after a failed delivery.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// State of one replica.
#[derive(Debug, Default)]
struct ReplicaState {
    peer: Option<Member>,
    confirmed_up_to: u64,
    sent_durable_up_to: u64,
    in_flight: bool,
}

/// A message to send to a replica.
#[derive(Debug)]
pub struct Delivery {
    /// Index of the replica.
    pub replica_index: usize,
    /// Peer that holds the replica.
    pub peer: Member,
    /// Request to send.
    pub req: KeepUsageRequest,
    /// Sequence number up to which the replica has all records after the delivery.
    pub up_to: u64,
}

/// State of all replicas.
#[derive(Debug, Default)]
pub struct Replication {
    replicas: [ReplicaState; REPLICA_COUNT],
    avoided: BTreeMap<InstanceName, Instant>,
}

impl Replication {
    /// Returns the messages to send now, at most one per replica.
    ///
    /// Each delivery must be followed by [`Replication::on_delivery_result`].
    pub fn next_deliveries(
        &mut self,
        members: &Members,
        this_instance: &InstanceName,
        incarnation: u64,
        pending: &Records,
        durable_up_to: u64,
    ) -> Vec<Delivery> {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        let avoided: BTreeSet<InstanceName> = self.avoided.keys().cloned().collect();
        let chosen = choose_replicas(members, this_instance, &avoided);
        let mut deliveries = Vec::new();
        for (index, (replica, peer)) in self.replicas.iter_mut().zip(chosen).enumerate() {
            if replica.in_flight {
                continue;
            }
            replica.set_peer(peer, durable_up_to);
            let Some(peer) = replica.peer.clone() else { continue };
            if avoided.contains(&peer.name) {
                continue;
            }
            if let Some((records, up_to)) = replica.unsent(pending, durable_up_to) {
                replica.in_flight = true;
                let instance = this_instance.to_string();
                let req = KeepUsageRequest { instance, incarnation, records, durable_up_to };
                deliveries.push(Delivery { replica_index: index, peer, req, up_to });
            }
        }
        deliveries
    }

    /// Handles the result of a delivery. After a failure the peer is avoided for a while.
    pub fn on_delivery_result(
        &mut self,
        replica_index: usize,
        up_to: u64,
        durable_up_to: u64,
        success: bool,
    ) {
        let replica = &mut self.replicas[replica_index];
        replica.in_flight = false;
        if success {
            replica.confirmed_up_to = replica.confirmed_up_to.max(up_to);
            replica.sent_durable_up_to = durable_up_to;
        } else if let Some(peer) = &replica.peer {
            self.avoided.insert(peer.name.clone(), Instant::now() + AVOID_DURATION);
        }
    }

    /// Returns whether all replicas have confirmed a record, ignoring unassigned and avoided ones.
    pub fn is_replicated(&self, sequence: u64) -> bool {
        self.replicas.iter().all(|replica| {
            let reachable =
                replica.peer.as_ref().is_some_and(|peer| !self.avoided.contains_key(&peer.name));
            !reachable || replica.confirmed_up_to >= sequence
        })
    }
}

impl ReplicaState {
    /// Sets the peer that holds the replica. A new peer has none of the pending records.
    fn set_peer(&mut self, peer: Option<Member>, durable_up_to: u64) {
        let name = |member: &Option<Member>| member.as_ref().map(|member| member.name.clone());
        if name(&self.peer) != name(&peer) {
            self.confirmed_up_to = durable_up_to;
            self.sent_durable_up_to = durable_up_to;
        }
        self.peer = peer;
    }

    /// Returns the records that the peer lacks and the sequence number of the last one.
    ///
    /// `None` if the peer has all records and knows which of them are durable.
    fn unsent(&self, pending: &Records, durable_up_to: u64) -> Option<(Vec<UsageRecord>, u64)> {
        let records: Vec<UsageRecord> = pending
            .range(self.confirmed_up_to + 1..)
            .take(MAX_RECORDS_PER_MESSAGE)
            .map(|(_, record)| record.clone())
            .collect();
        let up_to = records.last().map_or(self.confirmed_up_to, |record| record.sequence);
        (!records.is_empty() || self.sent_durable_up_to < durable_up_to).then_some((records, up_to))
    }
}
