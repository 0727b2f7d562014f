//! Tracks whether any attempt of a request may have written bytes to a backend server.

use std::time::Duration;

use super::auth::RequestError;
use crate::outcome::{ConnectFailed, Refusal, Sent, Unsent};

/// Dispatch state of a request between attempts.
#[derive(Debug)]
pub enum Dispatch {
    /// No attempt has written a byte.
    Unsent(Unsent),
    /// An attempt may have written bytes.
    Sent(Sent),
}

/// Dispatch state of a request during an attempt.
#[derive(Debug)]
pub struct ActiveDispatch {
    sent: Sent,
    /// Whether all earlier attempts wrote nothing.
    was_unsent: bool,
}

impl Dispatch {
    /// Creates the state of a request that was not sent yet.
    pub fn new() -> Self {
        Self::Unsent(Unsent::new())
    }

    /// Begins an attempt; must be called before the first byte is written.
    pub fn begin_attempt(self) -> ActiveDispatch {
        match self {
            Self::Unsent(unsent) => ActiveDispatch { sent: unsent.mark_sent(), was_unsent: true },
            Self::Sent(sent) => ActiveDispatch { sent, was_unsent: false },
        }
    }

    /// Builds the refusal of the request: `not_run` if no attempt wrote a byte, `ran` if a part
    /// of a response was received, `unknown` otherwise.
    ///
    /// Only the `retry_after` argument is used; [`RequestError::retry_after`] is ignored.
    pub fn into_refusal(
        self,
        error: RequestError,
        response_started: bool,
        retry_after: Option<Duration>,
    ) -> Refusal {
        let RequestError { code, message, .. } = error;
        let refusal = match self {
            Self::Unsent(unsent) => unsent.refuse(code, message),
            Self::Sent(sent) if response_started => sent.refuse_ran(code, message),
            Self::Sent(sent) => sent.refuse_unknown(code, message),
        };
        match retry_after {
            Some(delay) => refusal.with_retry_after(delay),
            None => refusal,
        }
    }

    /// Returns whether an attempt may have written bytes.
    pub fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

impl Default for Dispatch {
    fn default() -> Self {
        Self::new()
    }
}

impl ActiveDispatch {
    /// Ends an attempt that may have written bytes.
    pub fn end_attempt(self) -> Dispatch {
        Dispatch::Sent(self.sent)
    }

    /// Ends an attempt whose connection could not be opened, so that it wrote nothing.
    pub fn connect_failed(self, proof: ConnectFailed) -> Dispatch {
        if self.was_unsent {
            Dispatch::Unsent(self.sent.connect_failed(proof))
        } else {
            Dispatch::Sent(self.sent)
        }
    }
}
