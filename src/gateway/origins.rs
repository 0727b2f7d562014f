//! Shares between instances what began each stream, so that a caller can take a stream up again at any
//! instance.
//!
//! Each stream has a few keepers by rendezvous rank, which are told at its first event and asked when
//! it is taken up. One of them also stores it (see [`super::origin_store`]). The messages are datagrams:
//! there are several for each stream, to instances with which there is rarely a connection, and one of
//! them may get lost. What no keeper knows, as they were all lost with the stream, is looked up in the
//! store.

use std::cell::{OnceCell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use super::attempt::AdmittedRequest;
use super::listen;
use super::origin_store::StoredOriginsReader;
use super::peers::wait_for_members;
use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::names::SoftwareVersion;
use crate::platform::Store;
use crate::routing::catalog::{Route, ServiceName};
use crate::routing::direct_reads::MAX_PROOF_AGE;
use crate::routing::origin_log::OriginLog;
use crate::routing::origins::{Origin, Origins, TAKE_UP_TIME, stream_key};

/// Number of instances that keep the origin of a stream, besides the one that serves it.
const KEEPERS: usize = 3;
/// How many of these are in the data centre of the stream's caller, who mostly comes back there.
const LOCAL_KEEPERS: usize = 2;
/// Number of instances that are asked, which include a keeper if the caller came to another data centre.
const ASKED: usize = KEEPERS + LOCAL_KEEPERS;
/// Times for which answers are awaited before keepers are asked again: the first fits for a region, the
/// last for distant ones.
const ANSWER_TIMES: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(80), Duration::from_millis(160)];
/// Time for which an instance that starts waits for the list of the others before it asks.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum size of a message, which has two names of some hundred bytes.
const MAX_MESSAGE_BYTES: usize = 2 << 10;
/// Delay after a failed receive, such as when the system is out of memory.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);

value! {
    /// A datagram between instances.
    #[serde(rename_all = "kebab-case")]
    pub enum Message {
        /// A stream has begun, or is taken up again.
        Began {
            /// Key of the stream.
            stream: u64,
            /// What began it.
            origin: Origin,
            /// Time for which the receiver keeps this, in ms.
            keep_ms: u64,
            /// Whether the receiver is the one that stores this.
            #[serde(default)]
            is_to_store: bool,
        },
        /// Asks what began a stream.
        Question {
            /// Random number, which the answer repeats.
            number: u64,
            /// Key of the stream.
            stream: u64,
            /// Service that the stream would go on at.
            service: ServiceName,
            /// Time within which the stream began, in ms.
            began_within_ms: u64,
        },
        /// Answer to a question.
        Answer {
            /// Number of the question.
            number: u64,
            /// What began the stream; `None` if the sender doesn't know.
            origin: Option<Origin>,
        },
    }
}

/// How it is known what began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownBy {
    /// This instance served the stream, or keeps its origin.
    Own,
    /// Another instance answered.
    Peer,
    /// The service has had no other software version since the stream can have begun.
    OnlyVersion,
    /// A process had stored it, which may be gone.
    Store,
    /// It isn't known.
    Nobody,
}

impl KnownBy {
    /// Returns the name that logs and metrics use.
    pub fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::OnlyVersion => "only-version",
            Self::Store => "store",
            Self::Nobody => "nobody",
        }
    }
}

/// Answers to one question, with their senders.
type AnswerSender = mpsc::UnboundedSender<(SocketAddr, Option<Origin>)>;

/// Origins that this instance knows, and its questions to others.
#[derive(Default)]
pub struct SharedOrigins {
    known: RefCell<Origins>,
    /// Streams that this instance stores for others of its data centre while versions differ.
    pub(super) log: RefCell<OriginLog>,
    /// Notified when a stream was added to the log.
    pub(super) log_changed: Notify,
    stored: StoredOriginsReader,
    socket: OnceCell<UdpSocket>,
    questions: RefCell<HashMap<u64, AnswerSender>>,
}

/// Removes a question when its answers are no longer awaited.
struct OpenQuestion<'a> {
    origins: &'a SharedOrigins,
    number: u64,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.origins.questions.borrow_mut().remove(&self.number);
    }
}

impl SharedOrigins {
    /// Returns the number of streams whose origin is known.
    pub fn count(&self) -> usize {
        self.known.borrow().count()
    }

    /// Forgets streams that can't be taken up any more.
    pub fn sweep(&self) {
        self.known.borrow_mut().purge(Instant::now());
    }

    /// Records that a request has brought the first event of a stream, or of its continuation, and
    /// tells the keepers of the stream.
    pub fn record_start(
        &self,
        cx: &InstanceState,
        request: &AdmittedRequest,
        version: &SoftwareVersion,
    ) {
        let head = &request.head;
        let Some(id) = head.resumed_attempt.as_ref().or(head.attempt.as_ref()) else { return };
        let stream = stream_key(id.as_bytes());
        let origin = Origin { service: request.service.name.clone(), version: version.clone() };
        let keep = request.time_left() + TAKE_UP_TIME;
        let now = Instant::now();
        self.known.borrow_mut().record(now, stream, origin.clone(), now + keep);
        let writer = {
            let cfg = cx.cfg();
            let members = cx.members.borrow();
            let writer = members.writer(&cfg.data_centre, stream);
            if writer.is_some_and(|(name, _)| *name == cfg.instance) {
                self.add_to_log(now, stream, origin.clone(), now + keep);
            }
            writer.map(|(_, address)| address)
        };
        for keeper in keepers(cx, stream, KEEPERS) {
            let message = Message::Began {
                stream,
                origin: origin.clone(),
                keep_ms: keep.as_millis() as u64,
                is_to_store: writer == Some(keeper),
            };
            self.send(cx, &message, keeper);
        }
    }

    fn add_to_log(&self, now: Instant, stream: u64, origin: Origin, until: Instant) {
        self.log.borrow_mut().record(now, stream, origin, until);
        self.log_changed.notify_one();
    }

    /// Finds what began the stream that a caller takes up, which goes on at `service` if nothing else
    /// is known.
    pub async fn find(
        &self,
        cx: &InstanceState,
        route: &Route,
        service: &ServiceName,
        began_by: Option<&HeaderValue>,
    ) -> (Option<Origin>, KnownBy) {
        let began_within = route.timeout + TAKE_UP_TIME;
        if let Some(id) = began_by {
            let stream = stream_key(id.as_bytes());
            let own = self.known.borrow().get(stream).cloned();
            if own.is_some() {
                return (own, KnownBy::Own);
            }
            let answer = self.ask(cx, stream, service, began_within).await;
            if answer.is_some() {
                return (answer, KnownBy::Peer);
            }
        }
        if let Some(only) = only_origin(cx, service, began_within) {
            return (Some(only), KnownBy::OnlyVersion);
        }
        let stored = match began_by {
            Some(id) => self.stored.find(cx, stream_key(id.as_bytes())).await,
            None => None,
        };
        let known_by = if stored.is_some() { KnownBy::Store } else { KnownBy::Nobody };
        (stored, known_by)
    }

    /// Sets the store in which streams are looked up that nobody else knows.
    pub fn set_store(&self, store: Store) {
        self.stored.set_store(store);
    }

    /// Asks the keepers of a stream what began it; `None` if nobody who answers in time knows.
    async fn ask(
        &self,
        cx: &InstanceState,
        stream: u64,
        service: &ServiceName,
        began_within: Duration,
    ) -> Option<Origin> {
        let _ = tokio::time::timeout(MEMBERS_TIMEOUT, wait_for_members(cx)).await;
        let keepers = keepers(cx, stream, ASKED);
        let number = rand::random();
        let question = Message::Question {
            number,
            stream,
            service: service.clone(),
            began_within_ms: began_within.as_millis() as u64,
        };
        let (tx, mut rx) = mpsc::unbounded_channel();
        self.questions.borrow_mut().insert(number, tx);
        let _open = OpenQuestion { origins: self, number };
        let mut ignorant = HashSet::new();
        for time in ANSWER_TIMES {
            let asked = keepers.iter().filter(|keeper| !ignorant.contains(*keeper));
            asked.for_each(|keeper| self.send(cx, &question, *keeper));
            let until = tokio::time::Instant::now() + time;
            while ignorant.len() < keepers.len() {
                match tokio::time::timeout_at(until, rx.recv()).await {
                    Ok(Some((_, Some(origin)))) => return Some(origin),
                    Ok(Some((keeper, None))) => {
                        ignorant.insert(keeper);
                    }
                    // The time is over; the sender lives as long as the question.
                    Ok(None) | Err(_) => break,
                }
            }
        }
        None
    }

    fn send(&self, cx: &InstanceState, message: &Message, to: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        let encoded = match serde_json::to_vec(message) {
            Ok(encoded) => encoded,
            Err(error) => {
                tracing::error!(%error, "message about a stream can't be encoded");
                return;
            }
        };
        cx.metrics.add(Counter::PeerMessages, "stream-origin", 1);
        cx.metrics.add(Counter::PeerBytes, "stream-origin", encoded.len() as u64);
        // A message that the system can't take is as good as lost, for which there are more keepers.
        if let Err(error) = socket.try_send_to(&encoded, to) {
            tracing::debug!(%to, %error, "message about a stream was not sent");
        }
    }

    fn handle(&self, cx: &InstanceState, message: Message, from: SocketAddr) {
        let now = Instant::now();
        match message {
            Message::Began { stream, origin, keep_ms, is_to_store } => {
                let until = now.checked_add(Duration::from_millis(keep_ms)).unwrap_or(now);
                self.known.borrow_mut().record(now, stream, origin.clone(), until);
                if is_to_store {
                    self.add_to_log(now, stream, origin, until);
                }
            }
            Message::Question { number, stream, service, began_within_ms } => {
                let known = self.known.borrow().get(stream).cloned();
                let began_within = Duration::from_millis(began_within_ms);
                let origin = known.or_else(|| only_origin(cx, &service, began_within));
                self.send(cx, &Message::Answer { number, origin }, from);
            }
            Message::Answer { number, origin } => {
                if let Some(tx) = self.questions.borrow().get(&number) {
                    // Fails only if the answer came too late.
                    let _ = tx.send((from, origin));
                }
            }
        }
    }
}

fn keepers(cx: &InstanceState, stream: u64, count: usize) -> Vec<SocketAddr> {
    let cfg = cx.cfg();
    let members = cx.members.borrow();
    members.datagram_addresses(&cfg.instance, &cfg.data_centre, stream, LOCAL_KEEPERS, count)
}

/// Returns what must have begun a stream of a service: its only version, if this instance is sure
/// that there was no other one.
fn only_origin(
    cx: &InstanceState,
    service: &ServiceName,
    began_within: Duration,
) -> Option<Origin> {
    let is_current = cx.proof.borrow().is_fresh(BootTime::now(), MAX_PROOF_AGE);
    let fleet = cx.fleet.borrow();
    let version = fleet.only_version(Instant::now(), service, began_within)?;
    is_current.then(|| Origin { service: service.clone(), version: version.clone() })
}

/// Receives messages of other instances until the process exits.
pub async fn receive(cx: Rc<InstanceState>) {
    let socket = match listen::bind_datagrams(cx.cfg().datagram_address, "datagrams").await {
        Ok(socket) => socket,
        Err(error) => {
            let error = format!("{error:#}");
            tracing::error!(error, "origins of streams are not shared with other instances");
            return;
        }
    };
    let socket = cx.origins.socket.get_or_init(|| socket);
    let mut buf = [0; MAX_MESSAGE_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(%error, "receiving a datagram failed");
                tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match serde_json::from_slice(&buf[..length]) {
            Ok(message) => cx.origins.handle(&cx, message, from),
            Err(error) => tracing::debug!(%from, %error, "datagram can't be read"),
        }
    }
}
