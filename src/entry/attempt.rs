//! One attempt to have a chat request answered by one backend server.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Response, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, timeout};

use super::auth::Denial;
use super::chunk::{Checker, Part, StreamFault, Usage};
use super::dispatch::{Dispatch, Dispatched};
use super::relay::Relay;
use super::sse::{self, EventReader};
use crate::config::BackendServer;
use crate::home::client::{Permit, RequestOutcome};
use crate::metrics::Timing;
use crate::outcome::{ConnectFailed, RefusalCode};

/// Tokens between two reports of progress to the home instance.
const PROGRESS_PERIOD: u64 = 16;
/// Shortest wait for the first byte of an answer that may be asked for again elsewhere.
const MIN_FIRST_BYTE_BOUND: Duration = Duration::from_secs(2);
/// Multiple of the first-token target after which such an answer is given up.
const FIRST_BYTE_TARGETS: u32 = 4;
/// Largest body of an error answer that is read, in bytes.
const MAX_ERROR_BODY: usize = 64 << 10;

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The whole answer was received, with this finish reason and usage.
    Whole(String, Usage),
    /// The caller went away.
    Gone,
    /// The caller's key was withdrawn.
    Revoked,
    /// The backend server did not answer whole.
    Failed(Failure),
}

/// Why an attempt failed.
#[derive(Debug, Clone)]
pub struct Failure {
    /// What the caller is told if there is no further attempt.
    pub denial: Denial,
    /// What the home instance is told.
    pub ending: RequestOutcome,
    /// Label of metrics.
    pub reason: &'static str,
    /// Whether another backend server may do better.
    pub retry: bool,
}

impl Failure {
    fn new(code: RefusalCode, reason: &'static str, message: &str) -> Self {
        let ending = RequestOutcome::ServerFailed;
        Self { denial: Denial::new(code, message), ending, reason, retry: true }
    }

    /// The backend server sent nothing within the bound.
    pub fn silent() -> Self {
        let message = "the backend server went silent";
        Self::new(RefusalCode::BackendTimeout, "silent", message)
    }

    /// The connection broke.
    pub fn broken() -> Self {
        let message = "the connection to the backend server broke";
        Self::new(RefusalCode::BackendFailed, "broken", message)
    }

    fn of_stream(fault: &StreamFault) -> Self {
        Self::new(RefusalCode::BackendFailed, "bad-stream", fault.as_str())
    }

    /// The connection could not be opened.
    pub fn not_connected() -> Self {
        let message = "the backend server can't be reached";
        let failure = Self::new(RefusalCode::NoBackendServer, "connect", message);
        Self { ending: RequestOutcome::ServerFailed, ..failure }
    }

    /// The end of the answer could not be told from a broken connection.
    pub fn undelimited() -> Self {
        let message = "the backend server's answer has no marked end";
        Self::new(RefusalCode::BackendFailed, "undelimited", message)
    }

    /// The backend server refused the request before any work.
    pub fn overloaded() -> Self {
        let message = "the backend server is over its limit";
        let failure = Self::new(RefusalCode::BackendFailed, "overloaded", message);
        Self { ending: RequestOutcome::Overloaded, ..failure }
    }
}

/// Sends the request to a backend server and passes its answer on.
pub async fn run(
    relay: &mut Relay,
    dispatch: Dispatch,
    permit: &Permit,
    server: &BackendServer,
) -> (Dispatch, AttemptEnd) {
    let dispatched = dispatch.send();
    let sent = Instant::now();
    match send(relay, dispatched, server).await {
        Ok((dispatch, rsp)) => (dispatch, read(relay, rsp, permit, sent).await),
        Err(ended) => ended,
    }
}

/// Writes the request and waits for the head of the answer.
async fn send(
    relay: &mut Relay,
    dispatched: Dispatched,
    server: &BackendServer,
) -> Result<(Dispatch, Response), (Dispatch, AttemptEnd)> {
    let req = request(relay, server);
    let bound = first_byte_bound(relay);
    let answer = tokio::select! {
        biased;
        () = relay.guard.revoked() => return Err((dispatched.end(), AttemptEnd::Revoked)),
        () = relay.sink.idle() => return Err((dispatched.end(), AttemptEnd::Gone)),
        answer = timeout(bound, req.send()) => answer,
    };
    let failed = |failure| AttemptEnd::Failed(failure);
    match answer {
        Err(_) => Err((dispatched.end(), failed(Failure::silent()))),
        Ok(Err(error)) => match ConnectFailed::from_error(&error) {
            Some(proof) => {
                Err((dispatched.connect_failed(proof), failed(Failure::not_connected())))
            }
            None => Err((dispatched.end(), failed(Failure::broken()))),
        },
        Ok(Ok(rsp)) if rsp.status() == StatusCode::OK => Ok((dispatched.end(), rsp)),
        Ok(Ok(rsp)) => {
            let failure = timeout(bound, refused_by_server(rsp)).await;
            Err((dispatched.end(), failed(failure.unwrap_or_else(|_| Failure::silent()))))
        }
    }
}

fn request(relay: &Relay, server: &BackendServer) -> reqwest::RequestBuilder {
    let url = format!("{}{}", server.address.trim_end_matches('/'), relay.chat.kind.path());
    let body = relay.chat.forward(relay.work.class.tier, &relay.received);
    let client = relay.entry.backends.client(relay.work.repeatable);
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

fn first_byte_bound(relay: &Relay) -> Duration {
    let bound = relay.entry.cx.options.progress_bound;
    if relay.work.repeatable {
        let target = relay.work.class.first_token() * FIRST_BYTE_TARGETS;
        bound.min(target.max(MIN_FIRST_BYTE_BOUND))
    } else {
        bound
    }
}

/// Reads the answer of a backend server that did not accept the request.
async fn refused_by_server(rsp: Response) -> Failure {
    let status = rsp.status();
    let body = read_error_body(rsp).await;
    let code = body["error"]["code"].as_str().unwrap_or_default();
    match status {
        StatusCode::SERVICE_UNAVAILABLE if code == "overloaded" => Failure::overloaded(),
        StatusCode::TOO_MANY_REQUESTS => Failure::overloaded(),
        status if status.is_client_error() => {
            let message = "the backend server refused the request as malformed";
            let failure = Failure::new(RefusalCode::BadRequest, "refused", message);
            Failure { retry: false, ending: RequestOutcome::Complete, ..failure }
        }
        status => {
            let message = format!("the backend server answered with status {}", status.as_u16());
            Failure::new(RefusalCode::BackendFailed, "status", &message)
        }
    }
}

async fn read_error_body(mut rsp: Response) -> Value {
    let mut body = Vec::new();
    while let Ok(Some(bytes)) = rsp.chunk().await {
        body.extend_from_slice(&bytes);
        if body.len() > MAX_ERROR_BODY {
            return Value::Null;
        }
    }
    serde_json::from_slice(&body).unwrap_or_default()
}

/// Reads the stream to its end mark.
async fn read(relay: &mut Relay, mut rsp: Response, permit: &Permit, sent: Instant) -> AttemptEnd {
    let bound = relay.entry.cx.options.progress_bound;
    let mut reader = EventReader::default();
    let mut checker = Checker::new(relay.chat.kind, &relay.attempt_id());
    loop {
        let next = tokio::select! {
            biased;
            () = relay.guard.revoked() => return AttemptEnd::Revoked,
            next = timeout(bound, rsp.chunk()) => next,
            () = relay.sink.idle() => return AttemptEnd::Gone,
        };
        let bytes = match next {
            Err(_) => return AttemptEnd::Failed(Failure::silent()),
            Ok(Err(_)) => return AttemptEnd::Failed(Failure::broken()),
            Ok(Ok(None)) => {
                return AttemptEnd::Failed(Failure::of_stream(&StreamFault::CutShort));
            }
            Ok(Ok(Some(bytes))) => bytes,
        };
        reader.push(&bytes);
        if let Some(end) = take_events(relay, &mut reader, &mut checker, permit, sent).await {
            return end;
        }
    }
}

/// Handles all whole events received so far; returns how the attempt ended, if it did.
async fn take_events(
    relay: &mut Relay,
    reader: &mut EventReader,
    checker: &mut Checker,
    permit: &Permit,
    sent: Instant,
) -> Option<AttemptEnd> {
    loop {
        let data = match reader.next_event() {
            Ok(Some(data)) => data,
            Ok(None) => return None,
            Err(_) => return Some(AttemptEnd::Failed(Failure::of_stream(&StreamFault::Malformed))),
        };
        match checker.take(&data) {
            Err(fault) => return Some(AttemptEnd::Failed(Failure::of_stream(&fault))),
            Ok(Part::Done) => return whole(checker),
            Ok(part) => {
                if let Some(end) = pass_on(relay, &data, part, checker).await {
                    return Some(end);
                }
                report(relay, checker, permit, sent);
            }
        }
    }
}

fn whole(checker: &Checker) -> Option<AttemptEnd> {
    let finish_reason = checker.finish_reason()?.to_owned();
    Some(AttemptEnd::Whole(finish_reason, checker.usage()?))
}

/// Notes a chunk and passes it to the caller of a stream.
async fn pass_on(
    relay: &mut Relay,
    data: &[u8],
    part: Part,
    checker: &Checker,
) -> Option<AttemptEnd> {
    match &part {
        Part::Usage | Part::Done => return None,
        Part::Mark if relay.role_passed && checker.finish_reason().is_none() => return None,
        Part::Mark => relay.role_passed = true,
        Part::Token(text) => relay.note_token(text),
        Part::OtherToken => relay.note_other_token(),
    }
    if relay.joins() && (!matches!(part, Part::Token(_)) || checker.tokens() == 1) {
        relay.joiner.push_chunk(data);
    }
    if !relay.sink.is_streamed() {
        return None;
    }
    let event = caller_event(relay, data);
    tokio::select! {
        biased;
        () = relay.guard.revoked() => Some(AttemptEnd::Revoked),
        passed = relay.sink.event(event) => passed.is_err().then_some(AttemptEnd::Gone),
    }
}

/// Writes a chunk for the caller; chunks of later attempts get the id of the first one.
fn caller_event(relay: &Relay, data: &[u8]) -> Bytes {
    if relay.wish.attempt == 0 {
        return sse::event(data);
    }
    let mut chunk: Value = serde_json::from_slice(data).unwrap_or_default();
    chunk["id"] = format!("{}{}", relay.chat.kind.id_prefix(), relay.work.id).into();
    sse::json_event(&chunk)
}

fn report(relay: &mut Relay, checker: &Checker, permit: &Permit, sent: Instant) {
    let tokens = checker.tokens();
    if tokens == 1 || tokens.is_multiple_of(PROGRESS_PERIOD) && tokens > 0 {
        permit.progress(tokens, relay.pace.first_token(sent));
    }
    if let Some(gap) = relay.last_gap.take() {
        relay.entry.cx.metrics.time(Timing::TokenGap, relay.work.class.name.as_str(), gap);
    }
}
