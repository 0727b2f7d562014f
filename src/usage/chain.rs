//! Access to the chain of seals in the object API, for the reporter.

use std::collections::BTreeMap;

use super::seal::{PROGRESS_OBJECT_NAME, Progress, Seal, StoredSeal, next_seal};
use super::tally::Tally;
use crate::context::Context;
use crate::metrics::Counter;
use crate::platform::{Object, ObjectKind, PlatformError};

/// Number of seals before the latest reported one that are not deleted.
const RETAINED_REPORTED_SEALS: u64 = 8;

/// Seals and report progress, as last read or written.
#[derive(Debug, Clone, Default)]
pub struct SealChain {
    seals: BTreeMap<u64, Seal>,
    versions: BTreeMap<u64, String>,
    progress: Progress,
    progress_version: Option<String>,
}

impl SealChain {
    /// Loads the chain from the object API.
    ///
    /// # Errors
    /// Fails if the object API call fails.
    pub async fn load(cx: &Context) -> Result<Self, PlatformError> {
        count_platform_call(cx, ObjectKind::Seals);
        let (objects, _) = cx.objects.list::<StoredSeal>(ObjectKind::Seals).await?;
        let mut chain = Self::default();
        for Object { version, spec, .. } in objects {
            match spec {
                StoredSeal::Seal(seal) => chain.insert(seal, version),
                StoredSeal::Progress(progress) => {
                    chain.progress = progress;
                    chain.progress_version = Some(version);
                }
            }
        }
        Ok(chain)
    }

    /// Returns the latest seal.
    pub fn latest(&self) -> Option<&Seal> {
        self.seals.last_key_value().map(|(_, seal)| seal)
    }

    /// Returns the seals after the latest reported one, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &Seal> {
        self.seals.range(self.progress.reported + 1..).map(|(_, seal)| seal)
    }

    /// Lists all tallies.
    ///
    /// Must be called after the latest seal was read, since a tally that is missing from the list
    /// loses its sealed position in the next seal.
    ///
    /// # Errors
    /// Fails if the object API call fails.
    pub async fn list_tallies(&self, cx: &Context) -> Result<Vec<Object<Tally>>, PlatformError> {
        count_platform_call(cx, ObjectKind::Tallies);
        cx.objects.list(ObjectKind::Tallies).await.map(|(tallies, _)| tallies)
    }

    /// Seals a window, or adopts the seal that another reporter created with the same number.
    ///
    /// Returns the seal, or `None` if there is nothing to seal.
    ///
    /// # Errors
    /// Fails if the outcome is unknown; sealing again is safe.
    pub async fn seal_window(
        &mut self,
        cx: &Context,
        tallies: &[Object<Tally>],
        window: u64,
    ) -> Result<Option<Seal>, PlatformError> {
        let Some(seal) = next_seal(self.latest(), tallies, window) else { return Ok(None) };
        let name = Seal::object_name(seal.number);
        let stored = StoredSeal::Seal(seal.clone());
        count_platform_call(cx, ObjectKind::Seals);
        match cx.objects.create(ObjectKind::Seals, &name, &stored).await {
            Ok(version) => {
                self.insert(seal.clone(), version);
                Ok(Some(seal))
            }
            Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {
                self.read_back(cx, &name).await
            }
            Err(error) => Err(error),
        }
    }

    /// Reads a seal that may have been created; `None` if it does not exist.
    async fn read_back(&mut self, cx: &Context, name: &str) -> Result<Option<Seal>, PlatformError> {
        count_platform_call(cx, ObjectKind::Seals);
        match cx.objects.get::<StoredSeal>(ObjectKind::Seals, name).await {
            Ok(Object { version, spec: StoredSeal::Seal(seal), .. }) => {
                self.insert(seal.clone(), version);
                Ok(Some(seal))
            }
            Ok(_) | Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Stores that all totals up to and including a seal are reported.
    ///
    /// # Errors
    /// Fails if the progress was not stored or the outcome is unknown. The chain must then be
    /// loaded again.
    pub async fn mark_reported(&mut self, cx: &Context, seal: &Seal) -> Result<(), PlatformError> {
        let progress =
            Progress { reported: seal.number, sealed_positions: seal.sealed_positions.clone() };
        let stored = StoredSeal::Progress(progress.clone());
        count_platform_call(cx, ObjectKind::Seals);
        let version = match &self.progress_version {
            Some(version) => {
                cx.objects.update(ObjectKind::Seals, PROGRESS_OBJECT_NAME, version, &stored).await
            }
            None => cx.objects.create(ObjectKind::Seals, PROGRESS_OBJECT_NAME, &stored).await,
        }?;
        self.progress = progress;
        self.progress_version = Some(version);
        Ok(())
    }

    /// Deletes the reported seals except the latest one and the `RETAINED_REPORTED_SEALS` before
    /// it.
    pub async fn prune(&mut self, cx: &Context) {
        let oldest = self.progress.reported.saturating_sub(RETAINED_REPORTED_SEALS);
        let old: Vec<u64> = self.seals.range(..oldest).map(|(number, _)| *number).collect();
        for number in old {
            let version = self.versions.get(&number).cloned().unwrap_or_default();
            count_platform_call(cx, ObjectKind::Seals);
            let name = Seal::object_name(number);
            let deleted = cx.objects.delete(ObjectKind::Seals, &name, &version).await;
            if matches!(deleted, Ok(()) | Err(PlatformError::NotFound)) {
                self.seals.remove(&number);
                self.versions.remove(&number);
            }
        }
    }

    fn insert(&mut self, seal: Seal, version: String) {
        self.versions.insert(seal.number, version);
        self.seals.insert(seal.number, seal);
    }
}

/// Counts a call to the object API in the metrics.
pub(super) fn count_platform_call(cx: &Context, kind: ObjectKind) {
    cx.metrics.add(Counter::PlatformCalls, kind.as_str(), 1);
}
