//! Response bodies, and the responses that an instance generates itself.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};

use crate::platform::headers;

/// Error that ends a response body early; hyper then closes the caller's connection, so that the
/// caller can tell a truncated response from a complete one.
#[derive(Debug)]
pub struct TruncatedBody(pub String);

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "response body truncated: {}", self.0)
    }
}

impl std::error::Error for TruncatedBody {}

/// Body of a response to a caller.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>;

/// Returns a body with the given content.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Error with which an instance responds to a request itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refusal {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// Reading the request body failed.
    BodyBroken,
    /// The request was not executed and may be retried.
    NotRun {
        /// Value of the `Retry-After` header, in seconds.
        retry_after_s: f64,
    },
    /// The request may have been executed, but its response was lost.
    AnswerLost,
    /// The request may have been executed, but no response was received before the deadline.
    TimedOut,
}

impl Refusal {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response to the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut rsp = Response::new(full_body(Bytes::new()));
        *rsp.status_mut() = self.status();
        if let Self::NotRun { retry_after_s } = self {
            let text = format!("{retry_after_s:.2}");
            if let Err(why) = headers::set_header(rsp.headers_mut(), RETRY_AFTER, &text) {
                tracing::warn!(why, "refusal without the time to come back");
            }
        }
        rsp
    }
}
