//! Passes an event stream on to a caller, whole events at a time; where the route allows it, the
//! stream goes on at another backend server after a fault.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use rand::RngExt;

use super::attempt::{From, Job, Reply, Run, Sent, send};
use super::body::{BrokenBody, ReplyBody};
use super::events::EventSplitter;
use super::handle::check_again;
use super::links::LinkError;
use super::record::Record;
use super::shared::Shared;
use crate::metrics::{Counter, Timing};
use crate::names::BackendServerName;
use crate::platform::engine::{self, MovedMemory};
use crate::platform::headers;
use crate::routing::catalog::RequestKind;
use crate::routing::choose::Demand;
use crate::routing::load::Verdict;
use crate::routing::tried::SendHistory;

/// Pause between events after which a resumable stream goes on elsewhere, in gap targets.
const SILENT_GAPS: u32 = 3;
/// Wait for the first event after which a resumable stream is tried elsewhere, in time targets.
const SILENT_TARGETS: u32 = 2;

/// Time after the news that a backend server leaves at which its streams are moved; most end by
/// themselves until then. Spread, so that not all move at once.
const MOVE_AFTER: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(700)];
/// Period at which a silent stream looks whether its backend server leaves.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// How long a call that copies a run's memory may take.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A stream that is passed on.
struct Relay {
    cx: Rc<Shared>,
    job: Rc<Job>,
    record: Rc<Record>,
    /// The current run; none after the end.
    source: Option<(Incoming, Run)>,
    splitter: EventSplitter,
    last_event: Option<u64>,
    tried: SendHistory,
    /// When events were last passed on.
    passed_at: Instant,
    /// Events that were read but not passed on yet.
    pending: Option<Bytes>,
    /// Whether the stream ended, properly or not.
    is_finished: bool,
    /// Time after which this stream is moved from a backend server that leaves.
    move_after: Duration,
    /// Whether the run was moved or can't be.
    is_settled: bool,
}

/// Why no further bytes come from the current run.
enum Stop {
    Ended,
    Broken(String),
}

/// Waits for the first events of a stream and starts the answer with them.
///
/// # Errors
/// Says why the stream broke before its first event.
pub async fn start(
    cx: &Rc<Shared>,
    job: &Rc<Job>,
    record: &Rc<Record>,
    reply: Reply,
    tried: SendHistory,
) -> Result<Response<ReplyBody>, String> {
    let Reply { rsp, run } = reply;
    let (mut parts, body) = rsp.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    if job.route.request_kind == RequestKind::ResumableStream {
        // A second run may have another length.
        parts.headers.remove(CONTENT_LENGTH);
    }
    let mut relay = Relay {
        cx: cx.clone(),
        job: job.clone(),
        record: record.clone(),
        source: Some((body, run)),
        splitter: EventSplitter::after(job.head.last_event),
        last_event: job.head.last_event,
        tried,
        passed_at: Instant::now(),
        pending: None,
        is_finished: false,
        move_after: rand::rng().random_range(MOVE_AFTER[0]..MOVE_AFTER[1]),
        is_settled: !job.service.is_engine,
    };
    let first = relay.first().await?;
    record.first();
    record.ended("the stream was broken off", parts.status.as_u16());
    relay.passed_at = Instant::now();
    let head = stream::once(async move { Ok(first) });
    let rest = stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        relay.note_gap();
        Some((item, relay))
    });
    let frames = head.chain(rest).map(|item: Result<Bytes, BrokenBody>| item.map(Frame::data));
    let body: ReplyBody = Box::pin(StreamBody::new(frames));
    Ok(Response::from_parts(parts, body))
}

impl Relay {
    /// Waits for the first events of the first run.
    async fn first(&mut self) -> Result<Bytes, String> {
        let may_retry = self.may_resume();
        let left = self.job.left();
        let wait =
            if may_retry { left.min(self.job.route.latency_target * SILENT_TARGETS) } else { left };
        let read = tokio::time::timeout(wait, self.read()).await;
        match read {
            Ok(Ok(bytes)) => {
                if let Some((_, run)) = &self.source {
                    run.began();
                }
                Ok(bytes)
            }
            Ok(Err(Stop::Ended)) => {
                // An empty stream is a whole answer.
                self.finish();
                Ok(Bytes::new())
            }
            Ok(Err(Stop::Broken(why))) => {
                self.fail();
                Err(why)
            }
            Err(_) => {
                self.fail();
                Err(format!("no event within {} ms", wait.as_millis()))
            }
        }
    }

    fn note_gap(&mut self) {
        let gap = std::mem::replace(&mut self.passed_at, Instant::now()).elapsed();
        self.cx.metrics.time(Timing::TokenGap, self.job.route.name.as_str(), gap);
    }

    /// Returns the next events; none after the proper end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenBody>> {
        let mut waited = Duration::ZERO;
        loop {
            if self.is_finished {
                return None;
            }
            if self.must_move() {
                self.is_settled = true;
                let moved = self.move_on().await;
                if let Some(bytes) = self.pending.take() {
                    return Some(Ok(bytes));
                }
                if let Err(why) = moved {
                    self.record.send_ended(&format!("not moved: {why}"));
                }
            }
            if self.source.is_none()
                && let Err(why) = self.go_on("the run ended in a move").await
            {
                return Some(Err(why));
            }
            let wait = self.gap().saturating_sub(waited).min(LOOK_PERIOD);
            let read = tokio::time::timeout(wait, self.read()).await;
            let why = match read {
                Ok(Ok(bytes)) => return Some(Ok(bytes)),
                Ok(Err(Stop::Ended)) => {
                    self.finish();
                    return self.splitter.take_rest().map(Ok);
                }
                Ok(Err(Stop::Broken(why))) => why,
                Err(_) if waited + wait < self.gap() => {
                    waited += wait;
                    continue;
                }
                Err(_) => "the stream went silent".to_owned(),
            };
            waited = Duration::ZERO;
            self.fail();
            if let Err(why) = self.go_on(&why).await {
                return Some(Err(why));
            }
        }
    }

    /// Goes on elsewhere after the run broke, or says that the stream breaks off.
    async fn go_on(&mut self, broken: &str) -> Result<(), BrokenBody> {
        self.record.send_ended(broken);
        self.resume().await.map_err(|why| {
            self.is_finished = true;
            self.record.ended(format!("the stream broke off: {why}"), 0);
            BrokenBody(why)
        })
    }

    /// Returns whether the backend server is about to leave before the stream may have ended.
    fn must_move(&self) -> bool {
        let Some((_, run)) = self.source.as_ref().filter(|_| !self.is_settled) else {
            return false;
        };
        let since = self.cx.fleet.borrow().draining_since(&run.server);
        since.is_some_and(|since| since.elapsed() > self.move_after)
    }

    /// Moves the run with its memory to another engine, where the stream goes on.
    ///
    /// # Errors
    /// Says why it was not moved; the run goes on where it is, or has ended.
    async fn move_on(&mut self) -> Result<(), String> {
        let Some((_, run)) = &self.source else { return Err("the run has ended".to_owned()) };
        let (from, address) = (run.server.clone(), run.address);
        let demand = Demand { prompt_tokens: 1, ..self.job.head.demand.clone() };
        let mut excluded = self.tried.clone();
        excluded.record_send(from.clone());
        let found = self.cx.choose(&self.job.service, &demand, &excluded);
        let Some((choice, server)) = found else {
            return Err("no other engine has room".to_owned());
        };
        self.check_key()?;
        if !self.cx.take_repeat(&self.job.service.name) {
            return Err("the retry budget is used up".to_owned());
        }
        // The first copy is made while the run goes on, so that it stops for the rest only.
        self.copy(&from, address, server.entry.address, false).await?;
        let memory = self.copy(&from, address, server.entry.address, true).await?;
        let rest = tokio::time::timeout(MOVE_TIMEOUT, self.drain()).await;
        if rest.is_err() {
            self.record.send_ended("the moved run's stream did not end");
        }
        self.source = None;
        self.pending = self.splitter.take_whole().map(|events| {
            self.last_event = events.last_id.or(self.last_event);
            events.bytes
        });
        self.record.send_ended("moved");
        self.record.sent(&choice);
        self.tried.record_send(choice.server.clone());
        let last_event = self.last_event;
        let at = From { last_event, memory: Some(&memory) };
        let wait = self.job.left();
        match send(&self.cx, &self.job, &choice, &server, wait, at).await {
            Sent::Answer(reply) if reply.rsp.status().is_success() => {
                self.splitter = EventSplitter::after(last_event);
                self.source = Some((reply.rsp.into_body(), reply.run));
                Ok(())
            }
            Sent::Answer(reply) => Err(format!("status {}", reply.rsp.status().as_u16())),
            Sent::NotRun | Sent::Misdirected => Err("the other engine did not take it".to_owned()),
            Sent::NotSent(why) | Sent::Unknown(why) => Err(why),
        }
    }

    fn check_key(&self) -> Result<(), String> {
        check_again(&self.cx, &self.job).map_err(|_| "the key no longer counts".to_owned())
    }

    async fn copy(
        &self,
        from: &BackendServerName,
        source: SocketAddr,
        target: SocketAddr,
        is_last: bool,
    ) -> Result<MovedMemory, String> {
        let attempt = self.job.head.attempt.as_ref().ok_or("the request has no identifier")?;
        let req = engine::move_call(source, attempt, target, is_last)
            .map_err(|error| error.to_string())?;
        let call = async {
            let mut link = self.cx.links.take(from, source, MOVE_TIMEOUT).await?;
            let (parts, body) = link.send(req).await?.into_parts();
            let body =
                body.collect().await.map_err(|error| LinkError::Broken(error.to_string()))?;
            self.cx.keep_link(&self.job.service, from, link);
            Ok((parts.status, body.to_bytes()))
        };
        let answer: Result<_, LinkError> = tokio::time::timeout(MOVE_TIMEOUT, call)
            .await
            .map_err(|_| "no answer in time".to_owned())?;
        let (status, body) = answer.map_err(|error| match error {
            LinkError::NotSent(why) | LinkError::Broken(why) => why,
        })?;
        engine::read_moved(source, status, &body)
    }

    /// Reads what a stopped run still sent; whole events go to the caller next.
    async fn drain(&mut self) {
        while let Some((body, _)) = &mut self.source {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                // The stream of a stopped run ends without its proper end.
                Some(Err(_)) | None => return,
            }
        }
    }

    /// Returns how long the next events may take.
    fn gap(&self) -> Duration {
        let left = self.job.left();
        if self.may_resume() { left.min(self.job.route.gap_target * SILENT_GAPS) } else { left }
    }

    /// Reads until there are whole events.
    async fn read(&mut self) -> Result<Bytes, Stop> {
        let Some((body, _)) = &mut self.source else { return Err(Stop::Ended) };
        loop {
            if let Some(events) = self.splitter.take_whole() {
                self.last_event = events.last_id.or(self.last_event);
                return Ok(events.bytes);
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Some(Err(error)) => return Err(Stop::Broken(error.to_string())),
                None => return Err(Stop::Ended),
            }
        }
    }

    fn finish(&mut self) {
        self.is_finished = true;
        if let Some((_, run)) = self.source.take() {
            run.finish(Verdict::Success);
        }
        self.record.ended("answered", 200);
    }

    fn fail(&mut self) {
        if let Some((body, run)) = self.source.take() {
            drop(body);
            run.fail();
        }
    }

    fn may_resume(&self) -> bool {
        self.job.route.request_kind == RequestKind::ResumableStream
            && self.tried.attempts() < self.job.route.max_attempts
    }

    /// Goes on at another backend server after the last event that was passed on.
    async fn resume(&mut self) -> Result<(), String> {
        while self.may_resume() && self.tried.has_misses_left() && !self.job.left().is_zero() {
            self.check_key()?;
            let demand = &self.job.head.demand;
            let Some((choice, server)) = self.cx.choose(&self.job.service, demand, &self.tried)
            else {
                return Err("no other backend server can go on".to_owned());
            };
            if self.tried.needs_retry_budget() && !self.cx.take_repeat(&self.job.service.name) {
                return Err("the retry budget is used up".to_owned());
            }
            self.cx.metrics.add(Counter::Retried, self.job.service.name.as_str(), 1);
            self.record.sent(&choice);
            self.tried.record_send(choice.server.clone());
            let wait = self.job.left();
            let sent = {
                let at = From { last_event: self.last_event, memory: None };
                send(&self.cx, &self.job, &choice, &server, wait, at).await
            };
            self.tried.record_result(&server.entry, sent.reach());
            match sent {
                Sent::Answer(reply) if reply.rsp.status().is_success() => {
                    self.splitter = EventSplitter::after(self.last_event);
                    self.source = Some((reply.rsp.into_body(), reply.run));
                    return Ok(());
                }
                Sent::Answer(reply) => {
                    self.record.send_ended(&format!("status {}", reply.rsp.status().as_u16()));
                    reply.run.finish_unread();
                }
                Sent::NotRun => self.record.send_ended("not run"),
                Sent::Misdirected => self.record.send_ended("misdirected"),
                Sent::NotSent(why) | Sent::Unknown(why) => self.record.send_ended(&why),
            }
        }
        Err("the stream may not go on".to_owned())
    }
}
