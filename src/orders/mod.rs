//! Orders that start and stop backend servers, issued by at most one instance per data centre.
//!
//! An order is stored as an intent, sent with the epoch of a held lease as the fencing token, and
//! updated with its outcome. An order whose outcome is unknown is sent again with the same
//! identifier. Orders are sent only if the request timeout ends before the lease does, so a lease
//! term below about four seconds leaves no time for orders.

pub mod client;
pub mod intent;
pub mod plan;
pub mod planner;
pub mod sender;

pub use client::{OrderClient, SendOutcome};
pub use intent::{Action, Intent, OrderOutcome};
pub use planner::start;
pub use sender::{OrderError, OrderSender};
