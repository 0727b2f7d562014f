//! Claims of idempotency keys, which make a request run at most once.
//!
//! A claim is an object of the object API, named by a hash of the organisation and the idempotency
//! key. It is created if absent, then marked as sent by a conditional update *before* the first
//! byte goes to a backend server, and marked as done with the answer at the end. Whoever can't be
//! sure that its own mark was written sends nothing. A claim that was never marked as sent may be
//! taken over, since the conditional update of the former holder then fails.
//!
//! [`machine`] decides, without input or output; [`holder`] makes the calls.

pub mod holder;
pub mod janitor;
pub mod machine;
pub mod record;

pub use holder::{ClaimResult, ClaimStore, HeldClaim, MarkSentError, SentClaim};
pub use record::{ClaimRecord, ClaimState, StoredBody, StoredResponse};
