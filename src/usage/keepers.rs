//! Selection of the peers that replicate the usage records of an instance until they are durable.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::names::InstanceName;
use crate::peer::members::rendezvous_weight;
use crate::peer::{Member, Members};

/// Number of peers that replicate each record.
pub const REPLICA_COUNT: usize = 2;

/// Selects the peers that replicate the records of `this_instance`.
///
/// The first is in the same data centre if possible and the second in another one, so that neither
/// the loss of an instance nor that of a data centre loses a record. Peers in `avoided` failed
/// recently and are selected only if there are no others.
pub fn choose_replicas(
    members: &Members,
    this_instance: &InstanceName,
    avoided: &BTreeSet<InstanceName>,
) -> [Option<Member>; REPLICA_COUNT] {
    let own_data_centre = members.listed.get(this_instance).map(|member| &member.data_centre);
    let mut peers: Vec<&Member> = members
        .listed
        .values()
        .filter(|member| member.name != *this_instance && members.is_usable(member))
        .collect();
    peers.sort_by_cached_key(|peer| {
        (
            avoided.contains(&peer.name),
            Reverse(rendezvous_weight(peer.name.as_str(), this_instance.as_str())),
        )
    });
    let is_local = |peer: &&&Member| Some(&peer.data_centre) == own_data_centre;
    let is_preferred = |peer: &&&Member| !avoided.contains(&peer.name);
    let first = peers
        .iter()
        .find(|peer| is_local(peer) && is_preferred(peer))
        .or_else(|| peers.first())
        .copied()
        .cloned();
    let rest: Vec<&Member> = peers
        .into_iter()
        .filter(|peer| first.as_ref().is_some_and(|first| first.name != peer.name))
        .collect();
    let second = rest
        .iter()
        .find(|peer| !is_local(peer) && is_preferred(peer))
        .or_else(|| rest.first())
        .copied()
        .cloned();
    [first, second]
}
