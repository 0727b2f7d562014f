//! Records that this instance keeps for others until their tallies hold them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::ledger::{KeptFull, LedgerSettings};
use super::tally::Owner;
use super::writer::Records;
use crate::peer::Members;
use crate::peer::generated::v1::KeepUsageRequest;

/// Records kept for one process.
const MAX_KEPT_RECORDS: usize = 200_000;

/// The records of one process.
#[derive(Debug)]
struct KeptOwner {
    records: Records,
    since: Instant,
    absent_since: Option<Instant>,
    replaced: bool,
    busy: bool,
    not_before: Instant,
}

/// All records kept for others.
#[derive(Debug, Default)]
pub struct Kept {
    owners: BTreeMap<Owner, KeptOwner>,
}

impl Kept {
    /// Takes in records of another process and drops those that are durable.
    ///
    /// # Errors
    /// If the limit of records is reached; nothing is taken in.
    pub fn accept(&mut self, req: KeepUsageRequest) -> Result<(), KeptFull> {
        let owner = Owner { instance: req.instance.as_str().into(), incarnation: req.incarnation };
        self.mark_replaced(&owner);
        let now = Instant::now();
        let kept = self.owners.entry(owner.clone()).or_insert_with(|| KeptOwner::new(now));
        kept.records.retain(|sequence, _| *sequence > req.durable_up_to);
        if kept.records.is_empty() {
            kept.since = now;
        }
        let full = kept.records.len() + req.records.len() > MAX_KEPT_RECORDS;
        if !full {
            let live = req.records.into_iter().filter(|r| r.sequence > req.durable_up_to);
            kept.records.extend(live.map(|record| (record.sequence, record)));
        }
        if kept.records.is_empty() {
            self.owners.remove(&owner);
        }
        if full { Err(KeptFull) } else { Ok(()) }
    }

    /// Returns the records of processes that seem gone; they must be written for them now, and
    /// [`Kept::written`] called afterwards.
    pub fn take_due(
        &mut self,
        members: &Members,
        settings: &LedgerSettings,
    ) -> Vec<(Owner, Records)> {
        let now = Instant::now();
        let mut due = Vec::new();
        for (owner, kept) in &mut self.owners {
            let listed = members.listed.contains_key(&owner.instance);
            let absent = !listed || members.suspected.contains(&owner.instance);
            kept.absent_since = absent.then_some(kept.absent_since.unwrap_or(now));
            if kept.is_due(now, settings) {
                kept.busy = true;
                due.push((owner.clone(), kept.records.clone()));
            }
        }
        due
    }

    /// Takes note of how the write of records ended; a failed one is tried again after `pause`.
    pub fn written(&mut self, owner: &Owner, records: &Records, success: bool, pause: Duration) {
        let Some(kept) = self.owners.get_mut(owner) else { return };
        kept.busy = false;
        if !success {
            kept.not_before = Instant::now() + pause;
            return;
        }
        kept.records.retain(|sequence, _| !records.contains_key(sequence));
        if kept.records.is_empty() {
            self.owners.remove(owner);
        }
    }

    /// Returns the number of records kept.
    pub fn len(&self) -> usize {
        self.owners.values().map(|kept| kept.records.len()).sum()
    }

    /// Returns whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Marks earlier processes of the same instance: they have ended.
    fn mark_replaced(&mut self, newer: &Owner) {
        for (owner, kept) in &mut self.owners {
            kept.replaced |= owner.instance == newer.instance && owner != newer;
        }
    }
}

impl KeptOwner {
    fn new(now: Instant) -> Self {
        Self {
            records: Records::new(),
            since: now,
            absent_since: None,
            replaced: false,
            busy: false,
            not_before: now,
        }
    }

    fn is_due(&self, now: Instant, settings: &LedgerSettings) -> bool {
        if self.busy || now < self.not_before {
            return false;
        }
        let gone = self.absent_since.is_some_and(|since| now - since >= settings.gone_after);
        self.replaced || gone || now - self.since >= settings.stale_after
    }
}
