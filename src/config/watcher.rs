//! Learns of new versions and marks from the platform.
//!
//! Few instances of each data centre watch; the others hear from them. A watch that ends, fails
//! or goes silent is replaced by a new one.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::Marks;
use super::root::Root;
use super::shard::Shards;
use super::spread::is_watcher;
use super::state::{State, missing_shards};
use super::store::{ConfigStore, MARKS, ROOT};
use super::task::{Offer, Offers, Source};
use crate::context::Context;
use crate::platform::objects::{Change, Object, PlatformError, StoreKind};

/// How long one watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed call, and between looks whether this instance is a watcher.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the platform's copy and merges it into the state.
#[derive(Clone)]
pub struct Watcher {
    /// Parts of the instance.
    pub cx: Context,
    /// The platform's copy.
    pub store: ConfigStore,
    /// What is known here.
    pub state: watch::Receiver<State>,
    /// Where news goes.
    pub offers: Offers,
    /// The marks last seen in the platform.
    pub stored: watch::Sender<Arc<Marks>>,
}

impl Watcher {
    /// Reads everything once; marks first, so that a mark missing from them is in the root.
    ///
    /// Returns whether a configuration was ever accepted.
    ///
    /// # Errors
    /// If a call failed.
    pub async fn load(&self) -> Result<bool, PlatformError> {
        if let Some(object) = self.store.read_marks().await? {
            self.offer_marks(object.spec).await;
        }
        match self.store.read_root().await? {
            Some(object) => self.offer_root(object.spec).await.map(|()| true),
            None => Ok(false),
        }
    }

    /// Watches the root while this instance is a watcher.
    pub async fn watch_root(self) {
        loop {
            self.until_watcher().await;
            if let Err(error) = self.follow_root().await {
                tracing::debug!(%error, "the watch of the configuration ended");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Watches the marks while this instance is a watcher.
    pub async fn watch_marks(self) {
        loop {
            self.until_watcher().await;
            if let Err(error) = self.follow_marks().await {
                tracing::debug!(%error, "the watch of the marks ended");
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn until_watcher(&self) {
        while !is_watcher(&self.cx) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn follow_root(&self) -> Result<(), PlatformError> {
        let Some(object) = self.store.read_root().await? else { return Ok(()) };
        self.offer_root(object.spec).await?;
        let mut version = object.version;
        while is_watcher(&self.cx) {
            let changes = self.store.watch(StoreKind::Configs, ROOT, &version, WATCH_WAIT).await?;
            for object in put_objects(changes) {
                self.offer_root(parse(object.spec)?).await?;
                version = object.version;
            }
        }
        Ok(())
    }

    async fn follow_marks(&self) -> Result<(), PlatformError> {
        let Some(object) = self.store.read_marks().await? else { return Ok(()) };
        self.offer_marks(object.spec).await;
        let mut version = object.version;
        while is_watcher(&self.cx) {
            let changes = self.store.watch(StoreKind::Marks, MARKS, &version, WATCH_WAIT).await?;
            for object in put_objects(changes) {
                self.offer_marks(parse(object.spec)?).await;
                version = object.version;
            }
        }
        Ok(())
    }

    async fn offer_root(&self, root: Root) -> Result<(), PlatformError> {
        let held = self.state.borrow().clone();
        if root.version < held.version() {
            return Ok(());
        }
        let missing = missing_shards(&root, &[held.shards()]);
        let shards = self.store.read_shards(missing).await?;
        let offer =
            Offer { root: Some(Arc::new(root)), shards, marks: Vec::new(), source: Source::Store };
        self.offers.send(offer).await;
        Ok(())
    }

    async fn offer_marks(&self, marks: Marks) {
        let list = marks.iter().collect();
        self.stored.send_replace(Arc::new(marks));
        let offer = Offer { root: None, shards: Shards::new(), marks: list, source: Source::Store };
        self.offers.send(offer).await;
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
