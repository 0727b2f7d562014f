//! Selection of the candidates for a lease, limited so that API calls do not grow with the fleet.

use std::cmp::Reverse;

use crate::names::{DataCentreName, InstanceName};
use crate::peer::Members;
use crate::peer::members::rendezvous_weight;

/// Maximum number of instances that are candidates for a lease at the same time.
pub const MAX_CANDIDATES: usize = 3;

/// A role that at most one instance has at a time, guarded by a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Role {
    /// Name of the lease.
    pub name: String,
    /// Data centre whose instances are preferred.
    pub data_centre: Option<DataCentreName>,
}

impl Role {
    /// Returns whether this instance is among the highest-ranked usable instances.
    ///
    /// An instance that is not listed yet is a candidate, since it may be the only one.
    pub fn is_candidate(&self, members: &Members, this_instance: &InstanceName) -> bool {
        let Some(own_member) = members.listed.get(this_instance) else { return true };
        if own_member.leaving {
            return false;
        }
        let rank = |name: &InstanceName, data_centre: &DataCentreName| {
            let is_preferred =
                self.data_centre.as_ref().is_none_or(|preferred| preferred == data_centre);
            (!is_preferred, Reverse(rendezvous_weight(name.as_str(), &self.name)))
        };
        let own_rank = rank(this_instance, &own_member.data_centre);
        let higher_ranked = members
            .listed
            .values()
            .filter(|member| member.name != *this_instance && members.is_usable(member))
            .filter(|member| rank(&member.name, &member.data_centre) < own_rank);
        higher_ranked.count() < MAX_CANDIDATES
    }
}
