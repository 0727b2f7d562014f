//! Callers that keep asking and note what they get.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;

use super::world::{LASTING_KEY, World};
use crate::support::runner::{served, whole_stream};

const CALLERS: u64 = 12;
/// Pause between two requests of a caller, in ms.
const PAUSE_MS: std::ops::Range<u64> = 10..80;
/// Time that a caller waits, more than any request may last.
const TIMEOUT: Duration = Duration::from_secs(8);

/// What a request may be repeated for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run again.
    Lookup,
    /// May run once.
    Booking,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on elsewhere.
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

    /// Returns whether it may run once only.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Booking | Self::Stream)
    }

    fn whole_answer(self, attempt: &str) -> String {
        match self {
            Self::Lookup | Self::Booking => served(attempt),
            Self::Stream | Self::Job => whole_stream(attempt),
        }
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer.
    Whole,
    /// Something that looks like a whole answer and isn't.
    Wrong(String),
    /// An error of the gateway.
    Error(u16),
    /// No answer, or one that visibly broke off.
    Broken(String),
}

/// One request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Its identifier.
    pub attempt: String,
    /// Its kind.
    pub kind: Kind,
    /// Its key.
    pub key: String,
    /// The instance that was asked.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its outcome was known.
    pub ended: Instant,
    /// What came back.
    pub outcome: Outcome,
}

/// The running callers.
pub struct Asking {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<Asked>>>,
}

/// Starts the callers; they use connections as long as these last.
pub fn start(world: &Arc<World>, seed: u64) -> Asking {
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = world.addresses().to_vec();
    let callers = (0..CALLERS).map(|number| {
        let (world, stop, addresses) = (world.clone(), stop.clone(), addresses.clone());
        let mut rng = StdRng::seed_from_u64(seed * CALLERS + number);
        tokio::spawn(async move {
            let client = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
            let client = client.expect("the client is built");
            let mut asked = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let instance = rng.random_range(0..addresses.len());
                let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
                let key = draw_key(&world, &mut rng);
                let attempt = format!("{seed}-{number}-{}", asked.len());
                let sent = Instant::now();
                let outcome = ask(&client, addresses[instance], kind, &key, &attempt).await;
                let ended = Instant::now();
                asked.push(Asked { attempt, kind, key, instance, sent, ended, outcome });
                tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            }
            asked
        })
    });
    Asking { callers: callers.collect(), stop }
}

/// Draws a key of the newest configuration, or one that was withdrawn.
fn draw_key(world: &World, rng: &mut StdRng) -> String {
    let withdrawn = world.book.open().withdrawn.iter().map(|key| key.name.clone()).next_back();
    match rng.random_range(0..4) {
        0 => withdrawn.unwrap_or_else(|| LASTING_KEY.to_owned()),
        1 => world.keys().pop().expect("there are keys"),
        _ => LASTING_KEY.to_owned(),
    }
}

async fn ask(
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
        Ok(text) if text == kind.whole_answer(attempt) => Outcome::Whole,
        Ok(text) => Outcome::Wrong(text),
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

impl Asking {
    /// Lets the callers end; returns what they asked for.
    pub async fn finish(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = futures::future::join_all(self.callers).await;
        ended.into_iter().flat_map(|asked| asked.expect("no caller panicked")).collect()
    }
}
