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
use super::reply::error_body;
use super::retry::{MAX_ATTEMPTS, backoff};
use super::sink::Sink;
use super::sse;
use super::work::{Pace, Work};
use crate::config::BackendServer;
use crate::event::EventKind;
use crate::home::client::{Ending, Permit};
use crate::metrics::Counter;
use crate::outcome::{Refusal, RefusalCode};
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
    Granted(Permit, BackendServer),
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
        sink: Sink,
    ) -> Self {
        let guard = Guard::new(entry.cx.in_force.clone(), work.caller.clone(), work.route.clone());
        let wish = Wish {
            prompt_tokens: chat.prompt_tokens,
            estimated_tokens: chat.estimated_tokens,
            ..Wish::default()
        };
        Self {
            entry,
            work,
            chat,
            idempotency_key,
            sink,
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
        if !self.sink.is_streamed() {
            self.joiner.push_text(text);
        }
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
                Slot::Granted(permit, server) => (permit, server),
                Slot::Refused(no_slot) => return self.refuse_slot(dispatch, no_slot),
                Slot::Gone => return self.gone(),
                Slot::Revoked => return self.revoked(dispatch),
            };
            if let Err(denial) = self.guard.check() {
                permit.finish(Ending::NotSent, Default::default());
                return self.refuse(dispatch, denial, None);
            }
            if !self.entry.takes_work(&server) {
                permit.finish(Ending::NotSent, Default::default());
                self.wish.avoid.insert(server.name.clone());
                continue;
            }
            let sent = Instant::now();
            let received_before = self.received.tokens;
            let (after, end) = attempt::run(&mut self, dispatch, &permit, &server).await;
            dispatch = after;
            match end {
                AttemptEnd::Whole(finish_reason, usage) => {
                    let usage = total_usage(usage, received_before);
                    permit.finish(Ending::Complete, self.pace.figures(sent, usage.prompt_tokens));
                    return self.complete(&server, finish_reason, usage).await;
                }
                AttemptEnd::Gone => {
                    permit.finish(
                        Ending::Cancelled,
                        self.pace.figures(sent, self.chat.prompt_tokens),
                    );
                    return self.gone();
                }
                AttemptEnd::Revoked => {
                    permit.finish(
                        Ending::Cancelled,
                        self.pace.figures(sent, self.chat.prompt_tokens),
                    );
                    return self.revoked(dispatch);
                }
                AttemptEnd::Failed(failure) => {
                    permit.finish(failure.ending, self.pace.figures(sent, self.chat.prompt_tokens));
                    if !self.may_retry(&dispatch, &failure) {
                        return self.refuse(dispatch, failure.denial, None);
                    }
                    self.prepare_retry(&server, &failure).await;
                }
            }
        }
    }

    async fn wait_for_slot(&mut self) -> Slot {
        tokio::select! {
            biased;
            () = self.guard.revoked() => Slot::Revoked,
            admitted = admit::admit(&self.entry, &self.work, &self.wish) => match admitted {
                Ok((permit, server)) => Slot::Granted(permit, server),
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
        if !self.sink.is_streamed() {
            let id = self.work.id.as_str();
            let answer = self.joiner.finish(self.chat.kind, id, &finish_reason, usage);
            return self.sink.complete(answer);
        }
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

    fn gone(self) {
        self.work.note_waste(&self.entry.cx, "cancelled", self.received.tokens);
    }

    fn revoked(self, dispatch: Dispatch) {
        let denial = Denial::new(RefusalCode::KeyWithdrawn, "the key was withdrawn");
        self.refuse(dispatch, denial, None);
    }

    fn refuse_slot(self, dispatch: Dispatch, no_slot: NoSlot) {
        self.refuse(dispatch, no_slot.denial, no_slot.retry_after);
    }

    fn refuse(self, dispatch: Dispatch, denial: Denial, retry_after: Option<Duration>) {
        let tokens = self.received.tokens;
        if tokens > 0 {
            self.entry.cx.metrics.add(Counter::WastedTokens, denial.code.as_str(), tokens);
        }
        let answered = tokens > 0 || denial.code == RefusalCode::BadRequest;
        let refusal: Refusal = dispatch.refuse(denial, answered);
        let refusal = match retry_after {
            Some(delay) => refusal.with_retry_after(delay),
            None => refusal,
        };
        self.work.note_refusal(&self.entry.cx, &refusal);
        let body = error_body(&refusal, &self.work.id);
        self.sink.refuse(refusal, &body);
    }
}

/// Returns the usage of the whole answer when its last attempt went on after earlier tokens.
fn total_usage(usage: Usage, earlier: u64) -> Usage {
    let prompt_tokens = usage.prompt_tokens.saturating_sub(earlier);
    let completion_tokens = usage.completion_tokens + earlier;
    Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
}
