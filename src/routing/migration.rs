//! Migration of a running stream from an engine that shuts down: when it is tried, and which engine
//! takes the run over.
//!
//! In a burst, the engines that a new request would be sent to are full, and all streams of the
//! leaving engines need a place within seconds. A refused copy costs the run nothing, so a stream
//! asks one engine after another until the leaving engine exits.

use std::time::{Duration, Instant};

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::choose::{Choice, ChoiceSettings, Demand, choose};
use crate::routing::fleet::Server;
use crate::routing::load::Loads;

/// Time between two attempts; the events that arrive meanwhile are forwarded.
const RETRY_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of attempts for one run.
const MAX_ATTEMPTS: u32 = 12;

/// Attempts to migrate one stream.
#[derive(Debug, Clone, Default)]
pub struct MigrationAttempts {
    /// Time from the start of the engine's shutdown to the first attempt.
    delay: Duration,
    count: u32,
    last_at: Option<Instant>,
    refused_by: Vec<BackendServerName>,
    is_excluded: bool,
}

impl MigrationAttempts {
    /// Allows attempts from `delay` after the start of an engine's shutdown.
    pub fn after(delay: Duration) -> Self {
        Self { delay, ..Self::default() }
    }

    /// Allows no attempts.
    pub fn excluded() -> Self {
        Self { is_excluded: true, ..Self::default() }
    }

    /// Returns whether to migrate a run whose engine shuts down since `draining_since`.
    pub fn is_due(&self, now: Instant, draining_since: Option<Instant>) -> bool {
        let is_allowed = !self.is_excluded && self.count < MAX_ATTEMPTS;
        let is_paused = self.last_at.is_some_and(|at| now.duration_since(at) < RETRY_PERIOD);
        let has_waited = draining_since.is_some_and(|at| now.duration_since(at) > self.delay);
        is_allowed && !is_paused && has_waited
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Instant) {
        self.count += 1;
        self.last_at = Some(now);
    }

    /// Records that an engine had no room for the run.
    pub fn record_refusal(&mut self, engine: BackendServerName) {
        self.refused_by.push(engine);
    }

    /// Rules out further attempts, as the run has ended or can't be migrated.
    pub fn exclude(&mut self) {
        self.is_excluded = true;
    }

    /// Records that the run goes on at another engine, which may shut down in turn.
    pub fn record_success(&mut self) {
        *self = Self::after(self.delay);
    }

    /// Returns whether an engine had no room for the run.
    pub fn is_refused_by(&self, engine: &BackendServerName) -> bool {
        self.refused_by.contains(engine)
    }

    /// Chooses the engine that takes the run over.
    ///
    /// Engines that seem to have a free slot go first. After a refusal, the division of the engines
    /// by prompt length no longer counts: a pause between events is better than a broken stream.
    pub fn choose_engine(
        &self,
        now: Instant,
        cfg: &ChoiceSettings,
        local_data_centre: &DataCentreName,
        demand: &Demand,
        engines: &[&Server],
        loads: &Loads,
    ) -> Option<Choice> {
        // The KV cache is copied, so there is hardly any prompt to prefill.
        let demand = Demand { prompt_tokens: 1, ..demand.clone() };
        let share = if self.refused_by.is_empty() { cfg.short_pool_share } else { 0.0 };
        let cfg = ChoiceSettings { short_pool_share: share, ..*cfg };
        let untried = engines.iter().copied().filter(|s| !self.is_refused_by(&s.entry.name));
        let has_room = |server: &&Server| {
            let load = loads.get(&server.entry.name);
            load.is_none_or(|load| load.has_room_for_run(now, server.entry.slots))
        };
        let (roomy, full): (Vec<&Server>, Vec<&Server>) = untried.partition(has_room);
        let candidates = if roomy.is_empty() { full } else { roomy };
        choose(now, &cfg, local_data_centre, &demand, &candidates, loads)
    }
}
