//! Request handling: admission, attempts with retries, and the response.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};

use super::attempt::{AdmittedRequest, BackendResponse, ResumePoint, SendOutcome, send};
use super::body::{Refusal, ResponseBody, full_body};
use super::evidence::PartsCheck;
use super::record::RequestRecord;
use super::relay;
use super::shared::InstanceState;
use crate::metrics::Counter;
use crate::names::SoftwareVersion;
use crate::platform::headers;
use crate::routing::catalog::{Catalog, Organisation, RequestKind, Route, Service};
use crate::routing::load::Verdict;
use crate::routing::tried::SendHistory;

/// Timeout of a request that states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time that a request waits for the first configuration; an instance that starts beside
/// others has it earlier.
const MAX_START_WAIT: Duration = Duration::from_millis(500);
/// Fraction of the caller's timeout that a request waits at most for the first configuration, or for
/// the memory for its body; the rest is left for the request or another attempt of the caller.
const START_WAIT_FRACTION: f64 = 0.4;
/// Maximum size of a non-streaming response, which is buffered before it is forwarded.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
/// Minimum timeout of an attempt that can be retried, as a multiple of the route's latency target.
const MIN_ATTEMPT_TIMEOUT_TARGETS: u32 = 3;
/// `Retry-After` of a request that was not executed, unless a more specific value applies.
const RETRY_AFTER_NOT_RUN_S: f64 = 0.5;
/// Response to a request that was not executed: not accepted by any backend server, or not sent.
const REFUSED_NOT_RUN: Refusal = Refusal::NotRun { retry_after_s: RETRY_AFTER_NOT_RUN_S };
/// Response to a request whose key can't be verified.
const REFUSED_KEYS_UNVERIFIED: Refusal =
    Refusal::NotRun { retry_after_s: RETRY_AFTER_KEYS_UNVERIFIED_S };
/// `Retry-After` of an instance that shuts down; other instances accept the request at once.
const RETRY_AFTER_SHUTDOWN_S: f64 = 0.05;
/// `Retry-After` of an instance whose configuration is stale; it usually refreshes within this
/// time.
const RETRY_AFTER_KEYS_UNVERIFIED_S: f64 = 0.3;

/// Handles a request; dropping the future cancels the run.
pub async fn handle(cx: Rc<InstanceState>, req: Request<Incoming>) -> Response<ResponseBody> {
    let received_at = Instant::now();
    let head = headers::parse_request_headers(req.headers());
    let id = head.attempt.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("none").to_owned();
    let record = RequestRecord::new(cx.clone(), received_at, id);
    let request = match admit(&cx, req, head, received_at, &record).await {
        Ok(request) => Rc::new(request),
        Err(refusal) => return refuse(&record, refusal),
    };
    let served = tokio::select! {
        served = serve(&cx, &request, &record) => served,
        () = cx.wait_for_last_responses() => {
            record.set_reason("the instance exits before there is a response");
            let is_late = request.time_left().is_zero();
            Err(if is_late { Refusal::TimedOut } else { Refusal::AnswerLost })
        }
    };
    served.unwrap_or_else(|refusal| refuse(&record, refusal))
}

fn refuse(record: &RequestRecord, refusal: Refusal) -> Response<ResponseBody> {
    record.set_outcome(format!("{refusal:?}"), refusal.status().as_u16());
    refusal.into_response()
}

/// Reads a request, authenticates it and resolves its route and service.
async fn admit(
    cx: &Rc<InstanceState>,
    req: Request<Incoming>,
    mut head: headers::RequestHead,
    received_at: Instant,
    record: &RequestRecord,
) -> Result<AdmittedRequest, Refusal> {
    wait_until_routable(cx, head.timeout.unwrap_or(DEFAULT_TIMEOUT)).await;
    let catalog = cx.catalog();
    if catalog.version == 0 {
        record.set_reason("no configuration was received yet");
        return Err(REFUSED_NOT_RUN);
    }
    let route = find_route(&catalog, &req).ok_or(Refusal::NoRoute)?;
    record.set_route(&route.name, route.latency_target);
    let organisation = authenticate(cx, &catalog, &route, head.api_key.as_deref(), record)?;
    if let Some(organisation) = &organisation {
        record.set_organisation(&organisation.name);
    }
    let (parts, body) = req.into_parts();
    let max_wait = head.timeout.unwrap_or(DEFAULT_TIMEOUT).mul_f64(START_WAIT_FRACTION);
    let body = cx.bodies.read(body, catalog.limits.max_body, max_wait, REFUSED_NOT_RUN).await;
    let body = body.inspect_err(|refusal| {
        if *refusal == REFUSED_NOT_RUN {
            record.set_reason("there was no memory for the request's body in time");
        }
    })?;
    head.demand.body_bytes = body.bytes.len();
    let service = route.pick_service(rand::random()).and_then(|name| catalog.service(name));
    let Some(service) = service.cloned() else {
        record.set_reason("the configuration defines no service for the route");
        return Err(REFUSED_NOT_RUN);
    };
    let (service, version) = if head.is_resumption && route.request_kind.is_stream() {
        find_origin(cx, &catalog, &route, service, &head, record).await?
    } else {
        (service, None)
    };
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = received_at + timeout;
    if !cx.admits(deadline) {
        record.set_reason("the instance shuts down before the request's deadline");
        return Err(Refusal::NotRun { retry_after_s: RETRY_AFTER_SHUTDOWN_S });
    }
    let urgency = catalog.urgency(&route, organisation.as_deref());
    record.set_urgency(urgency);
    cx.record_request(&service, &head.demand, urgency);
    Ok(AdmittedRequest {
        service,
        organisation,
        urgency,
        method: parts.method,
        uri: parts.uri,
        headers: headers::forwardable_headers(&parts.headers),
        body,
        received_at,
        deadline,
        usage_counted: false.into(),
        version: version.map_or_else(OnceCell::new, OnceCell::from),
        head,
        route,
    })
}

/// Returns the service at which a stream that the caller takes up goes on, and the software version that it
/// needs: those that began it. If the route no longer leads to that service, `service` goes on with it.
///
/// # Errors
/// If it isn't known what began the stream.
async fn find_origin(
    cx: &InstanceState,
    catalog: &Catalog,
    route: &Route,
    service: Arc<Service>,
    head: &headers::RequestHead,
    record: &RequestRecord,
) -> Result<(Arc<Service>, Option<SoftwareVersion>), Refusal> {
    let began_by = head.resumed_attempt.as_ref();
    let (origin, known_by) = cx.origins.find(cx, route, &service.name, began_by).await;
    record.stream_taken_up(began_by, origin.as_ref(), known_by);
    let Some(origin) = origin else {
        record.set_reason("it isn't known which software version began the stream");
        return Err(REFUSED_NOT_RUN);
    };
    match catalog.service(&origin.service) {
        Some(first) if route.leads_to(&first.name) => Ok((first.clone(), Some(origin.version))),
        _ => Ok((service, None)),
    }
}

/// Waits for the state that routing needs after the start of the process, so that a request which
/// arrives a moment earlier is not refused.
async fn wait_until_routable(cx: &InstanceState, timeout: Duration) {
    if cx.can_route() {
        return;
    }
    let mut changes = cx.changes.subscribe();
    let received = async { while !cx.can_route() && changes.changed().await.is_ok() {} };
    let wait = MAX_START_WAIT.min(timeout.mul_f64(START_WAIT_FRACTION));
    let _ = tokio::time::timeout(wait, received).await;
}

fn find_route(catalog: &Catalog, req: &Request<Incoming>) -> Option<Arc<Route>> {
    let host = req.headers().get("host").and_then(|host| host.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    catalog.route(host, req.uri().path()).cloned()
}

/// Returns the organisation of a key; keys are accepted only while the configuration is proven to
/// be current.
fn authenticate(
    cx: &InstanceState,
    catalog: &Catalog,
    route: &Route,
    key: Option<&str>,
    record: &RequestRecord,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if route.is_public || !catalog.needs_keys() {
        return Ok(None);
    }
    if !cx.can_verify_keys() {
        record.set_reason("the configuration is too old to verify keys");
        return Err(REFUSED_KEYS_UNVERIFIED);
    }
    let organisation = key.and_then(|key| catalog.organisation(key));
    organisation.cloned().map(Some).ok_or(Refusal::UnknownKey)
}

/// Sends a request, with retries, until there is a response or no further attempt is allowed.
async fn serve(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    record: &Rc<RequestRecord>,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        if let Err(refusal) = recheck_key(cx, request) {
            let why = "the key was withdrawn or can't be verified any more";
            return Err(attempts.final_refusal(request, record, why, refusal));
        }
        check_prompt_parts(cx, request, record, &attempts)?;
        let Some((choice, server)) = cx.choose(request, &attempts.history) else {
            let why = "no backend server is available";
            let refusal = refuse_for_lack_of_servers(cx, request);
            return Err(attempts.final_refusal(request, record, why, refusal));
        };
        if attempts.history.needs_retry_budget() && !cx.take_retry(&request.service.name) {
            let why = "the retry budget is exhausted";
            return Err(attempts.final_refusal(request, record, why, REFUSED_NOT_RUN));
        }
        record.send_started(&choice);
        attempts.history.record_send(choice.server.clone());
        let timeout = attempts.attempt_timeout(request);
        let resume = ResumePoint { last_event: request.head.last_event, ..ResumePoint::default() };
        let outcome = send(cx, request, &choice, &server, timeout, resume).await;
        attempts.history.record_result(&server.entry, outcome.send_result());
        match outcome {
            SendOutcome::Response(reply) => {
                match forward_response(cx, request, record, *reply, &attempts).await {
                    Ok(rsp) => return Ok(rsp),
                    Err(why) => {
                        record.send_ended(&why);
                        attempts.may_have_run = true;
                    }
                }
            }
            SendOutcome::NotRun => record.send_ended("not run"),
            SendOutcome::Misdirected => record.send_ended("misdirected"),
            SendOutcome::NotSent(why) => record.send_ended(&why),
            SendOutcome::Unknown(why) => {
                record.send_ended(&why);
                attempts.may_have_run = true;
            }
        }
        if !attempts.may_retry(request) {
            return Err(attempts.final_refusal(
                request,
                record,
                "no further attempt is allowed",
                REFUSED_NOT_RUN,
            ));
        }
        cx.metrics.add(Counter::Retried, request.service.name.as_str(), 1);
    }
}

/// Checks whether the parts of a request's prompt allow another send.
///
/// # Errors
/// If a part crashes backend servers, or may be what has just crashed one.
fn check_prompt_parts(
    cx: &InstanceState,
    request: &AdmittedRequest,
    record: &RequestRecord,
    attempts: &Attempts,
) -> Result<(), Refusal> {
    match cx.evidence.check(cx, request) {
        PartsCheck::Refused(retry_after) => {
            cx.metrics.add(Counter::Quarantined, request.route.name.as_str(), 1);
            let refusal = Refusal::NotRun { retry_after_s: retry_after.as_secs_f64() };
            let why = "a part of the prompt crashes backend servers";
            Err(attempts.final_refusal(request, record, why, refusal))
        }
        PartsCheck::NoRetry if attempts.may_have_run => {
            let why = "a part of the prompt may have crashed the backend server";
            Err(attempts.final_refusal(request, record, why, REFUSED_NOT_RUN))
        }
        PartsCheck::Passed | PartsCheck::NoRetry => Ok(()),
    }
}

/// Returns the response to a request for which there is no backend server. If all of them want no
/// requests for a while, the caller may come back after the shortest of these times.
fn refuse_for_lack_of_servers(cx: &InstanceState, request: &AdmittedRequest) -> Refusal {
    let pause = cx.fleet.borrow().shortest_pause(Instant::now(), &request.service.name);
    let pause_s = pause.map_or(RETRY_AFTER_NOT_RUN_S, |pause| pause.as_secs_f64());
    Refusal::NotRun { retry_after_s: pause_s.max(RETRY_AFTER_NOT_RUN_S) }
}

/// Checks the key of an admitted request again, as the configuration may have changed since.
///
/// # Errors
/// If the key was withdrawn or can't be verified.
pub fn recheck_key(cx: &InstanceState, request: &AdmittedRequest) -> Result<(), Refusal> {
    if request.organisation.is_none() {
        return Ok(());
    }
    let catalog = cx.catalog();
    let is_valid =
        request.head.api_key.as_deref().is_some_and(|key| catalog.organisation(key).is_some());
    if !is_valid {
        return Err(Refusal::UnknownKey);
    }
    if !cx.can_verify_keys() {
        return Err(REFUSED_KEYS_UNVERIFIED);
    }
    Ok(())
}

/// Attempts of one request so far.
#[derive(Debug, Default)]
struct Attempts {
    history: SendHistory,
    /// Whether a backend server may have executed the request.
    may_have_run: bool,
}

impl Attempts {
    /// Returns the timeout of the next attempt. If another one may follow, it is a third of the
    /// remaining time, or `MIN_ATTEMPT_TIMEOUT_TARGETS` latency targets if that is longer.
    fn attempt_timeout(&self, request: &AdmittedRequest) -> Duration {
        let left = request.time_left();
        let is_retryable = request.route.request_kind.is_safe_to_retry();
        if is_retryable && self.history.attempts() + 1 < request.route.max_attempts {
            left.min((request.route.latency_target * MIN_ATTEMPT_TIMEOUT_TARGETS).max(left / 3))
        } else {
            left
        }
    }

    /// Returns whether another attempt is allowed.
    fn may_retry(&self, request: &AdmittedRequest) -> bool {
        let may_run_again = !self.may_have_run || request.route.request_kind.is_safe_to_retry();
        may_run_again
            && self.history.attempts() < request.route.max_attempts
            && self.history.is_below_miss_limit()
            && !request.time_left().is_zero()
    }

    /// Records `why` no further attempt is made, and returns the final response.
    ///
    /// `if_not_run` states that the request was not executed, so it is used only if that is
    /// certain.
    fn final_refusal(
        &self,
        request: &AdmittedRequest,
        record: &RequestRecord,
        why: &'static str,
        if_not_run: Refusal,
    ) -> Refusal {
        record.set_reason(why);
        if !self.may_have_run {
            if_not_run
        } else if request.time_left().is_zero() {
            Refusal::TimedOut
        } else {
            Refusal::AnswerLost
        }
    }
}

/// Forwards a backend server's response to the caller.
///
/// # Errors
/// Describes why the response can't be used; the request may have been executed.
async fn forward_response(
    cx: &Rc<InstanceState>,
    request: &Rc<AdmittedRequest>,
    record: &Rc<RequestRecord>,
    reply: BackendResponse,
    attempts: &Attempts,
) -> Result<Response<ResponseBody>, String> {
    if request.route.request_kind.is_stream() && reply.rsp.status().is_success() {
        return relay::start(cx, request, record, reply, attempts.history.clone()).await;
    }
    let BackendResponse { rsp, run } = reply;
    run.mark_started();
    let (mut parts, body) = rsp.into_parts();
    let read = tokio::time::timeout(request.time_left(), read_response(body)).await;
    let bytes = match read {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(why)) => {
            run.fail_disconnected().await;
            return Err(why);
        }
        Err(_) => {
            run.fail();
            return Err("response body incomplete at the deadline".to_owned());
        }
    };
    let failed = parts.status.is_server_error();
    run.finish(if failed { Verdict::Failed } else { Verdict::Success });
    if failed
        && request.route.request_kind == RequestKind::Idempotent
        && attempts.may_retry(request)
    {
        return Err(format!("status {}", parts.status.as_u16()));
    }
    headers::remove_hop_by_hop(&mut parts.headers);
    record.mark_first_output();
    record.set_outcome("answered", parts.status.as_u16());
    Ok(Response::from_parts(parts, full_body(bytes)))
}

/// Reads a response body completely.
async fn read_response(body: Incoming) -> Result<Bytes, String> {
    let limited = Limited::new(body, MAX_BUFFERED_RESPONSE_BYTES);
    let collected = limited.collect().await.map(|all| all.to_bytes());
    collected.map_err(|error| format!("reading the response body failed: {error}"))
}
