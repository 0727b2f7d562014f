//! Computes the configuration version that results from an edit, without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::model::{Config, Key, KeyHash};
use super::root::{NextRoot, Root};
use super::shard::{MAX_SHARD_BYTES, Shard, Shards, join, split};
use super::{InForce, Marks};
use crate::clock::{Clock, Hlc};

/// A change of the stored configuration.
#[derive(Debug, Clone)]
pub enum Edit {
    /// Replaces all records that are part of a sheet.
    Sheet {
        /// The new records; keys and version are ignored.
        config: Box<Config>,
        /// Version that the operator edited.
        based_on: u64,
    },
    /// Adds a key.
    AddKey(KeyHash, Key),
    /// Merges the withdrawn keys of the marks into the key records.
    CompactMarks,
}

/// The result of an accepted edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Version in force after the edit.
    pub version: u64,
    /// Whether the edit changed anything.
    pub changed: bool,
}

/// Why an edit was not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// The edit is based on an outdated version; nothing was changed.
    Conflict {
        /// Version in force.
        current_version: u64,
    },
    /// The named shard is too large to be stored; nothing was changed.
    TooLarge(String),
    /// The edit names an organisation or class that does not exist; nothing was changed.
    UnknownName(String),
    /// The platform can't be reached; nothing was changed.
    Unavailable(String),
    /// The outcome of the write is unknown: the edit may have been accepted.
    Unknown(String),
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict { current_version } => {
                write!(f, "version {current_version} is in force; nothing was changed")
            }
            Self::TooLarge(shard) => write!(f, "{shard} is too large; nothing was changed"),
            Self::UnknownName(name) => write!(f, "{name} is unknown; nothing was changed"),
            Self::Unavailable(why) => write!(f, "nothing was changed: {why}"),
            Self::Unknown(why) => write!(f, "it is unknown whether it was accepted: {why}"),
        }
    }
}

impl std::error::Error for ApplyError {}

/// The stored configuration that an edit is based on.
#[derive(Debug, Clone, Default)]
pub struct StoredConfig {
    /// The root; `None` if no configuration was ever accepted.
    pub root: Option<Arc<Root>>,
    /// The shards of the root.
    pub shards: Shards,
    /// All known marks, without the service marks that the root supersedes.
    pub marks: Marks,
}

/// The configuration version that results from an edit.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The root that replaces the stored one.
    pub root: Arc<Root>,
    /// All its shards.
    pub shards: Shards,
    /// Shards to delete once the root is accepted.
    pub deletable: Vec<String>,
}

/// The records that result from an edit.
struct Proposal {
    config: Config,
    service_as_of: Hlc,
    sheet_changed: bool,
}

impl StoredConfig {
    /// Returns the stored version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.root.as_ref().map_or(0, |root| root.version)
    }

    fn service_as_of(&self) -> Hlc {
        self.root.as_ref().map_or(Hlc::default(), |root| root.service_as_of)
    }

    /// Returns the stored records with the withdrawn keys of the marks applied.
    fn config_with_withdrawals(&self) -> Config {
        let mut config = join(self.version(), self.shards.values());
        for (hash, key) in &mut config.keys {
            key.withdrawn |= self.marks.is_withdrawn(hash);
        }
        config
    }
}

/// Computes the next version; `None` if the edit changes nothing.
///
/// `id` is the unique identifier of the edit; `now_ms` is the wall-clock time.
///
/// # Errors
/// If the edit can't be accepted.
pub fn plan(
    edit: &Edit,
    stored: &StoredConfig,
    id: &str,
    clock: &Clock,
    now_ms: u64,
) -> Result<Option<Plan>, ApplyError> {
    let Some(proposal) = propose(edit, stored, clock)? else { return Ok(None) };
    let shards_by_name =
        split(&proposal.config).map_err(|error| ApplyError::Unavailable(error.to_string()))?;
    check_sizes(&shards_by_name)?;
    let previous = stored.root.as_deref();
    let deletable =
        previous.map(|root| root.deletable_shards(&shards_by_name, now_ms)).unwrap_or_default();
    let next = NextRoot {
        edit_id: id,
        shards: &shards_by_name,
        sheet_changed: proposal.sheet_changed,
        service_as_of: proposal.service_as_of,
        deletable: &deletable,
        now_ms,
    };
    let root = Arc::new(Root::next(previous, &next));
    let shards =
        shards_by_name.into_values().map(|shard| (shard.hash().to_owned(), shard)).collect();
    Ok(Some(Plan { root, shards, deletable }))
}

fn check_sizes(shards_by_name: &BTreeMap<String, Shard>) -> Result<(), ApplyError> {
    let too_large = shards_by_name.iter().find(|(_, shard)| shard.encoded_len() > MAX_SHARD_BYTES);
    too_large.map_or(Ok(()), |(name, _)| Err(ApplyError::TooLarge(name.clone())))
}

/// Computes the new records; `None` if the edit changes nothing.
fn propose(
    edit: &Edit,
    stored: &StoredConfig,
    clock: &Clock,
) -> Result<Option<Proposal>, ApplyError> {
    match edit {
        Edit::Sheet { config, based_on } => propose_sheet(config, *based_on, stored, clock),
        Edit::AddKey(hash, key) => propose_key(hash, key, stored).map(Some),
        Edit::CompactMarks => Ok(propose_compaction(stored)),
    }
}

fn propose_sheet(
    config: &Config,
    based_on: u64,
    stored: &StoredConfig,
    clock: &Clock,
) -> Result<Option<Proposal>, ApplyError> {
    let version = stored.version();
    let sheet_version = stored.root.as_ref().map_or(0, |root| root.sheet_version);
    if based_on < sheet_version || based_on > version {
        return Err(ApplyError::Conflict { current_version: version });
    }
    let current = stored.config_with_withdrawals();
    let in_force =
        InForce { config: Arc::new(current.clone()), marks: Arc::new(stored.marks.clone()) };
    if version > 0 && same_sheet(&in_force.effective(), config) {
        return Ok(None);
    }
    let latest_mark = stored.marks.latest_service_timestamp().unwrap_or_default();
    let min_service_as_of = Hlc(latest_mark.0.max(stored.service_as_of().0) + 1);
    let config = Config { keys: current.keys, ..config.clone() };
    let service_as_of = clock.now().max(min_service_as_of);
    Ok(Some(Proposal { config, service_as_of, sheet_changed: true }))
}

fn propose_key(hash: &KeyHash, key: &Key, stored: &StoredConfig) -> Result<Proposal, ApplyError> {
    let mut config = stored.config_with_withdrawals();
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

fn propose_compaction(stored: &StoredConfig) -> Option<Proposal> {
    let before = join(stored.version(), stored.shards.values());
    let config = stored.config_with_withdrawals();
    let changed = before.keys != config.keys;
    let service_as_of = stored.service_as_of();
    changed.then_some(Proposal { config, service_as_of, sheet_changed: false })
}

/// Returns whether two configurations have the same sheet; keys are not compared.
fn same_sheet(a: &Config, b: &Config) -> bool {
    a.organisations == b.organisations
        && a.classes == b.classes
        && a.routes == b.routes
        && a.data_centres == b.data_centres
        && a.backend_servers == b.backend_servers
}
