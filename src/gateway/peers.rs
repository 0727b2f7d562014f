//! Passes the platform's state on between instances.
//!
//! An instance asks its source with what it knows; the source answers at once if it knows more or
//! the store turns it away, or when it has a newer proof, or else after a while. Counts of requests
//! travel the other way, those of instances that ask the asker included.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::body::{ResponseBody, full_body};
use super::listen;
use super::shared::InstanceState;
use super::state::{SYNCED_COLLECTIONS, apply_update};
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::names::{DataCentreName, InstanceName};
use crate::platform::{Collection, http};
use crate::routing::members::Member;
use crate::routing::mirror::Update;
use crate::routing::windows::{Tallies, Told};

/// Path that peers ask.
const PATH: &str = "/pull";
/// How long a source holds a question if it learns nothing; longer than the time between two
/// proofs of an instance that reads the store, whose news so pass through all ranks at once.
const MAX_HOLD: Duration = Duration::from_millis(1_000);
/// How long an instance that others ask lets its own question be held: it passes their counts on,
/// which must reach the store through three ranks before those of a window are fixed.
const MAX_HOLD_WITH_DOWNSTREAM: Duration = Duration::from_millis(300);
/// Time since the last question for which an instance expects further ones; they come about once
/// a second.
const DOWNSTREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a question is held at least if there is only a newer proof.
const MIN_HOLD: Duration = Duration::from_millis(200);
/// Time besides the hold in which a source must answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Largest question, in bytes: counts of a few windows.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Age of the own proof at which a source counts as failed and the store is read directly.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_900);
/// Pause between looks whether another instance should be asked.
const UPSTREAM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Pause after a source failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Growth of that pause with each further source that fails: some ten are asked in two seconds.
const RETRY_DELAY_FACTOR: f64 = 1.25;
/// Failures that the growth counts; the longest pause is reached before.
const MAX_RETRY_DELAY_EXPONENT: i32 = 20;
/// Longest of these pauses; the proof of all sources is old then, so little is lost.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which the store is read directly after a source failed, unless another one serves.
const DIRECT_READ_TIME: Duration = Duration::from_secs(3);

value! {
    /// A question to a source.
    pub struct PullRequest {
        /// Revisions that the asker knows.
        pub known: BTreeMap<Collection, u64>,
        /// Counts that the asker knows and has not told this source yet.
        pub tallies: Tallies,
        /// Longest time to hold the question, in ms.
        pub hold_ms: u64,
    }

    /// A source's answer.
    pub struct PullResponse {
        /// What the asker lacks.
        pub updates: BTreeMap<Collection, Update>,
        /// Age of the proof that the configuration is the newest one, in ms.
        pub proof_age_ms: Option<u64>,
        /// How long the question was held, in ms.
        pub held_ms: u64,
        /// The process that answers; another one has not heard the counts that this one did.
        #[serde(default)]
        pub process: String,
        /// Whether the source reads the store itself, and the store turns it away.
        #[serde(default)]
        pub is_turned_away: bool,
    }
}

/// Answers the questions of peers until the process ends.
pub async fn serve(cx: Rc<InstanceState>, listener: TcpListener) {
    listen::serve(listener, "peers", move |req| handle_pull(cx.clone(), req)).await;
}

async fn handle_pull(cx: Rc<InstanceState>, req: Request<Incoming>) -> Response<ResponseBody> {
    let (status, body) = match read_request(req).await {
        Ok(pull) => match serde_json::to_vec(&build_response(&cx, &pull).await) {
            Ok(bytes) => (StatusCode::OK, bytes),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
        },
        Err(why) => (StatusCode::BAD_REQUEST, why.into_bytes()),
    };
    let mut rsp = Response::new(full_body(body));
    *rsp.status_mut() = status;
    rsp
}

async fn read_request(req: Request<Incoming>) -> Result<PullRequest, String> {
    let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
    let bytes = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Waits until there is more than the asker knows, or the hold ends.
async fn build_response(cx: &InstanceState, pull: &PullRequest) -> PullResponse {
    let received_at = Instant::now();
    cx.last_pull_at.set(Some(received_at));
    cx.tallies.borrow_mut().merge(&pull.tallies);
    let hold = Duration::from_millis(pull.hold_ms).min(MAX_HOLD);
    let former_proof = *cx.proof.borrow();
    let mut changes = cx.changes.subscribe();
    loop {
        changes.mark_unchanged();
        let updates = missing_updates(cx, &pull.known);
        let held = received_at.elapsed();
        let left = hold.saturating_sub(held);
        let has_changes = updates.values().any(|u| u.is_whole || !u.items.is_empty());
        let has_newer_proof = held >= MIN_HOLD && *cx.proof.borrow() != former_proof;
        let is_turned_away = is_store_failing(cx);
        if has_changes || has_newer_proof || is_turned_away || left.is_zero() {
            let proof_age = cx.proof.borrow().age(BootTime::now());
            return PullResponse {
                updates,
                proof_age_ms: proof_age.map(|age| age.as_millis() as u64 + 1),
                held_ms: held.as_millis() as u64,
                process: cx.process_name.clone(),
                is_turned_away,
            };
        }
        // Both ends of the wait lead to another look.
        let _ = tokio::time::timeout(left, changes.changed()).await;
    }
}

fn is_store_failing(cx: &InstanceState) -> bool {
    *cx.reads_store.borrow() && *cx.store_failures.borrow() > 0
}

fn missing_updates(
    cx: &InstanceState,
    known: &BTreeMap<Collection, u64>,
) -> BTreeMap<Collection, Update> {
    let mirrors = cx.mirrors.borrow();
    let updates = SYNCED_COLLECTIONS.into_iter().filter_map(|of| {
        let update = mirrors.get(&of)?.since(known.get(&of).copied())?;
        Some((of, update))
    });
    updates.collect()
}

/// Keeps this instance up to date from its source, and decides when it reads the store itself.
pub async fn sync_from_peers(cx: Rc<InstanceState>, client: reqwest::Client) {
    let me = cx.cfg().instance.clone();
    let data_centre = cx.cfg().data_centre.clone();
    let mut direct_read_until = Instant::now() + DIRECT_READ_TIME;
    let mut failures = 0;
    let mut told = Told::default();
    loop {
        let now = Instant::now();
        let age = cx.proof.borrow().age(BootTime::now());
        let is_stale = age.is_none_or(|age| age > MAX_PROOF_AGE);
        if is_stale {
            direct_read_until = now + DIRECT_READ_TIME;
        }
        let upstream = clone_member(cx.members.borrow().source(now, &me, &data_centre));
        set_reads_store(&cx, upstream.is_none() || now < direct_read_until);
        let needs_fallback = upstream.is_none() && (is_stale || is_store_failing(&cx));
        let random_peer = || clone_member(cx.members.borrow().any_other(now, &me, rand::random()));
        let fallback = needs_fallback
            .then(|| random_peer().or_else(|| random_seed(&cx, &data_centre)))
            .flatten();
        let Some((name, member)) = upstream.or(fallback) else {
            tokio::time::sleep(UPSTREAM_CHECK_PERIOD).await;
            continue;
        };
        let has_downstream =
            cx.last_pull_at.get().is_some_and(|at| at.elapsed() < DOWNSTREAM_TIMEOUT);
        let hold = match (is_stale, has_downstream) {
            (true, _) => Duration::ZERO,
            (false, true) => MAX_HOLD_WITH_DOWNSTREAM,
            (false, false) => MAX_HOLD,
        };
        match pull_from(&cx, &client, &member, hold, &mut told).await {
            Ok(()) => {
                failures = 0;
                direct_read_until = Instant::now();
                if is_stale {
                    tokio::time::sleep(UPSTREAM_CHECK_PERIOD).await;
                }
            }
            Err(why) => {
                tracing::warn!(peer = %name, why, "peer does not tell the platform's state");
                cx.members.borrow_mut().pass_over(Instant::now(), &name);
                direct_read_until = Instant::now() + DIRECT_READ_TIME;
                let delay = RETRY_DELAY.mul_f64(RETRY_DELAY_FACTOR.powi(failures));
                tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
                failures = (failures + 1).min(MAX_RETRY_DELAY_EXPONENT);
            }
        }
    }
}

fn clone_member(found: Option<(&InstanceName, &Member)>) -> Option<(InstanceName, Member)> {
    found.map(|(name, member)| (name.clone(), member.clone()))
}

/// Returns a peer that the settings name, for when no instance is known.
fn random_seed(cx: &InstanceState, data_centre: &DataCentreName) -> Option<(InstanceName, Member)> {
    let cfg = cx.cfg();
    let others: Vec<_> = cfg.seeds.iter().filter(|seed| **seed != cfg.peer_address).collect();
    let address = **others.get(rand::random_range(0..others.len().max(1)))?;
    let member = Member { data_centre: data_centre.clone(), address };
    Some((format!("seed {address}").as_str().into(), member))
}

/// Returns whether a peer answers at all.
pub async fn is_reachable(client: &reqwest::Client, member: &Member) -> bool {
    // A question without content is refused, which is an answer as well.
    let url = format!("http://{}{PATH}", member.address);
    client.post(url).timeout(RESPONSE_MARGIN).send().await.is_ok()
}

fn set_reads_store(cx: &InstanceState, reads_store: bool) {
    let changed = cx.reads_store.send_if_modified(|reads| {
        let changed = *reads != reads_store;
        *reads = reads_store;
        changed
    });
    if changed {
        tracing::info!(reads_store, "source of the platform's state changed");
    }
}

/// Asks a peer once, and hands it the counts that it has not heard from this instance.
///
/// # Errors
/// Says why the peer is no use: it does not answer, or its proof is old.
pub async fn pull_from(
    cx: &InstanceState,
    client: &reqwest::Client,
    member: &Member,
    hold: Duration,
    told: &mut Told,
) -> Result<(), String> {
    cx.metrics.add(Counter::PeerMessages, "pull", 1);
    let sent_at = BootTime::now();
    let pull = PullRequest {
        known: known_revisions(cx),
        tallies: told.lacking(&cx.tallies.borrow()),
        hold_ms: hold.as_millis() as u64,
    };
    let url = format!("http://{}{PATH}", member.address);
    let req = client.post(url).timeout(hold + RESPONSE_MARGIN).json(&pull);
    let rsp = req.send().await.map_err(|error| http::explain(&error))?;
    let response: PullResponse = rsp.json().await.map_err(|error| http::explain(&error))?;
    told.note(response.process, &pull.tallies);
    let proof_age = response.proof_age_ms.map(Duration::from_millis);
    if proof_age.is_some_and(|age| age < MAX_PROOF_AGE) {
        cx.record_registry_contact(true);
    }
    for (of, update) in &response.updates {
        apply_update(cx, *of, update);
    }
    let age = proof_age.ok_or("it has no proof")?;
    // The peer's proof is as old as it said when it answered, which was after the hold.
    let proved_at = sent_at.after(Duration::from_millis(response.held_ms)).before(age);
    cx.record_proof(proved_at);
    if age > MAX_PROOF_AGE {
        return Err(format!("its proof is {} ms old", age.as_millis()));
    }
    if response.is_turned_away {
        return Err("the store turns it away".to_owned());
    }
    Ok(())
}

fn known_revisions(cx: &InstanceState) -> BTreeMap<Collection, u64> {
    let mirrors = cx.mirrors.borrow();
    let at = |of: Collection| Some((of, mirrors.get(&of)?.at()?));
    SYNCED_COLLECTIONS.into_iter().filter_map(at).collect()
}
