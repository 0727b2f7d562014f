//! What was done to the system, and when, for the checks afterwards.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time without trouble after which an instance must keep its time bounds again.
pub const RECOVERY_TIME: Duration = Duration::from_millis(3_000);

/// Whom a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// One instance: its process, or its way to the store.
    Instance(usize),
    /// The store, and so all instances.
    Store,
    /// A backend server.
    Server,
}

/// A trouble and its time; it lasts while it has no end.
#[derive(Debug, Clone)]
pub struct Disturbance {
    /// Whom it concerns.
    pub scope: Scope,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Option<Instant>,
}

/// A change that must be in force a while after the store took it.
#[derive(Debug, Clone)]
pub struct Change {
    /// What was changed: a key, a server or a data centre.
    pub name: String,
    /// When the store had taken it.
    pub at: Instant,
    /// When it was taken back, if it was.
    pub until: Option<Instant>,
}

/// All that was done.
#[derive(Debug, Default)]
pub struct History {
    /// Troubles.
    pub disturbances: Vec<Disturbance>,
    /// Keys that were withdrawn.
    pub withdrawn: Vec<Change>,
    /// Backend servers that drain or are gone.
    pub departed: Vec<Change>,
    /// Data centres that were taken out.
    pub evacuated: Vec<Change>,
    /// Times in which backend servers were cold.
    pub cold: Vec<Change>,
    /// When the store had taken each version of the configuration.
    pub versions: Vec<(u64, Instant)>,
    /// Starts of each instance's process.
    pub starts: Vec<(usize, Instant)>,
}

/// The history, shared by those who write it.
#[derive(Clone, Default)]
pub struct SharedHistory(Arc<Mutex<History>>);

impl SharedHistory {
    /// Returns the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.0.lock().expect("no writer panicked")
    }

    /// Notes that a trouble begins; returns its number.
    pub fn begin(&self, scope: Scope) -> usize {
        let mut history = self.lock();
        history.disturbances.push(Disturbance { scope, from: Instant::now(), until: None });
        history.disturbances.len() - 1
    }

    /// Notes that a trouble ended.
    pub fn end(&self, number: usize) {
        self.lock().disturbances[number].until = Some(Instant::now());
    }
}

impl History {
    /// Returns whether an instance had no trouble between two times, nor for a while before.
    pub fn is_undisturbed(&self, instance: usize, from: Instant, to: Instant) -> bool {
        let affects = |scope| matches!(scope, Scope::Store) || scope == Scope::Instance(instance);
        !self.has_disturbance(from, to, affects)
    }

    /// Returns whether there was no trouble at all between two times, nor for a while before.
    pub fn is_fault_free(&self, from: Instant, to: Instant) -> bool {
        !self.has_disturbance(from, to, |_| true)
    }

    fn has_disturbance(&self, from: Instant, to: Instant, affects: impl Fn(Scope) -> bool) -> bool {
        self.disturbances.iter().filter(|disturbance| affects(disturbance.scope)).any(
            |disturbance| {
                disturbance.from <= to
                    && disturbance.until.is_none_or(|until| until + RECOVERY_TIME > from)
            },
        )
    }

    /// Returns the start of the process that an instance ran at a time.
    pub fn process_at(&self, instance: usize, at: Instant) -> Option<Instant> {
        let starts = self.starts.iter().filter(|(of, start)| *of == instance && *start <= at);
        starts.map(|(_, start)| *start).max()
    }
}
