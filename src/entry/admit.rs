//! Asking for a slot: at most two backend servers for each attempt.

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
use crate::metrics::Timing;
use crate::names::BackendServerName;
use crate::outcome::RefusalCode;

/// Rounds of asking while home instances move or can't be reached.
const MAX_ADMISSION_ROUNDS: u32 = 5;
/// How long a broken answer waits for a server that is known to go on with it: a home instance asks
/// an engine each half second, and its beats pass on what it learned each second.
const RESUME_SERVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a repeat has a chance when no backend server takes work.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest deadline; a deadline of zero would mean that there is none.
const MIN_DEADLINE: Duration = Duration::from_millis(1);

/// What an attempt needs of admission.
#[derive(Debug, Clone, Default)]
pub struct AdmissionCriteria {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Backend servers not to ask, such as ones that failed this request.
    pub excluded: BTreeSet<BackendServerName>,
    /// Hash of the leading part of the prompt; equal for requests that share a prefix.
    pub prefix_hash: u64,
    /// Whether the backend server must be able to go on after a part of an answer.
    pub needs_resume: bool,
}

/// Why no slot was given.
#[derive(Debug, Clone)]
pub struct SlotDenied {
    /// What the caller is told.
    pub error: RequestError,
    /// Time after which a repeat has a chance.
    pub retry_after: Option<Duration>,
}

/// Waits for a slot on one of the candidates.
///
/// # Errors
/// Says why there is none.
pub async fn admit(
    entry: &Entry,
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
) -> Result<(Permit, BackendServer), SlotDenied> {
    let started = Instant::now();
    let mut round = 0;
    loop {
        match try_candidates(entry, info, criteria).await {
            Ok((permit, server)) => {
                let class = info.class.name.as_str();
                entry.cx.metrics.time(Timing::QueueWait, class, started.elapsed());
                let about = info.about(Some(&server.name));
                let detail = format!("attempt {}", criteria.attempt);
                entry.cx.recorder.record_about(EventKind::Admit, about, detail);
                return Ok((permit, server));
            }
            Err(error) if is_transient(&error) && round + 1 < MAX_ADMISSION_ROUNDS => {
                sleep(backoff(round)).await;
                round += 1;
            }
            Err(error)
                if awaits_resume_server(criteria, &error)
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

/// Returns whether a server that can go on with a broken answer may become known soon.
fn awaits_resume_server(criteria: &AdmissionCriteria, error: &AdmitError) -> bool {
    criteria.needs_resume && matches!(error, AdmitError::Out | AdmitError::Ejected)
}

/// Waits until new loads are known, but not longer than a bound.
async fn wait_for_load_update(cx: &Context, max_wait: Duration) {
    let mut loads = cx.loads.clone();
    loads.mark_unchanged();
    // A passed bound is found by the caller's own clock.
    let _ = timeout(max_wait, loads.changed()).await;
}

/// Asks the candidates in order; the first one again if it was passed over for its wait only.
async fn try_candidates(
    entry: &Entry,
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
) -> Result<(Permit, BackendServer), AdmitError> {
    let candidates = pick::candidates(&entry.cx, info, criteria);
    let mut over_wait_bound = None;
    let mut last = AdmitError::Out;
    for (server, wait_bound) in &candidates {
        match entry.admitter.admit(slot_request(info, criteria, server, *wait_bound)).await {
            Ok(permit) => return Ok((permit, server.clone())),
            Err(AdmitError::WaitAboveBound(_)) => over_wait_bound = Some(server),
            Err(error) => last = more_specific(last, error),
        }
    }
    match over_wait_bound {
        Some(server) => {
            let permit = entry.admitter.admit(slot_request(info, criteria, server, None)).await?;
            Ok((permit, server.clone()))
        }
        None => Err(last),
    }
}

fn slot_request(
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
    server: &BackendServer,
    wait_bound: Option<Duration>,
) -> SlotRequest {
    // A later attempt is late already or goes on with an answer that began: it gets a new term.
    let left = if criteria.attempt == 0 { info.time_left() } else { info.class.first_token() };
    SlotRequest {
        request: info.id.clone(),
        server: server.name.clone(),
        organisation: info.caller.organisation.clone(),
        class: info.class.name.clone(),
        prompt_tokens: criteria.prompt_tokens,
        estimated_tokens: criteria.estimated_tokens,
        deadline: Some(left.max(MIN_DEADLINE)),
        wait_bound,
        repeatable: info.repeatable,
        attempt: criteria.attempt,
    }
}

/// Returns the error that tells more: one by the queue of a working home instance.
fn more_specific(known: AdmitError, new: AdmitError) -> AdmitError {
    match new {
        AdmitError::Out | AdmitError::Ejected if known != AdmitError::Out => known,
        new => new,
    }
}

/// Returns whether asking again soon may find another home instance.
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
