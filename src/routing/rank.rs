//! Rendezvous hashing: for each key, an order of the candidates that all instances agree on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::InstanceName;

/// Returns the rendezvous weight of a candidate for a key.
pub fn rendezvous_weight(candidate: &str, key: u64) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the rank of an instance for a key: the number of other instances with a larger weight.
pub fn rank<'a>(
    this_instance: &InstanceName,
    instances: impl Iterator<Item = &'a InstanceName>,
    key: u64,
) -> usize {
    let own_weight = rendezvous_weight(this_instance.as_str(), key);
    instances.filter(|other| rendezvous_weight(other.as_str(), key) > own_weight).count()
}
