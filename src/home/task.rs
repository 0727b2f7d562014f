//! The task that owns the admission of one backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::admission::{Admission, Arrival, Decision};
use super::client::{Ending, Figures};
use super::health::Peers;
use super::report::Report;
use super::tenure::Standing;
use crate::config::{BackendServer, Config};
use crate::context::Context;
use crate::event::{About, EventKind};
use crate::names::{BackendServerName, RequestId};
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{InFlightEntry, InFlightReply, ServerLoad};

/// Messages that may wait for the task.
const MAILBOX: usize = 1_024;
/// Period of decisions that follow from time alone.
const TICK: Duration = Duration::from_millis(50);

/// Who asks for a slot.
#[derive(Debug, Clone)]
pub struct Asker {
    /// The request.
    pub request: RequestId,
    /// Name of the entry instance.
    pub entry: String,
}

/// A message to the task of a queue.
#[derive(Debug)]
pub enum Message {
    /// Asks for a slot; the number in the arrival is given by the task.
    Enqueue {
        /// Who asks.
        asker: Asker,
        /// The request.
        arrival: Arrival,
        /// Receives the number of the request.
        number: oneshot::Sender<u64>,
        /// Receives the decision.
        decision: oneshot::Sender<Decision>,
    },
    /// Tells how far a request is.
    Progress(u64, Figures),
    /// Gives a slot back.
    Finish(u64, Ending, Figures),
    /// The entry is lost; the request may wait or run.
    Lost(u64),
    /// The engine reported its load.
    Report(Report),
    /// The server doesn't report its load.
    Unreported,
    /// The configuration changed.
    Configure(BackendServer, Arc<Config>),
    /// The standing among possible homes changed.
    Standing(Standing),
    /// No other instance was home at an instant; they had admitted so many requests.
    PreviousGaveUp(Instant, u32),
    /// The other servers of the routes changed.
    Peers(Peers),
    /// Asks which requests run.
    InFlight(oneshot::Sender<InFlightReply>),
    /// This instance is home again.
    Resume(Standing),
    /// This instance is no longer home; waiting requests are refused for the reason.
    Retire(Reason),
}

/// Handle to the task of one queue.
#[derive(Debug, Clone)]
pub struct QueueHandle {
    /// Sends messages to the task.
    pub tx: mpsc::Sender<Message>,
    /// The load as last published.
    pub load: watch::Receiver<ServerLoad>,
    /// Whether the other instances are to be asked whether they are home.
    pub must_ask: watch::Receiver<bool>,
    /// Whether this instance is home of the server.
    pub active: bool,
}

/// Starts the task of a server's queue.
pub fn start(
    cx: &Context,
    server: BackendServer,
    config: Arc<Config>,
    standing: Standing,
) -> QueueHandle {
    let (tx, rx) = mpsc::channel(MAILBOX);
    let name = server.name.clone();
    let admission = Admission::new(server, config, standing, Instant::now());
    let (load_tx, load) = watch::channel(admission.load(Instant::now()));
    let (must_ask_tx, must_ask) = watch::channel(true);
    let task = Task {
        cx: cx.clone(),
        name,
        admission,
        load: load_tx,
        must_ask: must_ask_tx,
        askers: HashMap::new(),
        pending: HashMap::new(),
        next: 1,
        retired: None,
    };
    tokio::spawn(task.run(rx));
    QueueHandle { tx, load, must_ask, active: true }
}

struct Task {
    cx: Context,
    name: BackendServerName,
    admission: Admission,
    load: watch::Sender<ServerLoad>,
    must_ask: watch::Sender<bool>,
    askers: HashMap<u64, Asker>,
    pending: HashMap<u64, oneshot::Sender<Decision>>,
    next: u64,
    retired: Option<Reason>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut ticks = self.cx.timer.every(TICK);
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
                    self.answer(decisions);
                    now
                }
            };
            self.publish(now);
            if self.retired.is_some() && self.askers.is_empty() {
                return;
            }
        }
    }

    fn handle(&mut self, now: Instant, message: Message) {
        match message {
            Message::Enqueue { asker, arrival, number, decision } => {
                self.enqueue(now, asker, arrival, number, decision);
            }
            Message::Progress(id, figures) => self.admission.progress(now, id, figures),
            Message::Finish(id, ending, figures) => {
                let decisions = if self.pending.remove(&id).is_some() {
                    self.admission.leave(now, id)
                } else {
                    self.admission.finish(now, id, ending, figures)
                };
                self.askers.remove(&id);
                self.answer(decisions);
            }
            Message::Lost(id) => {
                let decisions = if self.pending.remove(&id).is_some() {
                    self.admission.leave(now, id)
                } else {
                    self.admission.lose(now, id)
                };
                self.askers.remove(&id);
                self.answer(decisions);
            }
            Message::Report(report) => {
                let decisions = self.admission.report(now, &report);
                self.answer(decisions);
            }
            Message::Unreported => self.admission.unreported(),
            Message::Configure(server, config) => self.admission.configure(server, config),
            Message::Standing(standing) => self.admission.set_standing(now, standing),
            Message::PreviousGaveUp(asked, in_flight) => {
                self.admission.previous_gave_up(now, asked, in_flight);
            }
            Message::Peers(peers) => self.admission.set_peers(peers),
            Message::InFlight(tx) => {
                // An asker that went away doesn't need the answer.
                let _ = tx.send(self.in_flight());
            }
            Message::Resume(standing) => {
                self.retired = None;
                self.admission.begin_tenure(now, standing);
            }
            Message::Retire(reason) => {
                self.retired = Some(reason);
                let decisions = self.admission.refuse_all(reason);
                self.answer(decisions);
            }
        }
    }

    fn enqueue(
        &mut self,
        now: Instant,
        asker: Asker,
        arrival: Arrival,
        number: oneshot::Sender<u64>,
        decision: oneshot::Sender<Decision>,
    ) {
        let id = self.next;
        self.next += 1;
        if let Some(reason) = self.retired {
            let _ = decision.send(Decision::Refused { id, reason, wait: Duration::ZERO });
            return;
        }
        if number.send(id).is_err() {
            return;
        }
        self.askers.insert(id, asker);
        self.pending.insert(id, decision);
        let decisions = self.admission.enqueue(now, Arrival { id, ..arrival });
        self.answer(decisions);
    }

    /// Passes decisions on to those who wait for them.
    fn answer(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let (id, granted) = match decision {
                Decision::Granted { id, .. } => (id, true),
                Decision::Refused { id, .. } => (id, false),
            };
            self.record(id, &decision);
            if !granted {
                self.askers.remove(&id);
            }
            // A waiter that went away sends `Lost`, which frees the slot.
            if let Some(tx) = self.pending.remove(&id) {
                let _ = tx.send(decision);
            }
        }
    }

    fn record(&self, id: u64, decision: &Decision) {
        let Decision::Refused { reason, .. } = decision else { return };
        let about = About {
            request: self.askers.get(&id).map(|asker| asker.request.clone()),
            backend_server: Some(self.name.clone()),
            ..About::default()
        };
        self.cx.recorder.record_about(EventKind::Refuse, about, reason.as_str_name());
    }

    fn in_flight(&self) -> InFlightReply {
        let entries = self
            .admission
            .running()
            .filter_map(|id| self.askers.get(&id))
            .map(|asker| InFlightEntry {
                request: asker.request.to_string(),
                entry: asker.entry.clone(),
                ..InFlightEntry::default()
            })
            .collect();
        InFlightReply { entries, cold: self.admission.is_cold(), active: self.retired.is_none() }
    }

    fn publish(&self, now: Instant) {
        let must_ask = self.admission.must_ask();
        self.must_ask.send_if_modified(|known| std::mem::replace(known, must_ask) != must_ask);
        let load = self.admission.load(now);
        self.load.send_if_modified(|known| {
            let changed = *known != load;
            if changed && (known.cold, known.ejected) != (load.cold, load.ejected) {
                self.record_state(&load);
            }
            *known = load;
            changed
        });
    }

    fn record_state(&self, load: &ServerLoad) {
        let about = About { backend_server: Some(self.name.clone()), ..About::default() };
        let state = match (load.ejected, load.cold) {
            (true, _) => "ejected",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        self.cx.recorder.record_about(EventKind::BackendServer, about, state);
    }
}
