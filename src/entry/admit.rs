//! Asking for a slot: at most two backend servers for each attempt.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::Entry;
use super::auth::Denial;
use super::pick;
use super::retry::backoff;
use super::work::Work;
use crate::config::BackendServer;
use crate::context::Context;
use crate::event::EventKind;
use crate::home::client::{AdmitError, Permit, SlotRequest};
use crate::metrics::Timing;
use crate::names::BackendServerName;
use crate::outcome::RefusalCode;

/// Rounds of asking while home instances move or can't be reached.
const MAX_ROUNDS: u32 = 5;
/// How long a broken answer waits for a server that is known to go on with it: a home instance asks
/// an engine each half second, and its beats pass on what it learned each second.
const RESUME_WAIT: Duration = Duration::from_secs(3);
/// Time after which a repeat has a chance when no backend server takes work.
const OUT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Shortest deadline; a deadline of zero would mean that there is none.
const SHORTEST_DEADLINE: Duration = Duration::from_millis(1);

/// What an attempt needs of admission.
#[derive(Debug, Clone, Default)]
pub struct Wish {
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Backend servers not to ask, such as ones that failed this request.
    pub avoid: BTreeSet<BackendServerName>,
    /// Hash of the leading part of the prompt; equal for requests that share a prefix.
    pub prefix: u64,
    /// Whether the backend server must be able to go on after a part of an answer.
    pub resume: bool,
}

/// Why no slot was given.
#[derive(Debug, Clone)]
pub struct NoSlot {
    /// What the caller is told.
    pub denial: Denial,
    /// Time after which a repeat has a chance.
    pub retry_after: Option<Duration>,
}

/// Waits for a slot on one of the candidates.
///
/// # Errors
/// Says why there is none.
pub async fn admit(
    entry: &Entry,
    work: &Work,
    wish: &Wish,
) -> Result<(Permit, BackendServer), NoSlot> {
    let started = Instant::now();
    let mut round = 0;
    loop {
        match ask_candidates(entry, work, wish).await {
            Ok((permit, server)) => {
                let class = work.class.name.as_str();
                entry.cx.metrics.time(Timing::QueueWait, class, started.elapsed());
                let about = work.about(Some(&server.name));
                let detail = format!("attempt {}", wish.attempt);
                entry.cx.recorder.record_about(EventKind::Admit, about, detail);
                return Ok((permit, server));
            }
            Err(error) if may_change(&error) && round + 1 < MAX_ROUNDS => {
                sleep(backoff(round)).await;
                round += 1;
            }
            Err(error) if may_resume_later(wish, &error) && started.elapsed() < RESUME_WAIT => {
                wait_for_loads(&entry.cx, RESUME_WAIT.saturating_sub(started.elapsed())).await;
            }
            Err(error) => return Err(no_slot(error)),
        }
    }
}

/// Returns whether a server that can go on with a broken answer may become known soon.
fn may_resume_later(wish: &Wish, error: &AdmitError) -> bool {
    wish.resume && matches!(error, AdmitError::Out | AdmitError::Ejected)
}

/// Waits until new loads are known, but not longer than a bound.
async fn wait_for_loads(cx: &Context, bound: Duration) {
    let mut loads = cx.loads.clone();
    loads.mark_unchanged();
    // A passed bound is found by the caller's own clock.
    let _ = timeout(bound, loads.changed()).await;
}

/// Asks the candidates in order; the first one again if it was passed over for its wait only.
async fn ask_candidates(
    entry: &Entry,
    work: &Work,
    wish: &Wish,
) -> Result<(Permit, BackendServer), AdmitError> {
    let candidates = pick::candidates(&entry.cx, work, wish);
    let mut passed_over = None;
    let mut last = AdmitError::Out;
    for (server, wait_bound) in &candidates {
        match entry.admitter.admit(ask(work, wish, server, *wait_bound)).await {
            Ok(permit) => return Ok((permit, server.clone())),
            Err(AdmitError::WaitAboveBound(_)) => passed_over = Some(server),
            Err(error) => last = worse(last, error),
        }
    }
    match passed_over {
        Some(server) => {
            let permit = entry.admitter.admit(ask(work, wish, server, None)).await?;
            Ok((permit, server.clone()))
        }
        None => Err(last),
    }
}

fn ask(
    work: &Work,
    wish: &Wish,
    server: &BackendServer,
    wait_bound: Option<Duration>,
) -> SlotRequest {
    // A later attempt is late already or goes on with an answer that began: it gets a new term.
    let left = if wish.attempt == 0 { work.time_left() } else { work.class.first_token() };
    SlotRequest {
        request: work.id.clone(),
        server: server.name.clone(),
        organisation: work.caller.organisation.clone(),
        class: work.class.name.clone(),
        prompt_tokens: wish.prompt_tokens,
        estimated_tokens: wish.estimated_tokens,
        deadline: Some(left.max(SHORTEST_DEADLINE)),
        wait_bound,
        repeatable: work.repeatable,
        attempt: wish.attempt,
    }
}

/// Returns the error that tells more: one by the queue of a working home instance.
fn worse(known: AdmitError, new: AdmitError) -> AdmitError {
    match new {
        AdmitError::Out | AdmitError::Ejected if known != AdmitError::Out => known,
        new => new,
    }
}

/// Returns whether asking again soon may find another home instance.
fn may_change(error: &AdmitError) -> bool {
    matches!(error, AdmitError::NotHome | AdmitError::Draining | AdmitError::Unreachable)
}

fn no_slot(error: AdmitError) -> NoSlot {
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
            (Code::NoBackendServer, "no backend server takes work", Some(OUT_RETRY_AFTER))
        }
        AdmitError::NotHome | AdmitError::Draining | AdmitError::Unreachable => {
            (Code::NoBackendServer, "the queue can't be reached", Some(OUT_RETRY_AFTER))
        }
    };
    NoSlot { denial: Denial::new(code, message), retry_after }
}
