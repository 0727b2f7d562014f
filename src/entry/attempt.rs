//! A single attempt to serve a chat request on one backend server.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Response, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, timeout};

use super::auth::RequestError;
use super::chunk::{EventContent, StreamError, StreamValidator, Usage};
use super::dispatch::{ActiveDispatch, Dispatch};
use super::relay::ChatRelay;
use super::sse::{self, EventReader};
use crate::config::BackendServer;
use crate::home::client::{Permit, RequestOutcome};
use crate::metrics::DurationMetric;
use crate::outcome::{ConnectFailed, RefusalCode};

/// Number of tokens after which the time to the first token is passed to the permit again; the
/// permit reports it to the home instance only once.
const REPORT_INTERVAL_TOKENS: u64 = 16;
/// Minimum first-byte timeout of a repeatable request, which can be retried on another server.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// First-byte timeout of a repeatable request, as a multiple of its first-token target.
const FIRST_BYTE_TIMEOUT_FACTOR: u32 = 4;
/// Maximum size of an error response body; larger ones are ignored.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The response is complete; holds its finish reason and token usage.
    Complete(String, Usage),
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller's key was withdrawn during the attempt.
    KeyWithdrawn,
    /// The backend server sent no complete response.
    Failed(AttemptFailure),
}

/// Why an attempt failed.
#[derive(Debug, Clone)]
pub struct AttemptFailure {
    /// The error reported to the caller if the request is not retried.
    pub error: RequestError,
    /// The outcome reported to the home instance.
    pub outcome: RequestOutcome,
    /// Value of the `reason` label in metrics.
    pub reason: &'static str,
    /// Whether the request may succeed on another backend server.
    pub retryable: bool,
}

impl AttemptFailure {
    fn new(code: RefusalCode, reason: &'static str, message: &str) -> Self {
        let outcome = RequestOutcome::ServerFailed;
        Self { error: RequestError::new(code, message), outcome, reason, retryable: true }
    }

    /// The backend server sent no data within the timeout.
    pub fn timed_out() -> Self {
        let message = "the backend server went silent";
        Self::new(RefusalCode::BackendTimeout, "silent", message)
    }

    /// The connection was lost.
    pub fn connection_lost() -> Self {
        let message = "the connection to the backend server broke";
        Self::new(RefusalCode::BackendFailed, "broken", message)
    }

    fn invalid_stream(error: &StreamError) -> Self {
        Self::new(RefusalCode::BackendFailed, "bad-stream", error.as_str())
    }

    /// The connection could not be opened.
    pub fn connect_failed() -> Self {
        let message = "the backend server can't be reached";
        let failure = Self::new(RefusalCode::NoBackendServer, "connect", message);
        Self { outcome: RequestOutcome::ServerFailed, ..failure }
    }

    /// The response has neither a content length nor chunked encoding, so that its end can't be
    /// distinguished from a lost connection.
    pub fn undelimited() -> Self {
        let message = "the backend server's answer has no marked end";
        Self::new(RefusalCode::BackendFailed, "undelimited", message)
    }

    /// The backend server refused the request without processing it.
    pub fn overloaded() -> Self {
        let message = "the backend server is over its limit";
        let failure = Self::new(RefusalCode::BackendFailed, "overloaded", message);
        Self { outcome: RequestOutcome::Overloaded, ..failure }
    }
}

/// Sends the request to a backend server and forwards the response to the caller.
pub async fn run(
    relay: &mut ChatRelay,
    dispatch: Dispatch,
    permit: &Permit,
    server: &BackendServer,
) -> (Dispatch, AttemptOutcome) {
    let active = dispatch.begin_attempt();
    let sent = Instant::now();
    match send(relay, active, server).await {
        Ok((dispatch, rsp)) => (dispatch, read_stream(relay, rsp, permit, sent).await),
        Err(ended) => ended,
    }
}

/// Sends the request and waits for the response headers.
async fn send(
    relay: &mut ChatRelay,
    active: ActiveDispatch,
    server: &BackendServer,
) -> Result<(Dispatch, Response), (Dispatch, AttemptOutcome)> {
    let req = build_request(relay, server);
    let first_byte_timeout = first_byte_timeout(relay);
    let result = tokio::select! {
        biased;
        () = relay.auth_watch.key_withdrawn() => {
            return Err((active.end_attempt(), AttemptOutcome::KeyWithdrawn));
        }
        () = relay.sink.keep_alive_until_disconnect() => {
            return Err((active.end_attempt(), AttemptOutcome::CallerDisconnected));
        }
        result = timeout(first_byte_timeout, req.send()) => result,
    };
    let failed = |failure| AttemptOutcome::Failed(failure);
    match result {
        Err(_) => Err((active.end_attempt(), failed(AttemptFailure::timed_out()))),
        Ok(Err(error)) => match ConnectFailed::from_error(&error) {
            Some(proof) => {
                Err((active.connect_failed(proof), failed(AttemptFailure::connect_failed())))
            }
            None => Err((active.end_attempt(), failed(AttemptFailure::connection_lost()))),
        },
        Ok(Ok(rsp)) if rsp.status() == StatusCode::OK => Ok((active.end_attempt(), rsp)),
        Ok(Ok(rsp)) => {
            let failure = timeout(first_byte_timeout, classify_error_response(rsp)).await;
            Err((
                active.end_attempt(),
                failed(failure.unwrap_or_else(|_| AttemptFailure::timed_out())),
            ))
        }
    }
}

fn build_request(relay: &ChatRelay, server: &BackendServer) -> reqwest::RequestBuilder {
    let url = format!("{}{}", server.address.trim_end_matches('/'), relay.chat.endpoint.path());
    let body = relay.chat.engine_body(relay.info.class.tier, &relay.partial_response);
    let client = relay.entry.backend_clients.client(relay.info.repeatable);
    let mut req = client
        .post(url)
        .header("accept", "text/event-stream")
        .header("x-request-id", relay.attempt_id())
        .json(&body);
    if let Some(key) = &relay.idempotency_key {
        req = req.header("idempotency-key", key);
    }
    req
}

fn first_byte_timeout(relay: &ChatRelay) -> Duration {
    let progress_timeout = relay.entry.cx.options.progress_timeout;
    if relay.info.repeatable {
        let target = relay.info.class.first_token_target() * FIRST_BYTE_TIMEOUT_FACTOR;
        progress_timeout.min(target.max(MIN_FIRST_BYTE_TIMEOUT))
    } else {
        progress_timeout
    }
}

/// Maps a response with a status other than 200 to a failure.
async fn classify_error_response(rsp: Response) -> AttemptFailure {
    let status = rsp.status();
    let body = read_error_body(rsp).await;
    let code = body["error"]["code"].as_str().unwrap_or_default();
    match status {
        StatusCode::SERVICE_UNAVAILABLE if code == "overloaded" => AttemptFailure::overloaded(),
        StatusCode::TOO_MANY_REQUESTS => AttemptFailure::overloaded(),
        status if status.is_client_error() => {
            let message = "the backend server refused the request as malformed";
            let failure = AttemptFailure::new(RefusalCode::BadRequest, "refused", message);
            AttemptFailure { retryable: false, outcome: RequestOutcome::Complete, ..failure }
        }
        status => {
            let message = format!("the backend server answered with status {}", status.as_u16());
            AttemptFailure::new(RefusalCode::BackendFailed, "status", &message)
        }
    }
}

async fn read_error_body(mut rsp: Response) -> Value {
    let mut body = Vec::new();
    while let Ok(Some(bytes)) = rsp.chunk().await {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_ERROR_BODY_BYTES {
            return Value::Null;
        }
    }
    serde_json::from_slice(&body).unwrap_or_default()
}

/// Reads the event stream until its end marker.
async fn read_stream(
    relay: &mut ChatRelay,
    mut rsp: Response,
    permit: &Permit,
    sent: Instant,
) -> AttemptOutcome {
    let progress_timeout = relay.entry.cx.options.progress_timeout;
    let mut reader = EventReader::default();
    let mut validator = StreamValidator::new(relay.chat.endpoint, &relay.attempt_id());
    loop {
        let next = tokio::select! {
            biased;
            () = relay.auth_watch.key_withdrawn() => return AttemptOutcome::KeyWithdrawn,
            next = timeout(progress_timeout, rsp.chunk()) => next,
            () = relay.sink.keep_alive_until_disconnect() => {
                return AttemptOutcome::CallerDisconnected;
            }
        };
        let bytes = match next {
            Err(_) => return AttemptOutcome::Failed(AttemptFailure::timed_out()),
            Ok(Err(_)) => return AttemptOutcome::Failed(AttemptFailure::connection_lost()),
            Ok(Ok(None)) => {
                return AttemptOutcome::Failed(AttemptFailure::invalid_stream(
                    &StreamError::Truncated,
                ));
            }
            Ok(Ok(Some(bytes))) => bytes,
        };
        reader.push(&bytes);
        if let Some(outcome) =
            process_events(relay, &mut reader, &mut validator, permit, sent).await
        {
            return outcome;
        }
    }
}

/// Processes all complete events received so far; returns the outcome if the attempt has ended.
async fn process_events(
    relay: &mut ChatRelay,
    reader: &mut EventReader,
    validator: &mut StreamValidator,
    permit: &Permit,
    sent: Instant,
) -> Option<AttemptOutcome> {
    loop {
        let data = match reader.next_event() {
            Ok(Some(data)) => data,
            Ok(None) => return None,
            Err(_) => {
                return Some(AttemptOutcome::Failed(AttemptFailure::invalid_stream(
                    &StreamError::Malformed,
                )));
            }
        };
        match validator.validate_event(&data) {
            Err(error) => {
                return Some(AttemptOutcome::Failed(AttemptFailure::invalid_stream(&error)));
            }
            Ok(EventContent::Done) => return completed_outcome(validator),
            Ok(content) => {
                if let Some(outcome) = forward_chunk(relay, &data, content, validator).await {
                    return Some(outcome);
                }
                report_token_times(relay, validator, permit, sent);
            }
        }
    }
}

/// Returns the outcome after the end marker; the validator accepts the marker only after the finish
/// reason and the usage.
fn completed_outcome(validator: &StreamValidator) -> Option<AttemptOutcome> {
    let finish_reason = validator.finish_reason()?.to_owned();
    Some(AttemptOutcome::Complete(finish_reason, validator.usage()?))
}

/// Records a chunk and, for a streaming caller, forwards it.
async fn forward_chunk(
    relay: &mut ChatRelay,
    data: &[u8],
    content: EventContent,
    validator: &StreamValidator,
) -> Option<AttemptOutcome> {
    // Each attempt starts with a chunk that carries the role; the caller gets it only once. The
    // chunk with the finish reason is always forwarded.
    match &content {
        EventContent::Usage | EventContent::Done => return None,
        EventContent::NoToken if relay.role_forwarded && validator.finish_reason().is_none() => {
            return None;
        }
        EventContent::NoToken => relay.role_forwarded = true,
        EventContent::Token(text) => relay.record_token(text),
        EventContent::NonTextToken => relay.record_non_text_token(),
    }
    // `record_token` collects the text, so only the first text chunk is parsed, for its metadata.
    if relay.needs_full_response()
        && (!matches!(content, EventContent::Token(_)) || validator.tokens() == 1)
    {
        relay.assembler.push_chunk(data);
    }
    if !relay.sink.is_streamed() {
        return None;
    }
    let event = caller_event(relay, data);
    tokio::select! {
        biased;
        () = relay.auth_watch.key_withdrawn() => Some(AttemptOutcome::KeyWithdrawn),
        sent = relay.sink.send_event(event) => {
            sent.is_err().then_some(AttemptOutcome::CallerDisconnected)
        }
    }
}

/// Encodes a chunk for the caller; chunks of later attempts carry the id of the first attempt.
fn caller_event(relay: &ChatRelay, data: &[u8]) -> Bytes {
    if relay.criteria.attempt == 0 {
        return sse::event(data);
    }
    let mut chunk: Value = serde_json::from_slice(data).unwrap_or_default();
    chunk["id"] = format!("{}{}", relay.chat.endpoint.id_prefix(), relay.info.id).into();
    sse::json_event(&chunk)
}

/// Reports the time to the first token to the home instance and records the latest token gap.
fn report_token_times(
    relay: &mut ChatRelay,
    validator: &StreamValidator,
    permit: &Permit,
    sent: Instant,
) {
    let tokens = validator.tokens();
    if tokens == 1 || tokens.is_multiple_of(REPORT_INTERVAL_TOKENS) && tokens > 0 {
        permit.report_first_token(tokens, relay.token_times.time_to_first_token(sent));
    }
    if let Some(gap) = relay.last_token_gap.take() {
        relay.entry.cx.metrics.record_duration(
            DurationMetric::TokenGap,
            relay.info.class.name.as_str(),
            gap,
        );
    }
}
