//! Outcomes of requests as callers see them: refusals with a stable code and whether work ran.

use std::time::Duration;

choice! {
    /// Whether a request was executed by a backend server.
    pub enum Ran {
        /// No byte of the request reached a backend server.
        NotRun,
        /// A backend server answered.
        Ran,
        /// Bytes were sent, but no whole answer was received.
        Unknown,
    }

    /// Stable code of a refusal; `docs/OPERATIONS.md` says what to do about each.
    pub enum RefusalCode {
        /// The request has no valid key.
        InvalidKey,
        /// The key does not give access to the route or class.
        NotAllowed,
        /// No route or model has this name.
        NotFound,
        /// The request is malformed.
        BadRequest,
        /// The body or the headers are over the limit.
        TooLarge,
        /// The queue is full of requests of the same or a higher tier.
        QueueFull,
        /// A request of a higher tier took the place in the queue.
        Shed,
        /// The latency target could not be met any more.
        TooLate,
        /// The organisation is over one of its limits.
        OrganisationLimit,
        /// No backend server of the route takes work at present.
        NoBackendServer,
        /// The instance is shutting down, or knows no configuration or no instances yet.
        NotReady,
        /// The claim that makes the request run once could not be made.
        ClaimUnavailable,
        /// A request with the same idempotency key is being served.
        ClaimInProgress,
        /// A request with the same idempotency key ran before, with another body.
        ClaimMismatch,
        /// A request with the same idempotency key was sent before, with unknown outcome.
        ClaimUnresolved,
        /// The backend server failed after bytes were sent to it.
        BackendFailed,
        /// The backend server went silent after bytes were sent to it.
        BackendTimeout,
        /// The key was withdrawn while the request was served.
        KeyWithdrawn,
        /// An invariant of this program is broken.
        Internal,
    }
}

impl Ran {
    /// Returns the word used in error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl RefusalCode {
    /// Returns the code as written in error bodies, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_key",
            Self::NotAllowed => "not_allowed",
            Self::NotFound => "not_found",
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::QueueFull => "queue_full",
            Self::Shed => "shed",
            Self::TooLate => "too_late",
            Self::OrganisationLimit => "organisation_limit",
            Self::NoBackendServer => "no_backend_server",
            Self::NotReady => "not_ready",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::ClaimInProgress => "claim_in_progress",
            Self::ClaimMismatch => "claim_mismatch",
            Self::ClaimUnresolved => "claim_unresolved",
            Self::BackendFailed => "backend_failed",
            Self::BackendTimeout => "backend_timeout",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> u16 {
        match self {
            Self::InvalidKey | Self::KeyWithdrawn => 401,
            Self::NotAllowed => 403,
            Self::NotFound => 404,
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::OrganisationLimit | Self::QueueFull | Self::Shed => 429,
            Self::ClaimInProgress | Self::ClaimUnresolved => 409,
            Self::ClaimMismatch => 422,
            Self::BackendFailed => 502,
            Self::BackendTimeout => 504,
            Self::TooLate | Self::NoBackendServer | Self::NotReady | Self::ClaimUnavailable => 503,
            Self::Internal => 500,
        }
    }
}

/// A refusal as the caller receives it.
///
/// Only this module builds one that says `not_run` after dispatch has begun; see [`Unsent`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    code: RefusalCode,
    ran: Ran,
    message: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the stable code.
    pub fn code(&self) -> RefusalCode {
        self.code
    }

    /// Returns whether the request ran.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the text for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the time after which a repeat has a chance, where waiting helps.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Adds the time after which a repeat has a chance.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

/// Proof that no byte of a request was written to any backend server.
///
/// It is made once for each request and consumed by [`Unsent::mark_sent`]; a refusal that says
/// `not_run` can only be built from it.
#[derive(Debug)]
pub struct Unsent(());

/// Proof that bytes of a request may have reached a backend server.
#[derive(Debug)]
pub struct Sent(());

impl Unsent {
    /// Starts the life of a request; called once where a request is received.
    pub fn new() -> Self {
        Self(())
    }

    /// Gives up the right to say `not_run`; call it before the first byte is written.
    pub fn mark_sent(self) -> Sent {
        Sent(())
    }

    /// Builds a refusal that says `not_run`.
    pub fn refuse(self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, ran: Ran::NotRun, message: message.into(), retry_after: None }
    }
}

impl Default for Unsent {
    fn default() -> Self {
        Self::new()
    }
}

impl Sent {
    /// Builds a refusal for a request whose outcome is unknown.
    pub fn refuse_unknown(self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, ran: Ran::Unknown, message: message.into(), retry_after: None }
    }

    /// Builds a refusal for a request that ran, such as one whose answer is cut short.
    pub fn refuse_ran(self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, ran: Ran::Ran, message: message.into(), retry_after: None }
    }

    /// Returns to the unsent state when the connection was refused before any byte was written.
    ///
    /// `refused` states that connecting itself failed, so the server can't have read a byte.
    pub fn connect_failed(self, refused: ConnectFailed) -> Unsent {
        let ConnectFailed(()) = refused;
        Unsent(())
    }
}

/// Proof that a connection to a backend server could not be opened.
#[derive(Debug)]
pub struct ConnectFailed(());

impl ConnectFailed {
    /// Returns the proof if the error happened while the connection was being opened.
    pub fn from_error(error: &reqwest::Error) -> Option<Self> {
        error.is_connect().then_some(Self(()))
    }
}
