//! Task that starts and stops the backend servers of one data centre according to the plan.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::intent::Action;
use super::plan::{Planner, pools};
use super::sender::OrderSender;
use crate::config::{BackendServer, Config, ConfigHandle, InForce, MarkTarget};
use crate::context::Context;
use crate::lease::{LeaseTask, Role};
use crate::names::{BackendServerName, DataCentreName};

/// Interval between planning rounds.
const PLAN_PERIOD: Duration = Duration::from_secs(2);
/// Time for an out-of-service mark to reach every instance.
const DRAIN_PROPAGATION_DELAY: Duration = Duration::from_secs(6);
/// Maximum time that a draining server gets to finish its requests before it is stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Returns the name of the lease that guards the orders of a data centre.
pub fn lease_name(data_centre: &DataCentreName) -> String {
    format!("orders-{data_centre}")
}

/// Starts the order tasks of this instance if it is configured to manage backend servers.
pub fn start(cx: Context, config: ConfigHandle) {
    if !cx.options.manage_servers {
        return;
    }
    tokio::spawn(start_order_tasks(cx, config));
}

/// Starts an order task for each data centre as it appears in the configuration.
async fn start_order_tasks(cx: Context, config: ConfigHandle) {
    let mut in_force = cx.in_force.clone();
    let mut started: BTreeSet<DataCentreName> = BTreeSet::new();
    loop {
        let data_centres: Vec<DataCentreName> =
            in_force.borrow_and_update().config.data_centres.keys().cloned().collect();
        for data_centre in data_centres {
            if started.insert(data_centre.clone()) {
                let role =
                    Role { name: lease_name(&data_centre), data_centre: Some(data_centre.clone()) };
                let lease = LeaseTask::start(cx.clone(), role);
                match OrderSender::new(cx.clone(), lease) {
                    Ok(sender) => {
                        let task = OrderTask::new(cx.clone(), config.clone(), data_centre, sender);
                        tokio::spawn(task.run());
                    }
                    Err(error) => {
                        tracing::error!(
                            %error,
                            %data_centre,
                            "failed to create the order client; this instance sends no orders there"
                        )
                    }
                }
            }
        }
        if in_force.changed().await.is_err() {
            return;
        }
    }
}

struct OrderTask {
    cx: Context,
    config: ConfigHandle,
    data_centre: DataCentreName,
    sender: OrderSender,
    planner: Planner,
    draining_servers: BTreeMap<BackendServerName, Instant>,
}

impl OrderTask {
    fn new(
        cx: Context,
        config: ConfigHandle,
        data_centre: DataCentreName,
        sender: OrderSender,
    ) -> Self {
        let planner = Planner::default();
        Self { cx, config, data_centre, sender, planner, draining_servers: BTreeMap::new() }
    }

    async fn run(mut self) {
        let mut rounds = self.cx.timer.every(PLAN_PERIOD);
        while !*self.cx.draining.borrow() && rounds.recv().await.is_some() {
            if self.sender.holds_lease() {
                self.run_round().await;
            } else {
                self.draining_servers.clear();
            }
        }
    }

    async fn run_round(&mut self) {
        let Some(active_servers) = self.sender.active_servers(&self.data_centre).await else {
            return;
        };
        let Some(stopped) = self.sender.stopped_by_order().await else { return };
        let in_force = self.cx.in_force.borrow().clone();
        let config = managed_config(&in_force, &stopped, &self.draining_servers);
        let desired = self.desired_servers(&config, &stopped);
        let data_centre = self.data_centre.clone();
        let local_servers =
            config.backend_servers.values().filter(|server| server.data_centre == data_centre);
        for server in local_servers {
            match (active_servers.contains(&server.name), desired.contains(&server.name)) {
                (false, true) => self.start_server(server).await,
                (true, false) => self.drain_and_stop_server(server).await,
                (true, true) if self.draining_servers.remove(&server.name).is_some() => {
                    self.set_in_service(server, true).await;
                }
                _ => {}
            }
        }
    }

    /// Returns the servers of all data centres that should run.
    ///
    /// Pools extend over data centres, so the plan covers all of them.
    fn desired_servers(
        &mut self,
        config: &Config,
        stopped: &BTreeSet<BackendServerName>,
    ) -> BTreeSet<BackendServerName> {
        let loads = self.cx.loads.borrow().clone();
        let serving: BTreeSet<BackendServerName> = config
            .backend_servers
            .keys()
            .filter(|name| !stopped.contains(*name) && !self.draining_servers.contains_key(*name))
            .cloned()
            .collect();
        pools(config)
            .iter()
            .flat_map(|pool| self.planner.desired_servers(pool, &loads, &serving))
            .collect()
    }

    /// Starts a server and puts it back in service.
    async fn start_server(&mut self, server: &BackendServer) {
        match self.sender.issue(server, Action::Start).await {
            Ok(_) => self.set_in_service(server, true).await,
            Err(error) => {
                tracing::info!(%error, server = %server.name, "start order failed; will retry")
            }
        }
    }

    /// Takes a server out of service, and stops it in a later round once it is idle or
    /// `DRAIN_TIMEOUT` has passed.
    async fn drain_and_stop_server(&mut self, server: &BackendServer) {
        let Some(draining_since) = self.draining_servers.get(&server.name).copied() else {
            self.set_in_service(server, false).await;
            self.draining_servers.insert(server.name.clone(), Instant::now());
            return;
        };
        let elapsed = draining_since.elapsed();
        // A server without a load report may still have requests.
        let load = self.cx.loads.borrow().get(&server.name).cloned();
        let idle = load.is_some_and(|load| load.running == 0 && load.waiting == 0);
        if elapsed < DRAIN_PROPAGATION_DELAY || (!idle && elapsed < DRAIN_TIMEOUT) {
            return;
        }
        match self.sender.issue(server, Action::Stop).await {
            Ok(_) => drop(self.draining_servers.remove(&server.name)),
            Err(error) => {
                tracing::info!(%error, server = %server.name, "stop order failed; will retry")
            }
        }
    }

    async fn set_in_service(&self, server: &BackendServer, in_service: bool) {
        let target = MarkTarget::BackendServer(server.name.clone());
        let outcome = self.config.set_in_service(target, in_service).await;
        tracing::info!(server = %server.name, in_service, ?outcome, "requested a service mark");
    }
}

/// Returns the configuration without the servers that operators took out of service.
///
/// Servers that were stopped by an order or that this instance is draining are also out of
/// service, but remain managed.
fn managed_config(
    in_force: &InForce,
    stopped: &BTreeSet<BackendServerName>,
    draining_servers: &BTreeMap<BackendServerName, Instant>,
) -> Config {
    let mut config = in_force.effective();
    let data_centres = config.data_centres.clone();
    config.backend_servers.retain(|name, server| {
        let data_centre_in_service =
            data_centres.get(&server.data_centre).is_some_and(|data_centre| data_centre.in_service);
        let is_managed = stopped.contains(name) || draining_servers.contains_key(name);
        data_centre_in_service && (server.in_service || is_managed)
    });
    config
}
