//! The latest order to a backend server as stored: the intent, and its result once known.

use crate::lease::Holder;
use crate::names::{BackendServerName, DataCentreName};

value! {
    /// What a backend server is told to do.
    pub enum Action {
        /// Start.
        Start,
        /// Stop.
        Stop,
        /// Load a model, adapter or version.
        Load(String),
        /// Change the role.
        Role(String),
    }

    /// How an order ended.
    pub enum OrderOutcome {
        /// It was carried out.
        Done,
        /// The backend server has seen a greater fencing number.
        Fenced,
    }

    /// An order to one backend server.
    pub struct Intent {
        /// Identifier; sending it twice has the effect of once.
        pub id: String,
        /// The data centre.
        pub data_centre: DataCentreName,
        /// The backend server.
        pub server: BackendServerName,
        /// What it is told to do.
        pub action: Action,
        /// Fencing number of the lease that the order was decided under.
        pub epoch: u64,
        /// The process that decided it.
        pub holder: Holder,
        /// How it ended; none while that is unknown.
        #[serde(rename = "end")]
        pub outcome: Option<OrderOutcome>,
    }
}

impl Action {
    /// Returns the word and the argument used by the backend server interface.
    pub fn order_and_argument(&self) -> (&'static str, &str) {
        match self {
            Self::Start => ("start", ""),
            Self::Stop => ("stop", ""),
            Self::Load(what) => ("load", what),
            Self::Role(role) => ("role", role),
        }
    }
}
