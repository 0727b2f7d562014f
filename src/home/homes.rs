//! Starts and ends the queue tasks of the backend servers that this instance is home of.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::poll;
use super::task::{self, Message, QueueHandle};
use super::tenure::Standing;
use crate::config::{BackendServer, InForce};
use crate::context::Context;
use crate::names::BackendServerName;
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{InFlightReply, InFlightRequest, ServerLoad};
use crate::peer::{Member, Members};

/// How long the question to a previous home may take.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Ranks of the home order whose instances a home checks.
///
/// An instance of a later rank can become home only if it hears none of these, and its share of a
/// cold limit below 32 is zero then.
const CHECKED_RANKS: usize = 4;
/// Period at which the question is repeated.
const HAND_OVER_PERIOD: Duration = Duration::from_millis(500);
/// How long a queue task may take to list its requests.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(500);
/// Period at which loads are published and changes are looked for that no channel announces.
const REVIEW_PERIOD: Duration = Duration::from_millis(250);

/// Time between two reviews from which this process must have been paused.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after a pause in which what is known of the members may be out of date.
const DOUBT_AFTER_PAUSE: Duration = Duration::from_secs(3);

/// The queues by backend server.
pub type Queues = BTreeMap<BackendServerName, QueueHandle>;

/// Handle to the queues of this instance; clones are cheap.
#[derive(Clone)]
pub struct Homes {
    queues: watch::Receiver<Arc<Queues>>,
    loads: watch::Receiver<Arc<Vec<ServerLoad>>>,
}

impl Homes {
    /// Returns the load of each backend server that this instance is home of, updated regularly.
    pub fn loads(&self) -> watch::Receiver<Arc<Vec<ServerLoad>>> {
        self.loads.clone()
    }

    /// Returns the queue of a backend server if this instance is its home.
    pub fn queue(&self, server: &str) -> Option<QueueHandle> {
        self.queues.borrow().get(server).filter(|queue| queue.active).cloned()
    }

    /// Returns the requests admitted to a backend server, also after this instance was its home.
    pub async fn in_flight(&self, server: &str) -> InFlightReply {
        let queue = self.queues.borrow().get(server).cloned();
        let Some(queue) = queue else { return InFlightReply::default() };
        let (tx, rx) = oneshot::channel();
        let answer = async {
            queue.tx.send(Message::InFlight(tx)).await.ok()?;
            rx.await.ok()
        };
        tokio::time::timeout(IN_FLIGHT_TIMEOUT, answer).await.ok().flatten().unwrap_or_default()
    }
}

/// Starts the task that keeps the queues in step with configuration and members.
pub fn start(cx: Context) -> Homes {
    let (tx, queues) = watch::channel(Arc::default());
    let (loads_tx, loads) = watch::channel(Arc::default());
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_secs(1))
        .build()
        .unwrap_or_default();
    let now = Instant::now();
    let supervisor = Supervisor {
        cx,
        http,
        tx,
        loads: loads_tx,
        queues: Queues::new(),
        reviewed: now,
        doubt_until: now,
    };
    tokio::spawn(supervisor.run());
    Homes { queues, loads }
}

struct Supervisor {
    cx: Context,
    http: reqwest::Client,
    tx: watch::Sender<Arc<Queues>>,
    loads: watch::Sender<Arc<Vec<ServerLoad>>>,
    queues: Queues,
    reviewed: Instant,
    doubt_until: Instant,
}

impl Supervisor {
    async fn run(mut self) {
        let mut in_force = self.cx.in_force.clone();
        let mut members = self.cx.members.clone();
        let mut draining = self.cx.draining.clone();
        let mut ticks = self.cx.timer.every(REVIEW_PERIOD);
        loop {
            self.review();
            let alive = tokio::select! {
                changed = in_force.changed() => changed.is_ok(),
                changed = members.changed() => changed.is_ok(),
                changed = draining.changed() => changed.is_ok(),
                tick = ticks.recv() => tick.is_some(),
                () = self.tx.closed() => false,
            };
            if !alive {
                return;
            }
        }
    }

    /// Starts, informs and retires queues so that they match what is known now.
    fn review(&mut self) {
        let now = Instant::now();
        if now.duration_since(self.reviewed) > PAUSE {
            self.doubt_until = now + DOUBT_AFTER_PAUSE;
        }
        self.reviewed = now;
        let in_force = self.cx.in_force.borrow().clone();
        let members = self.cx.members.borrow().clone();
        let draining = *self.cx.draining.borrow();
        self.queues.retain(|_, queue| !queue.tx.is_closed());
        let names: Vec<BackendServerName> = self.queues.keys().cloned().collect();
        for name in names {
            self.retire_unless_home(&name, &in_force, &members, draining);
        }
        if !draining {
            for server in in_force.config.backend_servers.values() {
                if self.is_home(server, &in_force, &members) {
                    self.keep(server, &in_force, &members);
                }
            }
        }
        self.publish();
    }

    fn is_home(&self, server: &BackendServer, in_force: &InForce, members: &Members) -> bool {
        let home = members.home(&server.name, &server.data_centre);
        let ours = home.is_some_and(|home| home.name == self.cx.options.instance);
        ours && in_force.takes_work(server)
    }

    fn retire_unless_home(
        &mut self,
        name: &BackendServerName,
        in_force: &InForce,
        members: &Members,
        draining: bool,
    ) {
        let server = in_force.config.backend_servers.get(name);
        let reason = match server {
            None => Some(Reason::Out),
            Some(server) if !in_force.takes_work(server) => Some(Reason::Out),
            Some(_) if draining => Some(Reason::Draining),
            Some(server) if !self.is_home(server, in_force, members) => Some(Reason::NotHome),
            Some(_) => None,
        };
        let Some(reason) = reason else { return };
        if let Some(queue) = self.queues.get_mut(name)
            && queue.active
            && queue.tx.try_send(Message::Retire(reason)).is_ok()
        {
            queue.active = false;
        }
    }

    /// Starts the queue of a server, or tells the running one what changed.
    fn keep(&mut self, server: &BackendServer, in_force: &InForce, members: &Members) {
        let standing = self.standing(server, members);
        let config = in_force.config.clone();
        if let Some(queue) = self.queues.get(&server.name).filter(|queue| queue.active) {
            // A full mailbox is tried again at the next review.
            let _ = queue.tx.try_send(Message::Standing(standing));
            let _ = queue.tx.try_send(Message::Configure(server.clone(), config));
            return;
        }
        if self.queues.contains_key(&server.name) {
            // The retired task still holds running requests; it ends when they do.
            return;
        }
        let queue = task::start(&self.cx, server.clone(), config, standing);
        let address = server.address.clone();
        let timer = self.cx.timer.clone();
        tokio::spawn(poll::run(self.http.clone(), address, timer, queue.tx.clone()));
        let previous = self.previous(server, members);
        tokio::spawn(ask_previous(self.cx.clone(), server.name.clone(), previous, queue.clone()));
        self.queues.insert(server.name.clone(), queue);
    }

    /// Returns the rank of this instance for a server and whether a near one may not hear it.
    fn standing(&self, server: &BackendServer, members: &Members) -> Standing {
        let own = &self.cx.options.instance;
        let order = members.home_order(&server.name, &server.data_centre);
        let rank = order.iter().position(|member| member.name == *own).unwrap_or(order.len());
        let mut others = order.iter().filter(|member| member.name != *own).take(CHECKED_RANKS);
        let doubt = others.any(|member| !members.certain.contains(&member.name));
        let paused = Instant::now() < self.doubt_until;
        Standing { rank: rank as u32, doubt: doubt || paused }
    }

    /// Returns the other instances that are likely to have been home before.
    fn previous(&self, server: &BackendServer, members: &Members) -> Vec<Member> {
        let own = &self.cx.options.instance;
        let order = members.home_order(&server.name, &server.data_centre);
        let others = order.into_iter().filter(|member| member.name != *own && !member.leaving);
        others.take(CHECKED_RANKS).cloned().collect()
    }

    fn publish(&self) {
        let active = self.queues.values().filter(|queue| queue.active);
        let loads = active.map(|queue| queue.load.borrow().clone()).collect();
        self.loads.send_replace(Arc::new(loads));
        self.tx.send_replace(Arc::new(self.queues.clone()));
    }
}

/// Asks the other instances whether one of them is home too, until none is.
async fn ask_previous(
    cx: Context,
    server: BackendServerName,
    previous: Vec<Member>,
    queue: QueueHandle,
) {
    let mut ticks = cx.timer.every(HAND_OVER_PERIOD);
    loop {
        let asked = previous.iter().map(|member| ask_in_flight(&cx, &server, member));
        let replies: Vec<Option<InFlightReply>> = futures::future::join_all(asked).await;
        if let Some(in_flight) = left_behind(&replies) {
            // The queue may have ended meanwhile; then there is nobody to tell.
            let _ = queue.tx.send(Message::PreviousGaveUp(in_flight)).await;
            return;
        }
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            () = queue.tx.closed() => return,
        }
    }
}

/// Asks one instance which requests it admitted; nothing if it doesn't answer.
async fn ask_in_flight(
    cx: &Context,
    server: &BackendServerName,
    member: &Member,
) -> Option<InFlightReply> {
    let mut client = cx.pool.home(&member.peer_address).ok()?;
    let req = InFlightRequest { backend_server: server.to_string() };
    let reply = tokio::time::timeout(HAND_OVER_TIMEOUT, client.in_flight(req)).await;
    Some(reply.ok()?.ok()?.into_inner())
}

/// Returns how many requests run from earlier tenures, if all are known to have ended.
fn left_behind(replies: &[Option<InFlightReply>]) -> Option<u32> {
    replies.iter().try_fold(0, |sum, reply| {
        let reply = reply.as_ref()?;
        (!reply.active).then_some(sum + reply.entries.len() as u32)
    })
}
