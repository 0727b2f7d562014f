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

use super::links::{Connection, ConnectionError};
use super::shared::InstanceState;
use crate::names::{BackendServerName, OrganisationName};
use crate::platform::engine::MovedMemory;
use crate::platform::headers::{self, ReplyKind, RequestHead, SendHead};
use crate::routing::catalog::{Organisation, Repeat, Route, Service};
use crate::routing::choose::Choice;
use crate::routing::fleet::Server;
use crate::routing::load::Verdict;
use crate::routing::tried::Reach;

/// Age up to which an idle connection carries a request that may run only once.
///
/// A backend server may drop idle connections unannounced, and a reset tells nothing.
const MAX_IDLE_AGE_ONCE: Duration = Duration::from_millis(1_500);
/// Age up to which an idle connection carries a request that may be repeated.
const MAX_IDLE_AGE_RETRYABLE: Duration = Duration::from_secs(3_600);

/// A request that was read whole and may be served.
pub struct AdmittedRequest {
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
    pub uri: Uri,
    /// Headers that go on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head was read.
    pub received_at: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// Whether it was counted as run.
    pub usage_counted: Cell<bool>,
}

impl AdmittedRequest {
    /// Returns its rank: the organisation's goes before the route's.
    pub fn tier(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|organisation| organisation.tier);
        own.unwrap_or(self.route.tier)
    }

    /// Returns the time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.as_ref().map(|organisation| &organisation.name)
    }
}

/// How a send ended.
pub enum SendOutcome {
    /// The answer has begun.
    Response(Box<BackendResponse>),
    /// The backend server did not run the request and will not.
    NotRun,
    /// Another server has the backend server's address; the request has not run.
    Misdirected,
    /// The request did not leave this instance.
    NotSent(String),
    /// The request may have run.
    Unknown(String),
}

impl SendOutcome {
    /// Returns how far the send came.
    pub fn reach(&self) -> Reach {
        match self {
            Self::Response(_) | Self::NotRun | Self::Unknown(_) => Reach::Arrived,
            Self::Misdirected => Reach::Misdirected,
            Self::NotSent(_) => Reach::Unsent,
        }
    }
}

/// An answer that has begun.
pub struct BackendResponse {
    /// Status, headers and the rest of the body.
    pub rsp: Response<Incoming>,
    /// The run that it belongs to.
    pub run: Run,
}

/// A request in flight at a backend server; dropping it stops the run.
pub struct Run {
    cx: Rc<InstanceState>,
    request: Rc<AdmittedRequest>,
    connection: Option<Connection>,
    prefill_tokens: Cell<u64>,
    /// The backend server.
    pub server: BackendServerName,
    /// Its address.
    pub address: SocketAddr,
}

impl Run {
    /// Notes that the backend server began to run the request.
    pub fn mark_started(&self) {
        self.end_prefill();
        if let Some(organisation) = self.request.organisation_name()
            && !self.request.usage_counted.replace(true)
        {
            self.cx.count_started_run(organisation);
        }
    }

    /// Ends the run after its whole answer was read, and keeps its connection.
    pub fn finish(mut self, verdict: Verdict) {
        self.cx.record_verdict(&self.request.service, &self.server, verdict);
        if let Some(connection) = self.connection.take() {
            self.cx.release_connection(&self.request.service, &self.server, connection);
        }
    }

    /// Ends the run after a failure was told in the head of the answer, whose body is not read.
    pub fn finish_without_body(mut self) {
        self.connection = None;
        self.finish(Verdict::Failed);
    }

    /// Ends the run after its connection broke or went silent.
    pub fn fail(self) {
        self.cx.record_verdict(&self.request.service, &self.server, Verdict::Broken);
    }

    fn end_prefill(&self) {
        let prefill_tokens = self.prefill_tokens.take();
        self.cx.loads.borrow_mut().of(&self.server).end_reading(prefill_tokens);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end_prefill();
        self.cx.loads.borrow_mut().of(&self.server).end();
    }
}

/// Where in its answer a request begins.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResumePoint<'a> {
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Memory of the run so far, if it was moved.
    pub kv_cache: Option<&'a MovedMemory>,
}

/// Sends a request to the chosen backend server and waits for the head of the answer.
///
/// `wait` bounds the wait for the head.
pub async fn send(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    choice: &Choice,
    server: &Server,
    wait: Duration,
    resume: ResumePoint<'_>,
) -> SendOutcome {
    let name = &server.entry.name;
    let max_age = match request.route.repeat {
        Repeat::Once | Repeat::Stream => MAX_IDLE_AGE_ONCE,
        Repeat::Idempotent | Repeat::ResumableStream => MAX_IDLE_AGE_RETRYABLE,
    };
    let mut connection = match cx.pool.acquire(name, server.entry.address, max_age).await {
        Ok(connection) => connection,
        Err(ConnectionError::NotSent(why) | ConnectionError::Broken(why)) => {
            cx.record_verdict(&request.service, name, Verdict::Broken);
            return SendOutcome::NotSent(why);
        }
    };
    let left = request.time_left();
    if left.is_zero() {
        return SendOutcome::NotSent("no time is left".to_owned());
    }
    let run = start_run(cx, request, choice, server.entry.address);
    cx.record_send(&request.service, server);
    let head = SendHead {
        server: name,
        organisation: request.organisation_name(),
        left,
        tier: request.tier(),
        last_event: resume.last_event,
        memory: resume.kv_cache,
    };
    let result = tokio::time::timeout(wait, connection.send(build_request(request, &head))).await;
    match result {
        Ok(Ok(rsp)) => handle_response_head(cx, request, rsp, connection, run),
        Ok(Err(ConnectionError::NotSent(why))) => {
            // A stale connection tells nothing bad of the backend server.
            cx.pool.close_idle(name);
            SendOutcome::NotSent(why)
        }
        Ok(Err(ConnectionError::Broken(why))) => {
            run.fail();
            SendOutcome::Unknown(why)
        }
        Err(_) => {
            run.fail();
            SendOutcome::Unknown(format!("no answer within {} ms", wait.as_millis()))
        }
    }
}

fn start_run(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    choice: &Choice,
    address: SocketAddr,
) -> Run {
    let parts = request.head.demand.shared().iter().map(|part| part.id);
    cx.loads.borrow_mut().of(&choice.server).begin(Instant::now(), choice.reading, parts);
    Run {
        cx: cx.clone(),
        request: request.clone(),
        connection: None,
        prefill_tokens: Cell::new(choice.reading),
        server: choice.server.clone(),
        address,
    }
}

fn build_request(request: &AdmittedRequest, head: &SendHead<'_>) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    headers::write_send(req.headers_mut(), head);
    req
}

fn handle_response_head(
    cx: &Rc<InstanceState>,
    request: &AdmittedRequest,
    rsp: Response<Incoming>,
    connection: Connection,
    mut run: Run,
) -> SendOutcome {
    if let Some(load) = headers::read_load(rsp.headers()) {
        cx.loads.borrow_mut().of(&run.server).note_told(Instant::now(), load);
    }
    match headers::classify(&rsp, request.head.attempt.as_ref()) {
        ReplyKind::Answer => {
            run.connection = Some(connection);
            SendOutcome::Response(Box::new(BackendResponse { rsp, run }))
        }
        ReplyKind::NotRun => SendOutcome::NotRun,
        ReplyKind::Misdirected => {
            tracing::warn!(server = %run.server, "another server has the address of this one");
            cx.loads.borrow_mut().of(&run.server).eject(Instant::now());
            cx.pool.close_idle(&run.server);
            SendOutcome::Misdirected
        }
        ReplyKind::Foreign => {
            run.fail();
            SendOutcome::Unknown("the answer does not belong to the request".to_owned())
        }
        ReplyKind::Failure => {
            run.finish(Verdict::Failed);
            SendOutcome::Unknown(format!(
                "status {} without proof that it has not run",
                rsp.status()
            ))
        }
    }
}
