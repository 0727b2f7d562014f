//! The membership task: sends heartbeats to peers, polls the platform's list and publishes the
//! members and the reported loads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tonic::{Code, Status};

use super::generated::v1::{
    BeatReply, BeatRequest, FetchConfigReply, FetchConfigRequest, ServerLoad,
};
use super::list::{self, MemberList};
use super::load::Loads;
use super::members::{self, Member, Members};
use super::presence::{DetectorTimeouts, PresenceTable, SMALL_FLEET};
use crate::clock::Hlc;
use crate::context::Context;
use crate::event::EventKind;
use crate::home::HomeQueues;
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::PlatformError;

/// Number of instances in other data centres that get a heartbeat in each period, if the fleet has
/// more than [`SMALL_FLEET`] instances.
const REMOTE_BEAT_TARGETS: usize = 2;
/// Number of instances in each data centre that read the platform's list.
const LIST_READERS: usize = 2;
/// Maximum age of a reported load.
const LOAD_MAX_AGE: Duration = Duration::from_secs(6);
/// Name of the role of reading the list, by which instances are ranked.
const LIST_ROLE: &str = "instance-list";
/// Maximum number of messages queued for the task.
const INBOX_CAPACITY: usize = 1_024;

/// Configuration of a peer as stated in a heartbeat or its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerConfigReport {
    /// The peer.
    pub member: Member,
    /// Configuration version in force at the peer.
    pub config_version: u64,
    /// Digest of the configuration marks that the peer knows.
    pub marks_digest: u64,
}

/// Channels to which the membership task publishes.
pub struct Outputs {
    /// Listed instances and their state.
    pub members: watch::Sender<Arc<Members>>,
    /// Loads of backend servers reported by their home instances.
    pub loads: watch::Sender<Arc<Loads>>,
    /// Configuration versions and marks of peers, to detect missing updates.
    pub config_reports: mpsc::Sender<PeerConfigReport>,
}

/// A message to the membership task.
enum Message {
    Beat(Box<BeatRequest>, oneshot::Sender<BeatReply>),
    BeatReply { peer: InstanceName, sent: Instant, reply: BeatReply },
    BeatFailed { peer: InstanceName, code: Code },
    ListRead(Result<MemberList, PlatformError>),
    CurrentList(oneshot::Sender<MemberList>),
}

/// Handle to the membership task; clones reach the same task.
#[derive(Clone)]
pub struct Membership {
    tx: mpsc::Sender<Message>,
}

impl Membership {
    /// Starts the task; heartbeats carry the load of the queues in `homes`.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn start(cx: Context, homes: HomeQueues, outputs: Outputs) -> eyre::Result<Self> {
        let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
        let http = crate::platform::http::client()?;
        let timeouts = DetectorTimeouts::new(cx.options.suspect_after);
        let task = Task {
            table: PresenceTable::new(cx.options.instance.clone(), timeouts),
            list: initial_list(&cx),
            has_list: false,
            is_reading_list: false,
            sequence: 0,
            reported_loads: BTreeMap::new(),
            platform_unavailable: false,
            cx,
            http,
            homes,
            outputs,
            tx: tx.clone(),
        };
        tokio::spawn(task.run(rx));
        Ok(Self { tx })
    }

    /// Passes a received heartbeat to the task and returns its reply.
    ///
    /// # Errors
    /// Fails if this instance is shutting down.
    pub async fn handle_beat(&self, beat: BeatRequest) -> Result<BeatReply, Status> {
        let (tx, rx) = oneshot::channel();
        let stopped = || Status::unavailable("this instance is shutting down");
        self.tx.send(Message::Beat(Box::new(beat), tx)).await.map_err(|_| stopped())?;
        rx.await.map_err(|_| stopped())
    }

    /// Returns the latest list of instances; `None` if the task has stopped.
    pub async fn current_list(&self) -> Option<MemberList> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::CurrentList(tx)).await.ok()?;
        rx.await.ok()
    }
}

/// Returns a list with only this instance, which is used until one is received.
fn initial_list(cx: &Context) -> MemberList {
    let member = Member {
        name: cx.options.instance.clone(),
        data_centre: cx.options.data_centre.clone(),
        peer_address: cx.options.peer_listen.to_string(),
        leaving: false,
    };
    MemberList { revision: 0, members: BTreeMap::from([(member.name.clone(), member)]) }
}

/// The state of the membership task.
struct Task {
    cx: Context,
    http: reqwest::Client,
    homes: HomeQueues,
    outputs: Outputs,
    tx: mpsc::Sender<Message>,
    table: PresenceTable,
    list: MemberList,
    /// Whether a list has been received from the platform or a peer.
    has_list: bool,
    /// Whether a read of the list is in progress.
    is_reading_list: bool,
    sequence: u64,
    /// Reported loads with their times of arrival.
    reported_loads: BTreeMap<String, (Instant, ServerLoad)>,
    platform_unavailable: bool,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut ticks = self.cx.timer.every(self.cx.options.beat_period);
        let mut draining = self.cx.draining.clone();
        self.read_list();
        loop {
            tokio::select! {
                Some(message) = rx.recv() => self.handle(message).await,
                Some(_) = ticks.recv() => self.tick(),
                Ok(()) = draining.changed() => self.tick(),
                else => return,
            }
        }
    }

    fn tick(&mut self) {
        self.read_list();
        self.send_beats();
        self.publish();
    }

    async fn handle(&mut self, message: Message) {
        match message {
            Message::Beat(beat, reply) => {
                let beat_reply = self.handle_beat(*beat).await;
                // The peer may have cancelled the call; it will send another heartbeat.
                let _ = reply.send(beat_reply);
            }
            Message::BeatReply { peer, sent, reply } => self.handle_reply(peer, sent, reply).await,
            Message::BeatFailed { peer, code } => {
                if code == Code::Unavailable {
                    self.table.record_refused_connection(&peer);
                }
                self.publish();
            }
            Message::ListRead(result) => self.handle_list(result),
            Message::CurrentList(reply) => {
                let _ = reply.send(self.list.clone());
            }
        }
    }

    async fn handle_beat(&mut self, beat: BeatRequest) -> BeatReply {
        self.cx.clock.observe(Hlc(beat.hlc));
        let peer: InstanceName = beat.instance.as_str().into();
        let now = Instant::now();
        self.table.record_contact(&peer, beat.incarnation, beat.draining, now);
        for load in beat.loads {
            self.reported_loads.insert(load.backend_server.clone(), (now, load));
        }
        self.compare_versions(&peer, beat.config_version, beat.marks_digest, beat.members_revision)
            .await;
        self.publish();
        self.reply()
    }

    async fn handle_reply(&mut self, peer: InstanceName, sent: Instant, reply: BeatReply) {
        self.cx.clock.observe(Hlc(reply.hlc));
        self.table.record_contact(&peer, reply.incarnation, reply.draining, Instant::now());
        self.table.record_acknowledgement(&peer, sent);
        self.compare_versions(
            &peer,
            reply.config_version,
            reply.marks_digest,
            reply.members_revision,
        )
        .await;
        self.publish();
    }

    /// Fetches the list of instances from a peer that has a newer one, and publishes the peer's
    /// configuration version and marks.
    async fn compare_versions(
        &mut self,
        peer: &InstanceName,
        config_version: u64,
        marks_digest: u64,
        members_revision: u64,
    ) {
        let Some(member) = self.list.members.get(peer).cloned() else { return };
        if members_revision > self.list.revision {
            self.fetch_list(member.peer_address.clone());
        }
        // If the channel is full, the comparison waits for the next heartbeat.
        let _ = self.outputs.config_reports.try_send(PeerConfigReport {
            member,
            config_version,
            marks_digest,
        });
    }

    fn reply(&self) -> BeatReply {
        let in_force = self.cx.in_force.borrow();
        BeatReply {
            hlc: self.cx.clock.now().0,
            incarnation: self.cx.incarnation,
            config_version: in_force.config.version,
            marks_digest: in_force.marks.digest(),
            members_revision: self.list.revision,
            draining: *self.cx.draining.borrow(),
        }
    }

    fn send_beats(&mut self) {
        self.sequence += 1;
        let beat = self.beat();
        for member in self.beat_targets() {
            let (cx, tx, beat) = (self.cx.clone(), self.tx.clone(), beat.clone());
            tokio::spawn(async move {
                let message = send_beat(&cx, &member, beat).await;
                // Sending fails only when the process exits, as the task runs until then.
                let _ = tx.send(message).await;
            });
        }
    }

    fn beat(&self) -> BeatRequest {
        let reply = self.reply();
        BeatRequest {
            instance: self.cx.options.instance.to_string(),
            incarnation: reply.incarnation,
            hlc: reply.hlc,
            sequence: self.sequence,
            acknowledged: 0,
            config_version: reply.config_version,
            marks_digest: reply.marks_digest,
            members_revision: reply.members_revision,
            draining: reply.draining,
            loads: self.homes.loads(),
            uses: Vec::new(),
            program_version: env!("CARGO_PKG_VERSION").to_owned(),
        }
    }

    /// Returns the peers that get a heartbeat: all of a small fleet, else those in the local data
    /// centre and a random few in others.
    fn beat_targets(&self) -> Vec<Member> {
        let own = &self.cx.options;
        let peers = || self.list.members.values().filter(|member| member.name != own.instance);
        if self.list.members.len() <= SMALL_FLEET {
            return peers().cloned().collect();
        }
        let local = peers().filter(|member| member.data_centre == own.data_centre);
        let remote = peers().filter(|member| member.data_centre != own.data_centre);
        local.chain(remote.sample(&mut rand::rng(), REMOTE_BEAT_TARGETS)).cloned().collect()
    }

    /// Starts a read of the platform's list, if this instance is one of its readers and no read is
    /// in progress.
    fn read_list(&mut self) {
        if self.is_reading_list || !self.is_list_reader() {
            return;
        }
        self.is_reading_list = true;
        self.cx.metrics.add(Counter::PlatformCalls, "instance-list", 1);
        let (http, tx) = (self.http.clone(), self.tx.clone());
        let base = self.cx.options.platform_url.clone();
        tokio::spawn(async move {
            let result = list::read_list(&http, &base).await;
            let _ = tx.send(Message::ListRead(result)).await;
        });
    }

    /// Returns whether this instance reads the platform's list itself: as one of the readers of its
    /// data centre, or because it has no list that contains it.
    fn is_list_reader(&self) -> bool {
        if !self.has_list || !self.list.members.contains_key(&self.cx.options.instance) {
            return true;
        }
        let members = self.cx.members.borrow().clone();
        members
            .ranked(LIST_ROLE, &self.cx.options.data_centre)
            .iter()
            .take(LIST_READERS)
            .any(|member| member.name == self.cx.options.instance)
    }

    fn handle_list(&mut self, result: Result<MemberList, PlatformError>) {
        self.is_reading_list = false;
        match result {
            Ok(list) => {
                self.record_platform_state(None);
                self.apply_list(list);
            }
            Err(error) => {
                self.record_platform_state(Some(&error));
                if !self.has_list {
                    self.fetch_list_from_seeds();
                }
            }
        }
    }

    fn record_platform_state(&mut self, error: Option<&PlatformError>) {
        if self.platform_unavailable != error.is_some() {
            self.platform_unavailable = error.is_some();
            let detail = error.map_or_else(
                || "the instance list can be read again".to_owned(),
                |error| format!("the instance list can't be read: {error}"),
            );
            tracing::warn!("{detail}");
            self.cx.recorder.record(EventKind::Platform, detail);
        }
    }

    /// Applies a list unless it is empty, older than the known one or equal to it.
    fn apply_list(&mut self, list: MemberList) {
        let usable = !list.members.is_empty() && (list.revision >= self.list.revision);
        if !usable || (self.has_list && list == self.list) {
            return;
        }
        for removed in self.list.members.values().filter(|m| !list.members.contains_key(&m.name)) {
            self.cx.pool.disconnect(&removed.peer_address);
        }
        let first = !self.has_list;
        self.has_list = true;
        self.table.apply_list(&list, Instant::now());
        self.list = list;
        if first {
            self.send_beats();
        }
        self.publish();
    }

    fn fetch_list_from_seeds(&self) {
        for seed in &self.cx.options.seeds {
            self.fetch_list(seed.to_string());
        }
    }

    /// Fetches the list from a peer in the background.
    fn fetch_list(&self, address: String) {
        let (cx, tx) = (self.cx.clone(), self.tx.clone());
        tokio::spawn(async move {
            if let Some(list) = fetch_list(&cx, &address).await {
                let _ = tx.send(Message::ListRead(Ok(list))).await;
            }
        });
    }

    fn publish(&mut self) {
        let now = Instant::now();
        let draining = *self.cx.draining.borrow();
        let members = self.table.members(&self.list, draining, now);
        self.record_member_changes(&members);
        self.outputs.members.send_replace(Arc::new(members));
        self.reported_loads.retain(|_, (at, _)| now.duration_since(*at) <= LOAD_MAX_AGE);
        let mut loads: Loads = self
            .reported_loads
            .iter()
            .map(|(name, (_, load))| (name.as_str().into(), load.clone()))
            .collect();
        for load in self.homes.loads() {
            loads.insert(load.backend_server.as_str().into(), load);
        }
        self.outputs.loads.send_replace(Arc::new(loads));
    }

    fn record_member_changes(&self, members: &Members) {
        let before = self.outputs.members.borrow();
        for name in members.suspected.difference(&before.suspected) {
            self.cx.recorder.record(EventKind::Member, format!("instance {name} is suspected"));
        }
        for name in before.suspected.difference(&members.suspected) {
            self.cx.recorder.record(EventKind::Member, format!("instance {name} is usable again"));
        }
    }
}

/// Sends one heartbeat and returns the message with its outcome for the task.
async fn send_beat(cx: &Context, member: &Member, beat: BeatRequest) -> Message {
    let sent = Instant::now();
    let peer = member.name.clone();
    cx.metrics.add(Counter::PeerMessages, "beat", 1);
    cx.metrics.add(Counter::PeerBytes, "beat", prost::Message::encoded_len(&beat) as u64);
    let call = async {
        let mut client = cx.pool.peer_client(&member.peer_address)?;
        Ok::<_, Status>(client.beat(beat).await?.into_inner())
    };
    match tokio::time::timeout(cx.options.suspect_after, call).await {
        Ok(Ok(reply)) => Message::BeatReply { peer, sent, reply },
        Ok(Err(status)) => Message::BeatFailed { peer, code: status.code() },
        Err(_) => Message::BeatFailed { peer, code: Code::DeadlineExceeded },
    }
}

/// Fetches the list of instances from a peer; `None` if the call fails or times out.
async fn fetch_list(cx: &Context, address: &str) -> Option<MemberList> {
    let req = FetchConfigRequest {
        known_version: u64::MAX,
        known_shards: Vec::new(),
        want_members: true,
    };
    let call = async {
        let mut client = cx.pool.peer_client(address).ok()?;
        Some(client.fetch_config(req).await.ok()?.into_inner())
    };
    let reply: FetchConfigReply =
        tokio::time::timeout(cx.options.suspect_after, call).await.ok()??;
    serde_json::from_slice(&reply.members).ok()
}

impl Members {
    /// Returns the usable instances of a data centre in descending rendezvous weight for a role.
    pub fn ranked(&self, role: &str, data_centre: &crate::names::DataCentreName) -> Vec<&Member> {
        let mut ranked: Vec<&Member> = self
            .listed
            .values()
            .filter(|member| member.data_centre == *data_centre && self.is_usable(member))
            .collect();
        ranked.sort_by_cached_key(|member| {
            std::cmp::Reverse(members::rendezvous_weight(member.name.as_str(), role))
        });
        ranked
    }
}
