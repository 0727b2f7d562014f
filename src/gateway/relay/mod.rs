//! Relays event streams to callers in complete events. Streams of resumable routes are resumed at
//! another backend server after a failure; runs of engines are migrated when the engine shuts down.

mod migration;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;

use crate::gateway::attempt::{
    AdmittedRequest, BackendResponse, ResumePoint, Run, SendOutcome, send,
};
use crate::gateway::body::{ResponseBody, TruncatedBody};
use crate::gateway::events::{EventSplitter, MAX_EVENT_BYTES};
use crate::gateway::evidence::PartsCheck;
use crate::gateway::handle::recheck_key;
use crate::gateway::record::RequestRecord;
use crate::gateway::shared::InstanceState;
use crate::metrics::{Counter, DurationMetric};
use crate::platform::headers;
use crate::routing::catalog::RequestKind;
use crate::routing::load::Verdict;
use crate::routing::migration::MigrationAttempts;
use crate::routing::tried::SendHistory;

/// Gap between events after which a resumable stream counts as stalled, as a multiple of the
/// route's gap target.
const STALL_GAP_TARGETS: u32 = 3;
/// Time without a first event after which a resumable stream is retried, as a multiple of the
/// route's latency target.
const FIRST_EVENT_LATENCY_TARGETS: u32 = 2;

/// Range of the delay between the start of a backend server's shutdown and the migration of a
/// stream. Most streams end within it; the random choice avoids migrating all others at once.
const MIGRATION_DELAY: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(700)];
/// Period at which a stream without events checks whether its backend server shuts down.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time after the deadline for which events that arrive are still forwarded, as the engine ends the
/// stream at the deadline by its own clock.
const DEADLINE_OVERRUN: Duration = Duration::from_millis(150);

/// An event stream that is being relayed.
struct StreamRelay {
    cx: Rc<InstanceState>,
    request: Rc<AdmittedRequest>,
    record: Rc<RequestRecord>,
    /// Current run and its unread body; `None` between runs and after the end.
    current_run: Option<(Incoming, Run)>,
    /// Status and content type that the caller received.
    head: (StatusCode, Option<HeaderValue>),
    /// Whether the body of the current run has neither a length nor chunks.
    ends_with_connection: bool,
    splitter: EventSplitter,
    last_event: Option<u64>,
    history: SendHistory,
    /// When events were last sent to the caller.
    last_sent_at: Instant,
    /// Events that were read but not yet sent.
    pending: Option<Bytes>,
    /// Whether the stream has ended, successfully or not.
    is_finished: bool,
    /// Whether a backend server may have crashed when it began to answer or to go on.
    may_have_crashed_server: bool,
    migrations: MigrationAttempts,
}

/// Reason why the current run yields no further bytes.
enum ReadEnd {
    Complete,
    Failed(String),
}

/// Waits for the first events of a stream and builds the response that starts with them.
///
/// # Errors
/// Describes why the stream failed before its first event.
pub async fn start(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    record: &Rc<RequestRecord>,
    reply: BackendResponse,
    history: SendHistory,
) -> Result<Response<ResponseBody>, String> {
    let BackendResponse { rsp, run } = reply;
    let (mut parts, body) = rsp.into_parts();
    let ends_with_connection = headers::ends_with_connection(&parts.headers);
    headers::remove_hop_by_hop(&mut parts.headers);
    if request.route.request_kind == RequestKind::ResumableStream {
        // The length of the resumed stream may differ.
        parts.headers.remove(CONTENT_LENGTH);
    }
    let migrations = if request.service.is_engine {
        let delay = rand::rng().random_range(MIGRATION_DELAY[0]..MIGRATION_DELAY[1]);
        MigrationAttempts::after(delay)
    } else {
        MigrationAttempts::excluded()
    };
    let mut relay = StreamRelay {
        cx: cx.clone(),
        request: request.clone(),
        record: record.clone(),
        current_run: Some((body, run)),
        head: (parts.status, parts.headers.get(CONTENT_TYPE).cloned()),
        ends_with_connection,
        splitter: EventSplitter::after(request.head.last_event),
        last_event: request.head.last_event,
        history,
        last_sent_at: Instant::now(),
        pending: None,
        is_finished: false,
        may_have_crashed_server: false,
        migrations,
    };
    let first = relay.read_first().await?;
    record.mark_first_output();
    record.set_outcome("the stream was cancelled before its end", parts.status.as_u16());
    relay.last_sent_at = Instant::now();
    let head = stream::once(async move { Ok(first) });
    let rest = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_events().await?;
        if item.is_err() {
            // An error closes the connection at once, so what is still in its buffer, such as the head and
            // the first event, must be written before.
            tokio::task::yield_now().await;
        }
        relay.record_gap();
        Some((item, relay))
    });
    let frames = head.chain(rest).map(|item: Result<Bytes, TruncatedBody>| item.map(Frame::data));
    let body: ResponseBody = Box::pin(StreamBody::new(frames));
    Ok(Response::from_parts(parts, body))
}

impl StreamRelay {
    /// Reads the first events of the first run.
    async fn read_first(&mut self) -> Result<Bytes, String> {
        let may_retry = self.may_resume();
        let left = self.request.time_left();
        let wait = if may_retry {
            left.min(self.request.route.latency_target * FIRST_EVENT_LATENCY_TARGETS)
        } else {
            left
        };
        let read = tokio::time::timeout(wait, self.read()).await;
        match read {
            Ok(Ok(bytes)) => {
                if let Some((_, run)) = &self.current_run {
                    run.mark_started();
                    run.begin_stream();
                }
                Ok(bytes)
            }
            Ok(Err(ReadEnd::Complete)) if self.ends_with_connection => {
                self.fail_disconnected().await;
                Err("the connection ended before the first event".to_owned())
            }
            Ok(Err(ReadEnd::Complete)) => {
                // An empty stream is a complete response.
                self.finish();
                Ok(Bytes::new())
            }
            Ok(Err(ReadEnd::Failed(why))) => {
                self.fail_disconnected().await;
                Err(why)
            }
            Err(_) => {
                self.fail();
                Err(format!("no event within {} ms", wait.as_millis()))
            }
        }
    }

    fn record_gap(&mut self) {
        let gap = std::mem::replace(&mut self.last_sent_at, Instant::now()).elapsed();
        self.cx.metrics.record_duration(
            DurationMetric::TokenGap,
            self.request.route.name.as_str(),
            gap,
        );
    }

    /// Returns the next events, or `None` after a regular end.
    async fn next_events(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        let mut waiting_since = Instant::now();
        loop {
            if self.is_finished {
                return None;
            }
            if self.should_migrate() {
                self.migrate_and_record().await;
                if let Some(bytes) = self.pending.take() {
                    return Some(Ok(bytes));
                }
            }
            if self.current_run.is_none()
                && let Err(why) = self.resume_or_fail("the run ended during its migration").await
            {
                return Some(Err(why));
            }
            let why = match self.read_until(self.stalled_at(waiting_since)).await {
                Some(Ok(bytes)) => return Some(Ok(bytes)),
                Some(Err(ReadEnd::Complete)) => {
                    self.finish();
                    return self.splitter.take_remainder().map(Ok);
                }
                Some(Err(ReadEnd::Failed(why))) => {
                    self.fail_disconnected().await;
                    why
                }
                None if Instant::now() < self.stalled_at(waiting_since) => continue,
                None => {
                    let waited_ms = waiting_since.elapsed().as_millis();
                    format!("the stream stalled: no event for {waited_ms} ms")
                }
            };
            self.fail();
            if let Err(why) = self.resume_or_fail(&why).await {
                return Some(Err(why));
            }
            waiting_since = Instant::now();
        }
    }

    /// Reads events until the stream counts as stalled, at most for [`DRAIN_CHECK_PERIOD`]; `None`
    /// if there were none.
    async fn read_until(&mut self, stalled_at: Instant) -> Option<Result<Bytes, ReadEnd>> {
        let wait = stalled_at.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            // A run that sends without end always has something to read.
            return None;
        }
        tokio::time::timeout(wait.min(DRAIN_CHECK_PERIOD), self.read()).await.ok()
    }

    /// Resumes the stream after its run failed, or ends it with an error.
    async fn resume_or_fail(&mut self, reason: &str) -> Result<(), TruncatedBody> {
        self.record.send_ended(reason);
        self.resume().await.map_err(|why| {
            self.is_finished = true;
            self.record.stream_interrupted();
            self.record.set_outcome(format!("the stream failed: {why}"), 0);
            TruncatedBody(why)
        })
    }

    /// Continues the stream with a response of another backend server.
    ///
    /// # Errors
    /// If the response is no event stream like the one that the caller receives, such as an error;
    /// its run has ended then.
    fn continue_with(&mut self, reply: BackendResponse) -> Result<(), String> {
        let BackendResponse { rsp, run } = reply;
        let (status, content_type) = &self.head;
        if rsp.status() != *status {
            run.finish_without_body();
            return Err(format!("status {}", rsp.status().as_u16()));
        }
        let found = rsp.headers().get(CONTENT_TYPE);
        if found.is_some_and(|found| Some(found) != content_type.as_ref()) {
            run.finish_without_body();
            return Err(format!("content type {found:?} instead of {content_type:?}"));
        }
        self.ends_with_connection = headers::ends_with_connection(rsp.headers());
        self.splitter = EventSplitter::after(self.last_event);
        self.current_run = Some((rsp.into_body(), run));
        Ok(())
    }

    fn check_key(&self) -> Result<(), String> {
        recheck_key(&self.cx, &self.request)
            .map_err(|_| "the key was withdrawn or can't be verified any more".to_owned())
    }

    /// Checks whether the parts of the prompt allow that another backend server goes on.
    ///
    /// # Errors
    /// If a part crashes backend servers, or may be what has crashed one under this stream.
    fn check_prompt_parts(&self) -> Result<(), String> {
        match self.cx.evidence.check(&self.cx, &self.request) {
            PartsCheck::Refused(_) => {
                let route = self.request.route.name.as_str();
                self.cx.metrics.add(Counter::Quarantined, route, 1);
                Err("a part of the prompt crashes backend servers".to_owned())
            }
            PartsCheck::NoRetry if self.may_have_crashed_server => {
                Err("a part of the prompt may have crashed the backend server".to_owned())
            }
            PartsCheck::Passed | PartsCheck::NoRetry => Ok(()),
        }
    }

    /// Returns when the stream counts as stalled if there are no events from `waiting_since` on.
    fn stalled_at(&self, waiting_since: Instant) -> Instant {
        let last = self.request.deadline + DEADLINE_OVERRUN;
        if self.may_resume() {
            last.min(waiting_since + self.request.route.gap_target * STALL_GAP_TARGETS)
        } else {
            last
        }
    }

    /// Reads until there is at least one complete event.
    async fn read(&mut self) -> Result<Bytes, ReadEnd> {
        let Some((body, run)) = &mut self.current_run else { return Err(ReadEnd::Complete) };
        loop {
            if let Some(events) = self.splitter.take_complete() {
                run.record_events();
                self.last_event = events.last_id.or(self.last_event);
                return Ok(events.bytes);
            }
            if self.splitter.has_foreign_bytes() {
                let why = "the stream contains bytes that are no event";
                return Err(ReadEnd::Failed(why.to_owned()));
            }
            if self.splitter.is_event_too_long() {
                let why = format!("an event is longer than {MAX_EVENT_BYTES} bytes");
                return Err(ReadEnd::Failed(why));
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(error)) => return Err(ReadEnd::Failed(error.to_string())),
                None if self.splitter.has_incomplete_event() => {
                    return Err(ReadEnd::Failed("the stream ended inside an event".to_owned()));
                }
                None => return Err(ReadEnd::Complete),
            }
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if let Some((_, run)) = self.current_run.take() {
            run.finish(Verdict::Success);
        }
        self.record.set_outcome("answered", 200);
    }

    fn fail(&mut self) {
        if let Some((body, run)) = self.current_run.take() {
            drop(body);
            run.fail();
        }
    }

    async fn fail_disconnected(&mut self) {
        if let Some((body, run)) = self.current_run.take() {
            drop(body);
            self.may_have_crashed_server |= run.fail_disconnected().await;
        }
    }

    fn may_resume(&self) -> bool {
        self.request.route.request_kind == RequestKind::ResumableStream
            && self.history.attempts() < self.request.route.max_attempts
    }

    /// Resumes the stream at another backend server after the last event that was sent.
    async fn resume(&mut self) -> Result<(), String> {
        while self.may_resume()
            && self.history.is_below_miss_limit()
            && !self.request.time_left().is_zero()
        {
            self.check_key()?;
            self.check_prompt_parts()?;
            let Some((choice, server)) = self.cx.choose(&self.request, &self.history) else {
                return Err("no other backend server is available".to_owned());
            };
            if self.history.needs_retry_budget() && !self.cx.take_retry(&self.request.service.name)
            {
                return Err("the retry budget is exhausted".to_owned());
            }
            self.cx.metrics.add(Counter::Retried, self.request.service.name.as_str(), 1);
            self.record.send_started(&choice);
            self.history.record_send(choice.server.clone());
            let wait = self.request.time_left();
            let outcome = {
                let resume = ResumePoint { last_event: self.last_event, kv_cache: None };
                send(&self.cx, &self.request, &choice, &server, wait, resume).await
            };
            self.history.record_result(&server.entry, outcome.send_result());
            match outcome {
                SendOutcome::Response(reply) => match self.continue_with(*reply) {
                    Ok(()) => return Ok(()),
                    Err(why) => self.record.send_ended(&why),
                },
                SendOutcome::NotRun => self.record.send_ended("not run"),
                SendOutcome::Misdirected => self.record.send_ended("misdirected"),
                SendOutcome::NotSent(why) => self.record.send_ended(&why),
                SendOutcome::Unknown(why) => {
                    self.record.send_ended(&why);
                    self.may_have_crashed_server = true;
                }
            }
        }
        Err("the stream may not be resumed".to_owned())
    }
}
