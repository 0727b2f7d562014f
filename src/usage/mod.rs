//! Usage accounting: every completed request is counted in exactly one window and reported once.
//!
//! Two peers replicate a record until it is durable, which means that it is counted in the
//! instance's tally in the object API. The reporter seals the tallies into windows and reports only
//! sealed totals.

pub mod chain;
pub mod keepers;
pub mod kept;
pub mod ledger;
pub mod own;
pub mod replication;
pub mod report;
pub mod reporter;
pub mod seal;
pub mod sequences;
pub mod tally;
pub mod task;
pub mod writer;

use crate::context::Context;
pub use ledger::{Ledger, LedgerSettings, ReplicaStoreFull, ServedRequest};

/// Starts the usage task and the reporter task of an instance.
pub fn start(cx: Context) -> Ledger {
    reporter::start(cx.clone());
    task::start(cx)
}
