//! The other instances, and which of them this instance learns the platform's state from.
//!
//! In each data centre one instance reads the platform's store, a few ask it, a few ask each of
//! these, and so on, so that the calls to the store grow with the data centres and not with the
//! instances, and no instance answers many. When one fails, the next one in rank takes its place.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{DataCentreName, InstanceName};
use crate::routing::rank::rendezvous_weight;

/// Time for which an instance that did not answer, or had old news, is passed over.
const SKIP_PERIOD: Duration = Duration::from_secs(4);

value! {
    /// What an instance tells the others of itself.
    pub struct Member {
        /// Data centre that it stands in.
        pub data_centre: DataCentreName,
        /// Its address for peers.
        pub address: SocketAddr,
    }
}

/// Instances that ask the same one. Each asks about 1.2 times a second and gets some 400 bytes if
/// nothing changed, so that this is half of the 8 kB/s that an instance may spend.
const FAN_OUT: usize = 8;

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

    /// Notes that an instance did not answer, or had old news.
    pub fn skip(&mut self, now: Instant, name: &InstanceName) {
        self.skipped_until.insert(name.clone(), now + SKIP_PERIOD);
    }

    /// Returns the instance of the data centre that `me` asks: in a tree by rank, its parent. The
    /// first one has none. Parents rank higher than those that ask them in everyone's view, so that
    /// no instances ask in a circle.
    pub fn upstream_peer(
        &self,
        now: Instant,
        this_instance: &InstanceName,
        data_centre: &DataCentreName,
    ) -> Option<(&InstanceName, &Member)> {
        let own_weight = rendezvous_weight(this_instance.as_str(), 0);
        let local = self.all.iter().filter(|(_, member)| member.data_centre == *data_centre);
        let mut higher: Vec<_> = local
            .filter(|(name, _)| {
                *name != this_instance && rendezvous_weight(name.as_str(), 0) > own_weight
            })
            .filter(|(name, _)| !self.is_skipped(now, name))
            .collect();
        let parent = higher.len().checked_sub(1)? / FAN_OUT;
        higher.sort_by_cached_key(|(name, _)| Reverse(rendezvous_weight(name.as_str(), 0)));
        higher.into_iter().nth(parent)
    }

    /// Returns another instance at random, for when the store turns this one away; `draw` is
    /// uniform in 0..1.
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

    fn is_skipped(&self, now: Instant, name: &InstanceName) -> bool {
        self.skipped_until.get(name).is_some_and(|until| now < *until)
    }
}
