//! Distributes the platform's state between instances by long polling.
//!
//! An instance sends the revisions that it has to its upstream peer. The peer responds as soon as
//! it has newer state, has a newer proof, or its own calls to the store fail; otherwise it responds
//! when the hold time ends. Request counts travel upstream in the same pull requests, including
//! those received from downstream peers.

use std::collections::BTreeMap;
use std::io::Read as _;
use std::rc::Rc;
use std::time::{Duration, Instant};

use flate2::read::GzDecoder;

use super::pulls::MAX_HOLD;
use super::shared::InstanceState;
use super::state::apply_update;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::names::{DataCentreName, InstanceName};
use crate::platform::{Collection, http};
use crate::routing::direct_reads::{MAX_PROOF_AGE, SourceState, is_first_reader};
use crate::routing::members::Member;
use crate::routing::mirror::Update;
use crate::routing::revision::era_of;
use crate::routing::windows::{SentTallies, Tallies};

/// Path of the pull endpoint.
const PULL_PATH: &str = "/pull";
/// Hold time that an instance with downstream peers asks for. It forwards their counts, which must
/// pass three levels of the tree and reach the store before the counts of a window are finalised.
const MAX_HOLD_WITH_DOWNSTREAM: Duration = Duration::from_millis(300);
/// Time since the last pull request after which an instance has no downstream peers; these pull
/// about once a second.
const DOWNSTREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// Time in addition to the hold within which an upstream peer must respond.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Hold time that an instance without any state asks for: a peer that starts at the same time has
/// its own state by then.
const HOLD_AT_START: Duration = Duration::from_millis(600);
/// Maximum size of a response: about ten times the state of the largest fleet, uncompressed.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
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
/// Time for which the store is read directly once that is due, unless a peer has newer state
/// earlier.
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
        /// Whether the updates may follow the first line of the response instead of being a part of
        /// it. Earlier versions don't support that.
        #[serde(default)]
        pub accepts_separate_updates: bool,
        /// Whether the revisions hold the store's era. Those of earlier versions don't.
        #[serde(default)]
        pub has_eras: bool,
    }
}

/// First line of the response of an upstream peer; the updates may follow it.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct PullHead {
    /// Updates of the collections of which the sender has an older revision, unless they follow.
    #[serde(default)]
    pub updates: BTreeMap<Collection, Update>,
    /// Whether the updates that follow are compressed with gzip.
    #[serde(default)]
    pub are_updates_compressed: bool,
    /// Age of the proof that the configuration is current, in ms.
    pub proof_age_ms: Option<u64>,
    /// How long the request was held, in ms.
    pub held_ms: u64,
    /// Name of the responding process; a different process lacks the counts sent to this one.
    #[serde(default)]
    pub process: String,
    /// Whether the revisions hold the store's era. Those of earlier versions don't.
    #[serde(default)]
    pub has_eras: bool,
    /// Whether the peer reads the store directly and its last configuration call failed.
    #[serde(default, rename = "is_turned_away")]
    pub is_store_failing: bool,
}

impl PullHead {
    /// Decodes a response.
    ///
    /// # Errors
    /// Describes what is malformed.
    pub fn decode(body: &[u8]) -> Result<Self, String> {
        let end = body.iter().position(|byte| *byte == b'\n').unwrap_or(body.len());
        let (line, rest) = body.split_at(end);
        let mut head: Self = serde_json::from_slice(line).map_err(|error| error.to_string())?;
        let Some(updates) = rest.get(1..).filter(|updates| !updates.is_empty()) else {
            return Ok(head);
        };
        head.updates = if head.are_updates_compressed {
            serde_json::from_slice(&decompress(updates)?)
        } else {
            serde_json::from_slice(updates)
        }
        .map_err(|error| format!("updates: {error}"))?;
        Ok(head)
    }
}

fn decompress(bytes: &[u8]) -> Result<Vec<u8>, String> {
    let mut text = Vec::new();
    let mut limited = GzDecoder::new(bytes).take(MAX_RESPONSE_BYTES as u64 + 1);
    limited.read_to_end(&mut text).map_err(|error| format!("decompressing: {error}"))?;
    if text.len() > MAX_RESPONSE_BYTES {
        return Err(format!("updates are longer than {MAX_RESPONSE_BYTES} bytes"));
    }
    Ok(text)
}

/// Pulls the platform's state from the upstream peer, and decides when to read the store directly.
pub async fn sync_from_peers(cx: Rc<InstanceState>, client: reqwest::Client) {
    let this_instance = cx.cfg().instance.clone();
    let data_centre = cx.cfg().data_centre.clone();
    let started_at = Instant::now();
    let mut direct_read_until = started_at;
    let mut last_response_at = None;
    let mut failures = 0;
    let mut sent_tallies = SentTallies::default();
    loop {
        let now = Instant::now();
        let source = SourceState {
            proof_age: cx.proof.borrow().age(BootTime::now()),
            uptime: started_at.elapsed(),
            has_seed: cx.cfg().has_other_seed(),
            rank: cx.members.borrow().rank_in(&data_centre, &this_instance),
            since_response: last_response_at.map(|at: Instant| at.elapsed()),
        };
        if source.needs_direct_read() {
            direct_read_until = now + DIRECT_READ_TIME;
        }
        let is_stale = source.is_stale();
        let upstream =
            clone_member(cx.members.borrow().upstream_peer(now, &this_instance, &data_centre));
        let has_members = cx.members.borrow().count() > 0;
        let is_root = upstream.is_none();
        let may_wait_for_seed = source.has_seed && !has_members && !source.needs_direct_read();
        set_reads_store(&cx, (is_root && !may_wait_for_seed) || now < direct_read_until);
        let needs_fallback = upstream.is_none() && (is_stale || cx.is_store_failing());
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
        let hold = if source.proof_age.is_none() {
            HOLD_AT_START
        } else if is_stale || !sent_tallies.is_usable(&name) {
            Duration::ZERO
        } else if has_downstream {
            MAX_HOLD_WITH_DOWNSTREAM
        } else {
            MAX_HOLD
        };
        let pulled = tokio::select! {
            pulled = pull_from(&cx, &client, &name, &member, hold, &mut sent_tallies) => pulled,
            // The seed may be down, while the instances are known meanwhile.
            () = wait_for_members(&cx), if !has_members => continue,
        };
        sent_tallies.record_response(&name, pulled.is_ok());
        if !matches!(pulled, Err(PullError::NoResponse(_))) {
            last_response_at = Some(Instant::now());
        }
        match pulled {
            Ok(()) => {
                failures = 0;
                direct_read_until = Instant::now();
                if is_stale {
                    tokio::time::sleep(UPSTREAM_CHECK_PERIOD).await;
                }
            }
            Err(PullError::NoResponse(why) | PullError::Unusable(why)) => {
                tracing::warn!(
                    peer = %name,
                    why,
                    "pull from peer failed; trying another peer or the store"
                );
                cx.members.borrow_mut().skip(Instant::now(), &name);
                if has_members && is_first_reader(source.rank) {
                    direct_read_until = Instant::now() + DIRECT_READ_TIME;
                }
                let delay = RETRY_DELAY.mul_f64(RETRY_DELAY_FACTOR.powi(failures));
                tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
                failures = (failures + 1).min(MAX_RETRY_DELAY_EXPONENT);
            }
        }
    }
}

/// Waits until an instance is known.
pub(super) async fn wait_for_members(cx: &InstanceState) {
    let mut changes = cx.changes.subscribe();
    while cx.members.borrow().count() == 0 && changes.changed().await.is_ok() {}
}

fn clone_member(found: Option<(&InstanceName, &Member)>) -> Option<(InstanceName, Member)> {
    found.map(|(name, member)| (name.clone(), member.clone()))
}

/// Returns a random seed peer from the settings, for use while no other instance is known.
pub(super) fn random_seed_peer(
    cx: &InstanceState,
    data_centre: &DataCentreName,
) -> Option<(InstanceName, Member)> {
    let cfg = cx.cfg();
    let others: Vec<_> = cfg.seeds.iter().filter(|seed| **seed != cfg.peer_address).collect();
    let address = **others.get(rand::random_range(0..others.len().max(1)))?;
    let member = Member { data_centre: data_centre.clone(), address, datagram_port: None };
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

/// Why a pull from a peer brought no current state.
#[derive(Debug)]
enum PullError {
    /// The peer didn't respond, or has no state yet.
    NoResponse(String),
    /// The response is malformed, its proof is stale, or the peer's calls to the store fail.
    Unusable(String),
}

/// Sends one pull request to a peer, with the counts that were not sent to it yet.
async fn pull_from(
    cx: &InstanceState,
    client: &reqwest::Client,
    name: &InstanceName,
    member: &Member,
    hold: Duration,
    sent_tallies: &mut SentTallies,
) -> Result<(), PullError> {
    cx.metrics.add(Counter::PeerMessages, "pull", 1);
    let sent_at = BootTime::now();
    let pull = PullRequest {
        known: cx.revisions(),
        tallies: sent_tallies.unsent(name, &cx.tallies.borrow()),
        hold_ms: hold.as_millis() as u64,
        accepts_separate_updates: true,
        has_eras: true,
    };
    let url = format!("http://{}{PULL_PATH}", member.address);
    let req = client.post(url).timeout(hold + RESPONSE_MARGIN).json(&pull);
    let rsp = req.send().await.map_err(|error| PullError::NoResponse(http::error_chain(&error)))?;
    let status = rsp.status();
    let body = http::read_limited(rsp, MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| PullError::NoResponse(error.to_string()))?;
    if !status.is_success() {
        let why = String::from_utf8_lossy(&body);
        return Err(PullError::Unusable(format!("status {status}: {why}")));
    }
    let response = PullHead::decode(&body).map_err(PullError::Unusable)?;
    sent_tallies.record_acknowledged(response.process, &pull.tallies);
    if !response.has_eras && pull.known.values().any(|revision| era_of(*revision) > 0) {
        let why = "the peer's version doesn't know the eras of the store";
        return Err(PullError::Unusable(why.to_owned()));
    }
    let proof_age = response.proof_age_ms.map(Duration::from_millis);
    if proof_age.is_some_and(|age| age < MAX_PROOF_AGE) {
        cx.record_registry_contact(true);
    }
    for (collection, update) in &response.updates {
        apply_update(cx, *collection, update);
    }
    // The peer is starting, which shows nothing about the store.
    let no_proof = || PullError::NoResponse("peer has no proof of its configuration".to_owned());
    let age = proof_age.ok_or_else(no_proof)?;
    // The stated age is as of the response, which the peer sent after the hold.
    let proved_at = sent_at.after(Duration::from_millis(response.held_ms)).before(age);
    cx.record_proof(proved_at);
    if age > MAX_PROOF_AGE {
        let age_ms = age.as_millis();
        return Err(PullError::Unusable(format!(
            "peer's configuration proof is stale: {age_ms} ms old"
        )));
    }
    if response.is_store_failing {
        return Err(PullError::Unusable("peer's calls to the store fail".to_owned()));
    }
    Ok(())
}
