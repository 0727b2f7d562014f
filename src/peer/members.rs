//! The listed instances with their observed state, and the home order of backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use crate::names::{BackendServerName, DataCentreName, InstanceName};

value! {
    /// An instance in the platform's list.
    pub struct Member {
        /// Name of the instance.
        pub name: InstanceName,
        /// Data centre in which it runs.
        pub data_centre: DataCentreName,
        /// Address of its peer service, such as `10.0.0.3:7400`.
        pub peer_address: String,
        /// Whether the platform lists it as terminating.
        pub leaving: bool,
    }
}

/// All listed instances with their state as observed by this instance.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// Revision of the platform's list.
    pub revision: u64,
    /// Listed instances by name.
    pub listed: BTreeMap<InstanceName, Member>,
    /// Instances without recent contact, with refused connections, or that are draining.
    pub suspected: std::collections::BTreeSet<InstanceName>,
    /// Instances that recently acknowledged a heartbeat of this one, so that they don't suspect it.
    pub certain: std::collections::BTreeSet<InstanceName>,
}

/// Receives the members; it always holds the latest value.
pub type MembersWatch = tokio::sync::watch::Receiver<Arc<Members>>;

impl Members {
    /// Returns all listed instances in the home order of a backend server.
    ///
    /// Instances of the server's data centre come first; within each group the order is by
    /// rendezvous hashing (Thaler and Ravishankar, 1998), so that a change of the list moves few
    /// servers.
    pub fn home_order(
        &self,
        server: &BackendServerName,
        data_centre: &DataCentreName,
    ) -> Vec<&Member> {
        let mut members: Vec<&Member> = self.listed.values().collect();
        members.sort_by_cached_key(|member| {
            let is_local = member.data_centre == *data_centre;
            (!is_local, std::cmp::Reverse(rendezvous_weight(member.name.as_str(), server.as_str())))
        });
        members
    }

    /// Returns the home instance of a backend server: the first one in home order that is neither
    /// leaving nor suspected.
    pub fn home(
        &self,
        server: &BackendServerName,
        data_centre: &DataCentreName,
    ) -> Option<&Member> {
        self.home_order(server, data_centre).into_iter().find(|member| self.is_usable(member))
    }

    /// Returns whether an instance is neither leaving nor suspected.
    pub fn is_usable(&self, member: &Member) -> bool {
        !member.leaving && !self.suspected.contains(&member.name)
    }
}

/// Returns the rendezvous weight of a pair of names: the first 64 bits of their SHA-256 hash.
///
/// All instances must calculate the same value, so that they agree on the order.
pub fn rendezvous_weight(instance: &str, item: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(instance.as_bytes());
    hasher.update([0]);
    hasher.update(item.as_bytes());
    hasher.finalize().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
