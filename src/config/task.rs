//! The task that owns the configuration state of this instance and puts changes in force.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use super::root::Root;
use super::shard::Shards;
use super::spread::{Audience, is_watcher, spread};
use super::state::{Adoption, State};
use super::{InForce, Mark};
use crate::context::Context;
use crate::event::EventKind;

/// Offers that may wait for the task.
const MAX_WAITING: usize = 256;

/// Where a change was learned, which decides who has to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An operator gave it to this instance.
    Operator,
    /// It was read from the platform.
    Store,
    /// A peer sent it.
    Peer,
}

/// A root, shards and marks to be merged into the state.
#[derive(Debug)]
pub struct Offer {
    /// The root, if there is one.
    pub root: Option<Arc<Root>>,
    /// Shards that the root needs and the state may lack.
    pub shards: Shards,
    /// Marks to merge.
    pub marks: Vec<Mark>,
    /// Where they were learned.
    pub source: Source,
}

/// An offer with the channel for its result.
#[derive(Debug)]
pub struct Message {
    offer: Offer,
    reply: oneshot::Sender<Option<Adoption>>,
}

/// Sends offers to the task; clones reach the same task.
#[derive(Debug, Clone)]
pub struct Offers {
    tx: mpsc::Sender<Message>,
}

impl Offers {
    /// Makes the sending and the receiving side.
    pub fn channel() -> (Self, mpsc::Receiver<Message>) {
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        (Self { tx }, rx)
    }

    /// Merges an offer; returns what became of its root once the result is in force.
    pub async fn send(&self, offer: Offer) -> Option<Adoption> {
        let (reply, rx) = oneshot::channel();
        // The task ends only with the process, and then nobody needs the answer.
        self.tx.send(Message { offer, reply }).await.ok()?;
        rx.await.ok()?
    }

    /// Merges marks.
    pub async fn send_marks(&self, marks: Vec<Mark>, source: Source) {
        self.send(Offer { root: None, shards: Shards::new(), marks, source }).await;
    }
}

/// Owner of the state.
pub struct ConfigTask {
    cx: Context,
    state: watch::Sender<State>,
    in_force: watch::Sender<Arc<InForce>>,
    rx: mpsc::Receiver<Message>,
}

impl ConfigTask {
    /// Makes the task; [`ConfigTask::run`] drives it.
    pub fn new(
        cx: Context,
        state: watch::Sender<State>,
        in_force: watch::Sender<Arc<InForce>>,
        rx: mpsc::Receiver<Message>,
    ) -> Self {
        Self { cx, state, in_force, rx }
    }

    /// Merges offers until all handles are gone.
    pub async fn run(mut self) {
        while let Some(Message { offer, reply }) = self.rx.recv().await {
            let adoption = self.merge(offer);
            // The sender may have stopped waiting.
            let _ = reply.send(adoption);
        }
    }

    fn merge(&self, offer: Offer) -> Option<Adoption> {
        let Offer { root, shards, marks, source } = offer;
        let mut state = self.state.borrow().clone();
        let adoption = root.map(|root| {
            self.cx.clock.observe(root.service_as_of);
            let adoption = state.adopt(root.clone(), &shards);
            self.record_adoption(&adoption, root.version, state.version());
            adoption
        });
        let new_marks: Vec<Mark> = marks
            .into_iter()
            .filter(|mark| !state.contains(mark) && !state.marks().covers(mark))
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

    fn spread_marks(&self, state: &State, marks: Vec<Mark>, source: Source) {
        let audience = match source {
            Source::Operator => Audience::Everyone,
            Source::Store if is_watcher(&self.cx) => Audience::OwnDataCentre,
            Source::Store | Source::Peer => return,
        };
        tokio::spawn(spread(self.cx.clone(), state.version(), marks, audience));
    }

    fn spread_root(&self, state: &State, source: Source) {
        if source == Source::Operator {
            tokio::spawn(spread(self.cx.clone(), state.version(), Vec::new(), Audience::Watchers));
        }
        if is_watcher(&self.cx) {
            let audience = Audience::OwnDataCentre;
            tokio::spawn(spread(self.cx.clone(), state.version(), Vec::new(), audience));
        }
    }

    fn record_adoption(&self, adoption: &Adoption, offered: u64, in_force: u64) {
        let detail = match adoption {
            Adoption::Adopted => format!("version {offered} in force"),
            Adoption::Older => format!("version {offered} ignored: {in_force} is in force"),
            Adoption::Diverged => {
                tracing::error!(version = offered, "two configurations have the same version");
                format!("version {offered} with another history ignored")
            }
            Adoption::Known | Adoption::Incomplete(_) => return,
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
                let way = if *in_service { "in" } else { "out" };
                self.cx.recorder.record(EventKind::Mark, format!("{target} {way}"));
            }
        }
    }
}
