//! Claims of idempotency keys, which make a request run at most once.

use crate::context::Context;

/// Makes claims; clones share the connections.
#[derive(Clone)]
pub struct Claims {
    _cx: Context,
}

impl Claims {
    /// Prepares claims for this instance.
    pub fn new(cx: Context) -> Self {
        Self { _cx: cx }
    }
}
