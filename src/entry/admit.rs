//! Admission: requests a slot from the home instances of at most two backend servers per attempt.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Entry;
use super::auth::RequestError;
use super::pick;
use super::retry::backoff;
use super::work::RequestInfo;
use crate::config::BackendServer;
use crate::context::Context;
use crate::event::EventKind;
use crate::home::client::{AdmitError, Permit, SlotRequest};
use crate::metrics::DurationMetric;
use crate::names::BackendServerName;
use crate::outcome::RefusalCode;

/// Maximum rounds over the candidates while home instances are moving or unreachable.
const MAX_ADMISSION_ROUNDS: u32 = 5;
/// Maximum number of servers left out because their home instances do not let them take work.
const MAX_UNAVAILABLE_SERVERS: usize = 8;
/// Time to wait for a server that can resume an interrupted response.
///
/// Covers the delay until such a server is known: home instances poll the engines every 500 ms and
/// report the results to their peers once a second.
const RESUME_SERVER_TIMEOUT: Duration = Duration::from_secs(3);
/// `Retry-After` when no backend server accepts requests.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Minimum time left sent to a home instance; zero on the wire means no deadline.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

/// What one attempt requires of the backend server that it is admitted to.
#[derive(Debug, Clone, Default)]
pub struct AdmissionCriteria {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Expected number of output tokens.
    pub estimated_tokens: u64,
    /// Backend servers to avoid, such as those that failed this request.
    pub excluded: BTreeSet<BackendServerName>,
    /// Backend servers that take no work according to their home instances, whose configuration may
    /// be newer than that of this instance.
    pub unavailable: BTreeSet<BackendServerName>,
    /// Hash of the start of the prompt; requests that share a prefix have equal hashes.
    pub prefix_hash: u64,
    /// Whether the backend server must be able to resume a partial response.
    pub needs_resume: bool,
}

/// Why no slot was granted.
#[derive(Debug, Clone)]
pub struct SlotDenied {
    /// The error reported to the caller.
    pub error: RequestError,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

/// Waits for a slot on one of the candidates.
///
/// # Errors
/// If no candidate grants a slot.
pub async fn admit(
    entry: &Entry,
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
) -> Result<(Permit, BackendServer), SlotDenied> {
    let started = Instant::now();
    let mut criteria = criteria.clone();
    let mut round = 0;
    loop {
        match try_candidates(entry, info, &mut criteria).await {
            Ok((permit, server)) => {
                let class = info.class.name.as_str();
                entry.cx.metrics.record_duration(
                    DurationMetric::QueueWait,
                    class,
                    started.elapsed(),
                );
                let about = info.about(Some(&server.name));
                let detail = format!("attempt {}", criteria.attempt);
                entry.cx.recorder.record_for(EventKind::Admit, about, detail);
                return Ok((permit, server));
            }
            Err(AdmitError::Out | AdmitError::Ejected)
                if has_untried_server(&entry.cx, info, &criteria) => {}
            Err(error) if is_transient(&error) && round + 1 < MAX_ADMISSION_ROUNDS => {
                sleep(backoff(round)).await;
                round += 1;
            }
            Err(error)
                if awaits_resume_server(&criteria, &error)
                    && started.elapsed() < RESUME_SERVER_TIMEOUT =>
            {
                wait_for_load_update(
                    &entry.cx,
                    RESUME_SERVER_TIMEOUT.saturating_sub(started.elapsed()),
                )
                .await;
            }
            Err(error) => return Err(slot_denied(error)),
        }
    }
}

/// Returns whether a server is left whose home instance has not denied this request.
fn has_untried_server(cx: &Context, info: &RequestInfo, criteria: &AdmissionCriteria) -> bool {
    (1..=MAX_UNAVAILABLE_SERVERS).contains(&criteria.unavailable.len())
        && !pick::candidates(cx, info, criteria).is_empty()
}

/// Returns whether a server that can resume the partial response may become known soon.
fn awaits_resume_server(criteria: &AdmissionCriteria, error: &AdmitError) -> bool {
    criteria.needs_resume && matches!(error, AdmitError::Out | AdmitError::Ejected)
}

/// Waits for the next load update, up to `max_wait`.
async fn wait_for_load_update(cx: &Context, max_wait: Duration) {
    let mut loads = cx.loads.clone();
    loads.mark_unchanged();
    // On a timeout the caller compares the elapsed time with its own limit.
    let _ = timeout(max_wait, loads.changed()).await;
}

/// Requests a slot from each candidate in order.
///
/// If none grants one, a candidate that refused only because of its estimated wait is tried again
/// without a limit on the wait.
async fn try_candidates(
    entry: &Entry,
    info: &RequestInfo,
    criteria: &mut AdmissionCriteria,
) -> Result<(Permit, BackendServer), AdmitError> {
    let candidates = pick::candidates(&entry.cx, info, criteria);
    let mut over_wait_bound = None;
    let mut last = AdmitError::Out;
    for (server, wait_bound) in &candidates {
        match try_server(entry, info, criteria, server, *wait_bound).await {
            Ok(permit) => return Ok((permit, server.clone())),
            Err(AdmitError::WaitAboveBound(_)) => over_wait_bound = Some(server),
            Err(error) => last = more_specific(last, error),
        }
    }
    match over_wait_bound {
        Some(server) => {
            let permit = try_server(entry, info, criteria, server, None).await?;
            Ok((permit, server.clone()))
        }
        None => Err(last),
    }
}

/// Requests a slot on one server; adds it to the unavailable ones if it takes no work.
async fn try_server(
    entry: &Entry,
    info: &RequestInfo,
    criteria: &mut AdmissionCriteria,
    server: &BackendServer,
    wait_bound: Option<Duration>,
) -> Result<Permit, AdmitError> {
    let admitted =
        entry.admission_client.admit(slot_request(info, criteria, server, wait_bound)).await;
    if matches!(admitted, Err(AdmitError::Out | AdmitError::Ejected)) {
        criteria.unavailable.insert(server.name.clone());
    }
    admitted
}

fn slot_request(
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
    server: &BackendServer,
    wait_bound: Option<Duration>,
) -> SlotRequest {
    // A later attempt has missed the original deadline or resumes a response that has started, so
    // it gets the full time again.
    let time_left =
        if criteria.attempt == 0 { info.time_left() } else { info.class.first_token_target() };
    SlotRequest {
        request: info.id.clone(),
        server: server.name.clone(),
        organisation: info.caller.organisation.clone(),
        class: info.class.name.clone(),
        prompt_tokens: criteria.prompt_tokens,
        estimated_tokens: criteria.estimated_tokens,
        time_left: Some(time_left.max(MIN_TIME_LEFT)),
        wait_bound,
        repeatable: info.repeatable,
        attempt: criteria.attempt,
    }
}

/// Returns the more informative error: one that only says that the backend server is
/// unavailable does not replace another.
fn more_specific(known: AdmitError, new: AdmitError) -> AdmitError {
    match new {
        AdmitError::Out | AdmitError::Ejected if known != AdmitError::Out => known,
        new => new,
    }
}

/// Returns whether a retry may reach another home instance soon.
fn is_transient(error: &AdmitError) -> bool {
    matches!(error, AdmitError::NotHome | AdmitError::Draining | AdmitError::Unreachable)
}

fn slot_denied(error: AdmitError) -> SlotDenied {
    use RefusalCode as Code;
    let (code, message, retry_after) = match error {
        AdmitError::QueueFull(delay) => (Code::QueueFull, "the queue is full", Some(delay)),
        AdmitError::Shed(delay) => {
            (Code::Shed, "a request of a higher tier took the place", Some(delay))
        }
        AdmitError::TooLate(delay) | AdmitError::WaitAboveBound(delay) => {
            (Code::TooLate, "the latency target can't be met", Some(delay))
        }
        AdmitError::OrganisationLimit(delay) => {
            (Code::OrganisationLimit, "the organisation is over its limit", Some(delay))
        }
        AdmitError::Out | AdmitError::Ejected => {
            (Code::NoBackendServer, "no backend server takes work", Some(NO_SERVER_RETRY_AFTER))
        }
        AdmitError::NotHome | AdmitError::Draining | AdmitError::Unreachable => {
            (Code::NoBackendServer, "the queue can't be reached", Some(NO_SERVER_RETRY_AFTER))
        }
    };
    SlotDenied { error: RequestError::new(code, message), retry_after }
}
