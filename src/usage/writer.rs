//! Writes usage records into tallies, counting each once regardless of the number of writers.

use std::collections::BTreeMap;

use super::seal::{PROGRESS_OBJECT_NAME, StoredSeal};
use super::tally::{Tally, TallyOwner};
use crate::metrics::{Counter, Metrics};
use crate::peer::generated::v1::UsageRecord;
use crate::platform::{Object, ObjectClient, ObjectKind, PlatformError};

/// Maximum number of attempts of a write that conflicts with other writers.
const MAX_ATTEMPTS: usize = 5;

/// Number of batches in a tally above which the sealed ones are looked up and removed.
const MIN_BATCHES_TO_PRUNE: usize = 4;

/// Records by sequence number.
pub type Records = BTreeMap<u64, UsageRecord>;

/// Reason why records were not written. The write may be retried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The object API call failed.
    Platform(PlatformError),
    /// The tally is full until some of its batches are sealed.
    Full,
    /// Every attempt conflicted with another writer.
    Contended,
}

impl std::fmt::Display for AppendError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Full => f.write_str("the tally is full until its batches are sealed"),
            Self::Contended => {
                f.write_str("every attempt conflicted with another writer of the tally")
            }
        }
    }
}

impl std::error::Error for AppendError {}

/// Writes usage records to tallies.
#[derive(Clone)]
pub struct TallyWriter {
    objects: ObjectClient,
    metrics: Metrics,
}

impl TallyWriter {
    /// Creates a writer.
    pub fn new(objects: ObjectClient, metrics: Metrics) -> Self {
        Self { objects, metrics }
    }

    /// Adds records to the owner's tally; returns the tally that counts all of them.
    ///
    /// `last_written` is the tally as last written, if known. Batches up to the position
    /// `sealed_up_to` are sealed and are removed.
    ///
    /// # Errors
    /// Fails if nothing was written or the outcome is unknown; calling again is safe.
    pub async fn append(
        &self,
        owner: &TallyOwner,
        last_written: Option<Object<Tally>>,
        records: &Records,
        sealed_up_to: u64,
    ) -> Result<Object<Tally>, AppendError> {
        let name = owner.object_name();
        let mut last_written = last_written;
        let mut removed = None;
        for _ in 0..MAX_ATTEMPTS {
            let current = match last_written.take() {
                Some(object) => Some(object),
                None => self.read(&name).await?,
            };
            let (version, mut tally) = match current {
                Some(Object { version, spec, .. }) => (Some(version), spec),
                None => (None, removed.take().unwrap_or_default()),
            };
            tally.prune(sealed_up_to);
            let before = tally.clone();
            let is_full = tally.is_full();
            let added = tally.append(records.values());
            if let (0, Some(version)) = (added, &version) {
                return Ok(Object { name, version: version.clone(), spec: tally });
            }
            if is_full {
                return Err(AppendError::Full);
            }
            match self.write(&name, version.as_deref(), &tally).await {
                Ok(version) => return Ok(Object { name, version, spec: tally }),
                Err(PlatformError::Conflict) => {}
                // The reporter deleted the tally, so all its batches are sealed. The new tally
                // continues its positions.
                Err(PlatformError::NotFound) => removed = Some(before.without_batches()),
                Err(error) => return Err(AppendError::Platform(error)),
            }
        }
        Err(AppendError::Contended)
    }

    /// Returns the position up to which the batches of a tally are sealed.
    ///
    /// It is looked up only if the tally has more than `MIN_BATCHES_TO_PRUNE` batches; otherwise
    /// and on failure this returns `None`.
    pub async fn sealed_position(
        &self,
        owner: &TallyOwner,
        last_written: Option<&Object<Tally>>,
    ) -> Option<u64> {
        let may_prune =
            last_written.is_some_and(|tally| tally.spec.batches.len() > MIN_BATCHES_TO_PRUNE);
        if !may_prune {
            return None;
        }
        self.metrics.add(Counter::PlatformCalls, ObjectKind::Seals.as_str(), 1);
        let stored: Object<StoredSeal> =
            self.objects.get(ObjectKind::Seals, PROGRESS_OBJECT_NAME).await.ok()?;
        match stored.spec {
            StoredSeal::Progress(progress) => {
                progress.sealed_positions.get(&owner.object_name()).copied()
            }
            StoredSeal::Seal(_) => None,
        }
    }

    async fn read(&self, name: &str) -> Result<Option<Object<Tally>>, AppendError> {
        self.count_platform_call();
        match self.objects.get(ObjectKind::Tallies, name).await {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(AppendError::Platform(error)),
        }
    }

    async fn write(
        &self,
        name: &str,
        version: Option<&str>,
        tally: &Tally,
    ) -> Result<String, PlatformError> {
        self.count_platform_call();
        match version {
            Some(version) => self.objects.update(ObjectKind::Tallies, name, version, tally).await,
            None => self.objects.create(ObjectKind::Tallies, name, tally).await,
        }
    }

    fn count_platform_call(&self) {
        self.metrics.add(Counter::PlatformCalls, ObjectKind::Tallies.as_str(), 1);
    }
}
