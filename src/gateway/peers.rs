//! Distributes the platform's state between instances by long polling.
//!
//! An instance sends the revisions that it has to its upstream peer. The peer responds as soon as
//! it has newer state, has a newer proof, or its own calls to the store fail; otherwise it responds
//! when the hold time ends. Request counts travel upstream in the same pull requests, including
//! those received from downstream peers.

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
use crate::routing::windows::{SentTallies, Tallies};

/// Path of the pull endpoint.
const PULL_PATH: &str = "/pull";
/// Maximum time that a pull request is held if nothing changes. It exceeds the time between two
/// proofs of an instance that reads the store, so that changes pass down all levels of the tree
/// without waiting for the next pull.
const MAX_HOLD: Duration = Duration::from_millis(1_000);
/// Hold time that an instance with downstream peers asks for. It forwards their counts, which must
/// pass three levels of the tree and reach the store before the counts of a window are finalised.
const MAX_HOLD_WITH_DOWNSTREAM: Duration = Duration::from_millis(300);
/// Time since the last pull request after which an instance has no downstream peers; these pull
/// about once a second.
const DOWNSTREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum hold time if there is only a newer proof.
const MIN_HOLD: Duration = Duration::from_millis(200);
/// Time in addition to the hold within which an upstream peer must respond.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of a pull request, which contains the counts of a few windows.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Age of the configuration proof from which the upstream peer counts as failed and the store is
/// read directly.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_900);
/// Delay before the upstream peer is selected again, if there is none or the proof was stale.
const UPSTREAM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Initial delay after a failed pull.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Growth of the delay with each consecutive failure; about ten peers are tried in two seconds.
const RETRY_DELAY_FACTOR: f64 = 1.25;
/// Maximum exponent of the growth, which avoids overflow; the delay reaches its maximum earlier.
const MAX_RETRY_DELAY_EXPONENT: i32 = 20;
/// Maximum delay after a failed pull. By then all peers have stale proofs, so that waiting costs
/// little.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time for which the store is read directly after the start, a stale proof or a failed pull,
/// unless a peer responds earlier.
const DIRECT_READ_TIME: Duration = Duration::from_secs(3);

value! {
    /// Request for state newer than the sender's.
    pub struct PullRequest {
        /// Revisions that the sender has.
        pub known: BTreeMap<Collection, u64>,
        /// Request counts that the sender has not sent to this peer yet.
        pub tallies: Tallies,
        /// Maximum time to hold the request, in ms.
        pub hold_ms: u64,
    }

    /// Response of an upstream peer.
    pub struct PullResponse {
        /// Updates of the collections of which the sender has an older revision.
        pub updates: BTreeMap<Collection, Update>,
        /// Age of the proof that the configuration is current, in ms.
        pub proof_age_ms: Option<u64>,
        /// How long the request was held, in ms.
        pub held_ms: u64,
        /// Name of the responding process; a different process lacks the counts sent to this one.
        #[serde(default)]
        pub process: String,
        /// Whether the peer reads the store directly and its last configuration call failed.
        #[serde(default, rename = "is_turned_away")]
        pub is_store_failing: bool,
    }
}

/// Serves pull requests until the process exits.
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

/// Waits until there is something new for the sender or the hold time ends.
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
        let has_changes = updates.values().any(|u| u.is_snapshot || !u.items.is_empty());
        let has_newer_proof = held >= MIN_HOLD && *cx.proof.borrow() != former_proof;
        let is_store_failing = is_store_failing(cx);
        if has_changes || has_newer_proof || is_store_failing || left.is_zero() {
            let proof_age = cx.proof.borrow().age(BootTime::now());
            return PullResponse {
                updates,
                // Rounded up, so that the proof doesn't seem newer than it is.
                proof_age_ms: proof_age.map(|age| age.as_millis() as u64 + 1),
                held_ms: held.as_millis() as u64,
                process: cx.process_name.clone(),
                is_store_failing,
            };
        }
        // The loop re-evaluates the state after a change and after the time-out.
        let _ = tokio::time::timeout(left, changes.changed()).await;
    }
}

fn is_store_failing(cx: &InstanceState) -> bool {
    *cx.reads_store.borrow() && *cx.failed_config_calls.borrow() > 0
}

fn missing_updates(
    cx: &InstanceState,
    known: &BTreeMap<Collection, u64>,
) -> BTreeMap<Collection, Update> {
    let mirrors = cx.mirrors.borrow();
    let updates = SYNCED_COLLECTIONS.into_iter().filter_map(|collection| {
        let update = mirrors.get(&collection)?.changes_since(known.get(&collection).copied())?;
        Some((collection, update))
    });
    updates.collect()
}

/// Pulls the platform's state from the upstream peer, and decides when to read the store directly.
pub async fn sync_from_peers(cx: Rc<InstanceState>, client: reqwest::Client) {
    let this_instance = cx.cfg().instance.clone();
    let data_centre = cx.cfg().data_centre.clone();
    let mut direct_read_until = Instant::now() + DIRECT_READ_TIME;
    let mut failures = 0;
    let mut sent_tallies = SentTallies::default();
    loop {
        let now = Instant::now();
        let age = cx.proof.borrow().age(BootTime::now());
        let is_stale = age.is_none_or(|age| age > MAX_PROOF_AGE);
        if is_stale {
            direct_read_until = now + DIRECT_READ_TIME;
        }
        let upstream =
            clone_member(cx.members.borrow().upstream_peer(now, &this_instance, &data_centre));
        set_reads_store(&cx, upstream.is_none() || now < direct_read_until);
        let needs_fallback = upstream.is_none() && (is_stale || is_store_failing(&cx));
        let random_peer =
            || clone_member(cx.members.borrow().random_peer(now, &this_instance, rand::random()));
        let fallback = needs_fallback
            .then(|| random_peer().or_else(|| random_seed_peer(&cx, &data_centre)))
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
        match pull_from(&cx, &client, &member, hold, &mut sent_tallies).await {
            Ok(()) => {
                failures = 0;
                direct_read_until = Instant::now();
                if is_stale {
                    tokio::time::sleep(UPSTREAM_CHECK_PERIOD).await;
                }
            }
            Err(why) => {
                tracing::warn!(
                    peer = %name,
                    why,
                    "pull from peer failed; trying another peer or the store"
                );
                cx.members.borrow_mut().skip(Instant::now(), &name);
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

/// Returns a random seed peer from the settings, for use while no other instance is known.
fn random_seed_peer(
    cx: &InstanceState,
    data_centre: &DataCentreName,
) -> Option<(InstanceName, Member)> {
    let cfg = cx.cfg();
    let others: Vec<_> = cfg.seeds.iter().filter(|seed| **seed != cfg.peer_address).collect();
    let address = **others.get(rand::random_range(0..others.len().max(1)))?;
    let member = Member { data_centre: data_centre.clone(), address };
    Some((format!("seed {address}").as_str().into(), member))
}

/// Returns whether an instance responds to requests of peers.
pub async fn is_reachable(client: &reqwest::Client, member: &Member) -> bool {
    // An empty pull request is rejected with an error status, which shows that the instance is
    // alive.
    let url = format!("http://{}{PULL_PATH}", member.address);
    client.post(url).timeout(RESPONSE_MARGIN).send().await.is_ok()
}

fn set_reads_store(cx: &InstanceState, reads_store: bool) {
    let changed = cx.reads_store.send_if_modified(|reads| {
        let changed = *reads != reads_store;
        *reads = reads_store;
        changed
    });
    if changed {
        tracing::info!(reads_store, "switched between reading the store and pulling from a peer");
    }
}

/// Sends one pull request to a peer, with the counts that were not sent to it yet.
///
/// # Errors
/// Describes why the peer can't be used: it doesn't respond, its proof is missing or stale, or its
/// calls to the store fail.
pub async fn pull_from(
    cx: &InstanceState,
    client: &reqwest::Client,
    member: &Member,
    hold: Duration,
    sent_tallies: &mut SentTallies,
) -> Result<(), String> {
    cx.metrics.add(Counter::PeerMessages, "pull", 1);
    let sent_at = BootTime::now();
    let pull = PullRequest {
        known: known_revisions(cx),
        tallies: sent_tallies.unsent(&cx.tallies.borrow()),
        hold_ms: hold.as_millis() as u64,
    };
    let url = format!("http://{}{PULL_PATH}", member.address);
    let req = client.post(url).timeout(hold + RESPONSE_MARGIN).json(&pull);
    let rsp = req.send().await.map_err(|error| http::error_chain(&error))?;
    let response: PullResponse = rsp.json().await.map_err(|error| http::error_chain(&error))?;
    sent_tallies.record_acknowledged(response.process, &pull.tallies);
    let proof_age = response.proof_age_ms.map(Duration::from_millis);
    if proof_age.is_some_and(|age| age < MAX_PROOF_AGE) {
        cx.record_registry_contact(true);
    }
    for (collection, update) in &response.updates {
        apply_update(cx, *collection, update);
    }
    let age = proof_age.ok_or("peer has no proof of its configuration")?;
    // The stated age is as of the response, which the peer sent after the hold.
    let proved_at = sent_at.after(Duration::from_millis(response.held_ms)).before(age);
    cx.record_proof(proved_at);
    if age > MAX_PROOF_AGE {
        return Err(format!("peer's configuration proof is stale: {} ms old", age.as_millis()));
    }
    if response.is_store_failing {
        return Err("peer's calls to the store fail".to_owned());
    }
    Ok(())
}

fn known_revisions(cx: &InstanceState) -> BTreeMap<Collection, u64> {
    let mirrors = cx.mirrors.borrow();
    let revision =
        |collection: Collection| Some((collection, mirrors.get(&collection)?.revision()?));
    SYNCED_COLLECTIONS.into_iter().filter_map(revision).collect()
}
