//! Load reports of the engines on backend servers, which may be some time old.

use std::time::Duration;

use tokio::time::Instant;

/// Body of an engine's `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineLoad {
    /// Counter of engine starts.
    #[serde(default)]
    pub generation: u64,
    /// Time since the engine started, in milliseconds.
    #[serde(default)]
    pub uptime_ms: u64,
    /// Whether the engine has finished warming up.
    #[serde(default)]
    pub warm: bool,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of requests waiting inside the engine.
    #[serde(default)]
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    #[serde(default)]
    pub slots: u32,
    /// Time between tokens, in microseconds.
    #[serde(default)]
    pub token_gap_us: u32,
    /// Whether the engine can resume an interrupted response.
    #[serde(default)]
    pub resumes: bool,
    /// Age of the measurement in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Load of an engine and the time at which it was measured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// Estimated time of the measurement on this instance's clock.
    pub measured_at: Instant,
    /// Reported load.
    pub load: EngineLoad,
}

impl LoadReport {
    /// Creates a report from a response whose request was sent at `requested_at`.
    ///
    /// The age is subtracted from the time of the request, so that a report never counts as newer
    /// than it is.
    pub fn new(requested_at: Instant, load: EngineLoad) -> Self {
        let age = Duration::from_millis(load.age_ms);
        Self { measured_at: requested_at.checked_sub(age).unwrap_or(requested_at), load }
    }

    /// Returns the number of running and waiting requests inside the engine.
    pub fn total_requests(&self) -> u32 {
        self.load.running.saturating_add(self.load.waiting)
    }
}
