//! Differences between two configurations, in terms of the sheet's tables and columns.

use super::columns::{Column, Table};
use super::values::{Cells, to_rows};
use crate::config::Config;

value! {
    /// One difference between two configurations.
    pub struct Difference {
        /// Table of the record.
        pub table: Table,
        /// Name of the record.
        pub name: String,
        /// The change to the record.
        pub change: Change,
    }

    /// A change to one record.
    #[serde(rename_all = "kebab-case")]
    pub enum Change {
        /// The record exists only in the new configuration.
        Added,
        /// The record exists only in the old configuration.
        Removed,
        /// The value of a column differs.
        Changed {
            /// Column whose value differs.
            column: Column,
            /// The old value.
            from: String,
            /// The new value.
            to: String,
        },
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (table, name) = (self.table.as_str(), &self.name);
        match &self.change {
            Change::Added => write!(f, "{table} {name}: added"),
            Change::Removed => write!(f, "{table} {name}: removed"),
            Change::Changed { column, from, to } => {
                write!(f, "{table} {name}: {} from \"{from}\" to \"{to}\"", column.as_str())
            }
        }
    }
}

/// Compares two configurations, except for their keys and versions.
pub fn diff(old: &Config, new: &Config) -> Vec<Difference> {
    let (old, new) = (to_rows(old), to_rows(new));
    let mut differences = Vec::new();
    for ((table, name), cells) in &new {
        let change = |change| Difference { table: *table, name: name.clone(), change };
        match old.get(&(*table, name.clone())) {
            None => differences.push(change(Change::Added)),
            Some(before) => differences.extend(changed_cells(before, cells).map(change)),
        }
    }
    for (table, name) in old.keys().filter(|key| !new.contains_key(*key)) {
        let change = Change::Removed;
        differences.push(Difference { table: *table, name: name.clone(), change });
    }
    differences
}

fn changed_cells<'a>(old: &'a Cells, new: &'a Cells) -> impl Iterator<Item = Change> + 'a {
    let columns: std::collections::BTreeSet<Column> =
        old.keys().chain(new.keys()).copied().collect();
    columns.into_iter().filter_map(|column| {
        let from = old.get(&column).cloned().unwrap_or_default();
        let to = new.get(&column).cloned().unwrap_or_default();
        (from != to).then_some(Change::Changed { column, from, to })
    })
}
