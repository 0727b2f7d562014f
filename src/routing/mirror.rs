//! Copies of the store's collections, which instances replicate to each other.

use std::collections::{BTreeMap, VecDeque};

use crate::json_text::JsonText;

/// Maximum number of tombstones; a reader that missed more deletions gets a snapshot.
const MAX_TOMBSTONES: usize = 512;

value! {
    /// An object of a collection, or its deletion.
    pub struct Item {
        /// Name within the collection.
        pub name: String,
        /// Revision of the last change.
        pub revision: u64,
        /// Value; `None` if the object was deleted.
        pub value: Option<JsonText>,
    }

    /// Changes of a collection up to a revision, or a snapshot of it.
    pub struct Update {
        /// Revision that the reader is up to date with after applying the update.
        #[serde(rename = "at")]
        pub revision: u64,
        /// Whether the update holds all objects, so that unlisted ones are to be removed.
        #[serde(rename = "is_whole")]
        pub is_snapshot: bool,
        /// Changed objects, or all objects of a snapshot.
        pub items: Vec<Item>,
    }
}

/// A copy of one collection at a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    revision: Option<u64>,
    items: BTreeMap<String, Item>,
    /// Names of deleted objects with the revision of the update that deleted them, oldest first.
    tombstones: VecDeque<(u64, String)>,
    /// Revision since which all tombstones are retained.
    compacted_revision: u64,
}

impl Mirror {
    /// Returns the revision that this copy is up to date with; `None` before the first update.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the names of all objects.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.items.keys().map(String::as_str)
    }

    /// Applies an update; returns `false` if it was ignored because this copy is ahead of it, or
    /// because it is incremental and this copy has no state yet.
    pub fn apply(&mut self, update: &Update) -> bool {
        if self.revision.is_some_and(|revision| update.revision < revision)
            || (self.revision.is_none() && !update.is_snapshot)
        {
            return false;
        }
        if update.is_snapshot {
            self.items.clear();
            self.tombstones.clear();
            self.compacted_revision = update.revision;
        }
        for item in &update.items {
            if item.value.is_some() {
                self.items.insert(item.name.clone(), item.clone());
            } else {
                self.items.remove(&item.name);
                self.tombstones.push_back((update.revision, item.name.clone()));
            }
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.compacted_revision = self
                .tombstones
                .pop_front()
                .map_or(self.compacted_revision, |(revision, _)| revision);
        }
        self.revision = Some(update.revision);
        true
    }

    /// Returns whether a reader that is up to date with the revision `known` lacks any change.
    pub fn has_changes_since(&self, known: Option<u64>) -> bool {
        let Some(revision) = self.revision else { return false };
        match known {
            Some(known) if known >= revision => false,
            Some(known) if known >= self.compacted_revision => {
                self.items.values().any(|item| item.revision > known)
                    || self.deleted_since(known).next().is_some()
            }
            _ => true,
        }
    }

    /// Returns the update for a reader that is up to date with the revision `known`; `None` if
    /// there is nothing new.
    pub fn changes_since(&self, known: Option<u64>) -> Option<Update> {
        let revision = self.revision?;
        match known {
            Some(known) if known >= revision => None,
            Some(known) if known >= self.compacted_revision => {
                Some(self.incremental_update(known, revision))
            }
            _ => {
                let items = self.items.values().cloned().collect();
                Some(Update { revision, is_snapshot: true, items })
            }
        }
    }

    fn incremental_update(&self, known: u64, revision: u64) -> Update {
        let changed = self.items.values().filter(|item| item.revision > known).cloned();
        let deleted = self.deleted_since(known).map(|(deleted_at, name)| Item {
            name: name.clone(),
            revision: *deleted_at,
            value: None,
        });
        Update { revision, is_snapshot: false, items: changed.chain(deleted).collect() }
    }

    fn deleted_since(&self, known: u64) -> impl Iterator<Item = &(u64, String)> {
        self.tombstones
            .iter()
            .filter(move |(deleted_at, name)| *deleted_at > known && !self.items.contains_key(name))
    }
}
