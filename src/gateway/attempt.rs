//! A single attempt to send a request to a backend server.

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, Uri};

use super::evidence;
use super::handle::recheck_key;
use super::links::{Connection, ConnectionError};
use super::shared::InstanceState;
use super::upload::Upload;
use crate::names::{BackendServerName, OrganisationName, SoftwareVersion};
use crate::platform::engine::MigratedKvCache;
use crate::platform::headers::{self, RequestHead, ResponseKind, SendHead};
use crate::routing::catalog::{Organisation, RequestKind, Route, Service};
use crate::routing::choose::Choice;
use crate::routing::fleet::Server;
use crate::routing::load::Verdict;
use crate::routing::notices::Notice;
use crate::routing::quarantine::ServerProcess;
use crate::routing::tried::SendResult;

/// Maximum idle time of a pooled connection that is reused for a non-retryable request.
///
/// A backend server may close an idle connection without notice, and a reset does not show whether
/// the request was executed.
const MAX_IDLE_AGE_NON_RETRYABLE: Duration = Duration::from_millis(1_500);
/// Maximum idle time of a pooled connection that is reused for a retryable request; in practice the
/// idle timeout of the connection is shorter.
const MAX_IDLE_AGE_RETRYABLE: Duration = Duration::from_secs(3_600);

/// Time after the first event of an answer in which a crash may be due to the prompt. A prompt that
/// crashes servers does so when they begin to answer; the time allows for two events and their delivery.
const ANSWER_BEGINNING: Duration = Duration::from_millis(500);

/// A request that was read completely and passed all admission checks.
pub struct AdmittedRequest {
    /// Parsed headers.
    pub head: RequestHead,
    /// Matched route, from the configuration in force at admission.
    pub route: std::sync::Arc<Route>,
    /// Service that executes the request.
    pub service: std::sync::Arc<Service>,
    /// Organisation of the caller; `None` if no key is needed.
    pub organisation: Option<std::sync::Arc<Organisation>>,
    /// Urgency that backend servers are told.
    pub urgency: u8,
    /// HTTP method.
    pub method: Method,
    /// Request URI, as received.
    pub uri: Uri,
    /// Headers to forward to the backend server.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Upload,
    /// When the request head was received.
    pub received_at: Instant,
    /// When the final response is due.
    pub deadline: Instant,
    /// Whether the request was already counted for usage reports.
    pub usage_counted: Cell<bool>,
    /// Software version that began the stream; `None` before its first event.
    pub version: OnceCell<SoftwareVersion>,
}

impl AdmittedRequest {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether a backend server with a software version may run the request, or go on with
    /// its stream.
    pub fn may_go_on_at(&self, version: &SoftwareVersion) -> bool {
        self.version.get().is_none_or(|began_by| began_by == version)
    }

    fn organisation_name(&self) -> Option<&OrganisationName> {
        self.organisation.as_ref().map(|organisation| &organisation.name)
    }
}

/// Result of one attempt.
pub enum SendOutcome {
    /// The head of the response was received.
    Response(Box<BackendResponse>),
    /// The backend server states that it did not execute the request.
    NotRun,
    /// A different server now listens on the address; the request was not executed.
    Misdirected,
    /// The request was not sent.
    NotSent(String),
    /// The request may have been executed, and no usable response was received.
    Unknown(String),
}

impl SendOutcome {
    /// Returns whether the request reached the intended backend server.
    pub fn send_result(&self) -> SendResult {
        match self {
            Self::Response(_) | Self::NotRun | Self::Unknown(_) => SendResult::Delivered,
            Self::Misdirected => SendResult::Misdirected,
            Self::NotSent(_) => SendResult::NotSent,
        }
    }
}

/// A response whose head was received.
pub struct BackendResponse {
    /// Status, headers and the unread body.
    pub rsp: Response<Incoming>,
    /// The run that produces the response.
    pub run: Run,
}

/// A request in flight at a backend server; dropping it closes the connection, which cancels the
/// run.
pub struct Run {
    cx: Rc<InstanceState>,
    request: Rc<AdmittedRequest>,
    connection: Option<Connection>,
    prefill_tokens: Cell<u64>,
    /// When the first events of the answer were received.
    answer_began_at: Cell<Option<Instant>>,
    /// Whether the answer has shown that the prompt doesn't crash the backend server.
    is_prompt_sound: Cell<bool>,
    /// Start of the process that the request was sent to, as registered.
    started_at_ms: Option<u64>,
    /// Version of the software of that process.
    version: SoftwareVersion,
    /// Backend server that executes the request.
    pub server: BackendServerName,
    /// Address that the request was sent to.
    pub address: SocketAddr,
}

impl Run {
    /// Records that the backend server has started to execute the request.
    pub fn mark_started(&self) {
        self.end_prefill();
        if let Some(organisation) = self.request.organisation_name()
            && !self.request.usage_counted.replace(true)
        {
            self.cx.count_started_run(organisation);
        }
    }

    /// Records that the first event of a stream was received, which can go on only at servers with the
    /// same software from now on.
    pub fn begin_stream(&self) {
        let version = self.request.version.get_or_init(|| self.version.clone());
        self.cx.origins.record_start(&self.cx, &self.request, version);
    }

    /// Records that events of the answer were received. The first ones don't show that the prompt is
    /// sound, as a server may crash just after it has begun to answer.
    pub fn record_events(&self) {
        let now = Instant::now();
        let began_at = self.answer_began_at.get().unwrap_or(now);
        self.answer_began_at.set(Some(began_at));
        if now.duration_since(began_at) >= ANSWER_BEGINNING {
            self.clear_prompt();
        }
    }

    fn clear_prompt(&self) {
        if !self.is_prompt_sound.replace(true) {
            self.cx.evidence.record_sound_answer(&self.request);
        }
    }

    /// Ends the run after the complete response was read and returns the connection to the pool.
    pub fn finish(mut self, verdict: Verdict) {
        if verdict == Verdict::Success {
            self.clear_prompt();
        }
        self.cx.record_verdict(&self.request.service, &self.server, verdict);
        if let Some(connection) = self.connection.take() {
            self.cx.release_connection(&self.request.service, &self.server, connection);
        }
    }

    /// Ends the run after an error status and closes the connection, as the body is not read.
    pub fn finish_without_body(mut self) {
        self.connection = None;
        self.finish(Verdict::Failed);
    }

    /// Ends the run after its response timed out or was malformed.
    pub fn fail(self) {
        self.cx.record_verdict(&self.request.service, &self.server, Verdict::TransportFailure);
    }

    /// Ends the run after its connection ended, and finds out whether the backend server crashed
    /// before it answered, or at the beginning of its answer. Returns whether it did.
    pub async fn fail_disconnected(self) -> bool {
        self.cx.record_verdict(&self.request.service, &self.server, Verdict::TransportFailure);
        let began_at = self.answer_began_at.get();
        let is_beginning = began_at.is_none_or(|began_at| began_at.elapsed() < ANSWER_BEGINNING);
        if self.is_prompt_sound.get() || !is_beginning {
            return false;
        }
        let process = ServerProcess::of(&self.server, self.started_at_ms);
        evidence::record_if_crashed(&self.cx, &self.request, &process, self.address).await
    }

    /// Records what the backend server says about itself in its response.
    fn record_notice(&self, notice: Notice) {
        let now = Instant::now();
        let mut fleet = self.cx.fleet.borrow_mut();
        if fleet.record_notice(now, &self.server, self.started_at_ms, notice) {
            tracing::info!(server = %self.server, "backend server says that it leaves");
            self.cx.pool.close_idle(&self.server);
        }
        if let Some(pause) = notice.pause {
            let pause_ms = pause.as_millis() as u64;
            tracing::info!(server = %self.server, pause_ms, "backend server wants no requests");
        }
    }

    fn end_prefill(&self) {
        let prefill_tokens = self.prefill_tokens.take();
        self.cx.loads.borrow_mut().get_or_insert(&self.server).finish_prefill(prefill_tokens);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end_prefill();
        self.cx.loads.borrow_mut().get_or_insert(&self.server).finish_request();
        self.cx.finish_run(&self.request);
    }
}

/// Position from which a backend server resumes a response.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResumePoint<'a> {
    /// Last event that the caller received.
    pub last_event: Option<u64>,
    /// KV cache of the run so far, if the run was migrated.
    pub kv_cache: Option<&'a MigratedKvCache>,
}

/// Sends a request to the chosen backend server and waits up to `timeout` for the response head.
pub async fn send(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    choice: &Choice,
    server: &Server,
    timeout: Duration,
    resume: ResumePoint<'_>,
) -> SendOutcome {
    let name = &server.entry.name;
    let max_idle_age = match request.route.request_kind {
        RequestKind::Once | RequestKind::Stream => MAX_IDLE_AGE_NON_RETRYABLE,
        RequestKind::Idempotent | RequestKind::ResumableStream => MAX_IDLE_AGE_RETRYABLE,
    };
    let mut connection = match cx.pool.acquire(name, server.entry.address, max_idle_age).await {
        Ok(connection) => connection,
        Err(ConnectionError::NotSent(why) | ConnectionError::NoResponse(why)) => {
            cx.record_verdict(&request.service, name, Verdict::TransportFailure);
            return SendOutcome::NotSent(why);
        }
    };
    let left = request.time_left();
    if left.is_zero() {
        return SendOutcome::NotSent("the deadline has passed".to_owned());
    }
    // Opening the connection takes time, and the process may have been paused meanwhile.
    if recheck_key(cx, request).is_err() {
        return SendOutcome::NotSent("the key can't be verified any more".to_owned());
    }
    if !cx.takes_requests(&server.entry) {
        return SendOutcome::NotSent("the backend server takes no more work".to_owned());
    }
    let head = SendHead {
        server: name,
        organisation: request.organisation_name(),
        time_left: left,
        urgency: request.urgency,
        last_event: resume.last_event,
        kv_cache: resume.kv_cache,
    };
    let req = match build_request(request, &head) {
        Ok(req) => req,
        Err(why) => return SendOutcome::NotSent(why),
    };
    let run = start_run(cx, request, choice, server);
    cx.record_send(&request.service, server);
    let result = tokio::time::timeout(timeout, connection.send(req)).await;
    match result {
        Ok(Ok(rsp)) => handle_response_head(cx, request, rsp, connection, run),
        Ok(Err(ConnectionError::NotSent(why))) => {
            // The pooled connection was stale, which is no fault of the backend server.
            cx.pool.close_idle(name);
            SendOutcome::NotSent(why)
        }
        Ok(Err(ConnectionError::NoResponse(why))) => {
            run.fail_disconnected().await;
            SendOutcome::Unknown(why)
        }
        Err(_) => {
            run.fail();
            SendOutcome::Unknown(format!("no response head within {} ms", timeout.as_millis()))
        }
    }
}

fn start_run(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    choice: &Choice,
    server: &Server,
) -> Run {
    let parts = request.head.demand.shared_prefix().iter().map(|part| part.id);
    cx.start_run(request);
    cx.loads.borrow_mut().get_or_insert(&choice.server).start_request(
        Instant::now(),
        choice.prefill_tokens,
        parts,
    );
    Run {
        cx: cx.clone(),
        request: request.clone(),
        connection: None,
        prefill_tokens: Cell::new(choice.prefill_tokens),
        answer_began_at: Cell::default(),
        is_prompt_sound: Cell::default(),
        started_at_ms: server.entry.started_at_ms,
        version: server.entry.version.clone(),
        server: choice.server.clone(),
        address: server.entry.address,
    }
}

fn build_request(
    request: &AdmittedRequest,
    head: &SendHead<'_>,
) -> Result<Request<Full<Bytes>>, String> {
    let mut req = Request::new(Full::new(request.body.bytes.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    headers::write_send_headers(req.headers_mut(), head)?;
    Ok(req)
}

fn handle_response_head(
    cx: &Rc<InstanceState>,
    request: &AdmittedRequest,
    rsp: Response<Incoming>,
    connection: Connection,
    mut run: Run,
) -> SendOutcome {
    let kind = headers::classify_response(&rsp, request.head.attempt.as_ref());
    if !matches!(kind, ResponseKind::Misdirected | ResponseKind::Invalid) {
        if let Some(load) = headers::parse_reported_load(rsp.headers()) {
            cx.loads.borrow_mut().get_or_insert(&run.server).record_report(Instant::now(), load);
        }
        run.record_notice(headers::parse_notice(&rsp));
    }
    match kind {
        ResponseKind::Valid => {
            run.connection = Some(connection);
            SendOutcome::Response(Box::new(BackendResponse { rsp, run }))
        }
        ResponseKind::NotRun => SendOutcome::NotRun,
        ResponseKind::Misdirected => {
            tracing::warn!(
                server = %run.server,
                "backend server's address now belongs to another server; ejecting it"
            );
            cx.loads.borrow_mut().get_or_insert(&run.server).eject(Instant::now());
            cx.pool.close_idle(&run.server);
            SendOutcome::Misdirected
        }
        ResponseKind::Invalid => {
            run.fail();
            SendOutcome::Unknown(
                "the response has a wrong or no attempt ID, no seal, a content encoding, or an \
                 impossible status"
                    .to_owned(),
            )
        }
        ResponseKind::AmbiguousFailure => {
            run.finish(Verdict::Failed);
            SendOutcome::Unknown(format!("status {} without a not-executed header", rsp.status()))
        }
    }
}
