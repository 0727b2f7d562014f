//! Marks: urgent overrides that instances exchange directly, also while the object API is down.
//!
//! Withdrawn keys are a grow-only set. A service mark takes a data centre or backend server out of
//! service or puts it back in; for each of them, the last write wins.
//! Merging is commutative, associative and idempotent, so that all instances converge to the same
//! marks in whatever order they arrive.

use std::collections::{BTreeMap, BTreeSet};

use sha2::{Digest, Sha256};

use super::model::KeyHash;
use crate::clock::Hlc;
use crate::names::{BackendServerName, DataCentreName};

/// A target that can be taken out of service and put back in.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum MarkTarget {
    /// A data centre with all its backend servers.
    DataCentre(DataCentreName),
    /// One backend server.
    BackendServer(BackendServerName),
}

impl std::fmt::Display for MarkTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::DataCentre(name) => write!(f, "data centre {name}"),
            Self::BackendServer(name) => write!(f, "backend server {name}"),
        }
    }
}

value! {
    /// One urgent override.
    pub enum Mark {
        /// The key with this hash is withdrawn.
        KeyWithdrawn(KeyHash),
        /// A data centre or backend server was taken out of service or put back in.
        Service {
            /// The data centre or backend server.
            target: MarkTarget,
            /// When the operator made the change; the greatest timestamp wins.
            at: Hlc,
            /// Whether it accepts new requests from then on.
            in_service: bool,
        },
    }
}

/// All marks known to an instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Marks {
    withdrawn: BTreeSet<KeyHash>,
    #[serde(with = "as_pairs")]
    service: BTreeMap<MarkTarget, (Hlc, bool)>,
}

impl Marks {
    /// Merges one mark; returns whether anything changed.
    pub fn merge(&mut self, mark: Mark) -> bool {
        match mark {
            Mark::KeyWithdrawn(hash) => self.withdrawn.insert(hash),
            Mark::Service { target, at, in_service } => {
                // On equal timestamps "out" wins, so that the result does not depend on the order
                // of merging.
                let newer =
                    self.service.get(&target).is_none_or(|(current, current_in_service)| {
                        (at, !in_service) > (*current, !*current_in_service)
                    });
                if newer {
                    self.service.insert(target, (at, in_service));
                }
                newer
            }
        }
    }

    /// Iterates over all marks.
    pub fn iter(&self) -> impl Iterator<Item = Mark> + '_ {
        let withdrawn = self.withdrawn.iter().cloned().map(Mark::KeyWithdrawn);
        let service = self.service.iter().map(|(target, (at, in_service))| Mark::Service {
            target: target.clone(),
            at: *at,
            in_service: *in_service,
        });
        withdrawn.chain(service)
    }

    /// Returns whether merging a mark would change nothing.
    pub fn covers(&self, mark: &Mark) -> bool {
        match mark {
            Mark::KeyWithdrawn(hash) => self.withdrawn.contains(hash),
            Mark::Service { target, at, in_service } => {
                self.service.get(target).is_some_and(|(current, current_in_service)| {
                    (*at, !*in_service) <= (*current, !*current_in_service)
                })
            }
        }
    }

    /// Returns the greatest timestamp of the service marks.
    pub fn latest_service_timestamp(&self) -> Option<Hlc> {
        self.service.values().map(|(at, _)| *at).max()
    }

    /// Returns the number of keys withdrawn by marks.
    pub fn withdrawn_count(&self) -> usize {
        self.withdrawn.len()
    }

    /// Returns whether a key is withdrawn by a mark.
    pub fn is_withdrawn(&self, hash: &KeyHash) -> bool {
        self.withdrawn.contains(hash)
    }

    /// Returns whether a target is in service; `default` if it has no mark.
    pub fn is_in_service(&self, target: &MarkTarget, default: bool) -> bool {
        self.service.get(target).map_or(default, |(_, in_service)| *in_service)
    }

    /// Removes the marks that `keep` returns false for.
    pub fn retain(&mut self, keep: impl Fn(&Mark) -> bool) {
        let kept: Vec<Mark> = self.iter().filter(|mark| keep(mark)).collect();
        *self = Self::default();
        for mark in kept {
            self.merge(mark);
        }
    }

    /// Returns a digest by which two instances compare their marks.
    pub fn digest(&self) -> u64 {
        let json = serde_json::to_vec(self).unwrap_or_default();
        let hash = Sha256::digest(json);
        hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}

/// Serializes the map as a list of pairs, since JSON object keys must be strings.
mod as_pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{Hlc, MarkTarget};

    type Service = BTreeMap<MarkTarget, (Hlc, bool)>;

    pub fn serialize<S: Serializer>(service: &Service, serializer: S) -> Result<S::Ok, S::Error> {
        service.iter().collect::<Vec<_>>().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Service, D::Error> {
        Ok(Vec::<(MarkTarget, (Hlc, bool))>::deserialize(deserializer)?.into_iter().collect())
    }
}
