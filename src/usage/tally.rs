//! Tally of one process: totals of its usage records per organisation, in numbered batches.

use std::collections::BTreeMap;

use super::sequences::SequenceSet;
use crate::names::{InstanceName, OrganisationName};
use crate::peer::generated::v1::UsageRecord;

/// Maximum number of entries (one organisation in one batch) in a tally before it must be sealed.
///
/// An entry takes less than 110 bytes, so the stored object stays below one megabyte.
pub const MAX_TALLY_ENTRIES: usize = 8_000;

/// Usage of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct UsageTotals {
    /// Number of completed requests.
    pub requests: u64,
    /// Tokens in their prompts.
    pub prompt_tokens: u64,
    /// Tokens in their responses.
    pub output_tokens: u64,
}

/// Usage per organisation.
pub type TotalsByOrganisation = BTreeMap<OrganisationName, UsageTotals>;

impl From<[u64; 3]> for UsageTotals {
    fn from([requests, prompt_tokens, output_tokens]: [u64; 3]) -> Self {
        Self { requests, prompt_tokens, output_tokens }
    }
}

impl From<UsageTotals> for [u64; 3] {
    fn from(totals: UsageTotals) -> Self {
        [totals.requests, totals.prompt_tokens, totals.output_tokens]
    }
}

impl std::ops::AddAssign for UsageTotals {
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
        self.output_tokens = self.output_tokens.saturating_add(other.output_tokens);
    }
}

impl From<&UsageRecord> for UsageTotals {
    fn from(record: &UsageRecord) -> Self {
        Self {
            requests: 1,
            prompt_tokens: record.prompt_tokens,
            output_tokens: record.output_tokens,
        }
    }
}

value! {
    /// A process that owns a tally. A restarted instance is a different owner.
    #[derive(PartialOrd, Ord)]
    pub struct TallyOwner {
        /// Instance that the process runs as.
        pub instance: InstanceName,
        /// Random number drawn when the process starts.
        pub incarnation: u64,
    }

    /// Totals of the records that one write added.
    pub struct Batch {
        /// Position within the tally; positions only increase.
        pub position: u64,
        /// Totals per organisation.
        pub totals: TotalsByOrganisation,
    }
}

impl TallyOwner {
    /// Returns the name of the owner's tally object.
    pub fn object_name(&self) -> String {
        format!("{}-{:016x}", self.instance, self.incarnation)
    }
}

/// Tally of one owner, as stored in the object API.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// Sequence numbers of the counted records, so that another writer does not add them again.
    #[serde(rename = "taken")]
    pub counted: SequenceSet,
    /// Position of the latest batch.
    pub position: u64,
    /// Batches not yet known to be sealed, oldest first.
    pub batches: Vec<Batch>,
}

impl Tally {
    /// Adds the records that are not counted yet as one batch; returns their number.
    pub fn append<'a>(&mut self, records: impl Iterator<Item = &'a UsageRecord>) -> usize {
        let mut totals = TotalsByOrganisation::new();
        let mut added = 0;
        for record in records {
            if self.counted.insert(record.sequence) {
                let name = OrganisationName::from(record.organisation.as_str());
                *totals.entry(name).or_default() += UsageTotals::from(record);
                added += 1;
            }
        }
        if added > 0 {
            self.position += 1;
            self.batches.push(Batch { position: self.position, totals });
        }
        added
    }

    /// Removes the batches up to and including a sealed position.
    pub fn prune(&mut self, sealed_up_to: u64) {
        self.batches.retain(|batch| batch.position > sealed_up_to);
    }

    /// Returns the tally without its batches.
    #[must_use]
    pub fn without_batches(self) -> Self {
        Self { batches: Vec::new(), ..self }
    }

    /// Returns whether batches must be sealed before another one may be added.
    pub fn is_full(&self) -> bool {
        self.batches.iter().map(|batch| batch.totals.len()).sum::<usize>() >= MAX_TALLY_ENTRIES
    }

    /// Returns the sum of the batches after a position.
    pub fn totals_after(&self, sealed_up_to: u64) -> TotalsByOrganisation {
        let mut sum = TotalsByOrganisation::new();
        for batch in self.batches.iter().filter(|batch| batch.position > sealed_up_to) {
            add_totals(&mut sum, &batch.totals);
        }
        sum
    }
}

/// Adds totals to a sum.
pub fn add_totals(sum: &mut TotalsByOrganisation, totals: &TotalsByOrganisation) {
    for (organisation, usage) in totals {
        *sum.entry(organisation.clone()).or_default() += *usage;
    }
}
