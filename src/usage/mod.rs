//! Usage: every completed request is counted in exactly one window and reported once.
//!
//! A record is held by two peers until the instance's tally in the object API has it. The
//! reporter seals what the tallies hold into windows and reports from the seals alone.

pub mod keepers;
pub mod kept;
pub mod ledger;
pub mod own;
pub mod replication;
pub mod seal;
pub mod sequences;
pub mod tally;
pub mod task;
pub mod writer;

pub use ledger::{KeptFull, Ledger, LedgerSettings, Served};
pub use task::{start, start_with};
