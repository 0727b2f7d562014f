//! Sealed windows: assign each usage record to one window, once for all instances.

use std::collections::BTreeMap;

use super::tally::{Tally, TotalsByOrganisation, add_totals};
use crate::platform::Object;

/// Name of the object that stores the report progress.
pub const PROGRESS_OBJECT_NAME: &str = "progress";

value! {
    /// A sealed window. Seals form a chain in which each starts where the previous one ended.
    pub struct Seal {
        /// Position in the chain, starting at 1.
        pub number: u64,
        /// Window for which the totals are reported.
        pub window: u64,
        /// Usage per organisation.
        #[serde(rename = "figures")]
        pub totals: TotalsByOrganisation,
        /// Position up to which each tally is included in this seal or an earlier one.
        #[serde(rename = "marks")]
        pub sealed_positions: BTreeMap<String, u64>,
    }

    /// Report progress along the chain of seals.
    #[derive(Default)]
    pub struct Progress {
        /// Number of the latest seal whose totals are all reported.
        pub reported: u64,
        /// Sealed positions of that seal. Batches up to these positions may be removed from the
        /// tallies.
        #[serde(rename = "marks")]
        pub sealed_positions: BTreeMap<String, u64>,
    }

    /// An object in the collection of seals.
    pub enum StoredSeal {
        /// A sealed window.
        Seal(Seal),
        /// The report progress.
        Progress(Progress),
    }
}

impl Seal {
    /// Returns the name of the object that stores a seal.
    pub fn object_name(number: u64) -> String {
        format!("window-{number:012}")
    }
}

/// Builds the seal that follows `previous` from tallies that were listed after it was read.
///
/// Returns `None` if there is nothing new to seal or `window` is not later than that of `previous`.
pub fn next_seal(previous: Option<&Seal>, tallies: &[Object<Tally>], window: u64) -> Option<Seal> {
    if previous.is_some_and(|seal| window <= seal.window) {
        return None;
    }
    let sealed_position = |name: &str| {
        previous.and_then(|seal| seal.sealed_positions.get(name)).copied().unwrap_or_default()
    };
    let mut totals = TotalsByOrganisation::new();
    for tally in tallies {
        add_totals(&mut totals, &tally.spec.totals_after(sealed_position(&tally.name)));
    }
    let sealed_positions = tallies
        .iter()
        .map(|tally| (tally.name.clone(), tally.spec.position.max(sealed_position(&tally.name))))
        .collect();
    let number = previous.map_or(1, |seal| seal.number + 1);
    (!totals.is_empty()).then_some(Seal { number, window, totals, sealed_positions })
}
