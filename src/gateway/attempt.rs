//! One send of a request to one backend server.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, Uri};

use super::links::{Link, LinkError};
use super::shared::Shared;
use crate::names::{BackendServerName, OrganisationName};
use crate::platform::engine::MovedMemory;
use crate::platform::headers::{self, ReplyKind, RequestHead, SendHead};
use crate::routing::catalog::{Organisation, RequestKind, Route, Service};
use crate::routing::choose::Choice;
use crate::routing::fleet::Server;
use crate::routing::load::Verdict;
use crate::routing::tried::SendResult;

/// Age up to which an idle connection carries a request that may run only once.
///
/// A backend server may drop idle connections unannounced, and a reset tells nothing.
const FRESH_ENOUGH: Duration = Duration::from_millis(1_500);
/// Age up to which an idle connection carries a request that may be repeated.
const ANY_AGE: Duration = Duration::from_secs(3_600);

/// A request that was read whole and may be served.
pub struct Job {
    /// What its headers say.
    pub head: RequestHead,
    /// Its route, as of when it was admitted.
    pub route: std::sync::Arc<Route>,
    /// Its service.
    pub service: std::sync::Arc<Service>,
    /// Organisation of the caller; none on public routes.
    pub organisation: Option<std::sync::Arc<Organisation>>,
    /// Its method.
    pub method: Method,
    /// Its target, as received.
    pub target: Uri,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub give_up_at: Instant,
    /// Whether it was counted as run.
    pub counted: Cell<bool>,
}

impl Job {
    /// Returns its rank: the organisation's goes before the route's.
    pub fn tier(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.tier);
        own.unwrap_or(self.route.tier)
    }

    /// Returns the time left.
    pub fn left(&self) -> Duration {
        self.give_up_at.saturating_duration_since(Instant::now())
    }

    fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.as_ref().map(|organisation| &organisation.name)
    }
}

/// How a send ended.
pub enum Sent {
    /// The answer has begun.
    Answer(Box<Reply>),
    /// The backend server did not run the request and will not.
    NotRun,
    /// Another server has the backend server's address; the request has not run.
    Misdirected,
    /// The request did not leave this instance.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

impl Sent {
    /// Returns how far the send came.
    pub fn reach(&self) -> SendResult {
        match self {
            Self::Answer(_) | Self::NotRun | Self::Unknown(_) => SendResult::Delivered,
            Self::Misdirected => SendResult::Misdirected,
            Self::NotSent(_) => SendResult::NotSent,
        }
    }
}

/// An answer that has begun.
pub struct Reply {
    /// Status, headers and the rest of the body.
    pub rsp: Response<Incoming>,
    /// The run that it belongs to.
    pub run: Run,
}

/// A request in flight at a backend server; dropping it stops the run.
pub struct Run {
    cx: Rc<Shared>,
    job: Rc<Job>,
    link: Option<Link>,
    reading: Cell<u64>,
    /// The backend server.
    pub server: BackendServerName,
    /// Its address.
    pub address: SocketAddr,
}

impl Run {
    /// Notes that the backend server began to run the request.
    pub fn began(&self) {
        self.end_reading();
        if let Some(organisation) = self.job.organisation_name()
            && !self.job.counted.replace(true)
        {
            self.cx.count_run(organisation);
        }
    }

    /// Ends the run after its whole answer was read, and keeps its connection.
    pub fn finish(mut self, verdict: Verdict) {
        self.cx.note_verdict(&self.job.service, &self.server, verdict);
        if let Some(link) = self.link.take() {
            self.cx.keep_link(&self.job.service, &self.server, link);
        }
    }

    /// Ends the run after a failure was told in the head of the answer, whose body is not read.
    pub fn finish_unread(mut self) {
        self.link = None;
        self.finish(Verdict::Failed);
    }

    /// Ends the run after its connection broke or went silent.
    pub fn fail(self) {
        self.cx.note_verdict(&self.job.service, &self.server, Verdict::TransportFailure);
    }

    fn end_reading(&self) {
        let reading = self.reading.take();
        self.cx.loads.borrow_mut().get_or_insert(&self.server).finish_prefill(reading);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end_reading();
        self.cx.loads.borrow_mut().get_or_insert(&self.server).finish_request();
    }
}

/// Where in its answer a request begins.
#[derive(Debug, Clone, Copy, Default)]
pub struct From<'a> {
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Memory of the run so far, if it was moved.
    pub memory: Option<&'a MovedMemory>,
}

/// Sends a request to the chosen backend server and waits for the head of the answer.
///
/// `wait` bounds the wait for the head.
pub async fn send(
    cx: &Rc<Shared>,
    job: &Rc<Job>,
    choice: &Choice,
    server: &Server,
    wait: Duration,
    from: From<'_>,
) -> Sent {
    let name = &server.entry.name;
    let max_age = match job.route.request_kind {
        RequestKind::Once | RequestKind::Stream => FRESH_ENOUGH,
        RequestKind::Idempotent | RequestKind::ResumableStream => ANY_AGE,
    };
    let mut link = match cx.links.take(name, server.entry.address, max_age).await {
        Ok(link) => link,
        Err(LinkError::NotSent(why) | LinkError::Broken(why)) => {
            cx.note_verdict(&job.service, name, Verdict::TransportFailure);
            return Sent::NotSent(why);
        }
    };
    let left = job.left();
    if left.is_zero() {
        return Sent::NotSent("no time is left".to_owned());
    }
    let run = begin(cx, job, choice, server.entry.address);
    cx.note_send(&job.service, server);
    let head = SendHead {
        server: name,
        organisation: job.organisation_name(),
        left,
        tier: job.tier(),
        last_event: from.last_event,
        memory: from.memory,
    };
    let answer = tokio::time::timeout(wait, link.send(build(job, &head))).await;
    match answer {
        Ok(Ok(rsp)) => take_head(cx, job, rsp, link, run),
        Ok(Err(LinkError::NotSent(why))) => {
            // A stale connection tells nothing bad of the backend server.
            cx.links.drop_idle(name);
            Sent::NotSent(why)
        }
        Ok(Err(LinkError::Broken(why))) => {
            run.fail();
            Sent::Unknown(why)
        }
        Err(_) => {
            run.fail();
            Sent::Unknown(format!("no answer within {} ms", wait.as_millis()))
        }
    }
}

fn begin(cx: &Rc<Shared>, job: &Rc<Job>, choice: &Choice, address: SocketAddr) -> Run {
    let parts = job.head.demand.shared_prefix().iter().map(|part| part.id);
    cx.loads.borrow_mut().get_or_insert(&choice.server).start_request(
        Instant::now(),
        choice.prefill_tokens,
        parts,
    );
    Run {
        cx: cx.clone(),
        job: job.clone(),
        link: None,
        reading: Cell::new(choice.prefill_tokens),
        server: choice.server.clone(),
        address,
    }
}

fn build(job: &Job, head: &SendHead<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.target.clone();
    *req.headers_mut() = job.headers.clone();
    headers::write_send(req.headers_mut(), head);
    req
}

fn take_head(
    cx: &Rc<Shared>,
    job: &Job,
    rsp: Response<Incoming>,
    link: Link,
    mut run: Run,
) -> Sent {
    if let Some(told) = headers::read_load(rsp.headers()) {
        cx.loads.borrow_mut().get_or_insert(&run.server).record_report(Instant::now(), told);
    }
    match headers::classify(&rsp, job.head.attempt.as_ref()) {
        ReplyKind::Answer => {
            run.link = Some(link);
            Sent::Answer(Box::new(Reply { rsp, run }))
        }
        ReplyKind::NotRun => Sent::NotRun,
        ReplyKind::Misdirected => {
            tracing::warn!(server = %run.server, "another server has the address of this one");
            cx.loads.borrow_mut().get_or_insert(&run.server).eject(Instant::now());
            cx.links.drop_idle(&run.server);
            Sent::Misdirected
        }
        ReplyKind::Foreign => {
            run.fail();
            Sent::Unknown("the answer does not belong to the request".to_owned())
        }
        ReplyKind::Failure => {
            run.finish(Verdict::Failed);
            Sent::Unknown(format!("status {} without proof that it has not run", rsp.status()))
        }
    }
}
