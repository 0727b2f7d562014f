//! Watches the platform for new versions and marks.
//!
//! Only a few instances of each data centre watch; they notify the others. A watch that ends, fails
//! or stops responding is replaced by a new one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::Marks;
use super::root::Root;
use super::shard::Shards;
use super::spread::is_watcher;
use super::state::{State, missing_shards};
use super::store::{ConfigStore, MARKS_NAME, ROOT_NAME};
use super::task::{StateUpdate, UpdateSender, UpdateSource};
use crate::context::Context;
use crate::platform::objects::{Change, Object, ObjectKind, PlatformError};

/// Timeout of one watch request without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed call, and between checks whether this instance is a watcher.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the configuration from the platform and merges it into the state.
#[derive(Clone)]
pub struct Watcher {
    /// Shared services of the instance.
    pub cx: Context,
    /// The configuration in the platform.
    pub store: ConfigStore,
    /// The configuration state of this instance.
    pub state: watch::Receiver<State>,
    /// Receives the updates.
    pub updates: UpdateSender,
    /// The marks last read from the platform.
    pub stored_marks: watch::Sender<Arc<Marks>>,
}

impl Watcher {
    /// Reads the marks and the root once; returns whether a configuration was ever accepted.
    ///
    /// Marks are read before the root: a mark that was removed from the stored marks by then is
    /// already part of the root.
    ///
    /// # Errors
    /// If a call failed.
    pub async fn load(&self) -> Result<bool, PlatformError> {
        if let Some(object) = self.store.read_marks().await? {
            self.submit_marks(object.spec).await;
        }
        match self.store.read_root().await? {
            Some(object) => self.submit_root(object.spec).await.map(|()| true),
            None => Ok(false),
        }
    }

    /// Watches the root while this instance is a watcher.
    pub async fn watch_root(self) {
        loop {
            self.wait_until_watcher().await;
            if let Err(error) = self.follow_root().await {
                tracing::debug!(%error, "the watch of the root failed; starting a new one");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Watches the marks while this instance is a watcher.
    pub async fn watch_marks(self) {
        loop {
            self.wait_until_watcher().await;
            if let Err(error) = self.follow_marks().await {
                tracing::debug!(%error, "the watch of the marks failed; starting a new one");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn wait_until_watcher(&self) {
        while !is_watcher(&self.cx) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn follow_root(&self) -> Result<(), PlatformError> {
        let Some(object) = self.store.read_root().await? else { return Ok(()) };
        self.submit_root(object.spec).await?;
        let mut object_version = object.version;
        while is_watcher(&self.cx) {
            let changes = self
                .store
                .watch(ObjectKind::Configs, ROOT_NAME, &object_version, WATCH_TIMEOUT)
                .await?;
            for object in put_objects(changes) {
                self.submit_root(parse(object.spec)?).await?;
                object_version = object.version;
            }
        }
        Ok(())
    }

    async fn follow_marks(&self) -> Result<(), PlatformError> {
        let Some(object) = self.store.read_marks().await? else { return Ok(()) };
        self.submit_marks(object.spec).await;
        let mut object_version = object.version;
        while is_watcher(&self.cx) {
            let changes = self
                .store
                .watch(ObjectKind::Marks, MARKS_NAME, &object_version, WATCH_TIMEOUT)
                .await?;
            for object in put_objects(changes) {
                self.submit_marks(parse(object.spec)?).await;
                object_version = object.version;
            }
        }
        Ok(())
    }

    async fn submit_root(&self, root: Root) -> Result<(), PlatformError> {
        let current = self.state.borrow().clone();
        if root.version < current.version() {
            return Ok(());
        }
        let missing = missing_shards(&root, &[current.shards()]);
        let shards = self.store.read_shards(missing).await?;
        let update = StateUpdate {
            root: Some(Arc::new(root)),
            shards,
            marks: Vec::new(),
            source: UpdateSource::Store,
        };
        self.updates.send(update).await;
        Ok(())
    }

    async fn submit_marks(&self, marks: Marks) {
        let list = marks.iter().collect();
        self.stored_marks.send_replace(Arc::new(marks));
        let update = StateUpdate {
            root: None,
            shards: Shards::new(),
            marks: list,
            source: UpdateSource::Store,
        };
        self.updates.send(update).await;
    }
}

fn put_objects(changes: Vec<Change>) -> impl Iterator<Item = Object<serde_json::Value>> {
    changes.into_iter().filter_map(|change| match change {
        Change::Put(object) => Some(object),
        Change::Deleted(_) => None,
    })
}

fn parse<T: serde::de::DeserializeOwned>(spec: serde_json::Value) -> Result<T, PlatformError> {
    serde_json::from_value(spec).map_err(|error| PlatformError::Malformed(error.to_string()))
}
