//! The batch of an engine: what runs, what waits in order of priority, and its cold start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::prefix::PrefixCache;
use super::settings::EngineSettings;
use crate::lagged::Lagged;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It has not ended yet.
    Open,
    /// Every token was sent.
    Complete,
    /// The one who asked closed the connection.
    Cancelled,
    /// A fault cut it.
    Failed,
}

/// One request taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The header `x-request-id`.
    pub request_id: String,
    /// The header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The priority; lower is more urgent.
    pub priority: i64,
    /// Hash of the conversation.
    pub conversation: u32,
    /// Tokens that were skipped because the request resumed an answer.
    pub resumed_at: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Requests running or waiting when it was taken in, itself included.
    pub load_at_arrival: usize,
    /// Whether the engine was cold then.
    pub cold: bool,
    /// Order in which it got its slot, from 1; 0 if it has none yet.
    pub started: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// The load of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of the start.
    pub generation: u64,
    /// Time since the start in milliseconds.
    pub uptime_ms: u64,
    /// Whether the cold start is over.
    pub warm: bool,
    /// Requests running.
    pub running: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Requests that run at once.
    pub slots: usize,
    /// Time between tokens in microseconds.
    pub token_gap_us: u64,
    /// Whether it resumes answers.
    pub resumes: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
}

/// What the load report is made of.
#[derive(Debug, Clone, Copy)]
struct Counts {
    generation: u64,
    started: Instant,
    running: usize,
    waiting: usize,
}

/// Why a request was not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotTaken {
    /// Too many wait.
    Overloaded,
    /// The engine is cold and fails under this request.
    Crashes,
}

/// A request taken in.
pub struct Taken {
    /// Index of its run.
    pub run: usize,
    /// Generation that took it in.
    pub generation: u64,
    /// Prompt words that the prefix cache doesn't know.
    pub new_words: usize,
    /// Whether the engine is cold.
    pub cold: bool,
    /// Fires when it has a slot; fails if the engine crashed.
    pub slot: oneshot::Receiver<()>,
}

/// State of the batch.
pub struct Batch {
    settings: EngineSettings,
    generation: u64,
    started: Instant,
    running: usize,
    /// Requests that wait, by priority and order of arrival, with the index of their run.
    waiting: BTreeMap<(i64, usize), oneshot::Sender<()>>,
    cache: PrefixCache,
    runs: Vec<Run>,
    starts: u64,
    peak: usize,
    peak_cold: usize,
    reports: Lagged<Counts>,
}

impl Batch {
    /// Makes an idle batch of a first generation.
    pub fn new(settings: &EngineSettings) -> Self {
        let started = Instant::now();
        let counts = Counts { generation: 1, started, running: 0, waiting: 0 };
        Self {
            settings: settings.clone(),
            generation: 1,
            started,
            running: 0,
            waiting: BTreeMap::new(),
            cache: PrefixCache::new(settings.cached_blocks),
            runs: Vec::new(),
            starts: 0,
            peak: 0,
            peak_cold: 0,
            reports: Lagged::new(counts, settings.report_lag),
        }
    }

    /// Takes a request in, or says why not.
    pub fn take(&mut self, mut run: Run, prompt: &str) -> Result<Taken, NotTaken> {
        let cold = self.is_cold();
        let load = self.running + self.waiting.len() + 1;
        self.peak = self.peak.max(load);
        if cold {
            self.peak_cold = self.peak_cold.max(load);
        }
        if cold && load > self.settings.cold_limit {
            return Err(NotTaken::Crashes);
        }
        if self.waiting.len() >= self.settings.waiting_limit {
            return Err(NotTaken::Overloaded);
        }
        let (tx, slot) = oneshot::channel();
        let index = self.runs.len();
        self.waiting.insert((run.priority, index), tx);
        run.load_at_arrival = load;
        run.cold = cold;
        self.runs.push(run);
        self.fill_slots();
        let new_words = self.cache.admit(prompt);
        Ok(Taken { run: index, generation: self.generation, new_words, cold, slot })
    }

    /// Counts a token that was sent.
    pub fn count_token(&mut self, run: usize) {
        self.runs[run].tokens += 1;
    }

    /// Ends a run, whether it waits or runs.
    pub fn end(&mut self, run: usize, generation: u64, end: RunEnd) {
        if generation != self.generation {
            return;
        }
        self.runs[run].end = end;
        let key = (self.runs[run].priority, run);
        if self.waiting.remove(&key).is_none() {
            self.running -= 1;
        }
        self.fill_slots();
    }

    /// Starts again, cold: all runs fail.
    pub fn crash(&mut self) {
        self.generation += 1;
        self.running = 0;
        self.waiting.clear();
        for run in self.runs.iter_mut().filter(|run| run.end == RunEnd::Open) {
            run.end = RunEnd::Failed;
        }
        self.turn_cold();
    }

    /// Becomes cold with an empty cache.
    pub fn turn_cold(&mut self) {
        self.started = Instant::now();
        self.cache.clear();
        self.push_report();
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.clone()
    }

    /// Returns the most requests that ran or waited at once, ever and while cold.
    pub fn peaks(&self) -> (usize, usize) {
        (self.peak, self.peak_cold)
    }

    /// Returns the load now.
    pub fn load(&self) -> Load {
        self.describe(self.reports.current(), Duration::ZERO)
    }

    /// Returns the load as reports show it.
    pub fn report(&self) -> Load {
        let (counts, age) = self.reports.read();
        self.describe(counts, age)
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.settings.cold_start
    }

    /// Gives free slots to the most urgent requests that wait.
    fn fill_slots(&mut self) {
        while self.running < self.settings.slots
            && let Some(((_, run), tx)) = self.waiting.pop_first()
        {
            self.running += 1;
            self.starts += 1;
            self.runs[run].started = self.starts;
            // A request that is gone gives its slot back by `end`.
            let _ = tx.send(());
        }
        self.push_report();
    }

    fn push_report(&mut self) {
        let Self { generation, started, running, .. } = *self;
        let waiting = self.waiting.len();
        self.reports.push(Counts { generation, started, running, waiting });
    }

    fn describe(&self, counts: Counts, age: Duration) -> Load {
        let uptime = counts.started.elapsed().saturating_sub(age);
        Load {
            generation: counts.generation,
            uptime_ms: uptime.as_millis() as u64,
            warm: uptime >= self.settings.cold_start,
            running: counts.running,
            waiting: counts.waiting,
            slots: self.settings.slots,
            token_gap_us: self.settings.token_gap.as_micros() as u64,
            resumes: self.settings.resumes,
            age_ms: age.as_millis() as u64,
        }
    }
}
