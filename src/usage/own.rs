//! Usage records of this instance that are not durable yet.

use super::ledger::ServedRequest;
use super::tally::{Tally, TallyOwner};
use super::writer::Records;
use crate::clock::wall_millis;
use crate::peer::generated::v1::UsageRecord;
use crate::platform::Object;

/// Usage records of this process and the state of its tally.
#[derive(Debug)]
pub struct LocalRecords {
    /// This process, as the owner of the tally.
    pub owner: TallyOwner,
    /// Records that are not durable yet.
    pub pending: Records,
    /// Tally as last written; `None` if it is unknown.
    pub tally: Option<Object<Tally>>,
    /// Position up to which the batches of the tally are sealed.
    pub sealed_up_to: u64,
    last_sequence: u64,
    durable_up_to: u64,
}

impl LocalRecords {
    /// Creates an empty set of records for a process.
    pub fn new(owner: TallyOwner) -> Self {
        Self {
            owner,
            pending: Records::new(),
            tally: None,
            sealed_up_to: 0,
            last_sequence: 0,
            durable_up_to: 0,
        }
    }

    /// Adds a record; returns its sequence number.
    pub fn add(&mut self, served: ServedRequest) -> u64 {
        self.last_sequence += 1;
        let record = UsageRecord {
            sequence: self.last_sequence,
            organisation: served.organisation.to_string(),
            class: served.class.to_string(),
            model: served.route.to_string(),
            prompt_tokens: served.prompt_tokens,
            output_tokens: served.output_tokens,
            finished_ms: wall_millis(),
            request: served.request.to_string(),
        };
        self.pending.insert(self.last_sequence, record);
        self.last_sequence
    }

    /// Returns the sequence number of the latest record.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the sequence number up to which all records are durable.
    pub fn durable_up_to(&self) -> u64 {
        self.durable_up_to
    }

    /// Stores a written tally and drops the records that it counts.
    pub fn on_written(&mut self, tally: Object<Tally>) {
        self.pending.retain(|sequence, _| !tally.spec.counted.contains(*sequence));
        self.durable_up_to = self.durable_up_to.max(tally.spec.counted.contiguous_up_to());
        self.tally = Some(tally);
    }
}
