//! Leases: at most one instance acts in a role at any time, without synchronised clocks.
//!
//! A holder counts the term from before it sends a renewal and stops acting a margin before
//! expiry. A successor waits a whole term by its own clock after it first observed the stored
//! version. Both use the boot-time clock, which also runs while a machine is suspended.
//!
//! See Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency" (1989).

pub mod claimant;
pub mod former;
pub mod live;
pub mod role;
pub mod task;

pub use claimant::{Holder, LeaseCall, LeaseRecord, LeaseSettings, LeaseStateMachine, LeaseWrite};
pub use former::FormerHolderTracker;
pub use live::{ACTION_TIMEOUT, LeaseWatch, LiveLease, Permit};
pub use role::Role;
pub use task::LeaseTask;
