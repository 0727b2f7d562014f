//! What this instance knows of each backend server's load and faults, from its own requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::names::BackendServerName;

/// Age at which a told load no longer counts.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time in which half of the memory of past failures fades.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Time after its last use for which a prompt part is taken to be cached.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);
/// Prompt parts remembered for each backend server; about what its memory holds.
const MAX_CACHED_PARTS: usize = 512;
/// Failed sends in a row after which a backend server is left out for a while.
const EJECTION_THRESHOLD: u32 = 2;
/// First time for which a failing backend server is left out; it doubles up to the longest one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(800);
/// Longest time for which a failing backend server is left out.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Load that a backend server told in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// How a request ended, as far as it tells of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It answered properly.
    Success,
    /// It answered that the request failed.
    Failed,
    /// No connection, a broken connection, silence, or bytes that are no answer.
    TransportFailure,
}

/// Load and faults of one backend server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    /// Requests of this instance that it has not ended.
    pub in_flight: u32,
    /// Prompt tokens of this instance's requests that wait for their first event.
    pub pending_prefill_tokens: u64,
    reported: Option<(ReportedLoad, Instant)>,
    sent_since_report: u32,
    failures: f64,
    samples: f64,
    decayed_at: Option<Instant>,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    cached_parts: HashMap<u64, Instant>,
}

impl ServerLoad {
    /// Notes a request that is about to be sent.
    pub fn start_request(
        &mut self,
        now: Instant,
        prefill_tokens: u64,
        parts: impl Iterator<Item = u64>,
    ) {
        self.in_flight += 1;
        self.pending_prefill_tokens += prefill_tokens;
        self.sent_since_report += 1;
        self.cached_parts.extend(parts.map(|part| (part, now)));
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.retain(|_, used| now.duration_since(*used) < PREFIX_CACHE_TTL);
        }
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.clear();
        }
    }

    /// Notes that the first event of a request came, or that none will.
    pub fn finish_prefill(&mut self, prefill_tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Notes that a request ended.
    pub fn finish_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes the load told in an answer.
    pub fn record_report(&mut self, now: Instant, reported: ReportedLoad) {
        self.reported = Some((reported, now));
        self.sent_since_report = 0;
    }

    /// Returns an estimate of the requests that run and wait there.
    pub fn occupancy(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now);
        let reported =
            reported.map_or(0, |(load, _)| load.running + load.waiting + self.sent_since_report);
        reported.max(self.in_flight)
    }

    /// Returns the requests that waited there when it last told its load.
    pub fn waiting(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |(load, _)| load.waiting)
    }

    /// Returns the age of the load that it told, if that still counts.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.fresh_report(now).map(|(_, age)| age)
    }

    fn fresh_report(&self, now: Instant) -> Option<(ReportedLoad, Duration)> {
        let (load, at) = self.reported?;
        let age = now.duration_since(at);
        (age < REPORT_TTL).then_some((load, age))
    }

    /// Returns whether a prompt part was sent there recently.
    pub fn is_part_cached(&self, now: Instant, part: u64) -> bool {
        self.cached_parts
            .get(&part)
            .is_some_and(|used| now.duration_since(*used) < PREFIX_CACHE_TTL)
    }

    /// Takes the verdict on one request; returns whether the backend server is left out now.
    pub fn record_verdict(&mut self, now: Instant, verdict: Verdict) -> bool {
        self.decay(now);
        self.samples += 1.0;
        if verdict == Verdict::Success {
            self.consecutive_failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
            return false;
        }
        self.failures += 1.0;
        if verdict == Verdict::Failed {
            return false;
        }
        self.consecutive_failures += 1;
        self.cached_parts.clear();
        if self.consecutive_failures < EJECTION_THRESHOLD {
            return false;
        }
        let time =
            BASE_EJECTION_TIME.saturating_mul(1 << self.ejections.min(4)).min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.ejected_until = Some(now + time);
        true
    }

    /// Forgets all but the requests in flight, as the backend server has restarted.
    pub fn reset(&mut self) {
        let (in_flight, pending_prefill_tokens) = (self.in_flight, self.pending_prefill_tokens);
        *self = Self { in_flight, pending_prefill_tokens, ..Self::default() };
    }

    /// Leaves the backend server out for the longest time, as it is not there any more.
    pub fn eject(&mut self, now: Instant) {
        self.ejections += 1;
        self.ejected_until = Some(now + MAX_EJECTION_TIME);
    }

    /// Returns whether the backend server is left out.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the part of recent requests that failed, damped for few samples.
    pub fn failure_ratio(&self, now: Instant) -> f64 {
        let factor = self.decay_factor(now);
        self.failures * factor / (self.samples * factor + 3.0)
    }

    fn decay(&mut self, now: Instant) {
        let factor = self.decay_factor(now);
        self.failures *= factor;
        self.samples *= factor;
        self.decayed_at = Some(now);
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = self.decayed_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        exponential_decay(age, FAILURE_HALF_LIFE)
    }
}

/// Returns the part of a memory that is left after a time in which half of it fades each half-life.
pub fn exponential_decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Loads of all backend servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: HashMap<BackendServerName, ServerLoad>,
}

impl Loads {
    /// Returns the load of a backend server, which is empty at first.
    pub fn get_or_insert(&mut self, name: &BackendServerName) -> &mut ServerLoad {
        if !self.servers.contains_key(name) {
            self.servers.insert(name.clone(), ServerLoad::default());
        }
        self.servers.get_mut(name).expect("the load was just inserted")
    }

    /// Returns the load of a backend server if anything is known of it.
    pub fn get(&self, name: &BackendServerName) -> Option<&ServerLoad> {
        self.servers.get(name)
    }

    /// Forgets backend servers that are gone and have no request in flight.
    pub fn retain(&mut self, is_known: impl Fn(&BackendServerName) -> bool) {
        self.servers.retain(|name, load| load.in_flight > 0 || is_known(name));
    }
}
