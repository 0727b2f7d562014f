//! Usage: every completed request is counted in exactly one window and reported once.

pub mod ledger;

pub use ledger::{Ledger, Served};
