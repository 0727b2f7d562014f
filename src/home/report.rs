//! The load that a model engine reports of itself, late.

use std::time::Duration;

use tokio::time::Instant;

/// Body of an engine's `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineLoad {
    /// Number of the engine's start.
    #[serde(default)]
    pub generation: u64,
    /// Time since the engine started, in milliseconds.
    #[serde(default)]
    pub uptime_ms: u64,
    /// Whether it bears its full load.
    #[serde(default)]
    pub warm: bool,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait inside the engine.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that it can run at once.
    #[serde(default)]
    pub slots: u32,
    /// Time between tokens, in microseconds.
    #[serde(default)]
    pub token_gap_us: u32,
    /// Whether it goes on with a broken answer.
    #[serde(default)]
    pub resumes: bool,
    /// Age of the report in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// An engine's load with the time at which it was true.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadReport {
    /// When the engine measured it, as far as is known.
    pub measured_at: Instant,
    /// The load.
    pub load: EngineLoad,
}

impl LoadReport {
    /// Dates a report that was asked for at an instant.
    ///
    /// The instant before the call is used, so that the report is never taken for newer than it is.
    pub fn new(requested_at: Instant, load: EngineLoad) -> Self {
        let age = Duration::from_millis(load.age_ms);
        Self { measured_at: requested_at.checked_sub(age).unwrap_or(requested_at), load }
    }

    /// Returns the requests that the engine holds.
    pub fn total_requests(&self) -> u32 {
        self.load.running.saturating_add(self.load.waiting)
    }
}
