//! Selection of candidate backend servers for a request.
//!
//! Published loads are some seconds old, so always taking the least loaded server would direct all
//! entry instances to the same one. The candidates are therefore the two cheapest of up to three
//! servers: the one to which the leading part of the conversation hashes, where its prefix is
//! likely to be cached, and two sampled at random with a preference for cheap ones (compare the
//! power of two choices, Mitzenmacher 2001). Costs are expressed as time. The home of the first
//! candidate knows its exact wait and refuses the request above the bound given here, after which
//! the second candidate is tried.

use std::time::Duration;

use crate::config::{BackendServer, Class, InForce, Repeatability, Route, ServerKind, Tier};
use crate::names::{BackendServerName, DataCentreName};
use crate::peer::generated::v1::ServerLoad;
use crate::peer::members::rendezvous_weight;
use crate::peer::{Loads, Members};

/// Time saved by a cached prefix.
const PREFIX_SAVING: Duration = Duration::from_millis(400);
/// Cost of a server in another data centre of the same region.
const OTHER_DATA_CENTRE_COST: Duration = Duration::from_millis(10);
/// Cost of a server in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(200);
/// Cost of a server in cold start.
const COLD_COST: Duration = Duration::from_secs(3);
/// Cost of a server whose home has not published its load.
const UNKNOWN_LOAD_COST: Duration = Duration::from_millis(500);
/// Cost of a server of the less suitable kind; greater than [`PREFIX_SAVING`].
const UNSUITED_KIND_COST: Duration = Duration::from_millis(600);
/// Cost of an ejected server.
const EJECTED_COST: Duration = Duration::from_secs(30);
/// Cost of a reclaimable server for requests that must not be interrupted.
const RECLAIMABLE_COST: Duration = Duration::from_secs(20);
/// Wait by which the first candidate may exceed the second.
const WAIT_MARGIN: Duration = Duration::from_millis(50);
/// Assumed duration of a request, for servers whose slots are all in use.
const TYPICAL_REQUEST_TIME: Duration = Duration::from_secs(3);

/// A backend server to be tried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Backend server.
    pub server: BackendServerName,
    /// Wait above which the next candidate is preferred; unbounded if absent.
    pub wait_bound: Option<Duration>,
}

/// Properties of a request that determine its candidates.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// Route of the request.
    pub route: &'a Route,
    /// Class of the request.
    pub class: &'a Class,
    /// Hash of the leading part of the conversation; equal for requests with a common prefix.
    pub prefix: u64,
    /// Random number for sampling.
    pub seed: u64,
    /// Servers that must not be selected, such as those already tried.
    pub exclude: &'a [BackendServerName],
}

/// Selects candidates for an entry instance in a data centre.
#[derive(Debug, Clone)]
pub struct Picker {
    data_centre: DataCentreName,
}

/// A server with its estimated wait and cost.
struct Scored<'a> {
    server: &'a BackendServer,
    wait: Duration,
    cost: Duration,
}

impl Picker {
    /// Creates a picker for an entry instance in a data centre.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self { data_centre }
    }

    /// Returns at most two candidates, the preferred one first.
    pub fn candidates(
        &self,
        in_force: &InForce,
        members: &Members,
        loads: &Loads,
        criteria: &PickCriteria<'_>,
    ) -> Vec<Candidate> {
        let scored: Vec<Scored<'_>> = in_force
            .config
            .servers_of(&criteria.route.name)
            .filter(|server| in_force.takes_work(server))
            .filter(|server| !criteria.exclude.contains(&server.name))
            .filter(|server| members.home(&server.name, &server.data_centre).is_some())
            .map(|server| self.score(in_force, loads, criteria, server))
            .collect();
        choose_candidates(scored, criteria)
    }

    fn score<'a>(
        &self,
        in_force: &InForce,
        loads: &Loads,
        criteria: &PickCriteria<'_>,
        server: &'a BackendServer,
    ) -> Scored<'a> {
        let mut cost =
            self.distance_cost(in_force, server) + kind_cost(criteria.class, server.kind);
        let mut wait = Duration::ZERO;
        match loads.get(&server.name) {
            Some(load) => {
                wait = tier_wait(load, criteria.class.tier);
                if wait.is_zero() {
                    // The more slots are used, the more likely the server is full on arrival.
                    let used = f64::from(load.running) / f64::from(load.limit.max(1));
                    cost += TYPICAL_REQUEST_TIME.mul_f64(used.min(1.0).powi(4) * 0.1);
                }
                cost += if load.cold { COLD_COST } else { Duration::ZERO };
                cost += if load.ejected { EJECTED_COST } else { Duration::ZERO };
            }
            None => cost += UNKNOWN_LOAD_COST,
        }
        Scored { server, wait, cost: cost + wait }
    }

    fn distance_cost(&self, in_force: &InForce, server: &BackendServer) -> Duration {
        if server.data_centre == self.data_centre {
            return Duration::ZERO;
        }
        let region = |name: &DataCentreName| {
            in_force.config.data_centres.get(name).map(|centre| &centre.region)
        };
        if region(&server.data_centre) == region(&self.data_centre) {
            OTHER_DATA_CENTRE_COST
        } else {
            OTHER_REGION_COST
        }
    }
}

/// Returns the two cheapest of the server with the cached prefix and the sampled ones.
fn choose_candidates(mut scored: Vec<Scored<'_>>, criteria: &PickCriteria<'_>) -> Vec<Candidate> {
    let key = criteria.prefix.to_string();
    let prefix_server = scored
        .iter()
        .max_by_key(|scored| rendezvous_weight(scored.server.name.as_str(), &key))
        .map(|scored| scored.server.name.clone());
    for scored in &mut scored {
        if Some(&scored.server.name) == prefix_server.as_ref() {
            scored.cost = scored.cost.saturating_sub(PREFIX_SAVING);
        }
    }
    let mut sampled = sample(&scored, prefix_server.as_ref(), criteria.seed);
    sampled.sort_by_key(|scored| scored.cost);
    let second_wait = sampled.get(1).map(|second| second.wait + WAIT_MARGIN + PREFIX_SAVING);
    sampled
        .iter()
        .take(2)
        .enumerate()
        .map(|(index, scored)| Candidate {
            server: scored.server.name.clone(),
            wait_bound: if index == 0 { second_wait } else { None },
        })
        .collect()
}

/// Returns the server with the cached prefix and two sampled ones, preferring cheap servers.
fn sample<'a, 'b>(
    scored: &'b [Scored<'a>],
    prefix_server: Option<&BackendServerName>,
    seed: u64,
) -> Vec<&'b Scored<'a>> {
    let mut sampled: Vec<&Scored<'_>> =
        scored.iter().filter(|scored| Some(&scored.server.name) == prefix_server).collect();
    let mut rest: Vec<&Scored<'_>> =
        scored.iter().filter(|scored| Some(&scored.server.name) != prefix_server).collect();
    let key = seed.to_string();
    rest.sort_by_cached_key(|scored| {
        let random = rendezvous_weight(scored.server.name.as_str(), &key) as f64 / u64::MAX as f64;
        // A sample of an exponential distribution whose mean grows with the cost; the least wins.
        let mean = 0.05 + scored.cost.as_secs_f64();
        ((-random.max(1e-12).ln() * mean) * 1e6) as u64
    });
    sampled.extend(rest.into_iter().take(2));
    sampled
}

/// Returns the published wait of a tier.
fn tier_wait(load: &ServerLoad, tier: Tier) -> Duration {
    let ms = load.tier_wait_ms.get(usize::from(tier.0)).copied().unwrap_or(load.wait_ms);
    Duration::from_millis(ms.into())
}

/// Returns the cost of a kind of server for a class.
fn kind_cost(class: &Class, kind: ServerKind) -> Duration {
    let needs_stable_server =
        class.tier.0 == 0 || class.repeatability == Repeatability::NonIdempotent;
    match (needs_stable_server, kind) {
        (true, ServerKind::Reclaimable) => RECLAIMABLE_COST,
        (false, ServerKind::Standard) => UNSUITED_KIND_COST,
        _ => Duration::ZERO,
    }
}
