//! Sealed windows: which records each one holds, decided once for all instances.

use std::collections::BTreeMap;

use super::tally::{Tally, TotalsByOrganisation, add_totals};
use crate::platform::Object;

/// Name of the object that tells how far windows are sealed and reported.
pub const PROGRESS: &str = "progress";

value! {
    /// A sealed window. Seals form one chain: each starts where the one before ended.
    pub struct Seal {
        /// Place in the chain, from 1.
        pub number: u64,
        /// The window that the figures are reported for.
        pub window: u64,
        /// What organisations used.
        #[serde(rename = "figures")]
        pub totals: TotalsByOrganisation,
        /// Position up to which each tally is in this seal or an earlier one.
        pub marks: BTreeMap<String, u64>,
    }

    /// How far windows are sealed and reported.
    #[derive(Default)]
    pub struct Progress {
        /// Number of the latest seal of which all figures are reported.
        pub reported: u64,
        /// Marks of that seal: batches up to them may be removed from tallies.
        pub marks: BTreeMap<String, u64>,
    }

    /// An object in the collection of seals.
    pub enum StoredSeal {
        /// A sealed window.
        Seal(Seal),
        /// How far windows are reported.
        Progress(Progress),
    }
}

impl Seal {
    /// Returns the name of the object that holds a seal.
    pub fn object_name(number: u64) -> String {
        format!("window-{number:012}")
    }
}

/// Builds the seal that follows `previous` from tallies that were listed after it was read.
///
/// Returns none if there is nothing new to seal or the window does not follow.
pub fn next_seal(previous: Option<&Seal>, tallies: &[Object<Tally>], window: u64) -> Option<Seal> {
    if previous.is_some_and(|seal| window <= seal.window) {
        return None;
    }
    let mark =
        |name: &str| previous.and_then(|seal| seal.marks.get(name)).copied().unwrap_or_default();
    let mut totals = TotalsByOrganisation::new();
    for tally in tallies {
        add_totals(&mut totals, &tally.spec.totals_after(mark(&tally.name)));
    }
    let marks = tallies
        .iter()
        .map(|tally| (tally.name.clone(), tally.spec.position.max(mark(&tally.name))))
        .collect();
    let number = previous.map_or(1, |seal| seal.number + 1);
    (!totals.is_empty()).then_some(Seal { number, window, totals, marks })
}
