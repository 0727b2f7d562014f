//! Model of an engine: batched generation, a FIFO queue, cold starts and crashes.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumvalve::home::report::EngineLoad;

/// Time between tokens when all slots are in use.
pub const FULL_BATCH_TOKEN_GAP: Duration = Duration::from_millis(20);
/// Share of the time between tokens that does not depend on the batch size.
const FIXED_GAP_SHARE: f64 = 0.6;
/// Prompt tokens prefilled per second.
pub const PREFILL_TOKENS_PER_SECOND: f64 = 8_000.0;
/// Time from the start of an engine until it is warm.
const WARM_UP: Duration = Duration::from_secs(10);
/// Load reports to keep, one for each step; they must cover the longest report lag.
const MAX_REPORTS: usize = 400;

/// A request in the engine; `prefill_s` is the remaining prefill time in seconds.
#[derive(Debug, Clone)]
pub struct Job {
    pub id: u64,
    pub prefill_s: f64,
    pub tokens: f64,
    pub target_tokens: f64,
    pub sent_at: Duration,
    pub first_token: Option<Duration>,
}

/// A request that ended in the engine.
#[derive(Debug)]
pub enum Output {
    Done(Job),
    Failed(Job),
}

#[derive(Debug)]
pub struct Engine {
    pub slots: usize,
    pub cold_limit: usize,
    pub slowdown: f64,
    pub running: Vec<Job>,
    pub queue: VecDeque<Job>,
    pub cold_limit_violations: u32,
    up: bool,
    warm_at: Duration,
    started: Duration,
    generation: u64,
    reports: VecDeque<(Duration, EngineLoad)>,
}

impl Engine {
    pub fn new(slots: usize, cold_limit: usize) -> Self {
        Self {
            slots,
            cold_limit,
            slowdown: 1.0,
            running: Vec::new(),
            queue: VecDeque::new(),
            cold_limit_violations: 0,
            up: true,
            warm_at: Duration::ZERO,
            started: Duration::ZERO,
            generation: 1,
            reports: VecDeque::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.up
    }

    pub fn request_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Stops the engine; all its requests fail.
    pub fn stop(&mut self) -> Vec<Output> {
        self.up = false;
        let held = self.running.drain(..).chain(self.queue.drain(..));
        held.map(Output::Failed).collect()
    }

    /// Restarts the engine cold, as a new generation.
    pub fn start(&mut self, now: Duration) {
        self.up = true;
        self.generation += 1;
        self.started = now;
        self.reports.clear();
        self.warm_at = now + WARM_UP;
    }

    /// Queues a request and returns the requests that fail because of it.
    ///
    /// A stopped engine fails the request. A cold engine that exceeds its limit restarts and fails
    /// all its requests.
    pub fn submit(&mut self, now: Duration, job: Job) -> Vec<Output> {
        if !self.up {
            return vec![Output::Failed(job)];
        }
        self.queue.push_back(job);
        if now < self.warm_at && self.request_count() > self.cold_limit {
            self.cold_limit_violations += 1;
            let outputs = self.stop();
            self.start(now);
            return outputs;
        }
        Vec::new()
    }

    pub fn step(&mut self, now: Duration, by: Duration) -> Vec<Output> {
        while self.running.len() < self.slots
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push(job);
        }
        let gap = self.token_gap().as_secs_f64();
        for job in &mut self.running {
            let mut left = by.as_secs_f64();
            let prefill_s = job.prefill_s.min(left / self.slowdown);
            job.prefill_s -= prefill_s;
            left -= prefill_s * self.slowdown;
            if job.prefill_s <= 1e-9 && left > 0.0 {
                job.first_token.get_or_insert(now);
                job.tokens = (job.tokens + left / gap).min(job.target_tokens);
            }
        }
        if self.up {
            let load = self.load(now);
            self.reports.push_back((now, load));
        }
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        let done = self.running.extract_if(.., |job| job.tokens >= job.target_tokens);
        done.map(Output::Done).collect()
    }

    /// Returns the current time between tokens.
    pub fn token_gap(&self) -> Duration {
        let used = self.running.len() as f64 / self.slots as f64;
        FULL_BATCH_TOKEN_GAP
            .mul_f64((FIXED_GAP_SHARE + (1.0 - FIXED_GAP_SHARE) * used) * self.slowdown)
    }

    /// Returns the load as of `lag` ago, or `None` if the engine is down or has no report so old.
    pub fn report(&self, now: Duration, lag: Duration) -> Option<EngineLoad> {
        let at = now.checked_sub(lag)?;
        let (measured, load) = self.reports.iter().rev().find(|(time, _)| *time <= at)?;
        let age_ms = (now - *measured).as_millis() as u64;
        self.up.then(|| EngineLoad { age_ms, ..load.clone() })
    }

    fn load(&self, now: Duration) -> EngineLoad {
        EngineLoad {
            generation: self.generation,
            uptime_ms: (now - self.started).as_millis() as u64
                + 120_000 * u64::from(self.generation == 1),
            warm: now >= self.warm_at,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            slots: self.slots as u32,
            token_gap_us: self.token_gap().as_micros() as u32,
            resumes: true,
            age_ms: 0,
        }
    }
}
