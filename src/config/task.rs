//! Background task that owns the configuration state, merges updates and puts changes in force.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use super::root::Root;
use super::shard::Shards;
use super::spread::{SpreadScope, is_watcher, spread};
use super::state::{Adoption, State};
use super::{InForce, Mark};
use crate::context::Context;
use crate::event::EventKind;

/// Maximum queued updates.
const MAX_QUEUED_UPDATES: usize = 256;

/// Where an update came from, which determines the peers that it is sent on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// An operator made the change at this instance.
    Operator,
    /// The update was read from the platform.
    Store,
    /// A peer sent the update.
    Peer,
}

/// A root, shards and marks to merge into the state.
#[derive(Debug)]
pub struct StateUpdate {
    /// The root, if the update has one.
    pub root: Option<Arc<Root>>,
    /// Shards of the root that the state may lack.
    pub shards: Shards,
    /// Marks to merge.
    pub marks: Vec<Mark>,
    /// Where the update came from.
    pub source: UpdateSource,
}

/// An update with the channel for its result.
#[derive(Debug)]
pub struct UpdateRequest {
    update: StateUpdate,
    reply: oneshot::Sender<Option<Adoption>>,
}

/// Sends updates to the task; clones share the same task.
#[derive(Debug, Clone)]
pub struct UpdateSender {
    tx: mpsc::Sender<UpdateRequest>,
}

impl UpdateSender {
    /// Creates the queue; returns its sending and its receiving side.
    pub fn channel() -> (Self, mpsc::Receiver<UpdateRequest>) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_UPDATES);
        (Self { tx }, rx)
    }

    /// Merges an update; returns once it is in force. The value is the outcome of adopting the root,
    /// or `None` if the update has no root.
    pub async fn send(&self, update: StateUpdate) -> Option<Adoption> {
        let (reply, rx) = oneshot::channel();
        // The task only ends with the process, when the result is no longer needed.
        self.tx.send(UpdateRequest { update, reply }).await.ok()?;
        rx.await.ok()?
    }

    /// Merges marks.
    pub async fn send_marks(&self, marks: Vec<Mark>, source: UpdateSource) {
        self.send(StateUpdate { root: None, shards: Shards::new(), marks, source }).await;
    }
}

/// The task that owns the state.
pub struct ConfigTask {
    cx: Context,
    state: watch::Sender<State>,
    in_force: watch::Sender<Arc<InForce>>,
    rx: mpsc::Receiver<UpdateRequest>,
}

impl ConfigTask {
    /// Creates the task; [`ConfigTask::run`] runs it.
    pub fn new(
        cx: Context,
        state: watch::Sender<State>,
        in_force: watch::Sender<Arc<InForce>>,
        rx: mpsc::Receiver<UpdateRequest>,
    ) -> Self {
        Self { cx, state, in_force, rx }
    }

    /// Merges updates until all senders are dropped.
    pub async fn run(mut self) {
        while let Some(UpdateRequest { update, reply }) = self.rx.recv().await {
            let adoption = self.merge(update);
            // The receiver may have been dropped.
            let _ = reply.send(adoption);
        }
    }

    fn merge(&self, update: StateUpdate) -> Option<Adoption> {
        let StateUpdate { root, shards, marks, source } = update;
        let mut state = self.state.borrow().clone();
        let adoption = root.map(|root| {
            self.cx.clock.observe(root.service_as_of);
            let adoption = state.adopt(root.clone(), &shards);
            self.record_adoption(&adoption, root.version, state.version());
            adoption
        });
        let new_marks: Vec<Mark> = marks
            .into_iter()
            .filter(|mark| !state.supersedes(mark) && !state.marks().covers(mark))
            .collect();
        let marks_changed = state.merge(&new_marks);
        let root_changed = adoption == Some(Adoption::Adopted);
        if root_changed || marks_changed {
            self.publish(&state);
        }
        new_marks.iter().for_each(|mark| self.record_mark(&state, mark));
        if marks_changed {
            self.spread_marks(&state, new_marks, source);
        }
        if root_changed {
            self.spread_root(&state, source);
        }
        adoption
    }

    fn publish(&self, state: &State) {
        self.state.send_replace(state.clone());
        self.in_force.send_replace(Arc::new(state.in_force()));
    }

    fn spread_marks(&self, state: &State, marks: Vec<Mark>, source: UpdateSource) {
        let scope = match source {
            UpdateSource::Operator => SpreadScope::AllInstances,
            UpdateSource::Store if is_watcher(&self.cx) => SpreadScope::LocalDataCentre,
            UpdateSource::Store | UpdateSource::Peer => return,
        };
        tokio::spawn(spread(self.cx.clone(), state.version(), marks, scope));
    }

    fn spread_root(&self, state: &State, source: UpdateSource) {
        if source == UpdateSource::Operator {
            tokio::spawn(spread(
                self.cx.clone(),
                state.version(),
                Vec::new(),
                SpreadScope::AllWatchers,
            ));
        }
        if is_watcher(&self.cx) {
            let scope = SpreadScope::LocalDataCentre;
            tokio::spawn(spread(self.cx.clone(), state.version(), Vec::new(), scope));
        }
    }

    fn record_adoption(&self, adoption: &Adoption, root_version: u64, current_version: u64) {
        let detail = match adoption {
            Adoption::Adopted => format!("version {root_version} in force"),
            Adoption::Outdated => {
                format!("version {root_version} ignored: {current_version} is in force")
            }
            Adoption::Diverged => {
                tracing::error!(
                    version = root_version,
                    "ignored a configuration that has the version in force but a different history"
                );
                format!("version {root_version} with another history ignored")
            }
            Adoption::AlreadyInForce | Adoption::Incomplete(_) => return,
        };
        self.cx.recorder.record(EventKind::Config, detail);
    }

    fn record_mark(&self, state: &State, mark: &Mark) {
        match mark {
            Mark::KeyWithdrawn(hash) => {
                let config = state.in_force().config;
                let id = config.keys.get(hash).map_or("(not known here yet)", |k| k.id.as_str());
                self.cx.recorder.record(EventKind::Key, format!("key {id} withdrawn"));
            }
            Mark::Service { target, in_service, .. } => {
                let service = if *in_service { "in" } else { "out" };
                self.cx.recorder.record(EventKind::Mark, format!("{target} {service}"));
            }
        }
    }
}
