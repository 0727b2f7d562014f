//! Load and failure statistics of backend servers, as observed by this instance, and outlier
//! ejection.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::names::BackendServerName;

/// Age at which a load report expires.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Half-life of the exponentially decayed failure statistics.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Time since its last use after which a prompt part is no longer assumed to be cached.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(20);
/// Maximum number of prompt parts tracked per backend server; about what its KV cache holds.
const MAX_CACHED_PARTS: usize = 512;
/// Time for which an engine that refused the copy of a run is taken to have no room for others.
const REFUSED_COPY_TTL: Duration = Duration::from_millis(300);
/// Transport failures without a success in between after which a backend server is ejected.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection since the last success; doubles with each further one up to
/// [`MAX_EJECTION_TIME`].
const BASE_EJECTION_TIME: Duration = Duration::from_millis(800);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Load that a backend server reported in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Outcome of a request as evidence of the backend server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A valid response was received.
    Success,
    /// The response reported a failure.
    Failed,
    /// The connection failed or was lost, the request timed out, or the response was malformed.
    TransportFailure,
}

/// Load and failure statistics of one backend server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    /// Unfinished requests of this instance.
    pub in_flight: u32,
    /// Uncached prompt tokens of this instance's requests that have not received their first event.
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
    copy_refused_at: Option<Instant>,
}

impl ServerLoad {
    /// Records a request that is about to be sent.
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

    /// Records that the first event of a request was received, or that none will be.
    pub fn finish_prefill(&mut self, prefill_tokens: u64) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Records the end of a request.
    pub fn finish_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load reported in a response.
    pub fn record_report(&mut self, now: Instant, reported: ReportedLoad) {
        self.reported = Some((reported, now));
        self.sent_since_report = 0;
    }

    /// Estimates the number of running and waiting requests: the larger of this instance's requests
    /// in flight and the last report plus the requests sent since.
    pub fn occupancy(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now);
        let reported =
            reported.map_or(0, |(load, _)| load.running + load.waiting + self.sent_since_report);
        reported.max(self.in_flight)
    }

    /// Returns the number of waiting requests in the last load report; 0 if it has expired.
    pub fn waiting(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |(load, _)| load.waiting)
    }

    /// Returns the age of the last load report, unless it has expired.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.fresh_report(now).map(|(_, age)| age)
    }

    /// Records that the engine had no room for a run of another one.
    pub fn record_refused_copy(&mut self, now: Instant) {
        self.copy_refused_at = Some(now);
    }

    /// Returns whether the engine seems to have one of its `slots` left for a run of another one.
    pub fn has_room_for_run(&self, now: Instant, slots: u32) -> bool {
        let is_refusing =
            self.copy_refused_at.is_some_and(|at| now.duration_since(at) < REFUSED_COPY_TTL);
        !is_refusing && self.occupancy(now) < slots
    }

    fn fresh_report(&self, now: Instant) -> Option<(ReportedLoad, Duration)> {
        let (load, at) = self.reported?;
        let age = now.duration_since(at);
        (age < REPORT_TTL).then_some((load, age))
    }

    /// Returns whether a prompt part was sent to the backend server recently, so that it is likely
    /// to be cached.
    pub fn is_part_cached(&self, now: Instant, part: u64) -> bool {
        self.cached_parts
            .get(&part)
            .is_some_and(|used| now.duration_since(*used) < PREFIX_CACHE_TTL)
    }

    /// Records the verdict on one request; returns whether it ejected the backend server.
    ///
    /// Only transport failures eject it; a reported failure only raises the failure ratio.
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

    /// Resets everything except the requests in flight, after a restart of the backend server.
    pub fn reset(&mut self) {
        let (in_flight, pending_prefill_tokens) = (self.in_flight, self.pending_prefill_tokens);
        *self = Self { in_flight, pending_prefill_tokens, ..Self::default() };
    }

    /// Ejects the backend server for the maximum time, as another server answers at its address.
    pub fn eject(&mut self, now: Instant) {
        self.ejections += 1;
        self.ejected_until = Some(now + MAX_EJECTION_TIME);
    }

    /// Returns whether the backend server is ejected.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the ratio of recent requests that failed, biased towards 0 if there are few samples.
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

/// Returns the factor by which a value with the given half-life has decayed after `age`.
pub fn exponential_decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Loads of all backend servers.
#[derive(Debug, Default)]
pub struct Loads {
    servers: HashMap<BackendServerName, ServerLoad>,
}

impl Loads {
    /// Returns the load of a backend server, adding an empty one if there is none.
    pub fn get_or_insert(&mut self, name: &BackendServerName) -> &mut ServerLoad {
        if !self.servers.contains_key(name) {
            self.servers.insert(name.clone(), ServerLoad::default());
        }
        self.servers.get_mut(name).expect("the load was just inserted")
    }

    /// Returns the load of a backend server, if it is tracked.
    pub fn get(&self, name: &BackendServerName) -> Option<&ServerLoad> {
        self.servers.get(name)
    }

    /// Drops unknown backend servers that have no requests in flight.
    pub fn retain(&mut self, is_known: impl Fn(&BackendServerName) -> bool) {
        self.servers.retain(|name, load| load.in_flight > 0 || is_known(name));
    }
}
