//! The records of this instance that the object API does not hold yet.

use super::ledger::Served;
use super::tally::{Owner, Tally};
use super::writer::Records;
use crate::clock::wall_millis;
use crate::peer::generated::v1::UsageRecord;
use crate::platform::Object;

/// Own records with their sequence numbers.
#[derive(Debug)]
pub struct OwnRecords {
    /// This process.
    pub owner: Owner,
    /// Records that are not durable yet.
    pub pending: Records,
    /// The tally as last written.
    pub tally: Option<Object<Tally>>,
    /// Position of the tally up to which batches are sealed.
    pub sealed: u64,
    last: u64,
    durable: u64,
}

impl OwnRecords {
    /// Makes an empty set for a process.
    pub fn new(owner: Owner) -> Self {
        Self { owner, pending: Records::new(), tally: None, sealed: 0, last: 0, durable: 0 }
    }

    /// Adds a record; returns its sequence number.
    pub fn add(&mut self, served: Served) -> u64 {
        self.last += 1;
        let record = UsageRecord {
            sequence: self.last,
            organisation: served.organisation.to_string(),
            class: served.class.to_string(),
            model: served.route.to_string(),
            prompt_tokens: served.prompt_tokens,
            output_tokens: served.output_tokens,
            finished_ms: wall_millis(),
            request: served.request.to_string(),
        };
        self.pending.insert(self.last, record);
        self.last
    }

    /// Returns the sequence number of the latest record.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the sequence number up to which all records are durable.
    pub fn durable(&self) -> u64 {
        self.durable
    }

    /// Takes note of a written tally and drops the records that it holds.
    pub fn written(&mut self, tally: Object<Tally>) {
        self.pending.retain(|sequence, _| !tally.spec.taken.contains(*sequence));
        self.durable = self.durable.max(tally.spec.taken.contiguous());
        self.tally = Some(tally);
    }
}
