//! Whether bytes of a request may have reached a backend server, over all of its attempts.

use std::time::Duration;

use super::auth::RequestError;
use crate::outcome::{ConnectFailed, Refusal, Sent, Unsent};

/// State of a request between attempts.
#[derive(Debug)]
pub enum Dispatch {
    /// No attempt has written a byte.
    Unsent(Unsent),
    /// An attempt may have written bytes.
    Sent(Sent),
}

/// State of a request during an attempt.
#[derive(Debug)]
pub struct ActiveDispatch {
    sent: Sent,
    /// Whether no earlier attempt wrote a byte.
    was_unsent: bool,
}

impl Dispatch {
    /// Starts the life of a request.
    pub fn new() -> Self {
        Self::Unsent(Unsent::new())
    }

    /// Begins an attempt; call it before the first byte is written.
    pub fn begin_attempt(self) -> ActiveDispatch {
        match self {
            Self::Unsent(unsent) => ActiveDispatch { sent: unsent.send(), was_unsent: true },
            Self::Sent(sent) => ActiveDispatch { sent, was_unsent: false },
        }
    }

    /// Refuses the request: as not run if no attempt wrote a byte, else as unknown, or as ran if
    /// a part of an answer was received.
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
    /// Ends an attempt after bytes may have been written.
    pub fn end_attempt(self) -> Dispatch {
        Dispatch::Sent(self.sent)
    }

    /// Ends an attempt whose connection could not be opened.
    pub fn connect_failed(self, proof: ConnectFailed) -> Dispatch {
        if self.was_unsent {
            Dispatch::Unsent(self.sent.connect_failed(proof))
        } else {
            Dispatch::Sent(self.sent)
        }
    }
}
