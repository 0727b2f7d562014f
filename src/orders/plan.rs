//! Selection of the backend servers that should run for the current demand. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{BackendServer, Config, Repeatability, ServerKind, Tier};
use crate::names::{BackendServerName, DataCentreName, RouteName};
use crate::peer::Loads;

/// Maximum utilisation of the slots, in percent. Above it, more servers are started.
const MAX_UTILISATION_PERCENT: u64 = 70;
/// Maximum utilisation of the slots, in percent, that remain after servers are stopped. It is lower
/// than `MAX_UTILISATION_PERCENT`, so that stopped servers are not started again soon.
const STOP_UTILISATION_PERCENT: u64 = 50;
/// Consecutive rounds with surplus servers before any of them is stopped.
const SURPLUS_ROUNDS_BEFORE_STOP: u32 = 30;
/// Minimum number of data centres that the servers of a protected pool are spread over.
const MIN_DATA_CENTRES: usize = 2;

/// Backend servers that serve the same routes and are therefore interchangeable.
#[derive(Debug, Clone)]
pub struct ServerPool<'a> {
    /// Routes that the servers serve.
    pub routes: BTreeSet<RouteName>,
    /// All configured servers of the pool.
    pub servers: Vec<&'a BackendServer>,
    /// Whether the pool serves requests of the highest tier or non-idempotent requests. Such a pool
    /// must not depend on servers that the platform can reclaim.
    pub protected: bool,
}

/// Groups the backend servers of a configuration into pools of equal routes.
pub fn pools(config: &Config) -> Vec<ServerPool<'_>> {
    let mut by_routes: BTreeMap<&BTreeSet<RouteName>, Vec<&BackendServer>> = BTreeMap::new();
    for server in config.backend_servers.values() {
        by_routes.entry(&server.routes).or_default().push(server);
    }
    by_routes
        .into_iter()
        .map(|(routes, servers)| ServerPool {
            routes: routes.clone(),
            protected: routes.iter().any(|route| is_protected(config, route)),
            servers,
        })
        .collect()
}

fn is_protected(config: &Config, route: &RouteName) -> bool {
    let class = config.routes.get(route).and_then(|route| config.classes.get(&route.class));
    class.is_some_and(|class| {
        class.tier == Tier(0) || class.repeatability == Repeatability::NonIdempotent
    })
}

/// Decides which servers should run, with hysteresis so that servers do not flap.
#[derive(Debug, Default)]
pub struct Planner {
    /// Consecutive rounds in which a pool had surplus servers, by the routes of the pool.
    surplus_rounds: BTreeMap<BTreeSet<RouteName>, u32>,
}

impl Planner {
    /// Returns the servers of a pool that should run, given the running ones.
    pub fn desired_servers(
        &mut self,
        pool: &ServerPool<'_>,
        loads: &Loads,
        running: &BTreeSet<BackendServerName>,
    ) -> BTreeSet<BackendServerName> {
        let demand = demand(pool, loads);
        let candidates = by_preference(pool);
        let needed = select_servers(pool, &candidates, demand, MAX_UTILISATION_PERCENT);
        let kept_after_stop = select_servers(pool, &candidates, demand, STOP_UTILISATION_PERCENT);
        let rounds = self.surplus_rounds.entry(pool.routes.clone()).or_default();
        *rounds = if running.is_subset(&kept_after_stop) { 0 } else { *rounds + 1 };
        if *rounds >= SURPLUS_ROUNDS_BEFORE_STOP {
            *rounds = 0;
            return kept_after_stop;
        }
        let pool_servers = pool.servers.iter().map(|server| &server.name);
        let still_running = pool_servers.filter(|name| running.contains(*name)).cloned();
        needed.into_iter().chain(still_running).collect()
    }
}

/// Returns the number of requests that run or wait at the servers of a pool.
fn demand(pool: &ServerPool<'_>, loads: &Loads) -> u64 {
    let server_demand = |server: &&BackendServer| {
        loads.get(&server.name).map_or(0, |load| u64::from(load.running) + u64::from(load.waiting))
    };
    pool.servers.iter().map(server_demand).sum()
}

/// Sorts the servers by preference, alternating between data centres.
///
/// Protected pools prefer servers that cannot be reclaimed; within each kind cheaper servers come
/// first.
fn by_preference<'a>(pool: &ServerPool<'a>) -> Vec<&'a BackendServer> {
    let is_avoided =
        |server: &BackendServer| pool.protected && server.kind == ServerKind::Reclaimable;
    let mut sorted = pool.servers.clone();
    sorted
        .sort_by(|a, b| (is_avoided(a), a.price, &a.name).cmp(&(is_avoided(b), b.price, &b.name)));
    let mut next_index: BTreeMap<(bool, &DataCentreName), usize> = BTreeMap::new();
    let mut ranked: Vec<(bool, usize, usize, &BackendServer)> = Vec::new();
    for (index, server) in sorted.into_iter().enumerate() {
        let index_in_data_centre =
            next_index.entry((is_avoided(server), &server.data_centre)).or_default();
        ranked.push((is_avoided(server), *index_in_data_centre, index, server));
        *index_in_data_centre += 1;
    }
    ranked.sort_by_key(|(is_avoided, index_in_data_centre, index, _)| {
        (*is_avoided, *index_in_data_centre, *index)
    });
    ranked.into_iter().map(|(_, _, _, server)| server).collect()
}

/// Selects candidates in order until the demand uses at most `percent` of their slots.
///
/// For a protected pool, the demand must also fit if any one data centre is lost.
fn select_servers(
    pool: &ServerPool<'_>,
    candidates: &[&BackendServer],
    demand: u64,
    percent: u64,
) -> BTreeSet<BackendServerName> {
    let mut selected: Vec<&BackendServer> = Vec::new();
    for server in candidates {
        let fits = slots(&selected) * percent >= demand * 100;
        let survives_loss = !pool.protected || survives_loss(&selected, demand);
        if !selected.is_empty() && fits && survives_loss {
            break;
        }
        selected.push(server);
    }
    selected.iter().map(|server| server.name.clone()).collect()
}

fn slots(servers: &[&BackendServer]) -> u64 {
    servers.iter().map(|server| u64::from(server.slots)).sum()
}

/// Returns whether the demand still fits if any one data centre is lost.
fn survives_loss(servers: &[&BackendServer], demand: u64) -> bool {
    let data_centres: BTreeSet<&DataCentreName> = servers.iter().map(|s| &s.data_centre).collect();
    let fits_without = |lost: &&DataCentreName| {
        let remaining: Vec<&BackendServer> =
            servers.iter().filter(|server| server.data_centre != **lost).copied().collect();
        slots(&remaining) >= demand
    };
    data_centres.len() >= MIN_DATA_CENTRES && data_centres.iter().all(fits_without)
}
