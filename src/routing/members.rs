//! Registered instances, and the peer from which this instance pulls the platform's state.
//!
//! The instances of a data centre form a tree by rendezvous rank. The root reads the platform's
//! store, and every other instance pulls from its parent. The load on the store grows with the
//! number of data centres instead of instances, and the fan-out of each instance is bounded. When
//! an instance fails, the next one in rank takes its place.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{DataCentreName, InstanceName};
use crate::routing::rank::{rank, rendezvous_weight};

/// Time for which an instance that did not answer, or had outdated state, is skipped.
const SKIP_PERIOD: Duration = Duration::from_secs(4);

value! {
    /// What an instance publishes about itself.
    pub struct Member {
        /// Data centre that it runs in.
        pub data_centre: DataCentreName,
        /// Address for peers.
        pub address: SocketAddr,
        /// Port for datagrams of peers, at the same IP address. Earlier versions have none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub datagram_port: Option<u16>,
    }
}

impl Member {
    /// Returns the address for datagrams of peers.
    pub fn datagram_address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::new(self.address.ip(), self.datagram_port?))
    }
}

/// Maximum number of instances that pull from the same one. Each pulls about 1.2 times per second
/// and gets some 400 bytes if nothing changed, so this uses half of an instance's budget of 8 kB/s.
const FAN_OUT: usize = 8;

/// Rendezvous key of the tree.
const TREE_KEY: u64 = 0;
/// Rendezvous key of the instances that store what began streams.
const WRITERS_KEY: u64 = 1;
/// Number of instances of a data centre for each of these, so that its messages don't grow with the fleet.
const INSTANCES_PER_WRITER: usize = 16;

/// All registered instances.
#[derive(Debug, Default)]
pub struct Members {
    all: BTreeMap<InstanceName, Member>,
    skipped_until: HashMap<InstanceName, Instant>,
}

impl Members {
    /// Adds or replaces an instance.
    pub fn put(&mut self, name: InstanceName, member: Member) {
        if self.all.insert(name.clone(), member.clone()) != Some(member) {
            self.skipped_until.remove(&name);
        }
    }

    /// Removes an instance.
    pub fn remove(&mut self, name: &InstanceName) {
        self.all.remove(name);
        self.skipped_until.remove(name);
    }

    /// Removes all instances.
    pub fn clear(&mut self) {
        self.all.clear();
    }

    /// Returns the names of all instances.
    pub fn names(&self) -> impl Iterator<Item = &InstanceName> {
        self.all.keys()
    }

    /// Returns all instances.
    pub fn all(&self) -> impl Iterator<Item = (&InstanceName, &Member)> {
        self.all.iter()
    }

    /// Returns the number of instances.
    pub fn count(&self) -> usize {
        self.all.len()
    }

    /// Returns the number of instances of a data centre that rank above `this_instance`, skipped or
    /// not.
    pub fn rank_in(&self, data_centre: &DataCentreName, this_instance: &InstanceName) -> usize {
        let local = self.all.iter().filter(|(_, member)| member.data_centre == *data_centre);
        rank(this_instance, local.map(|(name, _)| name), TREE_KEY)
    }

    /// Returns whether an instance is registered with the given data.
    pub fn has(&self, name: &InstanceName, member: &Member) -> bool {
        self.all.get(name) == Some(member)
    }

    /// Skips an instance for a while, as it did not answer or had outdated state.
    pub fn skip(&mut self, now: Instant, name: &InstanceName) {
        self.skipped_until.insert(name.clone(), now + SKIP_PERIOD);
    }

    /// Returns the peer in the data centre that `this_instance` pulls from: its parent in the tree
    /// by rank, `None` for the root. A parent has a higher rank than its children in every
    /// instance's view, so there are no cycles even if the views differ.
    pub fn upstream_peer(
        &self,
        now: Instant,
        this_instance: &InstanceName,
        data_centre: &DataCentreName,
    ) -> Option<(&InstanceName, &Member)> {
        let own_weight = rendezvous_weight(this_instance.as_str(), TREE_KEY);
        let local = self.all.iter().filter(|(_, member)| member.data_centre == *data_centre);
        let mut higher: Vec<_> = local
            .filter(|(name, _)| {
                *name != this_instance && rendezvous_weight(name.as_str(), TREE_KEY) > own_weight
            })
            .filter(|(name, _)| !self.is_skipped(now, name))
            .collect();
        // The rank of this instance is `higher.len()`. Ranks 1 to `FAN_OUT` pull from rank 0, the
        // next `FAN_OUT` from rank 1, and so on.
        let parent_rank = higher.len().checked_sub(1)? / FAN_OUT;
        higher.sort_by_cached_key(|(name, _)| Reverse(rendezvous_weight(name.as_str(), TREE_KEY)));
        higher.into_iter().nth(parent_rank)
    }

    /// Returns a random other instance, to pull from when there is no upstream peer and this
    /// instance cannot read the store; `sample` is a uniform random number in 0..1.
    pub fn random_peer(
        &self,
        now: Instant,
        this_instance: &InstanceName,
        sample: f64,
    ) -> Option<(&InstanceName, &Member)> {
        let others = || {
            self.all
                .iter()
                .filter(|(name, _)| *name != this_instance && !self.is_skipped(now, name))
        };
        let count = others().count();
        others().nth((sample * count as f64) as usize)
    }

    /// Returns the instance of a data centre that stores what began a stream, with its address for
    /// datagrams.
    pub fn writer(
        &self,
        data_centre: &DataCentreName,
        stream: u64,
    ) -> Option<(&InstanceName, SocketAddr)> {
        let local = self.all.iter().filter(|(_, member)| member.data_centre == *data_centre);
        let mut ranked: Vec<_> = local
            .filter_map(|(name, member)| Some((name, member.datagram_address()?)))
            .map(|(name, address)| (rendezvous_weight(name.as_str(), WRITERS_KEY), name, address))
            .collect();
        ranked.sort_unstable_by_key(|(weight, name, _)| (Reverse(*weight), *name));
        let writers = ranked.len().div_ceil(INSTANCES_PER_WRITER);
        let (_, name, address) = ranked.get((stream % writers.max(1) as u64) as usize)?;
        Some((name, *address))
    }

    /// Returns the addresses for datagrams of `count` instances that keep what began a stream: `local` of
    /// the data centre, its writer first, and the others of the whole fleet. All but the writer are chosen
    /// by rank. `this_instance` is left out.
    ///
    /// All instances of a data centre choose the same ones. Two more than `count` chosen in another
    /// data centre include the one of the fleet that was chosen here.
    pub fn datagram_addresses(
        &self,
        this_instance: &InstanceName,
        data_centre: &DataCentreName,
        stream: u64,
        local: usize,
        count: usize,
    ) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = self
            .all
            .iter()
            .filter_map(|(name, member)| Some((name, member, member.datagram_address()?)))
            .map(|(name, member, address)| {
                (Reverse(rendezvous_weight(name.as_str(), stream)), name, member, address)
            })
            .collect();
        ranked.sort_unstable_by_key(|(weight, name, ..)| (*weight, *name));
        let is_local = |member: &Member| member.data_centre == *data_centre;
        let writer = self.writer(data_centre, stream);
        let is_writer = |name: &InstanceName| writer.is_some_and(|(writer, _)| writer == name);
        let others =
            ranked.iter().filter(|(_, name, member, _)| is_local(member) && !is_writer(name));
        let others = others.map(|(_, name, _, address)| (*name, *address));
        let mut chosen: Vec<_> = writer.into_iter().chain(others).take(local).collect();
        for (_, name, _, address) in ranked {
            if chosen.len() < count && chosen.iter().all(|(other, _)| *other != name) {
                chosen.push((name, address));
            }
        }
        chosen.retain(|(name, _)| *name != this_instance);
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    fn is_skipped(&self, now: Instant, name: &InstanceName) -> bool {
        self.skipped_until.get(name).is_some_and(|until| now < *until)
    }
}
