//! Which backend servers should run, from the demand; no input or output.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{BackendServer, Config, Repeatability, ServerKind, Tier};
use crate::names::{BackendServerName, DataCentreName, RouteName};
use crate::peer::Loads;

/// Share of the slots, in percent, that demand may fill before more servers are started.
const START_PERCENT: u64 = 70;
/// Share of the slots that are left, in percent, below which a server may be stopped.
const STOP_PERCENT: u64 = 50;
/// Rounds in a row that must agree before a server is stopped.
const STOP_ROUNDS: u32 = 30;
/// Data centres over which the servers of protected work are spread at least.
const MIN_SPREAD: usize = 2;

/// Servers that serve the same routes, and are therefore interchangeable.
#[derive(Debug, Clone)]
pub struct ServerPool<'a> {
    /// The routes.
    pub routes: BTreeSet<RouteName>,
    /// The servers.
    pub servers: Vec<&'a BackendServer>,
    /// Whether the pool runs work of the highest tier, or work that must run at most once; it may
    /// not depend on servers that the platform can take back.
    pub protected: bool,
}

/// Groups the backend servers of a configuration into pools.
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

/// Decides which servers should run; remembers what it saw, so that it doesn't go to and fro.
#[derive(Debug, Default)]
pub struct Planner {
    /// Rounds in a row in which a pool had more servers than it needs.
    idle_rounds: BTreeMap<BTreeSet<RouteName>, u32>,
}

impl Planner {
    /// Returns the servers of a pool that should run, given those that run now.
    pub fn wanted(
        &mut self,
        pool: &ServerPool<'_>,
        loads: &Loads,
        running: &BTreeSet<BackendServerName>,
    ) -> BTreeSet<BackendServerName> {
        let demand = demand(pool, loads);
        let order = preference(pool);
        let needed = fill(pool, &order, demand, START_PERCENT);
        let enough_to_stop = fill(pool, &order, demand, STOP_PERCENT);
        let rounds = self.idle_rounds.entry(pool.routes.clone()).or_default();
        *rounds = if running.is_subset(&enough_to_stop) { 0 } else { *rounds + 1 };
        if *rounds >= STOP_ROUNDS {
            *rounds = 0;
            return enough_to_stop;
        }
        let here = pool.servers.iter().map(|server| &server.name);
        let kept = here.filter(|name| running.contains(*name)).cloned();
        needed.into_iter().chain(kept).collect()
    }
}

/// Returns the requests that run or wait at the servers of a pool.
fn demand(pool: &ServerPool<'_>, loads: &Loads) -> u64 {
    let of = |server: &&BackendServer| {
        loads.get(&server.name).map_or(0, |load| u64::from(load.running) + u64::from(load.waiting))
    };
    pool.servers.iter().map(of).sum()
}

/// Orders the servers by preference, taking data centres in turn.
///
/// Protected pools take servers that can't be reclaimed first, others the cheapest.
fn preference<'a>(pool: &ServerPool<'a>) -> Vec<&'a BackendServer> {
    let unsafe_kind =
        |server: &BackendServer| pool.protected && server.kind == ServerKind::Reclaimable;
    let mut sorted = pool.servers.clone();
    sorted.sort_by(|a, b| {
        (unsafe_kind(a), a.price, &a.name).cmp(&(unsafe_kind(b), b.price, &b.name))
    });
    let mut turns: BTreeMap<(bool, &DataCentreName), usize> = BTreeMap::new();
    let mut placed: Vec<(bool, usize, usize, &BackendServer)> = Vec::new();
    for (index, server) in sorted.into_iter().enumerate() {
        let turn = turns.entry((unsafe_kind(server), &server.data_centre)).or_default();
        placed.push((unsafe_kind(server), *turn, index, server));
        *turn += 1;
    }
    placed.sort_by_key(|(last, turn, index, _)| (*last, *turn, *index));
    placed.into_iter().map(|(_, _, _, server)| server).collect()
}

/// Takes servers in order until the demand fills at most a share of their slots.
///
/// For a protected pool the demand must also fit without any one data centre.
fn fill(
    pool: &ServerPool<'_>,
    order: &[&BackendServer],
    demand: u64,
    percent: u64,
) -> BTreeSet<BackendServerName> {
    let mut taken: Vec<&BackendServer> = Vec::new();
    for server in order {
        let fits = slots(&taken) * percent >= demand * 100;
        let survives = !pool.protected || survives_loss(&taken, demand);
        if !taken.is_empty() && fits && survives {
            break;
        }
        taken.push(server);
    }
    taken.iter().map(|server| server.name.clone()).collect()
}

fn slots(servers: &[&BackendServer]) -> u64 {
    servers.iter().map(|server| u64::from(server.slots)).sum()
}

/// Returns whether the demand still fits when any one data centre is lost.
fn survives_loss(servers: &[&BackendServer], demand: u64) -> bool {
    let centres: BTreeSet<&DataCentreName> = servers.iter().map(|s| &s.data_centre).collect();
    let fits_without = |lost: &&DataCentreName| {
        let left: Vec<&BackendServer> =
            servers.iter().filter(|server| server.data_centre != **lost).copied().collect();
        slots(&left) >= demand
    };
    centres.len() >= MIN_SPREAD && centres.iter().all(fits_without)
}
