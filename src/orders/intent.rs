//! Stored record of the latest order to a backend server, with its outcome once known.

use crate::lease::Holder;
use crate::names::{BackendServerName, DataCentreName};

value! {
    /// Action that an order requests of a backend server.
    pub enum Action {
        /// Start the server.
        Start,
        /// Stop the server.
        Stop,
        /// Load the named model, adapter or version.
        Load(String),
        /// Change to the named role.
        Role(String),
    }

    /// Outcome of an order.
    pub enum OrderOutcome {
        /// The order was executed.
        Done,
        /// The order was refused because the backend server has seen a higher fencing token.
        Fenced,
    }

    /// An order to one backend server.
    pub struct Intent {
        /// Idempotency identifier: an order is executed once, however often it is sent.
        pub id: String,
        /// Data centre of the backend server.
        pub data_centre: DataCentreName,
        /// Target of the order.
        pub server: BackendServerName,
        /// Requested action.
        pub action: Action,
        /// Epoch of the lease under which the order was decided.
        pub epoch: u64,
        /// Process that decided the order.
        pub holder: Holder,
        /// Outcome; `None` while it is unknown.
        #[serde(rename = "end")]
        pub outcome: Option<OrderOutcome>,
    }
}

impl Action {
    /// Returns the values of `order` and `argument` in the interface's request body.
    pub fn order_and_argument(&self) -> (&'static str, &str) {
        match self {
            Self::Start => ("start", ""),
            Self::Stop => ("stop", ""),
            Self::Load(what) => ("load", what),
            Self::Role(role) => ("role", role),
        }
    }
}
