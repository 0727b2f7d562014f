//! Rendezvous hashing: for each item, candidates have an order that all instances agree on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::InstanceName;

/// Returns the rendezvous weight of a candidate for an item.
pub fn weight(candidate: &str, item: u64) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), item)
}

/// Returns the rank of an instance for an item: the number of others with a larger weight.
pub fn rank<'a>(
    me: &InstanceName,
    instances: impl Iterator<Item = &'a InstanceName>,
    item: u64,
) -> usize {
    let own = weight(me.as_str(), item);
    instances.filter(|other| weight(other.as_str(), item) > own).count()
}
