//! Storage of the root, the shards and the marks in the platform's object API.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures::StreamExt;

use super::root::Root;
use super::shard::{Shard, Shards};
use super::{Mark, Marks};
use crate::metrics::{Counter, Metrics};
use crate::platform::objects::{Change, Object, ObjectClient, ObjectKind, PlatformError};

/// Name of the root object.
pub const ROOT_NAME: &str = "root";
/// Name of the object that holds the marks.
pub const MARKS_NAME: &str = "marks";
/// Maximum number of shards that are read or written concurrently.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Maximum attempts to write one shard, since other editors may write or delete it concurrently.
const MAX_SHARD_WRITE_ATTEMPTS: usize = 4;

/// Content of a shard object.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct StoredShard {
    body: String,
}

/// Reads and writes the stored configuration; clones share the connections.
#[derive(Clone)]
pub struct ConfigStore {
    objects: ObjectClient,
    metrics: Metrics,
}

impl ConfigStore {
    /// Creates a store that uses the given client.
    pub fn new(objects: ObjectClient, metrics: Metrics) -> Self {
        Self { objects, metrics }
    }

    /// Reads the root; `None` if no configuration was ever accepted.
    ///
    /// # Errors
    /// If the call failed.
    pub async fn read_root(&self) -> Result<Option<Object<Root>>, PlatformError> {
        self.record_call("root-read");
        none_if_not_found(self.objects.get(ObjectKind::Configs, ROOT_NAME).await)
    }

    /// Replaces the root if its object version is still `base_version`; creates the first root if
    /// `base_version` is `None`.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if another editor wrote the root in the meantime; others if the
    /// call failed.
    pub async fn write_root(
        &self,
        base_version: Option<&str>,
        root: &Root,
    ) -> Result<(), PlatformError> {
        self.record_call("root-write");
        match base_version {
            Some(version) => {
                self.objects.update(ObjectKind::Configs, ROOT_NAME, version, root).await
            }
            None => self.objects.create(ObjectKind::Configs, ROOT_NAME, root).await,
        }
        .map(drop)
    }

    /// Reads shards by hash.
    ///
    /// # Errors
    /// If a call failed or the content of a shard is corrupt.
    pub async fn read_shards(&self, hashes: Vec<String>) -> Result<Shards, PlatformError> {
        let mut reads = futures::stream::iter(hashes.into_iter().map(|hash| self.read_shard(hash)))
            .buffer_unordered(MAX_CONCURRENT_CALLS);
        let mut shards = Shards::new();
        while let Some(shard) = reads.next().await {
            let shard = shard?;
            shards.insert(shard.hash().to_owned(), shard);
        }
        Ok(shards)
    }

    async fn read_shard(&self, hash: String) -> Result<Shard, PlatformError> {
        self.record_call("shard-read");
        let name = shard_name(&hash);
        let object: Object<StoredShard> = self.objects.get(ObjectKind::Configs, &name).await?;
        Shard::parse(&hash, &object.spec.body)
            .map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    /// Writes shards; adds the hashes of those that were stored to `written`.
    ///
    /// A shard that already exists is rewritten, so that its object version changes and a
    /// concurrent conditional deletion by another editor fails.
    ///
    /// # Errors
    /// If a call failed; some shards may have been stored, which has no effect without a root that
    /// references them.
    pub async fn write_shards(
        &self,
        shards: Vec<Shard>,
        written: &mut BTreeSet<String>,
    ) -> Result<(), PlatformError> {
        let writes = shards.into_iter().map(|shard| self.write_shard(shard));
        let mut writes = futures::stream::iter(writes).buffer_unordered(MAX_CONCURRENT_CALLS);
        while let Some(hash) = writes.next().await {
            written.insert(hash?);
        }
        Ok(())
    }

    async fn write_shard(&self, shard: Shard) -> Result<String, PlatformError> {
        let name = shard_name(shard.hash());
        let stored = StoredShard { body: shard.body().to_owned() };
        let mut failure = PlatformError::Conflict;
        for _ in 0..MAX_SHARD_WRITE_ATTEMPTS {
            match self.create_or_rewrite(&name, &stored).await {
                Ok(()) => return Ok(shard.hash().to_owned()),
                Err(refused @ PlatformError::Refused(_)) => return Err(refused),
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }

    async fn create_or_rewrite(
        &self,
        name: &str,
        stored: &StoredShard,
    ) -> Result<(), PlatformError> {
        self.record_call("shard-write");
        match self.objects.create(ObjectKind::Configs, name, stored).await {
            Err(PlatformError::Conflict) => {}
            written => return written.map(drop),
        }
        self.record_call("shard-read");
        let found: Object<StoredShard> = self.objects.get(ObjectKind::Configs, name).await?;
        self.record_call("shard-write");
        self.objects.update(ObjectKind::Configs, name, &found.version, stored).await.map(drop)
    }

    /// Returns the object names and versions of shards that are about to be deleted; omits shards
    /// that can't be read.
    pub async fn shard_versions(&self, hashes: &[String]) -> Vec<(String, String)> {
        let mut found = Vec::new();
        for hash in hashes {
            self.record_call("shard-read");
            let name = shard_name(hash);
            let object: Result<Object<StoredShard>, PlatformError> =
                self.objects.get(ObjectKind::Configs, &name).await;
            if let Ok(object) = object {
                found.push((name, object.version));
            }
        }
        found
    }

    /// Deletes objects that still have the given versions; on failure the unused object remains.
    pub async fn delete_shards(&self, versions: Vec<(String, String)>) {
        for (name, version) in versions {
            self.record_call("shard-delete");
            if let Err(error) = self.objects.delete(ObjectKind::Configs, &name, &version).await {
                tracing::debug!(name, %error, "failed to delete an unused shard");
            }
        }
    }

    /// Reads the stored marks; `None` if none were ever stored.
    ///
    /// # Errors
    /// If the call failed.
    pub async fn read_marks(&self) -> Result<Option<Object<Marks>>, PlatformError> {
        self.record_call("marks-read");
        none_if_not_found(self.objects.get(ObjectKind::Marks, MARKS_NAME).await)
    }

    /// Merges marks into the stored ones by one conditional update; returns the stored marks.
    ///
    /// Marks that the root makes redundant, for which `is_superseded` returns true, are removed.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if another instance wrote the marks in the meantime, so that the
    /// caller has to retry; others if a call failed.
    pub async fn merge_marks(
        &self,
        marks: &Marks,
        is_superseded: impl Fn(&Mark) -> bool,
    ) -> Result<Arc<Marks>, PlatformError> {
        let stored = self.read_marks().await?;
        let mut merged = stored.as_ref().map(|object| object.spec.clone()).unwrap_or_default();
        let changed = marks.iter().fold(false, |changed, mark| merged.merge(mark) | changed);
        if !changed {
            return Ok(Arc::new(merged));
        }
        merged.retain(|mark| !is_superseded(mark));
        self.record_call("marks-write");
        match stored {
            Some(object) => {
                self.objects.update(ObjectKind::Marks, MARKS_NAME, &object.version, &merged).await?
            }
            None => self.objects.create(ObjectKind::Marks, MARKS_NAME, &merged).await?,
        };
        Ok(Arc::new(merged))
    }

    /// Waits up to `timeout` for changes of one object after an object version.
    ///
    /// # Errors
    /// If the call failed, or the object has to be read again.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        name: &str,
        after_version: &str,
        timeout: std::time::Duration,
    ) -> Result<Vec<Change>, PlatformError> {
        self.record_call("watch");
        self.objects.watch(kind, name, after_version, timeout).await
    }

    fn record_call(&self, kind: &str) {
        self.metrics.add(Counter::PlatformCalls, kind, 1);
    }
}

fn shard_name(hash: &str) -> String {
    format!("shard-{hash}")
}

fn none_if_not_found<T>(
    read: Result<Object<T>, PlatformError>,
) -> Result<Option<Object<T>>, PlatformError> {
    match read {
        Ok(object) => Ok(Some(object)),
        Err(PlatformError::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}
