//! Relays event streams to callers in complete events. Streams of resumable routes are resumed at
//! another backend server after a failure; runs of engines are migrated when the engine shuts down.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use rand::RngExt;

use super::attempt::{AdmittedRequest, BackendResponse, ResumePoint, Run, SendOutcome, send};
use super::body::{ResponseBody, TruncatedBody};
use super::events::{EventSplitter, MAX_EVENT_BYTES};
use super::handle::recheck_key;
use super::links::ConnectionError;
use super::migration::{self, MigrationError};
use super::record::RequestRecord;
use super::shared::InstanceState;
use crate::metrics::{Counter, DurationMetric};
use crate::names::BackendServerName;
use crate::platform::engine::{self, CopyError, MigratedKvCache};
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
/// Maximum size of the response to a KV cache copy.
const MAX_MIGRATION_RESPONSE_BYTES: usize = 64 << 10;
/// Timeout of each step of a migration: a KV cache copy, or reading the rest of the old stream.
const MIGRATION_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An event stream that is being relayed.
struct StreamRelay {
    cx: Rc<InstanceState>,
    request: Rc<AdmittedRequest>,
    record: Rc<RequestRecord>,
    /// Current run and its unread body; `None` between runs and after the end.
    current_run: Option<(Incoming, Run)>,
    /// Whether the body of the first run has neither a length nor chunks.
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
        ends_with_connection,
        splitter: EventSplitter::after(request.head.last_event),
        last_event: request.head.last_event,
        history,
        last_sent_at: Instant::now(),
        pending: None,
        is_finished: false,
        migrations,
    };
    let first = relay.read_first().await?;
    record.mark_first_output();
    record.set_outcome("the stream was cancelled before its end", parts.status.as_u16());
    relay.last_sent_at = Instant::now();
    let head = stream::once(async move { Ok(first) });
    let rest = stream::unfold(relay, |mut relay| async move {
        let item = relay.next_events().await?;
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

    /// Returns whether the backend server shuts down and an attempt to migrate the run is due.
    fn should_migrate(&self) -> bool {
        let Some((_, run)) = self.current_run.as_ref() else { return false };
        let draining_since = self.cx.fleet.borrow().draining_since(&run.server);
        self.migrations.is_due(Instant::now(), draining_since)
    }

    async fn migrate_and_record(&mut self) {
        let now = Instant::now();
        self.migrations.record_start(now);
        let error = match self.migrate().await {
            Ok(()) => {
                self.migrations.record_success();
                self.record.migration_ended(migration::COMPLETED, None);
                return;
            }
            Err(error) => error,
        };
        tracing::debug!(%error, "run not migrated");
        self.record.migration_ended(error.label(), error.refused_by());
        if let Some(engine) = error.refused_by() {
            self.cx.loads.borrow_mut().get_or_insert(engine).record_refused_copy(now);
            self.migrations.record_refusal(engine.clone());
        } else if !error.may_be_retried() {
            self.migrations.exclude();
        }
    }

    /// Migrates the run with its KV cache to another engine and continues the stream there.
    ///
    /// # Errors
    /// Describes why the migration failed; the run continues at its engine or has ended.
    async fn migrate(&mut self) -> Result<(), MigrationError> {
        let Some((_, run)) = &self.current_run else { return Err(MigrationError::RunEnded) };
        let (from, address) = (run.server.clone(), run.address);
        let service = &self.request.service;
        let mut excluded = self.history.clone();
        excluded.record_send(from.clone());
        let demand = &self.request.head.demand;
        let alternative =
            self.cx.choose_for_migration(service, demand, &excluded, &self.migrations);
        let (choice, server) = alternative.ok_or(MigrationError::NoEngine)?;
        self.check_key().map_err(|_| MigrationError::KeyRejected)?;
        if !self.cx.has_retry(&service.name) {
            return Err(MigrationError::BudgetExhausted);
        }
        // Pre-copy: most of the cache is copied while the run continues, so that the run has to
        // stop only for the remainder.
        let copy_error = |error| MigrationError::Copy(choice.server.clone(), error);
        let target = server.entry.address;
        self.copy_kv_cache(&from, address, target, false).await.map_err(copy_error)?;
        // A refused copy sends no request, so it takes nothing from the budget.
        if !self.cx.take_retry(&service.name) {
            return Err(MigrationError::BudgetExhausted);
        }
        let kv_cache =
            self.copy_kv_cache(&from, address, target, true).await.map_err(copy_error)?;
        let rest = tokio::time::timeout(MIGRATION_CALL_TIMEOUT, self.drain_current_run()).await;
        if rest.is_err() {
            self.record.send_ended("the stream of the migrated run did not end in time");
        }
        self.current_run = None;
        self.pending = self.splitter.take_complete().map(|events| {
            self.last_event = events.last_id.or(self.last_event);
            events.bytes
        });
        self.record.send_ended("moved");
        self.record.send_started(&choice);
        self.history.record_send(choice.server.clone());
        let last_event = self.last_event;
        let resume = ResumePoint { last_event, kv_cache: Some(&kv_cache) };
        let wait = self.request.time_left();
        match send(&self.cx, &self.request, &choice, &server, wait, resume).await {
            SendOutcome::Response(reply) if reply.rsp.status().is_success() => {
                self.splitter = EventSplitter::after(last_event);
                self.current_run = Some((reply.rsp.into_body(), reply.run));
                Ok(())
            }
            SendOutcome::Response(reply) => {
                let status = reply.rsp.status().as_u16();
                Err(MigrationError::NotContinued(format!("status {status}")))
            }
            SendOutcome::NotRun | SendOutcome::Misdirected => {
                Err(MigrationError::NotContinued("not accepted".to_owned()))
            }
            SendOutcome::NotSent(why) | SendOutcome::Unknown(why) => {
                Err(MigrationError::NotContinued(why))
            }
        }
    }

    fn check_key(&self) -> Result<(), String> {
        recheck_key(&self.cx, &self.request)
            .map_err(|_| "the key was withdrawn or can't be verified any more".to_owned())
    }

    async fn copy_kv_cache(
        &self,
        source: &BackendServerName,
        source_address: SocketAddr,
        target_address: SocketAddr,
        stops_run: bool,
    ) -> Result<MigratedKvCache, CopyError> {
        let attempt = self.request.head.attempt.as_ref().ok_or(CopyError::RunEnded)?;
        let req = engine::migration_request(source_address, attempt, target_address, stops_run)
            .map_err(|error| CopyError::Failed(error.to_string()))?;
        let call = async {
            let mut connection =
                self.cx.pool.acquire(source, source_address, MIGRATION_CALL_TIMEOUT).await?;
            let (parts, body) = connection.send(req).await?.into_parts();
            let body = Limited::new(body, MAX_MIGRATION_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| ConnectionError::NoResponse(error.to_string()))?;
            self.cx.release_connection(&self.request.service, source, connection);
            Ok((parts.status, body.to_bytes()))
        };
        let result: Result<_, ConnectionError> =
            tokio::time::timeout(MIGRATION_CALL_TIMEOUT, call).await.map_err(|_| {
                let timeout_ms = MIGRATION_CALL_TIMEOUT.as_millis();
                CopyError::Failed(format!("no response within {timeout_ms} ms"))
            })?;
        let (status, body) = result.map_err(|error| match error {
            ConnectionError::NotSent(why) | ConnectionError::NoResponse(why) => {
                CopyError::Failed(why)
            }
        })?;
        engine::parse_migration_response(source_address, status, &body)
    }

    /// Reads the rest of a stopped run's stream into the splitter.
    async fn drain_current_run(&mut self) {
        while let Some((body, _)) = &mut self.current_run
            && !self.splitter.is_event_too_long()
        {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                // The stream of a stopped run ends without a final chunk.
                Some(Err(_)) | None => return,
            }
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
                run.mark_answered();
                self.last_event = events.last_id.or(self.last_event);
                return Ok(events.bytes);
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
            run.fail_disconnected().await;
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
            let demand = &self.request.head.demand;
            let Some((choice, server)) =
                self.cx.choose(&self.request.service, demand, &self.history)
            else {
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
                SendOutcome::Response(reply) if reply.rsp.status().is_success() => {
                    self.splitter = EventSplitter::after(self.last_event);
                    self.current_run = Some((reply.rsp.into_body(), reply.run));
                    return Ok(());
                }
                SendOutcome::Response(reply) => {
                    self.record.send_ended(&format!("status {}", reply.rsp.status().as_u16()));
                    reply.run.finish_without_body();
                }
                SendOutcome::NotRun => self.record.send_ended("not run"),
                SendOutcome::Misdirected => self.record.send_ended("misdirected"),
                SendOutcome::NotSent(why) | SendOutcome::Unknown(why) => {
                    self.record.send_ended(&why)
                }
            }
        }
        Err("the stream may not be resumed".to_owned())
    }
}
