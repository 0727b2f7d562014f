//! Background task that writes marks to the platform and retries until they are durable.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::Marks;
use super::spread::is_watcher;
use super::state::State;
use super::store::ConfigStore;
use crate::context::Context;
use crate::event::EventKind;
use crate::platform::PlatformError;

/// Interval between attempts while this instance has marks that it failed to store.
const RETRY_PERIOD: Duration = Duration::from_millis(400);
/// Interval at which a watcher checks for marks that no other instance has stored, for example
/// because the instance that received them can't reach the platform.
const UNSTORED_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Maximum attempts without delay when concurrent writers cause conflicts.
const MAX_CONFLICT_ATTEMPTS: usize = 8;

/// The task that stores marks.
pub struct Persister {
    cx: Context,
    store: ConfigStore,
    state: watch::Receiver<State>,
    stored_marks: watch::Sender<Arc<Marks>>,
    wake: mpsc::Receiver<()>,
}

impl Persister {
    /// Creates the task; it publishes the durable marks to `stored_marks` and writes when it
    /// receives from `wake`.
    pub fn new(
        cx: Context,
        store: ConfigStore,
        state: watch::Receiver<State>,
        stored_marks: watch::Sender<Arc<Marks>>,
        wake: mpsc::Receiver<()>,
    ) -> Self {
        Self { cx, store, state, stored_marks, wake }
    }

    /// Runs until all senders of `wake` are dropped.
    pub async fn run(mut self) {
        let mut retries = self.cx.timer.every(RETRY_PERIOD);
        let mut unstored_checks = self.cx.timer.every(UNSTORED_CHECK_PERIOD);
        let mut pending = false;
        loop {
            let due = tokio::select! {
                woken = self.wake.recv() => match woken {
                    Some(()) => true,
                    None => return,
                },
                Some(_) = retries.recv() => pending,
                Some(_) = unstored_checks.recv() => is_watcher(&self.cx) && !self.all_stored(),
            };
            if due {
                let saved = self.save().await;
                self.record_durability_change(pending, !saved);
                pending = !saved;
            }
        }
    }

    fn all_stored(&self) -> bool {
        let marks = self.state.borrow().marks().clone();
        let stored_marks = self.stored_marks.borrow();
        marks.iter().all(|mark| stored_marks.covers(&mark))
    }

    /// Tries to store all known marks; returns whether they are durable.
    async fn save(&self) -> bool {
        for _ in 0..MAX_CONFLICT_ATTEMPTS {
            let state = self.state.borrow().clone();
            let merged = self.store.merge_marks(state.marks(), |mark| state.supersedes(mark)).await;
            match merged {
                Ok(stored_marks) => {
                    self.stored_marks.send_replace(stored_marks);
                    return self.all_stored();
                }
                Err(PlatformError::Conflict) => tokio::task::yield_now().await,
                Err(error) => {
                    tracing::debug!(%error, "failed to store the marks in the platform; retrying");
                    return false;
                }
            }
        }
        false
    }

    fn record_durability_change(&self, pending_before: bool, pending_now: bool) {
        let detail = match (pending_before, pending_now) {
            (false, true) => "marks can't be stored at present; trying again",
            (true, false) => "marks are durable again",
            _ => return,
        };
        self.cx.recorder.record(EventKind::Platform, detail);
    }
}
