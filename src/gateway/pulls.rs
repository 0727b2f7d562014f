//! Serves pull requests of peers: responds with the state that they lack.
//!
//! Peers that lack the same share one encoded copy, and the number of requests and the bytes that
//! are read at once are bounded, so that an instance can serve a whole fleet that starts or
//! recovers at the same moment.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::io::Write as _;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flate2::Compression;
use flate2::write::GzEncoder;
use futures::stream;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use super::body::{ResponseBody, full_body};
use super::evidence::{self, EVIDENCE_PATH};
use super::listen;
use super::peers::{PullHead, PullRequest};
use super::shared::InstanceState;
use super::state::SYNCED_COLLECTIONS;
use crate::clock::BootTime;
use crate::platform::Collection;
use crate::routing::mirror::Update;
use crate::routing::revision::{era_of, in_era, number_of};

/// Maximum time that a request is held if nothing changes. It exceeds the time between two proofs
/// of an instance that reads the store, so that changes pass down all levels of the tree without
/// waiting for the next pull.
pub const MAX_HOLD: Duration = Duration::from_millis(1_000);
/// Minimum hold time if there is only a newer proof.
const MIN_HOLD: Duration = Duration::from_millis(200);
/// Maximum size of a request, which contains the counts of a few windows.
const MAX_REQUEST_BYTES: usize = 1 << 20;
/// Maximum number of requests that are read at once; with their size, this bounds the memory.
const MAX_REQUESTS_READ: usize = 8;
/// Time within which a request must have been read completely.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of requests at once: the share of a seed when the largest fleet starts.
const MAX_REQUESTS: usize = 160;
/// Maximum number of encoded updates that are kept.
const MAX_ENCODED: usize = 4;
/// Size of encoded updates from which they are compressed.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// Revisions of the collections that an instance has.
pub type Revisions = BTreeMap<Collection, u64>;

/// Updates of collections, encoded as JSON.
#[derive(Debug, Clone)]
struct EncodedUpdates {
    bytes: Bytes,
    is_compressed: bool,
}

/// Requests in progress, and the encoded updates that they share.
pub struct PullServer {
    cx: Rc<InstanceState>,
    requests: Semaphore,
    reads: Semaphore,
    /// Encoded updates from the revisions of a reader to those of this instance, latest last.
    encoded: RefCell<VecDeque<(Revisions, Revisions, EncodedUpdates)>>,
}

/// Serves pull requests until the process exits.
pub async fn serve(cx: Rc<InstanceState>, listener: TcpListener) {
    let server = Rc::new(PullServer::new(cx));
    listen::serve(listener, "peers", move |req| {
        let server = server.clone();
        async move { server.respond(req).await }
    })
    .await;
}

impl PullServer {
    /// Creates a server of the state of an instance.
    pub fn new(cx: Rc<InstanceState>) -> Self {
        Self {
            cx,
            requests: Semaphore::new(MAX_REQUESTS),
            reads: Semaphore::new(MAX_REQUESTS_READ),
            encoded: RefCell::default(),
        }
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let Ok(_permit) = self.requests.try_acquire() else {
            let why = format!("more than {MAX_REQUESTS} pull requests at once");
            return error_response(StatusCode::SERVICE_UNAVAILABLE, why);
        };
        if req.uri().path() == EVIDENCE_PATH {
            let Ok(_permit) = self.reads.try_acquire() else {
                let why = format!("more than {MAX_REQUESTS_READ} requests are being read");
                return error_response(StatusCode::SERVICE_UNAVAILABLE, why);
            };
            let response = evidence::respond(&self.cx, req).await;
            return response.unwrap_or_else(|why| error_response(StatusCode::BAD_REQUEST, why));
        }
        let pull = match self.read_request(req).await {
            Ok(pull) => pull,
            Err(why) => return error_response(StatusCode::BAD_REQUEST, why),
        };
        match self.build_response(&pull).await {
            Ok(rsp) => rsp,
            Err(error) => {
                error_response(StatusCode::INTERNAL_SERVER_ERROR, format!("encoding: {error}"))
            }
        }
    }

    async fn read_request(&self, req: Request<Incoming>) -> Result<PullRequest, String> {
        let read = async {
            let _permit = self.reads.acquire().await.map_err(|error| error.to_string())?;
            let body = Limited::new(req.into_body(), MAX_REQUEST_BYTES).collect().await;
            let bytes = body.map_err(|error| error.to_string())?.to_bytes();
            let pull: PullRequest =
                serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
            Ok(if pull.has_eras { pull } else { self.with_eras(pull) })
        };
        tokio::time::timeout(READ_TIMEOUT, read).await.map_err(|_| {
            format!("the pull request was not complete after {} ms", READ_TIMEOUT.as_millis())
        })?
    }

    /// Adds the eras of this instance to the revisions of a sender of an earlier version.
    fn with_eras(&self, mut pull: PullRequest) -> PullRequest {
        let current = self.cx.revisions();
        for (collection, known) in &mut pull.known {
            let era = current.get(collection).map_or(0, |revision| era_of(*revision));
            *known = in_era(era, *known);
        }
        pull
    }

    /// Waits until there is something new for the sender or the hold time ends.
    async fn build_response(
        &self,
        pull: &PullRequest,
    ) -> Result<Response<ResponseBody>, serde_json::Error> {
        let cx = &self.cx;
        let received_at = Instant::now();
        cx.last_pull_at.set(Some(received_at));
        cx.tallies.borrow_mut().merge(&pull.tallies);
        let hold = Duration::from_millis(pull.hold_ms).min(MAX_HOLD);
        let former_proof = *cx.proof.borrow();
        let mut changes = cx.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let held = received_at.elapsed();
            let left = hold.saturating_sub(held);
            let proof_age = cx.proof.borrow().age(BootTime::now());
            // A sender can't use state without a proof, which an instance that starts gets soon.
            let has_changes = proof_age.is_some() && has_updates(cx, &pull.known);
            let has_newer_proof = held >= MIN_HOLD && *cx.proof.borrow() != former_proof;
            if has_changes || has_newer_proof || cx.is_store_failing() || left.is_zero() {
                let head = PullHead {
                    // Rounded up, so that the proof doesn't seem newer than it is.
                    proof_age_ms: proof_age.map(|age| age.as_millis() as u64 + 1),
                    held_ms: held.as_millis() as u64,
                    process: cx.process_name.clone(),
                    is_store_failing: cx.is_store_failing(),
                    has_eras: true,
                    ..PullHead::default()
                };
                return self.encode_response(pull, head);
            }
            // The loop re-evaluates the state after a change and after the time-out.
            let _ = tokio::time::timeout(left, changes.changed()).await;
        }
    }

    fn encode_response(
        &self,
        pull: &PullRequest,
        mut head: PullHead,
    ) -> Result<Response<ResponseBody>, serde_json::Error> {
        if !pull.accepts_separate_updates || !pull.has_eras {
            head.updates = missing_updates(&self.cx, &pull.known);
            if !pull.has_eras {
                head.updates.values_mut().for_each(remove_era);
            }
            return Ok(Response::new(full_body(serde_json::to_vec(&head)?)));
        }
        let updates = self.encode_updates(&pull.known)?;
        head.are_updates_compressed = updates.is_compressed;
        let mut line = serde_json::to_vec(&head)?;
        line.push(b'\n');
        let parts = [Bytes::from(line), updates.bytes].map(|part| Ok(Frame::data(part)));
        Ok(Response::new(Box::pin(StreamBody::new(stream::iter(parts)))))
    }

    /// Returns the updates that a reader lacks, encoded once for all readers that lack the same.
    fn encode_updates(&self, known: &Revisions) -> Result<EncodedUpdates, serde_json::Error> {
        let current = self.cx.revisions();
        let mut all = self.encoded.borrow_mut();
        if let Some((.., found)) = all.iter().find(|(from, to, _)| from == known && *to == current)
        {
            return Ok(found.clone());
        }
        let encoded = encode(&missing_updates(&self.cx, known))?;
        if all.len() >= MAX_ENCODED {
            all.pop_front();
        }
        all.push_back((known.clone(), current, encoded.clone()));
        Ok(encoded)
    }
}

fn encode(updates: &BTreeMap<Collection, Update>) -> Result<EncodedUpdates, serde_json::Error> {
    let bytes = serde_json::to_vec(updates)?;
    if bytes.len() < MIN_COMPRESSED_BYTES {
        return Ok(EncodedUpdates { bytes: bytes.into(), is_compressed: false });
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&bytes).map_err(serde_json::Error::io)?;
    let bytes = encoder.finish().map_err(serde_json::Error::io)?.into();
    Ok(EncodedUpdates { bytes, is_compressed: true })
}

/// Returns whether there are changes after the given revisions.
fn has_updates(cx: &InstanceState, known: &Revisions) -> bool {
    let mirrors = cx.mirrors.borrow();
    SYNCED_COLLECTIONS.into_iter().any(|collection| {
        let mirror = mirrors.get(&collection);
        mirror.is_some_and(|mirror| mirror.has_changes_since(known.get(&collection).copied()))
    })
}

fn missing_updates(cx: &InstanceState, known: &Revisions) -> BTreeMap<Collection, Update> {
    let mirrors = cx.mirrors.borrow();
    let updates = SYNCED_COLLECTIONS.into_iter().filter_map(|collection| {
        let update = mirrors.get(&collection)?.changes_since(known.get(&collection).copied())?;
        Some((collection, update))
    });
    updates.collect()
}

/// Removes the era from the revisions of an update, for a reader of an earlier version.
fn remove_era(update: &mut Update) {
    update.revision = number_of(update.revision);
    for item in &mut update.items {
        item.revision = number_of(item.revision);
    }
}

fn error_response(status: StatusCode, why: String) -> Response<ResponseBody> {
    let mut rsp = Response::new(full_body(why));
    *rsp.status_mut() = status;
    rsp
}
