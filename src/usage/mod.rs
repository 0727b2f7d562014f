//! Usage: every completed request is counted in exactly one window and reported once.
//!
//! A record is held by two peers until the instance's tally in the object API has it. The
//! reporter seals what the tallies hold into windows and reports from the seals alone.

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

/// Starts the usage task of an instance, and its part in the reporter role.
pub fn start(cx: Context) -> Ledger {
    reporter::start(cx.clone());
    task::start(cx)
}
