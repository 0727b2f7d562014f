//! Periodic polling of a backend server for its load.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::report::{EngineLoad, LoadReport};
use super::task::Message;
use crate::timer::Timer;

/// Interval between two polls.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of [`POLL_PERIOD`]s between two polls of a server without a load endpoint.
const NO_LOAD_ENDPOINT_TICKS: u32 = 60;

/// Result of one poll.
enum PollOutcome {
    Load(EngineLoad),
    NoLoadEndpoint,
    Failed,
}

/// Polls the server at a base URL until the queue task ends.
pub async fn run(http: reqwest::Client, address: String, timer: Timer, tx: mpsc::Sender<Message>) {
    let url = format!("{}/load", address.trim_end_matches('/'));
    let mut ticks = timer.every(POLL_PERIOD);
    let mut ticks_to_skip = 0;
    loop {
        if ticks_to_skip == 0 {
            let requested_at = Instant::now();
            match fetch_load(&http, &url).await {
                PollOutcome::Load(load) => {
                    if tx.send(Message::Report(LoadReport::new(requested_at, load))).await.is_err()
                    {
                        return;
                    }
                }
                PollOutcome::NoLoadEndpoint => {
                    ticks_to_skip = NO_LOAD_ENDPOINT_TICKS;
                    if tx.send(Message::NoLoadEndpoint).await.is_err() {
                        return;
                    }
                }
                PollOutcome::Failed => {}
            }
        }
        ticks_to_skip = ticks_to_skip.saturating_sub(1);
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            () = tx.closed() => return,
        }
    }
}

async fn fetch_load(http: &reqwest::Client, url: &str) -> PollOutcome {
    let Ok(rsp) = http.get(url).timeout(POLL_TIMEOUT).send().await else {
        return PollOutcome::Failed;
    };
    if rsp.status() == reqwest::StatusCode::NOT_FOUND {
        return PollOutcome::NoLoadEndpoint;
    }
    if !rsp.status().is_success() {
        return PollOutcome::Failed;
    }
    rsp.json().await.map_or(PollOutcome::Failed, PollOutcome::Load)
}
