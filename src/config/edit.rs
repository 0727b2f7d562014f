//! Edits of the stored configuration: a new sheet, a new key, or marks taken into the records.
//!
//! An edit writes the changed shards first and replaces the root last, by conditional update, so
//! that it takes effect as a whole or not at all. A lost answer is decided by the identifier of
//! the edit, which the root remembers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::Mark;
use super::plan::{Accepted, ApplyError, Edit, Plan, Stored, plan};
use super::root::Root;
use super::shard::{Shard, Shards};
use super::state::{State, missing_shards};
use super::store::ConfigStore;
use crate::clock::{Clock, wall_millis};
use crate::platform::objects::{Object, PlatformError};

/// Time after which an edit is given up.
const EDIT_BOUND: Duration = Duration::from_secs(10);
/// Delay before an edit is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted edit with the root and shards to put in force.
#[derive(Debug)]
pub struct Outcome {
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

/// How one attempt of an edit ended.
enum Attempt {
    Done(Outcome),
    Failed(ApplyError),
    Again(PlatformError),
}

impl From<PlatformError> for Attempt {
    fn from(error: PlatformError) -> Self {
        Self::Again(error)
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
    pub async fn run(&self, edit: &Edit) -> Result<Outcome, ApplyError> {
        let id = uuid::Uuid::new_v4().simple().to_string();
        let deadline = Instant::now() + EDIT_BOUND;
        let mut root_maybe_written = false;
        loop {
            let error = match self.attempt(edit, &id, &mut root_maybe_written).await {
                Attempt::Done(outcome) => return Ok(outcome),
                Attempt::Failed(error) => return Err(error),
                Attempt::Again(error) => error,
            };
            if Instant::now() >= deadline {
                let why = error.to_string();
                return Err(match root_maybe_written {
                    true => ApplyError::Unknown(why),
                    false => ApplyError::Unavailable(why),
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn attempt(&self, edit: &Edit, id: &str, root_maybe_written: &mut bool) -> Attempt {
        let (base, stored) = match self.read_stored().await {
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
        self.write(base.as_deref(), &stored, plan, root_maybe_written).await
    }

    /// Reads marks before the root, so that a mark missing from them is in the root.
    ///
    /// Returns the version of the root object with what is stored.
    async fn read_stored(&self) -> Result<(Option<String>, Stored), PlatformError> {
        let stored_marks = self.store.read_marks().await?;
        let object = self.store.read_root().await?;
        let state = self.state.borrow().clone();
        let mut marks = stored_marks.map(|object| object.spec).unwrap_or_default();
        for mark in state.marks().iter() {
            marks.merge(mark);
        }
        let Some(Object { version, spec: root, .. }) = object else {
            return Ok((None, Stored { marks, ..Stored::default() }));
        };
        marks.retain(|mark| !matches!(mark, Mark::Service { at, .. } if *at <= root.service_as_of));
        let shards = self.read_shards(&root, state.shards()).await?;
        Ok((Some(version), Stored { root: Some(Arc::new(root)), shards, marks }))
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
        base: Option<&str>,
        stored: &Stored,
        plan: Plan,
        root_maybe_written: &mut bool,
    ) -> Attempt {
        let deletable = self.store.shard_versions(&plan.deleted).await;
        let changed: Vec<Shard> = plan
            .shards
            .values()
            .filter(|shard| !stored.shards.contains_key(shard.hash()))
            .cloned()
            .collect();
        if let Err(error) = self.store.write_shards(changed).await {
            return error.into();
        }
        if let Err(error) = self.store.write_root(base, &plan.root).await {
            *root_maybe_written |= matches!(error, PlatformError::Unknown(_));
            return error.into();
        }
        self.store.delete_shards(deletable).await;
        let accepted = Accepted { version: plan.root.version, changed: true };
        Attempt::Done(Outcome { accepted, root: Some(plan.root), shards: plan.shards })
    }
}

fn outcome(stored: Stored, accepted: Accepted) -> Outcome {
    Outcome { accepted, root: stored.root, shards: stored.shards }
}
