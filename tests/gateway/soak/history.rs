//! What was done to the system, and when, for the checks afterwards.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time without trouble after which an instance must keep its time bounds again.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Whom a trouble concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// One instance: its process, or its way to the store.
    Instance(usize),
    /// The store, and so all instances.
    Store,
    /// A backend server.
    Server,
}

/// A trouble and its time; it lasts while it has no end.
#[derive(Debug, Clone)]
pub struct Trouble {
    /// Whom it concerns.
    pub whom: Whom,
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
    pub troubles: Vec<Trouble>,
    /// Keys that were withdrawn.
    pub withdrawn: Vec<Change>,
    /// Backend servers that drain or are gone.
    pub left: Vec<Change>,
    /// Data centres that were taken out.
    pub out: Vec<Change>,
    /// Times in which backend servers were cold.
    pub cold: Vec<Change>,
    /// When the store had taken each version of the configuration.
    pub versions: Vec<(u64, Instant)>,
    /// Starts of each instance's process.
    pub starts: Vec<(usize, Instant)>,
}

/// The history, shared by those who write it.
#[derive(Clone, Default)]
pub struct Book(Arc<Mutex<History>>);

impl Book {
    /// Returns the history.
    pub fn open(&self) -> MutexGuard<'_, History> {
        self.0.lock().expect("no writer panicked")
    }

    /// Notes that a trouble begins; returns its number.
    pub fn begin(&self, whom: Whom) -> usize {
        let mut history = self.open();
        history.troubles.push(Trouble { whom, from: Instant::now(), until: None });
        history.troubles.len() - 1
    }

    /// Notes that a trouble ended.
    pub fn end(&self, number: usize) {
        self.open().troubles[number].until = Some(Instant::now());
    }
}

impl History {
    /// Returns whether an instance had no trouble between two times, nor for a while before.
    pub fn is_in_touch(&self, instance: usize, from: Instant, to: Instant) -> bool {
        let concerns = |whom| matches!(whom, Whom::Store) || whom == Whom::Instance(instance);
        !self.any(from, to, concerns)
    }

    /// Returns whether there was no trouble at all between two times, nor for a while before.
    pub fn is_calm(&self, from: Instant, to: Instant) -> bool {
        !self.any(from, to, |_| true)
    }

    fn any(&self, from: Instant, to: Instant, concerns: impl Fn(Whom) -> bool) -> bool {
        self.troubles.iter().filter(|trouble| concerns(trouble.whom)).any(|trouble| {
            trouble.from <= to && trouble.until.is_none_or(|until| until + CONTACT > from)
        })
    }

    /// Returns the start of the process that an instance ran at a time.
    pub fn process_at(&self, instance: usize, at: Instant) -> Option<Instant> {
        let starts = self.starts.iter().filter(|(of, start)| *of == instance && *start <= at);
        starts.map(|(_, start)| *start).max()
    }
}
