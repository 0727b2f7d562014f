//! Starts and stops the queue tasks of the backend servers that this instance is home of.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::health::RouteHealth;
use super::limits_task::OrganisationLimits;
use super::poll;
use super::task::{self, Message, QueueHandle};
use super::tenure::{HomeRank, PauseDetector, inherited_requests, instances_to_query};
use crate::config::{BackendServer, InForce};
use crate::context::Context;
use crate::names::BackendServerName;
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{InFlightReply, InFlightRequest, ServerLoad};
use crate::peer::{Member, Members};

/// Timeout of a query to another instance for whether it is home and its in-flight requests.
const PEER_QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval at which these queries are repeated.
const PEER_QUERY_PERIOD: Duration = Duration::from_millis(500);
/// Time within which a queue task must list its in-flight requests.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of periodic reconciliation, for changes that no channel announces.
const RECONCILE_PERIOD: Duration = Duration::from_millis(250);

/// Queues by backend server.
pub type Queues = BTreeMap<BackendServerName, QueueHandle>;

/// Handle to the queues of this instance; clones are cheap.
#[derive(Clone)]
pub struct HomeQueues {
    queues: watch::Receiver<Arc<Queues>>,
    limits: OrganisationLimits,
}

impl HomeQueues {
    /// Returns the limits of organisations across all instances.
    pub fn limits(&self) -> OrganisationLimits {
        self.limits.clone()
    }

    /// Returns the load of each backend server that this instance is home of.
    pub fn loads(&self) -> Vec<ServerLoad> {
        let queues = self.queues.borrow().clone();
        let active = queues.values().filter(|queue| queue.active);
        active.map(|queue| queue.load.borrow().clone()).collect()
    }

    /// Returns the queue of a backend server if this instance is its home.
    pub fn queue(&self, server: &str) -> Option<QueueHandle> {
        self.queues.borrow().get(server).filter(|queue| queue.active).cloned()
    }

    /// Returns the running requests that this instance admitted to a backend server.
    ///
    /// They are also listed while a retired queue still has some, after this instance ceased to be
    /// home.
    pub async fn in_flight(&self, server: &str) -> InFlightReply {
        let queue = self.queues.borrow().get(server).cloned();
        let Some(queue) = queue else { return InFlightReply::default() };
        let (tx, rx) = oneshot::channel();
        let reply = async {
            queue.tx.send(Message::InFlight(tx)).await.ok()?;
            rx.await.ok()
        };
        tokio::time::timeout(IN_FLIGHT_TIMEOUT, reply).await.ok().flatten().unwrap_or_default()
    }
}

/// Starts the task that reconciles the queues with the configuration and the members.
pub fn start(cx: Context) -> HomeQueues {
    let (tx, queues) = watch::channel(Arc::default());
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(Duration::from_secs(1))
        .build()
        .unwrap_or_default();
    let limits = OrganisationLimits::start(cx.clone());
    let now = Instant::now();
    let supervisor = Supervisor {
        cx,
        http,
        tx,
        queues: Queues::new(),
        pause_detector: PauseDetector::new(now),
        recently_paused: false,
    };
    tokio::spawn(supervisor.run());
    HomeQueues { queues, limits }
}

struct Supervisor {
    cx: Context,
    http: reqwest::Client,
    tx: watch::Sender<Arc<Queues>>,
    queues: Queues,
    pause_detector: PauseDetector,
    recently_paused: bool,
}

impl Supervisor {
    async fn run(mut self) {
        let mut in_force = self.cx.in_force.clone();
        let mut members = self.cx.members.clone();
        let mut draining = self.cx.draining.clone();
        let mut ticks = self.cx.timer.every(RECONCILE_PERIOD);
        loop {
            self.reconcile();
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

    /// Starts, updates and retires queues to match the current configuration and members.
    fn reconcile(&mut self) {
        self.recently_paused = self.pause_detector.recently_paused(Instant::now());
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
                    self.start_or_update(server, &in_force, &members);
                }
            }
        }
        self.publish();
    }

    fn is_home(&self, server: &BackendServer, in_force: &InForce, members: &Members) -> bool {
        let home = members.home(&server.name, &server.data_centre);
        let is_home = home.is_some_and(|home| home.name == self.cx.options.instance);
        is_home && in_force.takes_work(server)
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

    /// Starts the queue of a server, or sends the current state to the running one.
    fn start_or_update(&mut self, server: &BackendServer, in_force: &InForce, members: &Members) {
        let own = &self.cx.options.instance;
        let home_rank = HomeRank::of(own, server, members);
        let home_rank =
            HomeRank { uncertain: home_rank.uncertain || self.recently_paused, ..home_rank };
        let config = in_force.config.clone();
        if let Some(queue) = self.queues.get_mut(&server.name) {
            let resumed = !queue.active && queue.tx.try_send(Message::Resume(home_rank)).is_ok();
            queue.active |= resumed;
            let loads = self.cx.loads.borrow().clone();
            // If the channel is full, the messages are sent again at the next reconciliation.
            let _ = queue.tx.try_send(Message::HomeRank(home_rank));
            let _ = queue
                .tx
                .try_send(Message::RouteHealth(RouteHealth::for_server(server, &config, &loads)));
            let _ = queue.tx.try_send(Message::Configure(server.clone(), config));
            return;
        }
        let queue = task::start(&self.cx, server.clone(), config, home_rank);
        let address = server.address.clone();
        let timer = self.cx.timer.clone();
        tokio::spawn(poll::run(self.http.clone(), address, timer, queue.tx.clone()));
        tokio::spawn(confirm_sole_home(self.cx.clone(), server.clone(), queue.clone()));
        self.queues.insert(server.name.clone(), queue);
    }

    fn publish(&self) {
        self.tx.send_replace(Arc::new(self.queues.clone()));
    }
}

/// Asks the other instances whether they are home of the server, while the queue needs confirmation
/// that they are not.
async fn confirm_sole_home(cx: Context, server: BackendServer, mut queue: QueueHandle) {
    let mut ticks = cx.timer.every(PEER_QUERY_PERIOD);
    // The wait fails when the queue task has ended.
    while queue.needs_confirmation.wait_for(|needs_confirmation| *needs_confirmation).await.is_ok()
    {
        let queried_at = Instant::now();
        let members = cx.members.borrow().clone();
        let others = instances_to_query(&cx.options.instance, &server, &members);
        let calls = others.iter().map(|member| query_in_flight(&cx, &server.name, member));
        let replies: Vec<Option<InFlightReply>> = futures::future::join_all(calls).await;
        if let Some(in_flight) = inherited_requests(&replies) {
            // The queue task may have ended in the meantime.
            let _ = queue.tx.send(Message::SoleHomeConfirmed(queried_at, in_flight)).await;
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

/// Queries one instance for its in-flight requests; returns nothing if it does not answer.
async fn query_in_flight(
    cx: &Context,
    server: &BackendServerName,
    member: &Member,
) -> Option<InFlightReply> {
    let mut client = cx.pool.home_client(&member.peer_address).ok()?;
    let req = InFlightRequest { backend_server: server.to_string() };
    let reply = tokio::time::timeout(PEER_QUERY_TIMEOUT, client.in_flight(req)).await;
    Some(reply.ok()?.ok()?.into_inner())
}
