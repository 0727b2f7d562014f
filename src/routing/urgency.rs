//! Order in which backend servers admit requests, and preempt them last.
//!
//! The priority of the organisation decides first. Among equals, the priority of the route still
//! counts: otherwise the long background prompts of an organisation displace its urgent ones.

use std::collections::BTreeSet;

/// Number of urgencies that a backend server distinguishes; 0 is the first.
pub const URGENCIES: usize = 10;

/// Priorities of a request, in the order in which they decide; 0 is the highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priorities {
    /// Priority of the organisation, or of the route if the organisation has none.
    first: u8,
    /// Priority of the route.
    second: u8,
}

impl Priorities {
    fn new(organisation: Option<u8>, route: u8) -> Self {
        Self { first: organisation.unwrap_or(route), second: route }
    }
}

/// Maps the priorities that a configuration uses to urgencies.
#[derive(Debug, Clone, Default)]
pub struct UrgencyScale {
    /// In ascending order, without duplicates.
    used: Vec<Priorities>,
}

impl UrgencyScale {
    /// Builds the scale for the priorities of the routes and of the organisations; an organisation
    /// without one, or no organisation, is `None`.
    pub fn new(routes: &BTreeSet<u8>, organisations: &BTreeSet<Option<u8>>) -> Self {
        let pairs = organisations
            .iter()
            .flat_map(|organisation| routes.iter().map(|route| (*organisation, *route)));
        let used: BTreeSet<_> =
            pairs.map(|(first, second)| Priorities::new(first, second)).collect();
        Self { used: used.into_iter().collect() }
    }

    /// Returns the urgency of a request, below [`URGENCIES`]; a more urgent request never has a
    /// higher number.
    ///
    /// If the configuration uses more priorities than there are urgencies, neighbours share one.
    pub fn urgency(&self, organisation: Option<u8>, route: u8) -> u8 {
        let priorities = Priorities::new(organisation, route);
        let rank = self.used.partition_point(|used| *used < priorities);
        let levels = self.used.len().max(URGENCIES);
        (rank * URGENCIES / levels).min(URGENCIES - 1) as u8
    }
}
