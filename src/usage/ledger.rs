//! Records of served requests, kept at peers until the object API holds them.

use crate::names::{ClassName, OrganisationName, RequestId, RouteName};

value! {
    /// A served request to be billed.
    pub struct Served {
        /// The request.
        pub request: RequestId,
        /// The organisation that it ran for.
        pub organisation: OrganisationName,
        /// Its class.
        pub class: ClassName,
        /// Its route.
        pub route: RouteName,
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Tokens of the answer.
        pub output_tokens: u64,
    }
}

/// Handle to the usage task; clones reach the same task.
#[derive(Clone)]
pub struct Ledger {}

impl Ledger {
    /// Records a served request; returns when peers hold the record, or after a short bound.
    ///
    /// Call it before the end of the answer is passed to the caller.
    pub async fn record(&self, _served: Served) {
        unimplemented!("usage")
    }
}
