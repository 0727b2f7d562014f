//! Asks a backend server for its load, repeatedly.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use super::report::{EngineLoad, Report};
use super::task::Message;
use crate::timer::Timer;

/// Period between two questions.
const PERIOD: Duration = Duration::from_millis(500);
/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of ticks between two questions to a server that doesn't report its load.
const UNSUPPORTED_TICKS: u32 = 60;

/// What a question led to.
enum Answer {
    Load(EngineLoad),
    Unsupported,
    Failed,
}

/// Asks the server at a base URL until the queue task ends.
pub async fn run(http: reqwest::Client, address: String, timer: Timer, tx: mpsc::Sender<Message>) {
    let url = format!("{}/load", address.trim_end_matches('/'));
    let mut ticks = timer.every(PERIOD);
    let mut skip = 0;
    loop {
        if skip == 0 {
            let asked = Instant::now();
            match ask(&http, &url).await {
                Answer::Load(load) => {
                    if tx.send(Message::Report(Report::new(asked, load))).await.is_err() {
                        return;
                    }
                }
                Answer::Unsupported => {
                    skip = UNSUPPORTED_TICKS;
                    if tx.send(Message::Unreported).await.is_err() {
                        return;
                    }
                }
                Answer::Failed => {}
            }
        }
        skip = skip.saturating_sub(1);
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            () = tx.closed() => return,
        }
    }
}

async fn ask(http: &reqwest::Client, url: &str) -> Answer {
    let Ok(rsp) = http.get(url).timeout(TIMEOUT).send().await else { return Answer::Failed };
    if rsp.status() == reqwest::StatusCode::NOT_FOUND {
        return Answer::Unsupported;
    }
    if !rsp.status().is_success() {
        return Answer::Failed;
    }
    rsp.json().await.map_or(Answer::Failed, Answer::Load)
}
