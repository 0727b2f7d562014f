//! History of the injected faults and changes, for the checks at the end of a run.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after the end of a disturbance from which an instance must meet its time bounds again.
pub const RECOVERY_BOUND: Duration = Duration::from_millis(3_000);

/// Scope of a disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One instance: its process or its connections to the store.
    Instance(usize),
    /// The store, which affects all instances.
    Store,
    /// A backend server, the configuration, the settings or an evacuation. Instances must meet
    /// their time bounds also during these.
    Server,
}

/// A period during which faults affected part of the cluster.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Affected part of the cluster.
    pub scope: Scope,
    /// Start of the disturbance.
    pub from: Instant,
    /// End of the disturbance; `None` while it lasts.
    pub until: Option<Instant>,
}

/// A change that must take effect within a time bound after it was written to the store.
#[derive(Debug, Clone)]
pub struct Change {
    /// Name of the key, backend server or data centre.
    pub name: String,
    /// When the change was written, or takes effect at the latest.
    pub at: Instant,
    /// When the change was reverted, if it was.
    pub until: Option<Instant>,
}

/// Everything that was done to the cluster.
#[derive(Debug, Default)]
pub struct History {
    /// Disturbances in the order of their start.
    pub disturbances: Vec<Disturbance>,
    /// Withdrawn keys.
    pub withdrawn: Vec<Change>,
    /// Draining and removed backend servers.
    pub departed: Vec<Change>,
    /// Evacuations of data centres.
    pub evacuated: Vec<Change>,
    /// Periods during which backend servers were cold.
    pub cold: Vec<Change>,
    /// Versions of the configuration, with the times when they were written.
    pub versions: Vec<(u64, Instant)>,
    /// Process starts by instance index.
    pub starts: Vec<(usize, Instant)>,
}

/// History that is shared between tasks.
#[derive(Clone, Default)]
pub struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().expect("no lock holder panicked")
    }

    /// Records the start of a disturbance and returns its index.
    pub fn begin(&self, scope: Scope) -> usize {
        let mut history = self.lock();
        history.disturbances.push(Disturbance { scope, from: Instant::now(), until: None });
        history.disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&self, index: usize) {
        self.lock().disturbances[index].until = Some(Instant::now());
    }
}

impl History {
    /// Returns whether no disturbance affected an instance between two times, nor during the
    /// recovery time before.
    pub fn is_undisturbed(&self, instance: usize, from: Instant, to: Instant) -> bool {
        let affects = |scope| matches!(scope, Scope::Store) || scope == Scope::Instance(instance);
        !self.has_disturbance(from, to, affects)
    }

    /// Returns whether there was no disturbance at all between two times, nor during the recovery
    /// time before.
    pub fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        !self.has_disturbance(from, to, |_| true)
    }

    fn has_disturbance(&self, from: Instant, to: Instant, affects: impl Fn(Scope) -> bool) -> bool {
        self.disturbances.iter().filter(|disturbance| affects(disturbance.scope)).any(
            |disturbance| {
                disturbance.from <= to
                    && disturbance.until.is_none_or(|until| until + RECOVERY_BOUND > from)
            },
        )
    }

    /// Returns the start time of the process that ran as an instance at a given time; the start
    /// time identifies the process.
    pub fn process_at(&self, instance: usize, at: Instant) -> Option<Instant> {
        let starts = self.starts.iter().filter(|(of, start)| *of == instance && *start <= at);
        starts.map(|(_, start)| *start).max()
    }
}
