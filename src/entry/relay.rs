//! Serves one chat request: attempts, retries, resumption and the end of the answer.

use std::time::Duration;

use super::Entry;
use super::admit::{self, NoSlot, Wish};
use super::attempt::{self, AttemptEnd, Failure};
use super::auth::{Denial, Guard};
use super::chat::{ChatRequest, Received};
use super::chunk::Usage;
use super::dispatch::Dispatch;
use super::join::{self, Joiner};
use super::once::{self, Once};
use super::reply::error_body;
use super::retry::{MAX_ATTEMPTS, backoff};
use super::sink::Sink;
use super::sse;
use super::work::{Pace, Work};
use crate::config::BackendServer;
use crate::event::EventKind;
use crate::home::client::{Permit, RequestOutcome, RequestStats};
use crate::metrics::Counter;
use crate::outcome::RefusalCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

/// State of one request while it is served.
pub struct Relay {
    /// Shared parts of the entry.
    pub entry: Entry,
    /// The request.
    pub work: Work,
    /// Its body.
    pub chat: ChatRequest,
    /// The idempotency key to pass on, if there is one.
    pub idempotency_key: Option<String>,
    /// The way to the caller.
    pub sink: Sink,
    /// The claim of the request, if it has one.
    pub once: Once,
    /// Watches the caller's key.
    pub guard: Guard,
    /// Text received and passed on.
    pub received: Received,
    /// Times of the tokens.
    pub pace: Pace,
    /// Time between the latest two tokens, until it is recorded.
    pub last_gap: Option<Duration>,
    /// What the next attempt needs.
    pub wish: Wish,
    /// Collects the answer for a caller without a stream.
    pub joiner: Joiner,
    /// Whether the chunk with the role was passed on.
    pub role_passed: bool,
    /// Whether tokens other than text were received, after which no engine can go on.
    other_tokens: bool,
}

/// How waiting for a slot ended.
enum Slot {
    Granted(Box<Permit>, BackendServer),
    Refused(NoSlot),
    Gone,
    Revoked,
}

impl Relay {
    /// Prepares to serve a request.
    pub fn new(
        entry: Entry,
        work: Work,
        chat: ChatRequest,
        idempotency_key: Option<String>,
        once: Once,
        sink: Sink,
    ) -> Self {
        let guard = Guard::new(entry.cx.in_force.clone(), work.caller.clone(), work.route.clone());
        let wish = Wish {
            prompt_tokens: chat.prompt_tokens,
            estimated_tokens: chat.estimated_tokens,
            prefix: chat.prefix,
            ..Wish::default()
        };
        Self {
            entry,
            work,
            chat,
            idempotency_key,
            sink,
            once,
            guard,
            received: Received::default(),
            pace: Pace::default(),
            last_gap: None,
            wish,
            joiner: Joiner::default(),
            role_passed: false,
            other_tokens: false,
        }
    }

    /// Returns the `x-request-id` of the current attempt.
    ///
    /// Attempts have different ones, so that a late answer to an earlier attempt is recognised.
    pub fn attempt_id(&self) -> String {
        match self.wish.attempt {
            0 => self.work.id.to_string(),
            attempt => format!("{}.{attempt}", self.work.id),
        }
    }

    /// Notes a token of text.
    pub fn note_token(&mut self, text: &str) {
        self.last_gap = self.pace.token();
        self.received.tokens += 1;
        self.received.text.push_str(text);
        if self.joins() {
            self.joiner.push_text(text);
        }
    }

    /// Returns whether the answer is needed as a whole.
    pub fn joins(&self) -> bool {
        !self.sink.is_streamed() || self.once.is_claimed()
    }

    /// Notes a token that is not text.
    pub fn note_other_token(&mut self) {
        self.last_gap = self.pace.token();
        self.received.tokens += 1;
        self.other_tokens = true;
    }

    /// Serves the request to its end.
    pub async fn run(mut self) {
        self.entry.budget.earn();
        let mut dispatch = Dispatch::new();
        loop {
            let (permit, server) = match self.wait_for_slot().await {
                Slot::Granted(permit, server) => (*permit, server),
                Slot::Refused(no_slot) => {
                    return self.refuse(dispatch, no_slot.denial, no_slot.retry_after).await;
                }
                Slot::Gone => return self.gone(dispatch).await,
                Slot::Revoked => return self.revoked(dispatch).await,
            };
            match self.prepare_send(&server).await {
                Ok(true) => {}
                Ok(false) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    self.wish.avoid.insert(server.name.clone());
                    continue;
                }
                Err(denial) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    return self.refuse(dispatch, denial, None).await;
                }
            }
            let sent = Instant::now();
            let earlier = self.received.tokens;
            let (after, end) = attempt::run(&mut self, dispatch, &permit, &server).await;
            dispatch = after;
            permit.finish(ending(&end), self.pace.figures(sent, self.prompt_tokens(&end)));
            match end {
                AttemptEnd::Whole(finish_reason, usage) => {
                    let usage = total_usage(usage, earlier);
                    return self.complete(&server, finish_reason, usage).await;
                }
                AttemptEnd::Gone => return self.gone(dispatch).await,
                AttemptEnd::Revoked => return self.revoked(dispatch).await,
                AttemptEnd::Failed(failure) if self.may_retry(&dispatch, &failure) => {
                    self.prepare_retry(&server, &failure).await;
                }
                AttemptEnd::Failed(failure) => {
                    return self.refuse(dispatch, failure.denial, None).await;
                }
            }
        }
    }

    /// Decides again whether the request may be sent; returns false if the server may not be used.
    ///
    /// # Errors
    /// If the request may not be sent at all.
    async fn prepare_send(&mut self, server: &BackendServer) -> Result<bool, Denial> {
        self.once.before_send().await?;
        self.guard.check()?;
        if self.once.is_claimed() {
            // The caller may come back for the answer, which is stored.
            self.sink.outlive_caller();
        }
        Ok(self.entry.takes_work(server))
    }

    fn prompt_tokens(&self, end: &AttemptEnd) -> u64 {
        match end {
            AttemptEnd::Whole(_, usage) => usage.prompt_tokens,
            _ => self.chat.prompt_tokens,
        }
    }

    async fn wait_for_slot(&mut self) -> Slot {
        tokio::select! {
            biased;
            () = self.guard.revoked() => Slot::Revoked,
            admitted = admit::admit(&self.entry, &self.work, &self.wish) => match admitted {
                Ok((permit, server)) => Slot::Granted(Box::new(permit), server),
                Err(no_slot) => Slot::Refused(no_slot),
            },
            () = self.sink.idle() => Slot::Gone,
        }
    }

    /// Decides whether a failed request is tried on another backend server.
    fn may_retry(&self, dispatch: &Dispatch, failure: &Failure) -> bool {
        let allowed = failure.retry && (self.work.repeatable || !dispatch.is_sent());
        let possible = self.received.tokens == 0 || self.resumes() || !self.sink.is_streamed();
        allowed && possible && self.wish.attempt + 1 < MAX_ATTEMPTS && self.entry.budget.take()
    }

    /// Returns whether another engine can go on after what was received.
    fn resumes(&self) -> bool {
        !self.other_tokens && self.chat.can_resume(&self.received)
    }

    async fn prepare_retry(&mut self, server: &BackendServer, failure: &Failure) {
        let cx = &self.entry.cx;
        cx.metrics.add(Counter::Retried, failure.reason, 1);
        let about = self.work.about(Some(&server.name));
        cx.recorder.record_about(EventKind::Retry, about, failure.reason);
        tracing::warn!(request = %self.work.id, server = %server.name, reason = failure.reason,
            "backend server failed; trying another one");
        self.wish.avoid.insert(server.name.clone());
        if self.received.tokens > 0 && !self.resumes() {
            self.start_again();
        }
        self.wish.resume = self.received.tokens > 0;
        sleep(backoff(self.wish.attempt)).await;
        self.wish.attempt += 1;
    }

    /// Forgets a part of an answer that no caller has seen.
    fn start_again(&mut self) {
        self.entry.cx.metrics.add(Counter::WastedTokens, "rerun", self.received.tokens);
        self.received = Received::default();
        self.joiner.clear();
        self.other_tokens = false;
    }

    /// Records a whole answer, then passes its end to the caller.
    async fn complete(mut self, server: &BackendServer, finish_reason: String, usage: Usage) {
        if self.work.caller.is_billed() {
            let served = self.work.served(usage.prompt_tokens, usage.completion_tokens);
            self.entry.ledger.record(served).await;
        }
        let cx = self.entry.cx.clone();
        self.work.note_whole(&cx, &self.pace, &server.name, usage.completion_tokens);
        let answer = self.joins().then(|| {
            let joiner = std::mem::take(&mut self.joiner);
            joiner.finish(self.chat.kind, self.work.id.as_str(), &finish_reason, usage)
        });
        if let Some(answer) = &answer {
            let once = std::mem::replace(&mut self.once, Once::Free);
            once.finish(|| once::stored_json(answer)).await;
        }
        match answer {
            Some(answer) if !self.sink.is_streamed() => self.sink.complete(answer),
            _ => self.complete_stream(usage).await,
        }
    }

    async fn complete_stream(mut self, usage: Usage) {
        if self.chat.include_usage {
            let event = self.usage_event(usage);
            if self.sink.event(event).await.is_err() {
                return;
            }
        }
        self.sink.complete_stream();
    }

    fn usage_event(&self, usage: Usage) -> bytes::Bytes {
        sse::json_event(&json!({
            "id": format!("{}{}", self.chat.kind.id_prefix(), self.work.id),
            "object": self.chat.kind.chunk_object(),
            "model": self.chat.model,
            "choices": [],
            "usage": join::usage_json(usage),
        }))
    }

    async fn gone(self, dispatch: Dispatch) {
        self.work.note_waste(&self.entry.cx, "cancelled", self.received.tokens);
        self.once.end_without_answer(&dispatch).await;
    }

    async fn revoked(self, dispatch: Dispatch) {
        let denial = Denial::new(RefusalCode::KeyWithdrawn, "the key was withdrawn");
        self.refuse(dispatch, denial, None).await;
    }

    async fn refuse(self, dispatch: Dispatch, denial: Denial, retry_after: Option<Duration>) {
        let tokens = self.received.tokens;
        if tokens > 0 {
            self.entry.cx.metrics.add(Counter::WastedTokens, denial.code.as_str(), tokens);
        }
        self.once.end_without_answer(&dispatch).await;
        let answered = tokens > 0 || denial.code == RefusalCode::BadRequest;
        let refusal = dispatch.refuse(denial, answered, retry_after);
        self.work.note_refusal(&self.entry.cx, &refusal);
        let body = error_body(&refusal, &self.work.id);
        self.sink.refuse(refusal, &body);
    }
}

/// Returns what the home instance is told about the end of an attempt.
fn ending(end: &AttemptEnd) -> RequestOutcome {
    match end {
        AttemptEnd::Whole(..) => RequestOutcome::Complete,
        AttemptEnd::Gone | AttemptEnd::Revoked => RequestOutcome::Cancelled,
        AttemptEnd::Failed(failure) => failure.ending,
    }
}

/// Returns the usage of the whole answer when its last attempt went on after earlier tokens.
fn total_usage(usage: Usage, earlier: u64) -> Usage {
    let prompt_tokens = usage.prompt_tokens.saturating_sub(earlier);
    let completion_tokens = usage.completion_tokens + earlier;
    Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
}
