//! Error responses to callers: stable codes, and whether the request was executed.

use std::time::Duration;

choice! {
    /// Whether a request was executed by a backend server.
    pub enum Ran {
        /// No byte of the request was sent to a backend server.
        NotRun,
        /// A backend server responded, at least in part.
        Ran,
        /// Bytes may have been sent; whether the request was executed is unknown.
        Unknown,
    }

    /// Stable code of a refusal; `docs/OPERATIONS.md` lists remedies.
    pub enum RefusalCode {
        /// The request has no valid key.
        InvalidKey,
        /// The key does not give access to the route or class.
        NotAllowed,
        /// No route or model has this name.
        NotFound,
        /// The request is malformed.
        BadRequest,
        /// The body or the headers exceed the size limit.
        TooLarge,
        /// The queue is full of requests of the same or a higher tier.
        QueueFull,
        /// The request was displaced from the queue by one of a higher tier.
        Shed,
        /// The latency target can no longer be met.
        TooLate,
        /// The organisation exceeds one of its limits.
        OrganisationLimit,
        /// No backend server of the route accepts requests at present.
        NoBackendServer,
        /// The instance is shutting down, or has no configuration or list of instances yet.
        NotReady,
        /// The idempotency key of the request could not be claimed.
        ClaimUnavailable,
        /// A request with the same idempotency key is in progress.
        ClaimInProgress,
        /// The idempotency key was used for a request with a different body.
        ClaimMismatch,
        /// An earlier request with the same idempotency key was sent, and its outcome is unknown or
        /// its response was too large to keep.
        ClaimUnresolved,
        /// The backend server failed after bytes were sent to it.
        BackendFailed,
        /// The backend server timed out after bytes were sent to it.
        BackendTimeout,
        /// The key was withdrawn while the request was served.
        KeyWithdrawn,
        /// Internal error: an invariant of the program is violated.
        Internal,
    }
}

impl Ran {
    /// Returns the value used in error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl RefusalCode {
    /// Returns the code used in error bodies, logs and metrics.
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

/// An error response to a caller.
///
/// It can only be created from [`Unsent`] or [`Sent`], so that `not_run` is never reported for a
/// request that may have been sent.
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

    /// Returns whether the request was executed.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the human-readable message.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the time after which a retry may succeed; `None` if waiting does not help.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

/// Proof that no byte of a request was written to any backend server.
///
/// Created once for each request and consumed by [`Unsent::mark_sent`]; a refusal with `not_run`
/// can only be built from it.
#[derive(Debug)]
pub struct Unsent(());

/// Marker that bytes of a request may have reached a backend server.
#[derive(Debug)]
pub struct Sent(());

impl Unsent {
    /// Creates the proof; called once where a request is received.
    pub fn new() -> Self {
        Self(())
    }

    /// Records that bytes may be sent, so that `not_run` can no longer be reported; must be called
    /// before the first byte is written.
    pub fn mark_sent(self) -> Sent {
        Sent(())
    }

    /// Builds a refusal with `not_run`.
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

    /// Builds a refusal for a request that ran, such as one whose response was truncated.
    pub fn refuse_ran(self, code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, ran: Ran::Ran, message: message.into(), retry_after: None }
    }

    /// Returns to the unsent state after the connection could not be opened.
    ///
    /// `proof` shows that no connection existed, so the server can't have read a byte.
    pub fn connect_failed(self, proof: ConnectFailed) -> Unsent {
        let ConnectFailed(()) = proof;
        Unsent(())
    }
}

/// Proof that a connection to a backend server could not be opened.
#[derive(Debug)]
pub struct ConnectFailed(());

impl ConnectFailed {
    /// Returns the proof if the error occurred while opening the connection.
    pub fn from_error(error: &reqwest::Error) -> Option<Self> {
        error.is_connect().then_some(Self(()))
    }
}
