//! Conversion of responses and refusals to HTTP responses.

use salvo::http::header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, ResBody, StatusCode};
use salvo::prelude::Response;
use serde_json::{Value, json};

use super::sink::{Head, ResponseSource};
use crate::names::RequestId;
use crate::outcome::{Refusal, RefusalCode, Sent, Unsent};

/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that marks a replayed response.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A response to be written to the caller.
pub enum Reply {
    /// A refusal.
    Refused(Refusal),
    /// A JSON body.
    Json(Value),
    /// A stream of server-sent events.
    Events(ResponseSource),
    /// The response of a plain HTTP service.
    Plain(StatusCode, HeaderMap, ResponseSource),
    /// The stored response to an earlier request: status, headers and body.
    Replay(u16, Vec<(String, String)>, Vec<u8>),
}

impl Reply {
    /// Waits for the head of the response from the task that serves the request.
    pub async fn from_source(mut source: ResponseSource) -> Self {
        match source.head().await {
            Some(Head::Refused(refusal)) => Self::Refused(refusal),
            Some(Head::Json(value)) => Self::Json(value),
            Some(Head::Plain(status, headers)) => Self::Plain(status, headers, source),
            Some(Head::Streaming) => Self::Events(source),
            None => Self::Refused(task_failure()),
        }
    }

    /// Writes the response; a draining instance asks the caller to close the connection.
    pub fn write(self, rsp: &mut Response, id: &RequestId, draining: bool) {
        match self {
            Self::Refused(refusal) => write_refusal(rsp, &refusal, id),
            Self::Json(value) => write_json(rsp, StatusCode::OK, &value),
            Self::Events(source) => write_events(rsp, source),
            Self::Plain(status, headers, source) => {
                rsp.status_code(status);
                rsp.set_headers(headers);
                rsp.body(ResBody::stream(source.into_stream()));
            }
            Self::Replay(status, headers, body) => write_replay(rsp, status, &headers, body),
        }
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            rsp.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        if draining {
            rsp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// Returns the refusal of a request whose task ended without a response; the request may have run.
fn task_failure() -> Refusal {
    let sent: Sent = Unsent::new().mark_sent();
    sent.refuse_unknown(RefusalCode::Internal, "the request's task failed")
}

/// Returns the body of an error response.
pub fn error_body(refusal: &Refusal, id: &RequestId) -> Value {
    json!({
        "error": {
            "message": refusal.message(),
            "type": error_type(refusal.code().status()),
            "code": refusal.code().as_str(),
            "request_id": id.as_str(),
            "ran": refusal.ran().as_str(),
        }
    })
}

fn error_type(status: u16) -> &'static str {
    match status {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

fn write_refusal(rsp: &mut Response, refusal: &Refusal, id: &RequestId) {
    let status = StatusCode::from_u16(refusal.code().status());
    write_json(rsp, status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &error_body(refusal, id));
    if let Some(delay) = refusal.retry_after() {
        let seconds = delay.as_millis().div_ceil(1_000).max(1) as u64;
        rsp.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
}

fn write_json(rsp: &mut Response, status: StatusCode, value: &Value) {
    rsp.status_code(status);
    rsp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    rsp.body(ResBody::Once(value.to_string().into()));
}

fn write_replay(rsp: &mut Response, status: u16, headers: &[(String, String)], body: Vec<u8>) {
    rsp.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::from_str(value))
        {
            rsp.headers_mut().insert(name, value);
        }
    }
    rsp.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    rsp.body(ResBody::Once(body.into()));
}

fn write_events(rsp: &mut Response, source: ResponseSource) {
    rsp.status_code(StatusCode::OK);
    rsp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    rsp.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    rsp.body(ResBody::stream(source.into_stream()));
}
