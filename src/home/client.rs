//! The entry's side of admission: asks the home instance of a backend server for a slot.

use std::time::Duration;

use crate::context::Context;
use crate::names::{BackendServerName, ClassName, OrganisationName, RequestId};

/// A request for a slot on one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub server: BackendServerName,
    /// The organisation that the request runs for.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: ClassName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Time left until the answer must have started; no bound if absent.
    pub deadline: Option<Duration>,
    /// Wait above which another backend server is preferred; none if absent.
    pub wait_bound: Option<Duration>,
    /// Whether the request may be run again.
    pub repeatable: bool,
    /// Number of this attempt, from 0.
    pub attempt: u32,
}

/// Why a slot was not given; nothing was sent to the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitError {
    /// The instance asked is not the home instance.
    NotHome,
    /// The queue is full and holds nothing lower.
    QueueFull(Duration),
    /// A request of a higher tier took the place; the time after which to try again.
    Shed(Duration),
    /// The deadline can't be met.
    TooLate(Duration),
    /// The backend server takes no new work.
    Out,
    /// The estimated wait is above the bound.
    WaitAboveBound(Duration),
    /// The home instance is shutting down.
    Draining,
    /// The organisation has too many requests waiting.
    OrganisationLimit(Duration),
    /// The backend server is ejected as failing or slow.
    Ejected,
    /// The home instance can't be reached or went silent.
    Unreachable,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was received.
    Complete,
    /// The caller went away.
    Cancelled,
    /// The backend server failed, cut the answer or stayed silent.
    ServerFailed,
    /// The request was never sent.
    NotSent,
    /// The backend server answered that it is over its limit.
    Overloaded,
}

/// Figures of an admitted request at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Figures {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_gap: Option<Duration>,
}

/// A slot on a backend server; dropping it tells the home instance that the request was cancelled.
#[derive(Debug)]
pub struct Permit {
    cold: bool,
}

impl Permit {
    /// Returns whether the backend server is in cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Tells the home instance how far the answer is.
    pub fn progress(&self, _output_tokens: u64, _first_token: Option<Duration>) {
        unimplemented!("admission")
    }

    /// Gives the slot back.
    pub fn finish(self, _ending: Ending, _figures: Figures) {
        unimplemented!("admission")
    }

    /// Waits until the home instance is lost, which doesn't end the request.
    pub async fn home_lost(&mut self) {
        unimplemented!("admission")
    }
}

/// Asks home instances for slots; clones share the connections.
#[derive(Clone)]
pub struct Admitter {
    _cx: Context,
}

impl Admitter {
    /// Makes an admitter for this instance.
    pub fn new(cx: Context) -> Self {
        Self { _cx: cx }
    }

    /// Waits for a slot on a backend server.
    ///
    /// # Errors
    /// Says why there is none; the request was not sent to the backend server.
    pub async fn admit(&self, _ask: Ask) -> Result<Permit, AdmitError> {
        unimplemented!("admission")
    }
}
