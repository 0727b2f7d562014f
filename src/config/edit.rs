//! Edits of the stored configuration: a new sheet, a new key, or marks taken into the records.
//!
//! An edit writes the changed shards first and replaces the root last, by conditional update, so
//! that it takes effect as a whole or not at all. A lost answer is decided by the identifier of
//! the edit, which the root remembers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::model::{Config, Key, KeyHash};
use super::root::{NextRoot, Root};
use super::shard::{MAX_SHARD_BYTES, Shard, Shards, join, split};
use super::state::{State, missing_shards};
use super::store::ConfigStore;
use super::{InForce, Mark, Marks};
use crate::clock::{Clock, Hlc, wall_millis};
use crate::platform::objects::{Object, PlatformError};

/// Time after which an edit is given up.
const EDIT_BOUND: Duration = Duration::from_secs(10);
/// Delay before an edit is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A change of the stored configuration.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Replaces all that a sheet holds.
    Sheet {
        /// The new records; keys and version are ignored.
        config: Box<Config>,
        /// Version that the operator worked from.
        based_on: u64,
    },
    /// Adds a key.
    AddKey(KeyHash, Key),
    /// Takes the withdrawn keys of the marks into the records.
    Fold,
}

/// The result of an accepted edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Version in force from now on.
    pub version: u64,
    /// Whether the edit changed anything.
    pub changed: bool,
}

/// Why an edit was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// Another operator was faster; nothing was changed.
    Conflict {
        /// Version in force.
        in_force: u64,
    },
    /// The named part is too large to be stored; nothing was changed.
    TooLarge(String),
    /// The edit names an organisation or class that does not exist; nothing was changed.
    UnknownName(String),
    /// The platform can't be reached; nothing was changed.
    Unavailable(String),
    /// No answer came in time: the edit may have been accepted.
    Unknown(String),
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict { in_force } => {
                write!(f, "version {in_force} is in force; nothing was changed")
            }
            Self::TooLarge(part) => write!(f, "{part} is too large; nothing was changed"),
            Self::UnknownName(name) => write!(f, "{name} is unknown; nothing was changed"),
            Self::Unavailable(why) => write!(f, "nothing was changed: {why}"),
            Self::Unknown(why) => write!(f, "it is unknown whether it was accepted: {why}"),
        }
    }
}

impl std::error::Error for ApplyError {}

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

/// What an edit would make of the stored configuration.
struct Proposal {
    config: Config,
    service_as_of: Hlc,
    sheet_changed: bool,
}

/// The stored configuration that an attempt starts from.
struct Stored {
    object: Option<Object<Root>>,
    shards: Shards,
    marks: Marks,
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

impl Stored {
    fn root(&self) -> Option<&Root> {
        self.object.as_ref().map(|object| &object.spec)
    }

    fn version(&self) -> u64 {
        self.root().map_or(0, |root| root.version)
    }

    fn service_as_of(&self) -> Hlc {
        self.root().map_or(Hlc::default(), |root| root.service_as_of)
    }

    /// Returns the stored records with the withdrawn keys of the marks taken in.
    fn folded_config(&self) -> Config {
        let mut config = join(self.version(), self.shards.values());
        for (hash, key) in &mut config.keys {
            key.withdrawn |= self.marks.is_withdrawn(hash);
        }
        config
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
        let stored = match self.read_stored().await {
            Ok(stored) => stored,
            Err(error) => return error.into(),
        };
        if let Some(version) = stored.root().and_then(|root| root.version_of_edit(id)) {
            return Attempt::Done(outcome(stored, Accepted { version, changed: true }));
        }
        let proposal = match propose(edit, &stored, &self.clock) {
            Ok(Some(proposal)) => proposal,
            Ok(None) => {
                let accepted = Accepted { version: stored.version(), changed: false };
                return Attempt::Done(outcome(stored, accepted));
            }
            Err(error) => return Attempt::Failed(error),
        };
        self.write(&stored, &proposal, id, root_maybe_written).await
    }

    /// Reads marks before the root, so that a mark missing from them is in the root.
    async fn read_stored(&self) -> Result<Stored, PlatformError> {
        let stored_marks = self.store.read_marks().await?;
        let object = self.store.read_root().await?;
        let state = self.state.borrow().clone();
        let mut shards = Shards::new();
        if let Some(object) = &object {
            let held = state.shards();
            let missing = missing_shards(&object.spec, &[held]);
            shards = self.store.read_shards(missing).await?;
            for hash in object.spec.hashes() {
                if let Some(shard) = held.get(hash) {
                    shards.insert(hash.to_owned(), shard.clone());
                }
            }
        }
        let mut marks = stored_marks.map(|object| object.spec).unwrap_or_default();
        for mark in state.marks().iter() {
            marks.merge(mark);
        }
        let as_of = object.as_ref().map_or(Hlc::default(), |object| object.spec.service_as_of);
        marks.retain(|mark| !matches!(mark, Mark::Service { at, .. } if *at <= as_of));
        Ok(Stored { object, shards, marks })
    }

    async fn write(
        &self,
        stored: &Stored,
        proposal: &Proposal,
        id: &str,
        root_maybe_written: &mut bool,
    ) -> Attempt {
        let shards = match split(&proposal.config) {
            Ok(shards) => shards,
            Err(error) => return PlatformError::Malformed(error.to_string()).into(),
        };
        if let Some((name, _)) =
            shards.iter().find(|(_, shard)| shard.encoded_len() > MAX_SHARD_BYTES)
        {
            return Attempt::Failed(ApplyError::TooLarge(name.clone()));
        }
        let now_ms = wall_millis();
        let deleted = stored.root().map(|root| root.deletable(&shards, now_ms)).unwrap_or_default();
        let root = Arc::new(Root::next(
            stored.root(),
            &NextRoot {
                edit: id,
                shards: &shards,
                sheet_changed: proposal.sheet_changed,
                service_as_of: proposal.service_as_of,
                deleted: &deleted,
                now_ms,
            },
        ));
        let deletable = self.store.shard_versions(&deleted).await;
        let changed: Vec<Shard> = shards
            .values()
            .filter(|shard| !stored.shards.contains_key(shard.hash()))
            .cloned()
            .collect();
        if let Err(error) = self.store.write_shards(changed).await {
            return error.into();
        }
        let base = stored.object.as_ref().map(|object| object.version.as_str());
        if let Err(error) = self.store.write_root(base, &root).await {
            *root_maybe_written |= matches!(error, PlatformError::Unknown(_));
            return error.into();
        }
        self.store.delete_shards(deletable).await;
        let shards = shards.into_values().map(|shard| (shard.hash().to_owned(), shard)).collect();
        let accepted = Accepted { version: root.version, changed: true };
        Attempt::Done(Outcome { accepted, root: Some(root), shards })
    }
}

fn outcome(stored: Stored, accepted: Accepted) -> Outcome {
    let root = stored.object.map(|object| Arc::new(object.spec));
    Outcome { accepted, root, shards: stored.shards }
}

/// Works out the new records; none if the edit changes nothing.
fn propose(edit: &Edit, stored: &Stored, clock: &Clock) -> Result<Option<Proposal>, ApplyError> {
    match edit {
        Edit::Sheet { config, based_on } => propose_sheet(config, *based_on, stored, clock),
        Edit::AddKey(hash, key) => propose_key(hash, key, stored).map(Some),
        Edit::Fold => Ok(propose_fold(stored)),
    }
}

fn propose_sheet(
    config: &Config,
    based_on: u64,
    stored: &Stored,
    clock: &Clock,
) -> Result<Option<Proposal>, ApplyError> {
    let version = stored.version();
    let sheet_version = stored.root().map_or(0, |root| root.sheet_version);
    if based_on < sheet_version || based_on > version {
        return Err(ApplyError::Conflict { in_force: version });
    }
    let folded = stored.folded_config();
    let in_force =
        InForce { config: Arc::new(folded.clone()), marks: Arc::new(stored.marks.clone()) };
    if version > 0 && same_sheet(&in_force.effective(), config) {
        return Ok(None);
    }
    let latest_mark = stored.marks.latest_service().unwrap_or_default();
    let known = Hlc(latest_mark.0.max(stored.service_as_of().0) + 1);
    let config = Config { keys: folded.keys, ..config.clone() };
    let service_as_of = clock.now().max(known);
    Ok(Some(Proposal { config, service_as_of, sheet_changed: true }))
}

fn propose_key(hash: &KeyHash, key: &Key, stored: &Stored) -> Result<Proposal, ApplyError> {
    let mut config = stored.folded_config();
    if !config.organisations.contains_key(&key.organisation) {
        return Err(ApplyError::UnknownName(format!("organisation \"{}\"", key.organisation)));
    }
    let mut classes = key.default_class.iter().chain(&key.allowed_classes);
    if let Some(class) = classes.find(|class| !config.classes.contains_key(*class)) {
        return Err(ApplyError::UnknownName(format!("class \"{class}\"")));
    }
    config.keys.insert(hash.clone(), key.clone());
    let service_as_of = stored.service_as_of();
    Ok(Proposal { config, service_as_of, sheet_changed: false })
}

fn propose_fold(stored: &Stored) -> Option<Proposal> {
    let before = join(stored.version(), stored.shards.values());
    let config = stored.folded_config();
    let changed = before.keys != config.keys;
    let service_as_of = stored.service_as_of();
    changed.then_some(Proposal { config, service_as_of, sheet_changed: false })
}

/// Returns whether two configurations hold the same sheet, whatever their keys.
fn same_sheet(a: &Config, b: &Config) -> bool {
    a.organisations == b.organisations
        && a.classes == b.classes
        && a.routes == b.routes
        && a.data_centres == b.data_centres
        && a.backend_servers == b.backend_servers
}
