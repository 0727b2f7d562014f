//! Serves one chat request: admission, attempts, retries and resumption of partial responses.

use std::time::Duration;

use super::Entry;
use super::admit::{self, AdmissionCriteria, SlotDenied};
use super::attempt::{self, AttemptFailure, AttemptOutcome};
use super::auth::{AuthWatch, RequestError};
use super::chat::{ChatRequest, PartialResponse};
use super::chunk::Usage;
use super::dispatch::Dispatch;
use super::join::{self, ResponseAssembler};
use super::once::{self, RequestClaim};
use super::reply::error_body;
use super::retry::{MAX_ATTEMPTS, backoff};
use super::sink::ResponseSink;
use super::sse;
use super::work::{RequestInfo, TokenTimes};
use crate::config::BackendServer;
use crate::event::EventKind;
use crate::home::client::{Permit, RequestOutcome, RequestStats};
use crate::metrics::Counter;
use crate::outcome::RefusalCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// State of one request while it is served.
pub struct ChatRelay {
    /// Shared state of the HTTP entry point.
    pub entry: Entry,
    /// The authenticated request.
    pub info: RequestInfo,
    /// The parsed request body.
    pub chat: ChatRequest,
    /// The idempotency key to forward, if any.
    pub idempotency_key: Option<String>,
    /// Sends the response to the caller.
    pub sink: ResponseSink,
    /// The idempotency claim of the request, if any.
    pub claim: RequestClaim,
    /// Watches the caller's key and access to the route.
    pub auth_watch: AuthWatch,
    /// The part of the response received so far.
    pub partial_response: PartialResponse,
    /// Arrival times of the tokens of all attempts.
    pub token_times: TokenTimes,
    /// Time between the two latest tokens, until it is recorded in metrics.
    pub last_token_gap: Option<Duration>,
    /// Requirements of the next attempt.
    pub criteria: AdmissionCriteria,
    /// Assembles the response for callers without a stream and for the idempotency claim.
    pub assembler: ResponseAssembler,
    /// Whether the chunk with the role was forwarded.
    pub role_forwarded: bool,
    /// Whether tokens other than text were received; engines can resume only after text.
    has_non_text_tokens: bool,
}

/// The result of waiting for a slot.
enum SlotOutcome {
    Granted(Box<Permit>, BackendServer),
    Denied(SlotDenied),
    CallerDisconnected,
    KeyWithdrawn,
}

impl ChatRelay {
    /// Creates the state of a request before its first attempt.
    pub fn new(
        entry: Entry,
        info: RequestInfo,
        chat: ChatRequest,
        idempotency_key: Option<String>,
        claim: RequestClaim,
        sink: ResponseSink,
    ) -> Self {
        let auth_watch =
            AuthWatch::new(entry.cx.in_force.clone(), info.caller.clone(), info.route.clone());
        let criteria = AdmissionCriteria {
            prompt_tokens: chat.prompt_tokens,
            estimated_tokens: chat.estimated_tokens,
            prefix_hash: chat.prefix_hash,
            ..AdmissionCriteria::default()
        };
        Self {
            entry,
            info,
            chat,
            idempotency_key,
            sink,
            claim,
            auth_watch,
            partial_response: PartialResponse::default(),
            token_times: TokenTimes::default(),
            last_token_gap: None,
            criteria,
            assembler: ResponseAssembler::default(),
            role_forwarded: false,
            has_non_text_tokens: false,
        }
    }

    /// Returns the `x-request-id` of the current attempt.
    ///
    /// It differs between attempts, so that a late response to an earlier attempt is recognised.
    pub fn attempt_id(&self) -> String {
        match self.criteria.attempt {
            0 => self.info.id.to_string(),
            attempt => format!("{}.{attempt}", self.info.id),
        }
    }

    /// Records a text token.
    pub fn record_token(&mut self, text: &str) {
        self.last_token_gap = self.token_times.record_token();
        self.partial_response.tokens += 1;
        self.partial_response.text.push_str(text);
        if self.needs_full_response() {
            self.assembler.push_text(text);
        }
    }

    /// Returns whether the complete response must be assembled, to be sent as JSON or stored.
    pub fn needs_full_response(&self) -> bool {
        !self.sink.is_streamed() || self.claim.is_claimed()
    }

    /// Records a token other than text.
    pub fn record_non_text_token(&mut self) {
        self.last_token_gap = self.token_times.record_token();
        self.partial_response.tokens += 1;
        self.has_non_text_tokens = true;
    }

    /// Serves the request to its end.
    pub async fn run(mut self) {
        self.entry.retry_budget.deposit();
        let mut dispatch = Dispatch::new();
        loop {
            let (permit, server) = match self.wait_for_slot().await {
                SlotOutcome::Granted(permit, server) => (*permit, server),
                SlotOutcome::Denied(denied) => {
                    return self.refuse(dispatch, denied.error, denied.retry_after).await;
                }
                SlotOutcome::CallerDisconnected => return self.end_disconnected(dispatch).await,
                SlotOutcome::KeyWithdrawn => return self.refuse_withdrawn_key(dispatch).await,
            };
            match self.prepare_send(&server).await {
                Ok(true) => {}
                Ok(false) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    self.criteria.excluded.insert(server.name.clone());
                    continue;
                }
                Err(error) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    return self.refuse(dispatch, error, None).await;
                }
            }
            let sent = Instant::now();
            let earlier_tokens = self.partial_response.tokens;
            let (next_dispatch, outcome) =
                attempt::run(&mut self, dispatch, &permit, &server).await;
            dispatch = next_dispatch;
            permit.finish(
                request_outcome(&outcome),
                self.token_times.request_stats(sent, self.prompt_tokens(&outcome)),
            );
            match outcome {
                AttemptOutcome::Complete(finish_reason, usage) => {
                    let usage = total_usage(usage, earlier_tokens);
                    return self.complete(&server, finish_reason, usage).await;
                }
                AttemptOutcome::CallerDisconnected => return self.end_disconnected(dispatch).await,
                AttemptOutcome::KeyWithdrawn => return self.refuse_withdrawn_key(dispatch).await,
                AttemptOutcome::Failed(failure) if self.try_reserve_retry(&dispatch, &failure) => {
                    self.prepare_retry(&server, &failure).await;
                }
                AttemptOutcome::Failed(failure) => {
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

    fn prompt_tokens(&self, outcome: &AttemptOutcome) -> u64 {
        match outcome {
            AttemptOutcome::Complete(_, usage) => usage.prompt_tokens,
            _ => self.chat.prompt_tokens,
        }
    }

    async fn wait_for_slot(&mut self) -> SlotOutcome {
        tokio::select! {
            biased;
            () = self.auth_watch.key_withdrawn() => SlotOutcome::KeyWithdrawn,
            admitted = admit::admit(&self.entry, &self.info, &self.criteria) => match admitted {
                Ok((permit, server)) => SlotOutcome::Granted(Box::new(permit), server),
                Err(denied) => SlotOutcome::Denied(denied),
            },
            () = self.sink.keep_alive_until_disconnect() => SlotOutcome::CallerDisconnected,
        }
    }

    /// Returns whether a failed request is retried on another backend server; if so, takes the cost
    /// of the retry from the budget.
    fn try_reserve_retry(&self, dispatch: &Dispatch, failure: &AttemptFailure) -> bool {
        let allowed = failure.retryable && (self.info.repeatable || !dispatch.is_sent());
        let possible =
            self.partial_response.tokens == 0 || self.can_resume() || !self.sink.is_streamed();
        allowed
            && possible
            && self.criteria.attempt + 1 < MAX_ATTEMPTS
            && self.entry.retry_budget.try_withdraw()
    }

    /// Returns whether another engine can resume the partial response.
    fn can_resume(&self) -> bool {
        !self.has_non_text_tokens && self.chat.can_resume(&self.partial_response)
    }

    async fn prepare_retry(&mut self, server: &BackendServer, failure: &AttemptFailure) {
        let cx = &self.entry.cx;
        cx.metrics.add(Counter::Retried, failure.reason, 1);
        let about = self.info.about(Some(&server.name));
        cx.recorder.record_for(EventKind::Retry, about, failure.reason);
        tracing::warn!(request = %self.info.id, server = %server.name, reason = failure.reason,
            "backend server failed; retrying on another one");
        self.criteria.excluded.insert(server.name.clone());
        if self.partial_response.tokens > 0 && !self.can_resume() {
            self.discard_partial_response();
        }
        self.criteria.needs_resume = self.partial_response.tokens > 0;
        sleep(backoff(self.criteria.attempt)).await;
        self.criteria.attempt += 1;
    }

    /// Discards a partial response of which nothing was sent to the caller.
    fn discard_partial_response(&mut self) {
        self.entry.cx.metrics.add(Counter::WastedTokens, "rerun", self.partial_response.tokens);
        self.partial_response = PartialResponse::default();
        self.assembler.clear();
        self.has_non_text_tokens = false;
    }

    /// Records usage, metrics and the claim of a complete response, then ends it for the caller.
    async fn complete(mut self, server: &BackendServer, finish_reason: String, usage: Usage) {
        if self.info.caller.is_billed() {
            let served = self.info.charge_usage(usage.prompt_tokens, usage.completion_tokens);
            self.entry.ledger.record(served).await;
        }
        let cx = self.entry.cx.clone();
        self.info.record_completion(&cx, &self.token_times, &server.name, usage.completion_tokens);
        let response = self.needs_full_response().then(|| {
            let assembler = std::mem::take(&mut self.assembler);
            assembler.finish(self.chat.endpoint, self.info.id.as_str(), &finish_reason, usage)
        });
        if let Some(response) = &response {
            let claim = std::mem::replace(&mut self.claim, RequestClaim::Unclaimed);
            claim.store_response(|| once::stored_json(response)).await;
        }
        match response {
            Some(response) if !self.sink.is_streamed() => self.sink.complete_json(response),
            _ => self.complete_stream(usage).await,
        }
    }

    async fn complete_stream(mut self, usage: Usage) {
        if self.chat.include_usage {
            let event = self.usage_event(usage);
            if self.sink.send_event(event).await.is_err() {
                return;
            }
        }
        self.sink.complete_stream();
    }

    fn usage_event(&self, usage: Usage) -> bytes::Bytes {
        sse::json_event(&json!({
            "id": format!("{}{}", self.chat.endpoint.id_prefix(), self.info.id),
            "object": self.chat.endpoint.chunk_object(),
            "model": self.chat.model,
            "choices": [],
            "usage": join::usage_json(usage),
        }))
    }

    async fn end_disconnected(self, dispatch: Dispatch) {
        self.info.record_waste(&self.entry.cx, "cancelled", self.partial_response.tokens);
        self.claim.end_without_response(&dispatch).await;
    }

    async fn refuse_withdrawn_key(self, dispatch: Dispatch) {
        let error = RequestError::new(RefusalCode::KeyWithdrawn, "the key was withdrawn");
        self.refuse(dispatch, error, None).await;
    }

    async fn refuse(self, dispatch: Dispatch, error: RequestError, retry_after: Option<Duration>) {
        let tokens = self.partial_response.tokens;
        if tokens > 0 {
            self.entry.cx.metrics.add(Counter::WastedTokens, error.code.as_str(), tokens);
        }
        self.claim.end_without_response(&dispatch).await;
        // A backend server that refuses a request as malformed has sent a complete error response.
        let response_started = tokens > 0 || error.code == RefusalCode::BadRequest;
        let refusal = dispatch.into_refusal(error, response_started, retry_after);
        self.info.record_refusal(&self.entry.cx, &refusal);
        let body = error_body(&refusal, &self.info.id);
        self.sink.refuse(refusal, &body);
    }
}

/// Returns the outcome of an attempt as reported to the home instance.
fn request_outcome(outcome: &AttemptOutcome) -> RequestOutcome {
    match outcome {
        AttemptOutcome::Complete(..) => RequestOutcome::Complete,
        AttemptOutcome::CallerDisconnected | AttemptOutcome::KeyWithdrawn => {
            RequestOutcome::Cancelled
        }
        AttemptOutcome::Failed(failure) => failure.outcome,
    }
}

/// Returns the usage of a response whose last attempt resumed after `earlier_tokens` tokens.
///
/// The last engine counts the earlier tokens as part of its prompt.
fn total_usage(usage: Usage, earlier_tokens: u64) -> Usage {
    let prompt_tokens = usage.prompt_tokens.saturating_sub(earlier_tokens);
    let completion_tokens = usage.completion_tokens + earlier_tokens;
    Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
}
