//! The configuration state of one instance, without I/O.
//!
//! Versions never decrease: a root is only replaced by a newer one. A mark is dropped only when the
//! root in force supersedes it.

use std::sync::Arc;

use super::model::{Config, KeyHash};
use super::root::Root;
use super::shard::{Shards, join};
use super::{InForce, Mark, Marks};

/// Configuration state of an instance; cheap to clone, since clones share the data.
#[derive(Debug, Clone)]
pub struct State {
    root: Option<Arc<Root>>,
    shards: Arc<Shards>,
    config: Arc<Config>,
    marks: Arc<Marks>,
    digest: u64,
}

/// Result of [`State::adopt`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Adoption {
    /// The root is in force now.
    Adopted,
    /// The root was in force already.
    AlreadyInForce,
    /// The root is older than the one in force and was ignored.
    Outdated,
    /// The root has the version in force but a different history, and was ignored.
    Diverged,
    /// The shards with these hashes are missing; nothing was changed.
    Incomplete(Vec<String>),
}

impl Default for State {
    fn default() -> Self {
        let mut state = Self {
            root: None,
            shards: Arc::default(),
            config: Arc::default(),
            marks: Arc::default(),
            digest: 0,
        };
        state.set_marks(Marks::default());
        state
    }
}

impl State {
    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.root.as_ref().map_or(0, |root| root.version)
    }

    /// Returns the root in force.
    pub fn root(&self) -> Option<&Arc<Root>> {
        self.root.as_ref()
    }

    /// Returns the shards of the root in force.
    pub fn shards(&self) -> &Arc<Shards> {
        &self.shards
    }

    /// Returns the marks that the root in force does not supersede.
    pub fn marks(&self) -> &Arc<Marks> {
        &self.marks
    }

    /// Returns the digest of the marks.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the configuration in force for the other modules.
    pub fn in_force(&self) -> InForce {
        InForce { config: self.config.clone(), marks: self.marks.clone() }
    }

    /// Puts a root in force if it is newer than the current one and no shard is missing.
    pub fn adopt(&mut self, root: Arc<Root>, new_shards: &Shards) -> Adoption {
        if let Some(current) = &self.root {
            if root.version == current.version {
                let same = root.history == current.history;
                return if same { Adoption::AlreadyInForce } else { Adoption::Diverged };
            }
            if root.version < current.version {
                return Adoption::Outdated;
            }
        }
        let missing = missing_shards(&root, &[&self.shards, new_shards]);
        if !missing.is_empty() {
            return Adoption::Incomplete(missing);
        }
        let shards: Shards = root
            .shards
            .values()
            .filter_map(|hash| {
                let shard = new_shards.get(hash).or_else(|| self.shards.get(hash))?;
                Some((hash.clone(), shard.clone()))
            })
            .collect();
        self.config = Arc::new(join(root.version, shards.values()));
        self.shards = Arc::new(shards);
        self.root = Some(root);
        self.drop_superseded_marks();
        Adoption::Adopted
    }

    /// Merges marks; returns whether any of them is new and not superseded by the root in force.
    pub fn merge(&mut self, marks: &[Mark]) -> bool {
        let mut merged = Marks::clone(&self.marks);
        let mut changed = false;
        for mark in marks.iter().filter(|mark| !self.supersedes(mark)) {
            changed |= merged.merge(mark.clone());
        }
        if changed {
            self.set_marks(merged);
        }
        changed
    }

    /// Returns whether the root in force makes a mark redundant: the key is withdrawn in its
    /// records, or its sheet is later than the service mark.
    pub fn supersedes(&self, mark: &Mark) -> bool {
        match mark {
            Mark::KeyWithdrawn(hash) => self.key_is_withdrawn(hash),
            Mark::Service { at, .. } => {
                self.root.as_ref().is_some_and(|root| *at <= root.service_as_of)
            }
        }
    }

    fn key_is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.config.keys.get(hash).is_some_and(|key| key.withdrawn)
    }

    fn drop_superseded_marks(&mut self) {
        let mut marks = Marks::clone(&self.marks);
        marks.retain(|mark| !self.supersedes(mark));
        self.set_marks(marks);
    }

    fn set_marks(&mut self, marks: Marks) {
        self.digest = marks.digest();
        self.marks = Arc::new(marks);
    }
}

/// Returns the hashes of a root's shards that are in none of the collections.
pub fn missing_shards(root: &Root, held: &[&Shards]) -> Vec<String> {
    root.shard_hashes()
        .into_iter()
        .filter(|hash| !held.iter().any(|shards| shards.contains_key(*hash)))
        .map(ToOwned::to_owned)
        .collect()
}
