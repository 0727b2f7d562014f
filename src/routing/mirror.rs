//! Copies of the store's collections, which instances pass on to each other.

use std::collections::{BTreeMap, VecDeque};

use serde_json::Value;

/// Deletions that are remembered; a reader that missed more gets the whole collection.
const MAX_TOMBSTONES: usize = 512;

value! {
    /// An object of a collection, or the news that it was deleted.
    pub struct Item {
        /// Name within its collection.
        pub name: String,
        /// Revision of its last change.
        pub revision: u64,
        /// Its value; none if it was deleted.
        pub value: Option<Value>,
    }

    /// Changes of a collection up to a revision, or all of it.
    pub struct Update {
        /// Revision that the reader is up to date with afterwards.
        #[serde(rename = "at")]
        pub revision: u64,
        /// Whether objects that are not named are gone.
        #[serde(rename = "is_whole")]
        pub is_snapshot: bool,
        /// Changed or all objects.
        pub items: Vec<Item>,
    }
}

/// A copy of one collection, as of a revision.
#[derive(Debug, Default)]
pub struct Mirror {
    revision: Option<u64>,
    items: BTreeMap<String, Item>,
    /// Deleted objects with the revision up to which their deletion was known, oldest first.
    tombstones: VecDeque<(u64, String)>,
    /// Revision from which on all deletions are remembered.
    compacted_revision: u64,
}

impl Mirror {
    /// Returns the revision that this copy is up to date with; none if it is empty.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the names of all objects.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.items.keys().map(String::as_str)
    }

    /// Takes an update; returns false if this copy is ahead of it, so that it must be ignored.
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

    /// Returns what a reader lacks that is up to date with a revision; none if it lacks nothing.
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
        let deleted = self
            .tombstones
            .iter()
            .filter(|(deleted_at, name)| *deleted_at > known && !self.items.contains_key(name));
        let deleted = deleted.map(|(deleted_at, name)| Item {
            name: name.clone(),
            revision: *deleted_at,
            value: None,
        });
        Update { revision, is_snapshot: false, items: changed.chain(deleted).collect() }
    }
}
