//! Execution of edits: applying a sheet, adding a key, or merging marks into the records.
//!
//! An edit writes the changed shards first and replaces the root last, by conditional update, so
//! that it is atomic. If the response to the update of the root is lost, the next attempt looks
//! for the identifier of the edit in the stored root to learn whether it was accepted.

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

/// Time after which a failed attempt is not retried.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Lower bound of the randomised delay between attempts; the upper bound is three times as long.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The result of an edit, with the root and shards to put in force.
#[derive(Debug)]
pub struct EditOutcome {
    /// The result that is returned to the operator.
    pub accepted: Accepted,
    /// The root stored in the platform; `None` if no version was ever accepted.
    pub root: Option<Arc<Root>>,
    /// The shards of the root.
    pub shards: Shards,
}

/// Executes edits against the platform.
#[derive(Clone)]
pub struct Editor {
    store: ConfigStore,
    clock: Clock,
    state: watch::Receiver<State>,
}

/// State that is kept between the attempts of one edit.
#[derive(Debug, Default)]
struct EditProgress {
    /// Whether an attempt with an unknown outcome may have replaced the root.
    root_maybe_written: bool,
    /// Object version of the root that the last attempt was based on.
    base_version: Option<String>,
    /// Hashes of the shards written for this base; once the root is replaced, another edit may
    /// delete them.
    written: BTreeSet<String>,
}

impl EditProgress {
    /// Clears the written shards if the root was replaced since the last attempt.
    fn reset_if_base_changed(&mut self, base_version: Option<&str>) {
        if self.base_version.as_deref() != base_version {
            self.base_version = base_version.map(ToOwned::to_owned);
            self.written.clear();
        }
    }
}

/// Outcome of one attempt of an edit.
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
    /// Creates an editor; `state` supplies marks that are not stored yet and shards that need not
    /// be read.
    pub fn new(store: ConfigStore, clock: Clock, state: watch::Receiver<State>) -> Self {
        Self { store, clock, state }
    }

    /// Executes an edit; returns once the new root is durable.
    ///
    /// # Errors
    /// [`ApplyError::Unknown`] if the edit may have been accepted; all others mean that it had no
    /// effect.
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

    /// Reads the stored configuration; returns it with the object version of its root.
    ///
    /// Marks are read before the root: a mark that was removed from the stored marks by then is
    /// already part of the root.
    async fn read_stored(&self) -> Result<(Option<String>, StoredConfig), PlatformError> {
        let stored_marks = self.store.read_marks().await?;
        let object = self.store.read_root().await?;
        let state = self.state.borrow().clone();
        let mut marks = stored_marks.map(|object| object.spec).unwrap_or_default();
        for mark in state.marks().iter() {
            marks.merge(mark);
        }
        let Some(Object { version: object_version, spec: root, .. }) = object else {
            return Ok((None, StoredConfig { marks, ..StoredConfig::default() }));
        };
        marks.retain(|mark| !matches!(mark, Mark::Service { at, .. } if *at <= root.service_as_of));
        let shards = self.read_shards(&root, state.shards()).await?;
        Ok((Some(object_version), StoredConfig { root: Some(Arc::new(root)), shards, marks }))
    }

    /// Returns the shards of a root; only those not in `held` are read from the platform.
    async fn read_shards(&self, root: &Root, held: &Shards) -> Result<Shards, PlatformError> {
        let mut shards = self.store.read_shards(missing_shards(root, &[held])).await?;
        for hash in root.shard_hashes() {
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
        let deletable_versions = self.store.shard_versions(&plan.deletable).await;
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
        self.store.delete_shards(deletable_versions).await;
        let accepted = Accepted { version: plan.root.version, changed: true };
        Attempt::Done(EditOutcome { accepted, root: Some(plan.root), shards: plan.shards })
    }
}

fn outcome(stored: StoredConfig, accepted: Accepted) -> EditOutcome {
    EditOutcome { accepted, root: stored.root, shards: stored.shards }
}
