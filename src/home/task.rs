//! Task that owns the admission state of one backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::admission::{Admission, Arrival, Decision};
use super::client::{RequestOutcome, RequestStats};
use super::health::RouteHealth;
use super::report::LoadReport;
use super::tenure::HomeRank;
use crate::config::{BackendServer, Config};
use crate::context::Context;
use crate::event::{EventKind, EventSubject};
use crate::names::{BackendServerName, RequestId};
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{InFlightEntry, InFlightReply, ServerLoad};

/// Capacity of the task's message channel.
const CHANNEL_CAPACITY: usize = 1_024;
/// Interval at which deadlines and expiries are checked.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Origin of a request for a slot.
#[derive(Debug, Clone)]
pub struct Requester {
    /// Identifier of the request.
    pub request: RequestId,
    /// Name of the entry instance.
    pub entry: String,
}

/// Message to the task of one queue.
#[derive(Debug)]
pub enum Message {
    /// Requests a slot; the task assigns the identifier of the arrival.
    Enqueue {
        /// Origin of the request.
        requester: Requester,
        /// Request to be queued.
        arrival: Arrival,
        /// Receives the assigned identifier.
        id_tx: oneshot::Sender<u64>,
        /// Receives the admission decision.
        decision_tx: oneshot::Sender<Decision>,
    },
    /// Reports the progress of a running request.
    Progress(u64, RequestStats),
    /// Releases the slot of a finished request.
    Finish(u64, RequestOutcome, RequestStats),
    /// The entry instance of a running request was lost, or that of a waiting one was lost or
    /// cancelled it.
    EntryLost(u64),
    /// The engine reported its load.
    Report(LoadReport),
    /// The server has no load endpoint.
    NoLoadEndpoint,
    /// The configuration changed.
    Configure(BackendServer, Arc<Config>),
    /// The rank of this instance in the home order was refreshed.
    HomeRank(HomeRank),
    /// All other instances, queried at an instant, denied being home; contains the number of
    /// requests that they still had running.
    SoleHomeConfirmed(Instant, u32),
    /// The state of the other servers of the routes changed.
    RouteHealth(RouteHealth),
    /// Queries the running requests.
    InFlight(oneshot::Sender<InFlightReply>),
    /// This instance became home again.
    Resume(HomeRank),
    /// This instance is no longer home; waiting requests are refused with the reason.
    Retire(Reason),
}

/// Handle to the task of one queue.
#[derive(Debug, Clone)]
pub struct QueueHandle {
    /// Sender of messages to the task.
    pub tx: mpsc::Sender<Message>,
    /// Latest published load.
    pub load: watch::Receiver<ServerLoad>,
    /// Whether the other instances must be queried for whether they are home.
    pub needs_confirmation: watch::Receiver<bool>,
    /// Whether this instance is home of the server.
    pub active: bool,
}

/// Starts the queue task of a server.
pub fn start(
    cx: &Context,
    server: BackendServer,
    config: Arc<Config>,
    home_rank: HomeRank,
) -> QueueHandle {
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let name = server.name.clone();
    let admission = Admission::new(server, config, home_rank, Instant::now());
    let (load_tx, load) = watch::channel(admission.load(Instant::now()));
    let (needs_confirmation_tx, needs_confirmation) = watch::channel(true);
    let task = Task {
        cx: cx.clone(),
        name,
        admission,
        load: load_tx,
        needs_confirmation: needs_confirmation_tx,
        requesters: HashMap::new(),
        pending: HashMap::new(),
        next_id: 1,
        retired: None,
    };
    tokio::spawn(task.run(rx));
    QueueHandle { tx, load, needs_confirmation, active: true }
}

struct Task {
    cx: Context,
    name: BackendServerName,
    admission: Admission,
    load: watch::Sender<ServerLoad>,
    needs_confirmation: watch::Sender<bool>,
    /// Origins of the waiting and running requests, by request identifier.
    requesters: HashMap<u64, Requester>,
    /// Receivers of the decisions on waiting requests, by request identifier.
    pending: HashMap<u64, oneshot::Sender<Decision>>,
    next_id: u64,
    /// Reason with which requests are refused; present while this instance is not home.
    retired: Option<Reason>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut ticks = self.cx.timer.every(TICK_PERIOD);
        loop {
            let now = tokio::select! {
                message = rx.recv() => {
                    let Some(message) = message else { return };
                    let now = Instant::now();
                    self.handle(now, message);
                    now
                }
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    let now = Instant::now();
                    let decisions = self.admission.tick(now);
                    self.send_decisions(decisions);
                    now
                }
            };
            self.publish(now);
            if self.retired.is_some() && self.requesters.is_empty() {
                return;
            }
        }
    }

    fn handle(&mut self, now: Instant, message: Message) {
        match message {
            Message::Enqueue { requester, arrival, id_tx, decision_tx } => {
                self.enqueue(now, requester, arrival, id_tx, decision_tx);
            }
            Message::Progress(id, stats) => self.admission.record_progress(now, id, stats),
            Message::Finish(id, outcome, stats) => {
                let decisions = if self.pending.remove(&id).is_some() {
                    self.admission.cancel_waiting(now, id)
                } else {
                    self.admission.finish(now, id, outcome, stats)
                };
                self.requesters.remove(&id);
                self.send_decisions(decisions);
            }
            Message::EntryLost(id) => {
                let decisions = if self.pending.remove(&id).is_some() {
                    self.admission.cancel_waiting(now, id)
                } else {
                    self.admission.record_entry_loss(now, id)
                };
                self.requesters.remove(&id);
                self.send_decisions(decisions);
            }
            Message::Report(report) => {
                let decisions = self.admission.record_report(now, &report);
                self.send_decisions(decisions);
            }
            Message::NoLoadEndpoint => self.admission.set_no_load_endpoint(),
            Message::Configure(server, config) => self.admission.configure(server, config),
            Message::HomeRank(home_rank) => self.admission.set_home_rank(now, home_rank),
            Message::SoleHomeConfirmed(queried_at, in_flight) => {
                self.admission.confirm_sole_home(now, queried_at, in_flight);
            }
            Message::RouteHealth(health) => self.admission.set_route_health(health),
            Message::InFlight(tx) => {
                // The receiver may have been dropped, in which case no reply is needed.
                let _ = tx.send(self.in_flight());
            }
            Message::Resume(home_rank) => {
                self.retired = None;
                self.admission.begin_tenure(now, home_rank);
            }
            Message::Retire(reason) => {
                self.retired = Some(reason);
                let decisions = self.admission.refuse_all(reason);
                self.send_decisions(decisions);
            }
        }
    }

    fn enqueue(
        &mut self,
        now: Instant,
        requester: Requester,
        arrival: Arrival,
        id_tx: oneshot::Sender<u64>,
        decision_tx: oneshot::Sender<Decision>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        if let Some(reason) = self.retired {
            let _ = decision_tx.send(Decision::Refused { id, reason, wait: Duration::ZERO });
            return;
        }
        if id_tx.send(id).is_err() {
            return;
        }
        self.requesters.insert(id, requester);
        self.pending.insert(id, decision_tx);
        let decisions = self.admission.enqueue(now, Arrival { id, ..arrival });
        self.send_decisions(decisions);
    }

    /// Sends decisions to the calls that wait for them.
    fn send_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (id, granted) = match decision {
                Decision::Granted { id, .. } => (id, true),
                Decision::Refused { id, .. } => (id, false),
            };
            self.record_refusal(id, &decision);
            if !granted {
                self.requesters.remove(&id);
            }
            // If the receiver was dropped, its call has ended and sends `EntryLost`.
            if let Some(tx) = self.pending.remove(&id) {
                let _ = tx.send(decision);
            }
        }
    }

    fn record_refusal(&self, id: u64, decision: &Decision) {
        let Decision::Refused { reason, .. } = decision else { return };
        let about = EventSubject {
            request: self.requesters.get(&id).map(|requester| requester.request.clone()),
            backend_server: Some(self.name.clone()),
            ..EventSubject::default()
        };
        self.cx.recorder.record_for(EventKind::Refuse, about, reason.as_str_name());
    }

    fn in_flight(&self) -> InFlightReply {
        let entries = self
            .admission
            .running()
            .filter_map(|id| self.requesters.get(&id))
            .map(|requester| InFlightEntry {
                request: requester.request.to_string(),
                entry: requester.entry.clone(),
                ..InFlightEntry::default()
            })
            .collect();
        InFlightReply { entries, cold: self.admission.is_cold(), active: self.retired.is_none() }
    }

    fn publish(&self, now: Instant) {
        let needs_confirmation = self.admission.needs_confirmation();
        self.needs_confirmation.send_if_modified(|published| {
            std::mem::replace(published, needs_confirmation) != needs_confirmation
        });
        let load = self.admission.load(now);
        self.load.send_if_modified(|published| {
            let changed = *published != load;
            if changed && (published.cold, published.ejected) != (load.cold, load.ejected) {
                self.record_state(&load);
            }
            *published = load;
            changed
        });
    }

    fn record_state(&self, load: &ServerLoad) {
        let about =
            EventSubject { backend_server: Some(self.name.clone()), ..EventSubject::default() };
        let state = match (load.ejected, load.cold) {
            (true, _) => "ejected",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        self.cx.recorder.record_for(EventKind::BackendServer, about, state);
    }
}
