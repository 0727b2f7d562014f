//! Callers that stream requests one after another and verify each response.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Output tokens of each response.
const MAX_TOKENS: u64 = 24;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete and expected response arrived.
    Complete,
    /// The request failed or was refused before the first token.
    Refused,
    /// The response was truncated, or is not the one expected for the request.
    Invalid,
}

/// Outcomes of requests, with the time to the first token in milliseconds.
#[derive(Default)]
pub struct Tally {
    outcomes: Vec<(Outcome, u64)>,
}

impl Tally {
    /// Adds the outcomes of another tally.
    pub fn add(&mut self, other: &Self) {
        self.outcomes.extend(&other.outcomes);
    }

    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.outcomes.iter().filter(|(found, _)| *found == outcome).count()
    }

    /// Returns a quantile of the time to the first token in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> u64 {
        let mut histogram = Histogram::<u64>::new(3).expect("3 figures are allowed");
        let complete = self.outcomes.iter().filter(|(outcome, _)| *outcome == Outcome::Complete);
        complete.for_each(|(_, ms)| histogram.saturating_record(*ms));
        histogram.value_at_quantile(quantile)
    }
}

/// A caller that runs in a task of its own.
pub struct Caller {
    stop: Arc<AtomicBool>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    task: JoinHandle<Tally>,
}

impl Caller {
    /// Starts to stream requests to the entry instances in round-robin order.
    pub fn start(entries: Vec<SocketAddr>, key: String) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let entries = Arc::new(Mutex::new(entries));
        let task = tokio::spawn(stream_until(stop.clone(), entries.clone(), key));
        Self { stop, entries, task }
    }

    /// Stops sending to an entry instance, as a load balancer does when an instance shuts down.
    pub fn remove_entry(&self, entry: SocketAddr) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|known| *known != entry);
    }

    /// Waits for the current request to end, stops and returns all outcomes.
    pub async fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap_or_default()
    }
}

async fn stream_until(
    stop: Arc<AtomicBool>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    key: String,
) -> Tally {
    let http = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
    let mut tally = Tally::default();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let entry = {
            let entries = entries.lock().unwrap_or_else(PoisonError::into_inner);
            entries[number % entries.len()]
        };
        number += 1;
        tally.outcomes.push(stream_one(&http, entry, &key, number).await);
    }
    tally
}

/// Streams one request; returns how it ended and the time to the first token in milliseconds.
async fn stream_one(
    http: &reqwest::Client,
    entry: SocketAddr,
    key: &str,
    number: usize,
) -> (Outcome, u64) {
    let messages =
        json!([{ "role": "user", "content": format!("cue sheet {number} of {key:.12}") }]);
    let body = json!({
        "model": "timing-model", "messages": messages, "max_tokens": MAX_TOKENS, "stream": true,
    });
    let started = Instant::now();
    let url = format!("http://{entry}/v1/chat/completions");
    let response = http.post(url).bearer_auth(key).json(&body).send().await;
    let mut response = match response {
        Ok(response) => response,
        Err(error) => {
            eprintln!("request failed: {error}");
            return (Outcome::Refused, 0);
        }
    };
    if !response.status().is_success() {
        eprintln!("request refused: {}", response.text().await.unwrap_or_default());
        return (Outcome::Refused, 0);
    }
    let mut first = None;
    let mut text = Vec::new();
    while let Ok(Some(bytes)) = response.chunk().await {
        text.extend_from_slice(&bytes);
        if first.is_none() && text.windows(10).any(|window| window == b"\"content\":") {
            first = Some(started.elapsed().as_millis() as u64);
        }
    }
    let expected = standins::tokens::answer(&messages, MAX_TOKENS);
    if join_stream_content(&String::from_utf8_lossy(&text)).as_deref() == Some(&expected) {
        (Outcome::Complete, first.unwrap_or_default())
    } else {
        (Outcome::Invalid, 0)
    }
}

/// Returns the joined content of a stream, or `None` if it does not end with `[DONE]`.
fn join_stream_content(text: &str) -> Option<String> {
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let (last, chunks) = events.split_last()?;
    if *last != "[DONE]" {
        return None;
    }
    let chunks: Vec<Value> = chunks.iter().filter_map(|c| serde_json::from_str(c).ok()).collect();
    let pieces = chunks.iter().filter_map(|c| c["choices"][0]["delta"]["content"].as_str());
    Some(pieces.collect())
}
