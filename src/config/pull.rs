//! Pulls the configuration and marks from peers that have newer ones.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tonic::Status;

use super::convert::marks_from_messages;
use super::root::Root;
use super::shard::{Shard, Shards};
use super::state::{State, missing_shards};
use super::task::{StateUpdate, UpdateSender, UpdateSource};
use crate::context::Context;
use crate::metrics::Counter;
use crate::peer::generated::v1;

/// Timeout of one request to a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum interval between the starts of two pulls from the same peer.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum replies that one pull may take; the shards of a configuration can need several, since
/// the size of a reply is limited.
const MAX_REPLIES: usize = 16;
/// Maximum queued requests for a pull.
const MAX_QUEUED_PULLS: usize = 1_024;

/// Sender of pull requests; clones share the same queue.
#[derive(Debug, Clone)]
pub struct PullQueue {
    tx: mpsc::Sender<String>,
}

impl PullQueue {
    /// Creates the queue; returns its sending and its receiving side.
    pub fn channel() -> (Self, mpsc::Receiver<String>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_PULLS);
        (Self { tx }, rx)
    }

    /// Requests a pull from a peer; dropped if the queue is full, since the next beat of the peer
    /// requests it again.
    pub fn request(&self, address: &str) {
        let _ = self.tx.try_send(address.to_owned());
    }
}

/// Pulls the configuration from a peer.
#[derive(Clone)]
pub struct PeerPuller {
    /// Shared services of the instance.
    pub cx: Context,
    /// The configuration state of this instance.
    pub state: watch::Receiver<State>,
    /// Receives the result.
    pub updates: UpdateSender,
}

impl PeerPuller {
    /// Fetches the root, shards and marks that this instance lacks, and merges them.
    ///
    /// # Errors
    /// If the peer can't be reached or its reply is malformed or incomplete.
    pub async fn run(&self, address: &str) -> Result<(), Status> {
        let mut fetched = Shards::new();
        for _ in 0..MAX_REPLIES {
            let reply = self.fetch(address, &fetched).await?;
            let marks = marks_from_messages(reply.marks);
            let root = parse_root(&reply.root)?;
            let shard_count = reply.shards.len();
            for shard in reply.shards {
                let shard = parse_shard(&shard)?;
                fetched.insert(shard.hash().to_owned(), shard);
            }
            let complete = root.as_ref().is_none_or(|root| {
                missing_shards(root, &[self.state.borrow().shards(), &fetched]).is_empty()
            });
            if complete {
                let update =
                    StateUpdate { root, shards: fetched, marks, source: UpdateSource::Peer };
                self.updates.send(update).await;
                return Ok(());
            }
            self.updates.send_marks(marks, UpdateSource::Peer).await;
            if shard_count == 0 {
                return Err(Status::data_loss("the peer did not send all shards of its root"));
            }
        }
        Err(Status::resource_exhausted(format!(
            "the configuration is incomplete after {MAX_REPLIES} replies"
        )))
    }

    async fn fetch(&self, address: &str, fetched: &Shards) -> Result<v1::FetchConfigReply, Status> {
        let (known_version, held) = {
            let state = self.state.borrow();
            (state.version(), state.shards().clone())
        };
        let known_shards = held.keys().chain(fetched.keys()).cloned().collect();
        let req = v1::FetchConfigRequest { known_version, known_shards, want_members: false };
        self.cx.metrics.add(Counter::PeerMessages, "fetch-config", 1);
        let bytes = prost::Message::encoded_len(&req) as u64;
        self.cx.metrics.add(Counter::PeerBytes, "fetch-config", bytes);
        let call = async { self.cx.pool.peer_client(address)?.fetch_config(req).await };
        tokio::time::timeout(PULL_TIMEOUT, call)
            .await
            .map_err(|_| Status::deadline_exceeded(format!("no reply within {PULL_TIMEOUT:?}")))?
            .map(tonic::Response::into_inner)
    }
}

fn parse_root(bytes: &[u8]) -> Result<Option<Arc<Root>>, Status> {
    if bytes.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(bytes)
        .map(|root| Some(Arc::new(root)))
        .map_err(|error| Status::data_loss(format!("malformed root: {error}")))
}

fn parse_shard(shard: &v1::Shard) -> Result<Shard, Status> {
    let body = std::str::from_utf8(&shard.body)
        .map_err(|error| Status::data_loss(format!("malformed shard {}: {error}", shard.hash)))?;
    Shard::parse(&shard.hash, body)
        .map_err(|error| Status::data_loss(format!("{error} (shard {})", shard.hash)))
}

/// Runs the requested pulls: concurrently for different peers, one at a time for the same peer.
pub async fn run_pulls(puller: PeerPuller, mut rx: mpsc::Receiver<String>) {
    let mut running: JoinSet<String> = JoinSet::new();
    let mut active: HashSet<String> = HashSet::new();
    let mut pull_again: HashSet<String> = HashSet::new();
    let mut started: HashMap<String, Instant> = HashMap::new();
    loop {
        let address = tokio::select! {
            requested = rx.recv() => match requested {
                Some(address) if active.contains(&address) => {
                    pull_again.insert(address);
                    continue;
                }
                Some(address) => address,
                None => return,
            },
            Some(finished) = running.join_next() => match finished {
                Ok(address) => {
                    active.remove(&address);
                    if !pull_again.remove(&address) {
                        continue;
                    }
                    address
                }
                Err(_) => continue,
            },
        };
        started.retain(|_, start| start.elapsed() < MIN_PULL_INTERVAL);
        let start =
            started.get(&address).map_or_else(Instant::now, |last| *last + MIN_PULL_INTERVAL);
        started.insert(address.clone(), start);
        active.insert(address.clone());
        let puller = puller.clone();
        running.spawn(async move {
            tokio::time::sleep_until(start).await;
            if let Err(status) = puller.run(&address).await {
                tracing::debug!(address, %status, "failed to pull the configuration from a peer");
            }
            address
        });
    }
}
