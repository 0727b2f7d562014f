//! Edits of the stored configuration: a new sheet, a new key, or marks taken into the records.
//!
//! An edit writes the changed shards first and replaces the root last, by conditional update, so
//! that it takes effect as a whole or not at all. A lost answer is decided by the identifier of
//! the edit, which the root remembers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::Mark;
use super::plan::{Accepted, ApplyError, Edit, Plan, StoredConfig, plan};
use super::root::Root;
use super::shard::{Shard, Shards};
use super::state::{State, missing_shards};
use super::store::ConfigStore;
use crate::clock::{Clock, wall_millis};
use crate::platform::objects::{Object, PlatformError};

/// Time after which an edit is given up.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest delay before an edit is tried again; the longest is three times as long.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted edit with the root and shards to put in force.
#[derive(Debug)]
pub struct EditOutcome {
    /// What the operator is told.
    pub accepted: Accepted,
    /// The root in the platform.
    pub root: Option<Arc<Root>>,
    /// Its shards.
    pub shards: Shards,
}

/// Carries out edits against the platform.
#[derive(Clone)]
pub struct Editor {
    store: ConfigStore,
    clock: Clock,
    state: watch::Receiver<State>,
}

/// What the attempts of one edit have done so far.
#[derive(Debug, Default)]
struct EditProgress {
    /// Whether the root may have been replaced by an attempt without an answer.
    root_maybe_written: bool,
    /// Version of the root object that the attempts start from.
    base_version: Option<String>,
    /// Shards written since then; once the root changes, another edit may delete them.
    written: BTreeSet<String>,
}

impl EditProgress {
    /// Forgets the written shards if the root was replaced since the last attempt.
    fn reset_if_base_changed(&mut self, base_version: Option<&str>) {
        if self.base_version.as_deref() != base_version {
            self.base_version = base_version.map(ToOwned::to_owned);
            self.written.clear();
        }
    }
}

/// How one attempt of an edit ended.
enum Attempt {
    Done(EditOutcome),
    Failed(ApplyError),
    Retry(PlatformError),
}

impl From<PlatformError> for Attempt {
    fn from(error: PlatformError) -> Self {
        Self::Retry(error)
    }
}

impl Editor {
    /// Makes an editor that knows the instance's state.
    pub fn new(store: ConfigStore, clock: Clock, state: watch::Receiver<State>) -> Self {
        Self { store, clock, state }
    }

    /// Carries out an edit; returns when the new root is durable.
    ///
    /// # Errors
    /// Says whether the edit certainly had no effect.
    pub async fn run(&self, edit: &Edit) -> Result<EditOutcome, ApplyError> {
        let id = uuid::Uuid::new_v4().simple().to_string();
        let deadline = Instant::now() + EDIT_TIMEOUT;
        let mut progress = EditProgress::default();
        loop {
            let error = match self.attempt(edit, &id, &mut progress).await {
                Attempt::Done(outcome) => return Ok(outcome),
                Attempt::Failed(error) => return Err(error),
                Attempt::Retry(error) => error,
            };
            if Instant::now() >= deadline {
                let why = error.to_string();
                return Err(match progress.root_maybe_written {
                    true => ApplyError::Unknown(why),
                    false => ApplyError::Unavailable(why),
                });
            }
            tokio::time::sleep(MIN_RETRY_DELAY.mul_f64(rand::random_range(1.0..3.0))).await;
        }
    }

    async fn attempt(&self, edit: &Edit, id: &str, progress: &mut EditProgress) -> Attempt {
        let (base_version, stored) = match self.read_stored().await {
            Ok(read) => read,
            Err(error) => return error.into(),
        };
        if let Some(version) = stored.root.as_ref().and_then(|root| root.version_of_edit(id)) {
            return Attempt::Done(outcome(stored, Accepted { version, changed: true }));
        }
        let plan = match plan(edit, &stored, id, &self.clock, wall_millis()) {
            Ok(Some(plan)) => plan,
            Ok(None) => {
                let accepted = Accepted { version: stored.version(), changed: false };
                return Attempt::Done(outcome(stored, accepted));
            }
            Err(error) => return Attempt::Failed(error),
        };
        self.write(base_version.as_deref(), &stored, plan, progress).await
    }

    /// Reads marks before the root, so that a mark missing from them is in the root.
    ///
    /// Returns the version of the root object with what is stored.
    async fn read_stored(&self) -> Result<(Option<String>, StoredConfig), PlatformError> {
        let stored_marks = self.store.read_marks().await?;
        let object = self.store.read_root().await?;
        let state = self.state.borrow().clone();
        let mut marks = stored_marks.map(|object| object.spec).unwrap_or_default();
        for mark in state.marks().iter() {
            marks.merge(mark);
        }
        let Some(Object { version, spec: root, .. }) = object else {
            return Ok((None, StoredConfig { marks, ..StoredConfig::default() }));
        };
        marks.retain(|mark| !matches!(mark, Mark::Service { at, .. } if *at <= root.service_as_of));
        let shards = self.read_shards(&root, state.shards()).await?;
        Ok((Some(version), StoredConfig { root: Some(Arc::new(root)), shards, marks }))
    }

    /// Returns the shards of a root, reading those that are not held.
    async fn read_shards(&self, root: &Root, held: &Shards) -> Result<Shards, PlatformError> {
        let mut shards = self.store.read_shards(missing_shards(root, &[held])).await?;
        for hash in root.hashes() {
            if let Some(shard) = held.get(hash) {
                shards.insert(hash.to_owned(), shard.clone());
            }
        }
        Ok(shards)
    }

    async fn write(
        &self,
        base_version: Option<&str>,
        stored: &StoredConfig,
        plan: Plan,
        progress: &mut EditProgress,
    ) -> Attempt {
        progress.reset_if_base_changed(base_version);
        let deletable = self.store.shard_versions(&plan.deleted).await;
        let changed: Vec<Shard> = plan
            .shards
            .values()
            .filter(|shard| !stored.shards.contains_key(shard.hash()))
            .filter(|shard| !progress.written.contains(shard.hash()))
            .cloned()
            .collect();
        if let Err(error) = self.store.write_shards(changed, &mut progress.written).await {
            return error.into();
        }
        if let Err(error) = self.store.write_root(base_version, &plan.root).await {
            progress.root_maybe_written |= matches!(error, PlatformError::Unknown(_));
            return error.into();
        }
        self.store.delete_shards(deletable).await;
        let accepted = Accepted { version: plan.root.version, changed: true };
        Attempt::Done(EditOutcome { accepted, root: Some(plan.root), shards: plan.shards })
    }
}

fn outcome(stored: StoredConfig, accepted: Accepted) -> EditOutcome {
    EditOutcome { accepted, root: stored.root, shards: stored.shards }
}
