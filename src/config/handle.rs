//! Handle to the configuration tasks, used by the administration API and the peer service.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::convert::{mark_to_message, marks_from_messages};
use super::edit::Editor;
use super::model::{Config, Key, KeyHash};
use super::persist::Persister;
use super::plan::{Accepted, ApplyError, Edit};
use super::pull::{PeerPuller, PullQueue, run_pulls};
use super::spread::{SpreadScope, spread};
use super::start::bootstrap;
use super::state::State;
use super::store::ConfigStore;
use super::task::{ConfigTask, StateUpdate, UpdateSender, UpdateSource};
use super::watcher::Watcher;
use super::{InForce, Mark, MarkTarget, Marks};
use crate::clock::Hlc;
use crate::context::Context;
use crate::event::{EventKind, EventSubject};
use crate::names::{ClassName, KeyId, OrganisationName};
use crate::peer::Member;
use crate::peer::generated::v1;

/// How long a call that sets a mark waits until the mark is durable.
const DURABILITY_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of withdrawn keys in the marks above which they are merged into the key records.
const COMPACTION_THRESHOLD: usize = 64;
/// Maximum bytes of shards in one reply to a peer.
const MAX_REPLY_SHARD_BYTES: usize = 6 << 20;
/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;
/// Number of random bytes in a key's public identifier.
const KEY_ID_BYTES: usize = 8;

/// Result of setting a mark, which is in force on this instance immediately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MarkOutcome {
    /// Whether the platform has stored the mark; if not, this instance keeps retrying.
    pub durable: bool,
}

/// A new key in clear text, of which only the hash is stored.
#[derive(Debug, Clone)]
pub struct IssuedKey {
    /// Public identifier.
    pub id: KeyId,
    /// The key itself.
    pub key: String,
    /// First configuration version that contains the key.
    pub version: u64,
}

/// Handle to the configuration tasks; clones share the same tasks.
#[derive(Clone)]
pub struct ConfigHandle {
    cx: Context,
    state: watch::Receiver<State>,
    stored_marks: watch::Receiver<Arc<Marks>>,
    updates: UpdateSender,
    pulls: PullQueue,
    editor: Editor,
    wake_persister: mpsc::Sender<()>,
}

/// Starts the configuration tasks, which publish the configuration in force to `in_force`.
pub fn start(cx: Context, in_force: watch::Sender<Arc<InForce>>) -> ConfigHandle {
    let (state_tx, state) = watch::channel(State::default());
    let (stored_marks_tx, stored_marks) = watch::channel(Arc::new(Marks::default()));
    let (updates, updates_rx) = UpdateSender::channel();
    let (pulls, pulls_rx) = PullQueue::channel();
    let (wake_persister, wake_rx) = mpsc::channel(1);
    let store = ConfigStore::new(cx.objects.clone(), cx.metrics.clone());
    let watcher = Watcher {
        cx: cx.clone(),
        store: store.clone(),
        state: state.clone(),
        updates: updates.clone(),
        stored_marks: stored_marks_tx.clone(),
    };
    let puller = PeerPuller { cx: cx.clone(), state: state.clone(), updates: updates.clone() };
    let persister =
        Persister::new(cx.clone(), store.clone(), state.clone(), stored_marks_tx, wake_rx);
    tokio::spawn(ConfigTask::new(cx.clone(), state_tx, in_force, updates_rx).run());
    tokio::spawn(run_pulls(puller.clone(), pulls_rx));
    tokio::spawn(persister.run());
    tokio::spawn(bootstrap(watcher, puller));
    let editor = Editor::new(store, cx.clock.clone(), state.clone());
    ConfigHandle { cx, state, stored_marks, updates, pulls, editor, wake_persister }
}

impl ConfigHandle {
    /// Returns a snapshot of the configuration state.
    pub fn state(&self) -> State {
        self.state.borrow().clone()
    }

    /// Replaces the sheet's records by those of `config`; returns once the version is durable.
    ///
    /// `based_on` is the version that the operator edited.
    ///
    /// # Errors
    /// [`ApplyError::Unknown`] if the configuration may have been accepted; all others mean that
    /// nothing was changed.
    pub async fn apply(&self, config: Config, based_on: u64) -> Result<Accepted, ApplyError> {
        self.edit(Edit::Sheet { config: Box::new(config), based_on }).await
    }

    /// Issues a key for an organisation.
    ///
    /// # Errors
    /// If the organisation or a class is unknown, or the platform can't be reached.
    pub async fn issue_key(
        &self,
        organisation: OrganisationName,
        default_class: Option<ClassName>,
        allowed_classes: Vec<ClassName>,
    ) -> Result<IssuedKey, ApplyError> {
        let key = format!("lv-{}", hex::encode(rand::random::<[u8; KEY_BYTES]>()));
        let id = KeyId::from(format!("key-{}", hex::encode(rand::random::<[u8; KEY_ID_BYTES]>())));
        let record = Key {
            id: id.clone(),
            organisation: organisation.clone(),
            default_class,
            allowed_classes: allowed_classes.into_iter().collect(),
            withdrawn: false,
        };
        let accepted = self.edit(Edit::AddKey(KeyHash::of(&key), record)).await?;
        let about = EventSubject { organisation: Some(organisation), ..EventSubject::default() };
        self.cx.recorder.record_for(EventKind::Key, about, format!("key {id} issued"));
        Ok(IssuedKey { id, key, version: accepted.version })
    }

    /// Withdraws a key; returns `None` if no key has this identifier.
    pub async fn withdraw(&self, id: &KeyId) -> Option<MarkOutcome> {
        let config = self.state.borrow().in_force().config;
        let hash = config.keys.iter().find(|(_, key)| key.id == *id)?.0.clone();
        Some(self.set_mark(Mark::KeyWithdrawn(hash)).await)
    }

    /// Takes a data centre or backend server out of service, or in again.
    ///
    /// The timestamp of the mark is greater than that of the sheet and of every known mark, so that
    /// the new mark overrides them even if the local clock is behind.
    pub async fn set_in_service(&self, target: MarkTarget, in_service: bool) -> MarkOutcome {
        let latest = {
            let state = self.state.borrow();
            let as_of = state.root().map_or(Hlc::default(), |root| root.service_as_of);
            as_of.max(state.marks().latest_service_timestamp().unwrap_or_default())
        };
        let at = self.cx.clock.now().max(Hlc(latest.0 + 1));
        self.set_mark(Mark::Service { target, at, in_service }).await
    }

    /// Puts a mark in force here, sends it to all peers, and waits for it to be stored.
    pub async fn set_mark(&self, mark: Mark) -> MarkOutcome {
        self.updates.send_marks(vec![mark.clone()], UpdateSource::Operator).await;
        // If the channel is full, a wake-up of the persister is already pending.
        let _ = self.wake_persister.try_send(());
        let durable =
            tokio::time::timeout(DURABILITY_TIMEOUT, self.wait_until_durable(&mark)).await.is_ok();
        if durable && self.state.borrow().marks().withdrawn_count() > COMPACTION_THRESHOLD {
            let handle = self.clone();
            tokio::spawn(async move { handle.edit(Edit::CompactMarks).await });
        }
        MarkOutcome { durable }
    }

    /// Returns the marks, and the root with the missing shards if the peer's version is older.
    pub async fn handle_fetch(&self, req: v1::FetchConfigRequest) -> v1::FetchConfigReply {
        let state = self.state();
        let marks = state.marks().iter().map(|mark| mark_to_message(&mark)).collect();
        let newer = state.root().filter(|root| root.version > req.known_version);
        let root = newer.and_then(|root| serde_json::to_vec(root.as_ref()).ok());
        let shards = match &root {
            Some(_) => shards_for(&state, &req.known_shards),
            None => Vec::new(),
        };
        let root = root.unwrap_or_default();
        v1::FetchConfigReply { root, shards, marks, members: Vec::new(), members_revision: 0 }
    }

    /// Merges the marks that a peer sent; pulls from it if it has a newer version.
    pub async fn handle_spread(&self, req: v1::SpreadRequest) -> v1::SpreadReply {
        self.cx.clock.observe(Hlc(req.hlc));
        let marks = marks_from_messages(req.marks);
        if !marks.is_empty() {
            self.updates.send_marks(marks, UpdateSource::Peer).await;
        }
        let state = self.state();
        if req.config_version > state.version() {
            let members = self.cx.members.borrow();
            if let Some(member) = members.listed.get(req.instance.as_str()) {
                self.pulls.request(&member.peer_address);
            }
        }
        v1::SpreadReply { config_version: state.version(), marks_digest: state.digest() }
    }

    /// Handles the configuration part of a peer's beat; pulls from the peer if its version is newer
    /// or its marks differ.
    pub fn handle_beat(&self, member: &Member, config_version: u64, marks_digest: u64) {
        let (version, digest) = {
            let state = self.state.borrow();
            (state.version(), state.digest())
        };
        if config_version > version || marks_digest != digest {
            self.pulls.request(&member.peer_address);
        }
    }

    /// Sends the version in force here to the peers of the local data centre.
    pub fn announce(&self) {
        let version = self.state.borrow().version();
        tokio::spawn(spread(self.cx.clone(), version, Vec::new(), SpreadScope::LocalDataCentre));
    }

    /// Executes an edit and puts the result in force, also if the calling future is dropped.
    async fn edit(&self, edit: Edit) -> Result<Accepted, ApplyError> {
        let editor = self.editor.clone();
        let updates = self.updates.clone();
        let work = tokio::spawn(async move {
            let outcome = editor.run(&edit).await?;
            let update = StateUpdate {
                root: outcome.root,
                shards: outcome.shards,
                marks: Vec::new(),
                source: UpdateSource::Operator,
            };
            updates.send(update).await;
            Ok(outcome.accepted)
        });
        work.await.unwrap_or_else(|error| Err(ApplyError::Unknown(error.to_string())))
    }

    async fn wait_until_durable(&self, mark: &Mark) {
        let mut stored_marks = self.stored_marks.clone();
        let mut state = self.state.clone();
        loop {
            let superseded = state.borrow_and_update().supersedes(mark);
            if superseded || stored_marks.borrow_and_update().covers(mark) {
                return;
            }
            tokio::select! {
                Ok(()) = stored_marks.changed() => {}
                Ok(()) = state.changed() => {}
                // The senders are dropped only when the process ends.
                else => std::future::pending().await,
            }
        }
    }
}

/// Returns shards that are not in `known`, up to the size limit of one reply.
fn shards_for(state: &State, known: &[String]) -> Vec<v1::Shard> {
    let known: std::collections::HashSet<&str> = known.iter().map(String::as_str).collect();
    let mut remaining = MAX_REPLY_SHARD_BYTES;
    let mut shards = Vec::new();
    for shard in state.shards().values().filter(|shard| !known.contains(shard.hash())) {
        let Some(rest) = remaining.checked_sub(shard.body().len()) else { break };
        remaining = rest;
        shards.push(v1::Shard { hash: shard.hash().to_owned(), body: shard.body().into() });
    }
    shards
}
