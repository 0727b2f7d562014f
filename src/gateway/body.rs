//! Bodies of answers to callers.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};

use crate::platform::headers;

/// Why a body ends before its proper end; the caller's connection is then closed.
#[derive(Debug)]
pub struct TruncatedBody(pub String);

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off: {}", self.0)
    }
}

impl std::error::Error for TruncatedBody {}

/// Body of an answer to a caller.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = TruncatedBody>>>;

/// Makes a body of known bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Why this instance answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Refusal {
    /// No route has the request's host and path.
    NoRoute,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body broke off before its end.
    BodyBroken,
    /// The request has not run; it may be sent again after a time in seconds.
    NotRun {
        /// Seconds after which the same request is likely to be served.
        retry_after_s: f64,
    },
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// The request may have run, and there was no answer in time.
    TimedOut,
}

impl Refusal {
    /// Returns the status that callers see.
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

    /// Returns the answer to the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut rsp = Response::new(full_body(Bytes::new()));
        *rsp.status_mut() = self.status();
        if let Self::NotRun { retry_after_s } = self {
            headers::set(rsp.headers_mut(), RETRY_AFTER, &format!("{retry_after_s:.2}"));
        }
        rsp
    }
}
