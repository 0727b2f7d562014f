//! The root: the object that determines the accepted configuration version.
//!
//! It is only replaced by conditional update, so that the accepted versions form one sequence.

use std::collections::{BTreeMap, BTreeSet};

use super::shard::{Shard, hash_of};
use crate::clock::Hlc;

/// Number of accepted edits whose identifiers a root keeps, so that an editor that got no response
/// can find out whether its edit was accepted.
const MAX_RECENT_EDITS: usize = 64;
/// Maximum number of unused shards that one edit deletes.
const MAX_DELETIONS_PER_EDIT: usize = 32;
/// Minimum time that a shard is kept after the last root that references it was replaced, so that
/// instances still reading that root find its shards.
pub const RETIRED_SHARD_RETENTION_MS: u64 = 600_000;

value! {
    /// An edit that was accepted.
    pub struct AcceptedEdit {
        /// Random identifier of the edit.
        pub id: String,
        /// Version that resulted from it.
        pub version: u64,
    }

    /// A shard that the root no longer references.
    pub struct RetiredShard {
        /// Hash of the shard.
        pub hash: String,
        /// When the root stopped referencing it, in milliseconds since the Unix epoch.
        pub at_ms: u64,
    }

    /// One accepted version of the configuration.
    pub struct Root {
        /// The version; each accepted edit increments it by one.
        pub version: u64,
        /// Version in which the sheet last changed.
        pub sheet_version: u64,
        /// Hash over this version and all previous ones; differs if two histories have diverged.
        pub history: String,
        /// The records of this version supersede service marks up to this timestamp.
        pub service_as_of: Hlc,
        /// Hashes of the shards by shard name.
        pub shards: BTreeMap<String, String>,
        /// The latest accepted edits, oldest first.
        pub recent: Vec<AcceptedEdit>,
        /// Shards of earlier versions that were not deleted yet.
        pub retired: Vec<RetiredShard>,
    }
}

/// Input of [`Root::next`]: the changes that an edit makes.
#[derive(Debug, Clone)]
pub struct NextRoot<'a> {
    /// Identifier of the edit.
    pub edit_id: &'a str,
    /// Shards of the new version by shard name.
    pub shards: &'a BTreeMap<String, Shard>,
    /// Whether the edit changes the sheet.
    pub sheet_changed: bool,
    /// Timestamp up to which service marks are superseded.
    pub service_as_of: Hlc,
    /// Retired shards that are deleted once this root is accepted.
    pub deletable: &'a [String],
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

impl Root {
    /// Returns the version that resulted from an edit, if the edit is among the latest.
    pub fn version_of_edit(&self, id: &str) -> Option<u64> {
        self.recent.iter().find(|edit| edit.id == id).map(|edit| edit.version)
    }

    /// Returns the hashes of the shards of this version.
    pub fn shard_hashes(&self) -> BTreeSet<&str> {
        self.shards.values().map(String::as_str).collect()
    }

    /// Creates the root that follows `previous`.
    pub fn next(previous: Option<&Self>, next: &NextRoot<'_>) -> Self {
        let version = previous.map_or(0, |root| root.version) + 1;
        let shards: BTreeMap<String, String> = next
            .shards
            .iter()
            .map(|(name, shard)| (name.clone(), shard.hash().to_owned()))
            .collect();
        let sheet_version = match previous {
            Some(root) if !next.sheet_changed => root.sheet_version,
            _ => version,
        };
        Self {
            version,
            sheet_version,
            history: history_hash(previous, next, &shards),
            service_as_of: next.service_as_of,
            recent: recent_edits(previous, next.edit_id, version),
            retired: retired_shards(previous, &shards, next),
            shards,
        }
    }

    /// Returns retired shards whose retention time is over and which are not in `shards`, at most
    /// `MAX_DELETIONS_PER_EDIT`.
    pub fn deletable_shards(&self, shards: &BTreeMap<String, Shard>, now_ms: u64) -> Vec<String> {
        let live: BTreeSet<&str> = shards.values().map(Shard::hash).collect();
        self.retired
            .iter()
            .filter(|shard| now_ms.saturating_sub(shard.at_ms) > RETIRED_SHARD_RETENTION_MS)
            .filter(|shard| !live.contains(shard.hash.as_str()))
            .map(|shard| shard.hash.clone())
            .take(MAX_DELETIONS_PER_EDIT)
            .collect()
    }
}

fn history_hash(
    previous: Option<&Root>,
    next: &NextRoot<'_>,
    shards: &BTreeMap<String, String>,
) -> String {
    let mut text = previous.map(|root| root.history.clone()).unwrap_or_default();
    text.push_str(next.edit_id);
    text.push_str(&next.service_as_of.0.to_string());
    for (name, hash) in shards {
        text.push_str(name);
        text.push_str(hash);
    }
    hash_of(text.as_bytes())
}

fn recent_edits(previous: Option<&Root>, id: &str, version: u64) -> Vec<AcceptedEdit> {
    let mut recent = previous.map(|root| root.recent.clone()).unwrap_or_default();
    recent.push(AcceptedEdit { id: id.to_owned(), version });
    let excess = recent.len().saturating_sub(MAX_RECENT_EDITS);
    recent.drain(..excess);
    recent
}

fn retired_shards(
    previous: Option<&Root>,
    shards: &BTreeMap<String, String>,
    next: &NextRoot<'_>,
) -> Vec<RetiredShard> {
    let Some(previous) = previous else { return Vec::new() };
    let live: BTreeSet<&str> = shards.values().map(String::as_str).collect();
    let still_retired = previous
        .retired
        .iter()
        .filter(|shard| {
            !live.contains(shard.hash.as_str()) && !next.deletable.contains(&shard.hash)
        })
        .cloned();
    let newly_retired = previous
        .shard_hashes()
        .into_iter()
        .filter(|hash| !live.contains(hash))
        .map(|hash| RetiredShard { hash: hash.to_owned(), at_ms: next.now_ms });
    still_retired.chain(newly_retired).collect()
}
