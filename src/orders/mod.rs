//! Orders to backend servers: at most one instance gives them in each data centre.
//!
//! An order is stored as an intent, sent under a live lease with the lease's fencing number, and
//! its result stored; what has no known result is sent again under the same identifier. An order
//! is sent only if its deadline lies within the lease, so a lease term below about four seconds
//! leaves no time for orders.

pub mod client;
pub mod intent;
pub mod plan;
pub mod planner;
pub mod sender;

pub use client::{OrderClient, SendOutcome};
pub use intent::{Action, Intent, OrderOutcome};
pub use planner::start;
pub use sender::{OrderError, OrderSender};
