//! Replicas of other instances' usage records, held in memory until the records are durable.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::ledger::{LedgerSettings, ReplicaStoreFull};
use super::tally::TallyOwner;
use super::writer::Records;
use crate::peer::Members;
use crate::peer::generated::v1::KeepUsageRequest;

/// Maximum number of records that are held for one process.
const MAX_RECORDS_PER_OWNER: usize = 200_000;

/// Replicated records of one process.
#[derive(Debug)]
struct OwnerReplica {
    records: Records,
    /// Time since which some records are held, although not always the same ones.
    non_empty_since: Instant,
    absent_since: Option<Instant>,
    /// Whether another process of the instance has sent records, so that this one has ended.
    replaced: bool,
    write_in_progress: bool,
    retry_not_before: Instant,
}

/// Replicated usage records of all other processes.
#[derive(Debug, Default)]
pub struct ReplicaStore {
    owners: BTreeMap<TallyOwner, OwnerReplica>,
}

impl ReplicaStore {
    /// Stores records of another process and drops those that are durable.
    ///
    /// # Errors
    /// Fails if the records would exceed the limit; none of them is stored.
    pub fn accept(&mut self, req: KeepUsageRequest) -> Result<(), ReplicaStoreFull> {
        let owner =
            TallyOwner { instance: req.instance.as_str().into(), incarnation: req.incarnation };
        self.mark_replaced(&owner);
        let now = Instant::now();
        let replica = self.owners.entry(owner.clone()).or_insert_with(|| OwnerReplica::new(now));
        replica.records.retain(|sequence, _| *sequence > req.durable_up_to);
        if replica.records.is_empty() {
            replica.non_empty_since = now;
        }
        let is_full = replica.records.len() + req.records.len() > MAX_RECORDS_PER_OWNER;
        if !is_full {
            let not_durable =
                req.records.into_iter().filter(|record| record.sequence > req.durable_up_to);
            replica.records.extend(not_durable.map(|record| (record.sequence, record)));
        }
        if replica.records.is_empty() {
            self.owners.remove(&owner);
        }
        if is_full { Err(ReplicaStoreFull) } else { Ok(()) }
    }

    /// Returns the records that must be written on behalf of their owners now: those of processes
    /// that were replaced or are absent, and those that were held for too long.
    ///
    /// Each write must be followed by [`ReplicaStore::on_write_result`].
    pub fn take_due(
        &mut self,
        members: &Members,
        settings: &LedgerSettings,
    ) -> Vec<(TallyOwner, Records)> {
        let now = Instant::now();
        let mut due = Vec::new();
        for (owner, replica) in &mut self.owners {
            let listed = members.listed.contains_key(&owner.instance);
            let absent = !listed || members.suspected.contains(&owner.instance);
            replica.absent_since = absent.then_some(replica.absent_since.unwrap_or(now));
            if replica.is_due(now, settings) {
                replica.write_in_progress = true;
                due.push((owner.clone(), replica.records.clone()));
            }
        }
        due
    }

    /// Handles the result of a write; a failed write is retried after `retry_delay`.
    pub fn on_write_result(
        &mut self,
        owner: &TallyOwner,
        records: &Records,
        success: bool,
        retry_delay: Duration,
    ) {
        let Some(replica) = self.owners.get_mut(owner) else { return };
        replica.write_in_progress = false;
        if !success {
            replica.retry_not_before = Instant::now() + retry_delay;
            return;
        }
        replica.records.retain(|sequence, _| !records.contains_key(sequence));
        if replica.records.is_empty() {
            self.owners.remove(owner);
        }
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.owners.values().map(|replica| replica.records.len()).sum()
    }

    /// Returns whether no records are held.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Marks other processes of the same instance as replaced, since they have ended.
    fn mark_replaced(&mut self, newer: &TallyOwner) {
        for (owner, replica) in &mut self.owners {
            replica.replaced |= owner.instance == newer.instance && owner != newer;
        }
    }
}

impl OwnerReplica {
    fn new(now: Instant) -> Self {
        Self {
            records: Records::new(),
            non_empty_since: now,
            absent_since: None,
            replaced: false,
            write_in_progress: false,
            retry_not_before: now,
        }
    }

    fn is_due(&self, now: Instant, settings: &LedgerSettings) -> bool {
        if self.write_in_progress || now < self.retry_not_before {
            return false;
        }
        let is_absent =
            self.absent_since.is_some_and(|since| now - since >= settings.absence_timeout);
        self.replaced || is_absent || now - self.non_empty_since >= settings.max_replica_age
    }
}
