//! Serves one request to a plain HTTP service: admission, attempts and forwarding of the response.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Response;
use salvo::http::{HeaderMap, Method, StatusCode};
use tokio::time::{Instant, timeout};

use super::Entry;
use super::admit::{self, AdmissionCriteria, SlotDenied};
use super::attempt::AttemptFailure;
use super::auth::{AuthWatch, RequestError};
use super::dispatch::Dispatch;
use super::once::RequestClaim;
use super::plain::{PlainRequest, RETURNED_HEADERS, filter_headers};
use super::retry::{MAX_ATTEMPTS, backoff};
use super::sink::ResponseSink;
use super::work::{RequestInfo, TokenTimes};
use crate::claim::record::MAX_STORED_BODY_BYTES;
use crate::claim::{StoredBody, StoredResponse};
use crate::config::BackendServer;
use crate::event::EventKind;
use crate::home::client::{Permit, RequestOutcome, RequestStats};
use crate::metrics::Counter;
use crate::outcome::{ConnectFailed, RefusalCode};

/// Output tokens that a plain request counts as in fair queueing.
const ESTIMATED_TOKENS: u64 = 1;

/// State of one request while it is served.
pub struct PlainRelay {
    /// Shared state of the HTTP entry point.
    pub entry: Entry,
    /// The authenticated request.
    pub info: RequestInfo,
    /// The forwarded part of the request.
    pub request: PlainRequest,
    /// The idempotency key to forward, if any.
    pub idempotency_key: Option<String>,
    /// The idempotency claim of the request, if any.
    pub claim: RequestClaim,
    /// Sends the response to the caller.
    pub sink: ResponseSink,
    /// Watches the caller's key and access to the route.
    pub auth_watch: AuthWatch,
}

/// How an attempt ended.
enum PlainOutcome {
    /// The response is complete; holds its last bytes, which were not forwarded yet.
    Complete(Bytes),
    /// The caller closed its connection.
    CallerDisconnected,
    /// The caller's key was withdrawn during the attempt.
    KeyWithdrawn,
    /// The attempt failed before a part of the response was forwarded.
    Failed(AttemptFailure),
    /// The response was interrupted after its headers or a part of its body were forwarded.
    Truncated(AttemptFailure),
}

/// A copy of the received response, to be stored with an idempotency claim.
#[derive(Default)]
struct ResponseCopy {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl PlainRelay {
    /// Serves the request to its end.
    pub async fn run(mut self) {
        self.entry.retry_budget.deposit();
        let mut dispatch = Dispatch::new();
        let mut criteria = AdmissionCriteria {
            estimated_tokens: ESTIMATED_TOKENS,
            ..AdmissionCriteria::default()
        };
        loop {
            let slot = tokio::select! {
                biased;
                () = self.auth_watch.key_withdrawn() => {
                    return self.refuse_withdrawn_key(dispatch).await;
                }
                slot = admit::admit(&self.entry, &self.info, &criteria) => slot,
                () = self.sink.keep_alive_until_disconnect() => {
                    return self.end_disconnected(dispatch).await;
                }
            };
            let (permit, server) = match slot {
                Ok(granted) => granted,
                Err(SlotDenied { error, retry_after }) => {
                    return self.refuse(dispatch, error, retry_after).await;
                }
            };
            match self.prepare_send(&server).await {
                Ok(true) => {}
                Ok(false) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    criteria.excluded.insert(server.name.clone());
                    continue;
                }
                Err(error) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    return self.refuse(dispatch, error, None).await;
                }
            }
            let mut copy = ResponseCopy::default();
            let mut token_times = TokenTimes::default();
            let (next_dispatch, outcome) =
                self.attempt(dispatch, permit, &server, &mut copy, &mut token_times).await;
            dispatch = next_dispatch;
            match outcome {
                PlainOutcome::Complete(last_bytes) => {
                    return self.complete(&server, copy, &token_times, last_bytes).await;
                }
                PlainOutcome::CallerDisconnected => return self.end_disconnected(dispatch).await,
                PlainOutcome::KeyWithdrawn => return self.refuse_withdrawn_key(dispatch).await,
                PlainOutcome::Failed(failure) if self.try_reserve_retry(&dispatch, &criteria) => {
                    self.entry.cx.metrics.add(Counter::Retried, failure.reason, 1);
                    let about = self.info.about(Some(&server.name));
                    self.entry.cx.recorder.record_for(EventKind::Retry, about, failure.reason);
                    criteria.excluded.insert(server.name.clone());
                    tokio::time::sleep(backoff(criteria.attempt)).await;
                    criteria.attempt += 1;
                }
                PlainOutcome::Failed(failure) | PlainOutcome::Truncated(failure) => {
                    return self.refuse(dispatch, failure.error, None).await;
                }
            }
        }
    }

    /// Marks the claim as sent and repeats the authorisation; returns false if the backend server
    /// no longer accepts requests.
    ///
    /// # Errors
    /// If the request must not be sent to any backend server.
    async fn prepare_send(&mut self, server: &BackendServer) -> Result<bool, RequestError> {
        self.claim.mark_sent().await?;
        self.auth_watch.recheck()?;
        if self.claim.is_claimed() {
            // A caller that disconnects can retry and get the stored response.
            self.sink.continue_without_caller();
        }
        Ok(self.entry.takes_work(server))
    }

    /// Returns whether a failed request is retried on another backend server; if so, takes the cost
    /// of the retry from the budget.
    fn try_reserve_retry(&self, dispatch: &Dispatch, criteria: &AdmissionCriteria) -> bool {
        let allowed = self.info.repeatable || !dispatch.is_sent();
        allowed && criteria.attempt + 1 < MAX_ATTEMPTS && self.entry.retry_budget.try_withdraw()
    }

    async fn attempt(
        &mut self,
        dispatch: Dispatch,
        permit: Permit,
        server: &BackendServer,
        copy: &mut ResponseCopy,
        token_times: &mut TokenTimes,
    ) -> (Dispatch, PlainOutcome) {
        let sent = Instant::now();
        let active = dispatch.begin_attempt();
        let progress_timeout = self.entry.cx.options.progress_timeout;
        let sending = self.build_request(server).send();
        let result = tokio::select! {
            biased;
            () = self.auth_watch.key_withdrawn() => Err(PlainOutcome::KeyWithdrawn),
            () = self.sink.keep_alive_until_disconnect() => Err(PlainOutcome::CallerDisconnected),
            result = timeout(progress_timeout, sending) => Ok(result),
        };
        let (dispatch, outcome) = match result {
            Err(outcome) => (active.end_attempt(), outcome),
            Ok(Err(_)) => (active.end_attempt(), PlainOutcome::Failed(AttemptFailure::timed_out())),
            Ok(Ok(Err(error))) => match ConnectFailed::from_error(&error) {
                Some(proof) => (
                    active.connect_failed(proof),
                    PlainOutcome::Failed(AttemptFailure::connect_failed()),
                ),
                None => {
                    (active.end_attempt(), PlainOutcome::Failed(AttemptFailure::connection_lost()))
                }
            },
            Ok(Ok(Ok(rsp))) => {
                // The response headers count as the first token in the latency metrics.
                token_times.record_token();
                (active.end_attempt(), self.forward_response(rsp, copy).await)
            }
        };
        permit.finish(request_outcome(&outcome), token_times.request_stats(sent, 0));
        (dispatch, outcome)
    }

    fn build_request(&self, server: &BackendServer) -> reqwest::RequestBuilder {
        let url = format!("{}{}", server.address.trim_end_matches('/'), self.request.target);
        let client = self.entry.backend_clients.client(self.info.repeatable);
        let mut req = client
            .request(self.request.method.clone(), url)
            .headers(self.request.headers.clone())
            .header("x-request-id", self.info.id.as_str());
        if !self.request.body.is_empty() {
            req = req.body(self.request.body.clone());
        }
        if let Some(key) = &self.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        req
    }

    /// Forwards the headers and the body to the caller, except for the last bytes of the body.
    ///
    /// The caller gets the last bytes only after the response is complete and its claim is stored.
    async fn forward_response(
        &mut self,
        mut rsp: Response,
        copy: &mut ResponseCopy,
    ) -> PlainOutcome {
        if !is_delimited(&rsp, &self.request.method) {
            return PlainOutcome::Failed(AttemptFailure::undelimited());
        }
        let status = rsp.status();
        if status == StatusCode::SERVICE_UNAVAILABLE && self.info.repeatable {
            return PlainOutcome::Failed(AttemptFailure::overloaded());
        }
        let headers = filter_headers(rsp.headers(), &RETURNED_HEADERS);
        copy.record_head(status, &headers);
        self.sink.start_plain(status, headers);
        let progress_timeout = self.entry.cx.options.progress_timeout;
        let mut pending = Bytes::new();
        loop {
            let next = tokio::select! {
                biased;
                () = self.auth_watch.key_withdrawn() => return PlainOutcome::KeyWithdrawn,
                next = timeout(progress_timeout, rsp.chunk()) => next,
                () = self.sink.keep_alive_until_disconnect() => {
                    return PlainOutcome::CallerDisconnected;
                }
            };
            let bytes = match next {
                Err(_) => return PlainOutcome::Truncated(AttemptFailure::timed_out()),
                Ok(Err(_)) => return PlainOutcome::Truncated(AttemptFailure::connection_lost()),
                Ok(Ok(None)) => return PlainOutcome::Complete(pending),
                Ok(Ok(Some(bytes))) => bytes,
            };
            copy.push(&bytes);
            let previous = std::mem::replace(&mut pending, bytes);
            if previous.is_empty() {
                continue;
            }
            tokio::select! {
                biased;
                () = self.auth_watch.key_withdrawn() => return PlainOutcome::KeyWithdrawn,
                sent = self.sink.send_event(previous) => {
                    if sent.is_err() {
                        return PlainOutcome::CallerDisconnected;
                    }
                }
            }
        }
    }

    async fn complete(
        self,
        server: &BackendServer,
        copy: ResponseCopy,
        token_times: &TokenTimes,
        last_bytes: Bytes,
    ) {
        let is_billable = copy.status < StatusCode::INTERNAL_SERVER_ERROR.as_u16();
        if is_billable && self.info.caller.is_billed() {
            self.entry.ledger.record(self.info.charge_usage(0, 0)).await;
        }
        self.info.record_completion(&self.entry.cx, token_times, &server.name, 0);
        self.claim.store_response(|| copy.into_stored()).await;
        self.sink.complete_plain(last_bytes);
    }

    async fn end_disconnected(self, dispatch: Dispatch) {
        self.info.record_waste(&self.entry.cx, "cancelled", 0);
        self.claim.end_without_response(&dispatch).await;
    }

    async fn refuse_withdrawn_key(self, dispatch: Dispatch) {
        let error = RequestError::new(RefusalCode::KeyWithdrawn, "the key was withdrawn");
        self.refuse(dispatch, error, None).await;
    }

    async fn refuse(self, dispatch: Dispatch, error: RequestError, retry_after: Option<Duration>) {
        self.claim.end_without_response(&dispatch).await;
        let refusal = dispatch.into_refusal(error, false, retry_after);
        self.info.record_refusal(&self.entry.cx, &refusal);
        self.sink.refuse_plain(refusal);
    }
}

impl ResponseCopy {
    fn record_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.status = status.as_u16();
        self.headers = headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
    }

    /// Appends body bytes, up to one more than can be stored, which marks the body as too large.
    fn push(&mut self, bytes: &[u8]) {
        let room = (MAX_STORED_BODY_BYTES + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn into_stored(self) -> StoredResponse {
        let body = StoredBody::from_bytes(&self.body);
        StoredResponse { status: self.status, headers: self.headers, body }
    }
}

fn request_outcome(outcome: &PlainOutcome) -> RequestOutcome {
    match outcome {
        PlainOutcome::Complete(_) => RequestOutcome::Complete,
        PlainOutcome::CallerDisconnected | PlainOutcome::KeyWithdrawn => RequestOutcome::Cancelled,
        PlainOutcome::Failed(failure) | PlainOutcome::Truncated(failure) => failure.outcome,
    }
}

/// Returns whether the end of a response can be distinguished from a lost connection.
fn is_delimited(rsp: &Response, method: &Method) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&rsp.status());
    let headers = rsp.headers();
    bodiless
        || *method == Method::HEAD
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}
