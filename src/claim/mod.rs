//! Idempotency claims, which ensure that a request with an idempotency key runs at most once.
//!
//! A claim is an object in the object API, named by a hash of the organisation and the idempotency
//! key. It is created if absent, marked as sent by a conditional update *before* the first byte is
//! written to a backend server, and finally marked as done with the response. An instance that
//! can't confirm its own mark does not send the request. A claim that was never marked as sent may
//! be taken over, since the conditional update of the former holder then fails.
//!
//! [`machine`] contains the state machines, without I/O; [`holder`] executes their calls.

pub mod holder;
pub mod janitor;
pub mod machine;
pub mod record;

pub use holder::{ClaimResult, ClaimStore, HeldClaim, MarkSentError, SentClaim};
pub use record::{ClaimRecord, ClaimState, StoredBody, StoredResponse};
