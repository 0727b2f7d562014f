//! Callers that send requests continuously and record the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use super::world::{Cluster, PERMANENT_KEY};
use crate::support::runner::{full_stream, plain_body};

/// Number of concurrent callers.
const CALLERS: u64 = 12;
/// Range of the delay between two requests of a caller, in ms.
const REQUEST_GAP_MS: std::ops::Range<u64> = 10..80;
/// Client-side timeout; longer than any request may take.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Kind of a request, which determines whether it may be retried or resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent request.
    Lookup,
    /// Non-idempotent request.
    Booking,
    /// Stream that can't be resumed.
    Stream,
    /// Stream that can be resumed at another backend server.
    Job,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Lookup, Self::Booking, Self::Stream, Self::Job];

    fn path(self) -> &'static str {
        match self {
            Self::Lookup => "/lookup/1",
            Self::Booking => "/booking/1",
            Self::Stream => "/stream/1",
            Self::Job => "/job/1",
        }
    }

    /// Returns whether the request may be executed at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Booking | Self::Stream)
    }

    fn full_body(self, attempt: &str) -> String {
        match self {
            Self::Lookup | Self::Booking => plain_body(attempt),
            Self::Stream | Self::Job => full_stream(attempt),
        }
    }
}

/// Outcome of a request as seen by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response.
    Whole,
    /// A response that looks complete but has the wrong content.
    Wrong(String),
    /// An error status of the gateway.
    Error(u16),
    /// No response, or a detectably truncated one.
    Broken(String),
}

/// A request that was sent.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Attempt ID.
    pub attempt: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Key of the caller.
    pub key: String,
    /// Index of the instance that received the request.
    pub instance: usize,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the outcome was known.
    pub ended_at: Instant,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// The running callers.
pub struct RunningCallers {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<SentRequest>>>,
}

/// Starts the callers, which reuse their connections.
pub fn start(cluster: &Arc<Cluster>, seed: u64) -> RunningCallers {
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = cluster.addresses().to_vec();
    let callers = (0..CALLERS).map(|number| {
        let (cluster, stop, addresses) = (cluster.clone(), stop.clone(), addresses.clone());
        let mut rng = StdRng::seed_from_u64(seed * CALLERS + number);
        tokio::spawn(async move {
            let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
            let client = client.expect("the client is built");
            let mut requests = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let instance = rng.random_range(0..addresses.len());
                let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
                let key = pick_key(&cluster, &mut rng);
                let attempt = format!("{seed}-{number}-{}", requests.len());
                let sent_at = Instant::now();
                let outcome = send(&client, addresses[instance], kind, &key, &attempt).await;
                let ended_at = Instant::now();
                requests.push(SentRequest {
                    attempt,
                    kind,
                    key,
                    instance,
                    sent_at,
                    ended_at,
                    outcome,
                });
                tokio::time::sleep(Duration::from_millis(rng.random_range(REQUEST_GAP_MS))).await;
            }
            requests
        })
    });
    RunningCallers { callers: callers.collect(), stop }
}

/// Picks a key of the latest configuration, or a withdrawn one.
fn pick_key(cluster: &Cluster, rng: &mut StdRng) -> String {
    let withdrawn = cluster.history.lock().withdrawn.iter().map(|key| key.name.clone()).next_back();
    match rng.random_range(0..4) {
        0 => withdrawn.unwrap_or_else(|| PERMANENT_KEY.to_owned()),
        1 => cluster.keys().pop().expect("there are keys"),
        _ => PERMANENT_KEY.to_owned(),
    }
}

async fn send(
    client: &reqwest::Client,
    address: SocketAddr,
    kind: Kind,
    key: &str,
    attempt: &str,
) -> Outcome {
    let req = client
        .post(format!("http://{address}{}", kind.path()))
        .header("host", "valve.example")
        .header("x-laburnumvalve-attempt-id", attempt)
        .header("x-laburnumvalve-deadline-ms", "4000")
        .header("x-laburnumvalve-key", key)
        .body("body");
    let rsp = match req.send().await {
        Ok(rsp) => rsp,
        Err(error) => return Outcome::Broken(format!("{error:?}")),
    };
    if !rsp.status().is_success() {
        return Outcome::Error(rsp.status().as_u16());
    }
    match rsp.text().await {
        Ok(text) if text == kind.full_body(attempt) => Outcome::Whole,
        Ok(text) => Outcome::Wrong(text),
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

impl RunningCallers {
    /// Stops the callers and returns the requests that they sent.
    pub async fn finish(self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = futures::future::join_all(self.callers).await;
        ended.into_iter().flat_map(|requests| requests.expect("no caller panicked")).collect()
    }
}
