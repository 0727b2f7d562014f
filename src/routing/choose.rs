//! Selects the backend server for a request: the one with the lowest estimated cost. Costs are in
//! milliseconds: the expected time to the first event plus penalties.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::fleet::Server;
use crate::routing::load::Loads;
use crate::routing::rank::rendezvous_weight;

/// Weights of the cost model that ranks backend servers.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceSettings {
    /// Prefill throughput of an engine, in prompt tokens per millisecond, from its specification.
    pub prefill_tokens_per_ms: f64,
    /// Cost of each request already running on an engine, in ms: each one slows down every step of
    /// the engine.
    pub per_running_ms: f64,
    /// Cost of each request waiting for a slot, in ms.
    pub per_waiting_ms: f64,
    /// Cost of a fully occupied backend server that is not an engine, in ms; scaled by the share of
    /// its slots in use.
    pub non_engine_saturation_ms: f64,
    /// Cost of sending a request to another data centre, in ms per kilobyte of its body.
    pub remote_ms_per_kb: f64,
    /// Fixed cost of sending a request to another data centre, in ms: latency and transfer price.
    pub remote_ms: f64,
    /// Prompt length in tokens from which a request counts as long. Prefill of a long prompt takes
    /// several engine steps, during which concurrent responses pause.
    pub long_prompt_tokens: u64,
    /// Initial share of the engines reserved for short prompts, until the workload is known.
    pub short_pool_share: f64,
    /// Cost of sending a long prompt to an engine of the short-prompt pool, in ms.
    pub long_in_short_pool_ms: f64,
    /// Cost of sending a short prompt to an engine outside the short-prompt pool, in ms.
    pub short_in_long_pool_ms: f64,
    /// Cost of a wasted attempt, in ms; scaled by the failure ratio of the backend server.
    pub failure_ms: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 36.7,
            per_running_ms: 2.0,
            per_waiting_ms: 40.0,
            non_engine_saturation_ms: 40.0,
            remote_ms_per_kb: 1.0,
            remote_ms: 4.0,
            long_prompt_tokens: 2_048,
            short_pool_share: 0.25,
            long_in_short_pool_ms: 300.0,
            short_in_long_pool_ms: 150.0,
            failure_ms: 1_500.0,
        }
    }
}

/// One part of a prompt; requests that begin with the same parts share their KV cache entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Resources that a request needs on a backend server.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Prompt length in tokens; 0 for requests to services that are not engines.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens; 0 for requests to services that are not engines.
    pub output_tokens: u64,
    /// Parts of the prompt in order; the last one is unique to this request.
    pub parts: Vec<PromptPart>,
    /// Size of the body in bytes.
    pub body_bytes: usize,
}

impl Demand {
    /// Returns all parts except the last, which other requests may share.
    pub fn shared_prefix(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// The selected backend server.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Name of the backend server.
    pub server: BackendServerName,
    /// Prompt tokens not expected to be cached there.
    pub prefill_tokens: u64,
    /// Estimated cost in ms, for logs.
    pub cost_ms: f64,
    /// Estimated number of running and waiting requests, for logs.
    pub occupancy: u32,
    /// Age of the load report used; `None` if only this instance's own requests were counted.
    pub load_age: Option<Duration>,
}

/// Selects the cheapest of the given backend servers.
///
/// Rendezvous hashing assigns each shared prompt prefix to one engine. As all instances agree on
/// it, the prefix is expected to be cached there.
pub fn choose(
    now: Instant,
    cfg: &ChoiceSettings,
    local_data_centre: &DataCentreName,
    demand: &Demand,
    servers: &[&Server],
    loads: &Loads,
) -> Option<Choice> {
    let short_pool = ShortPromptPool::of(cfg, demand, servers);
    let is_long = demand.prompt_tokens >= cfg.long_prompt_tokens;
    let affinity = affinity_server(demand, servers, is_long.then_some(&short_pool));
    let mut best: Option<Choice> = None;
    for server in servers {
        let name = &server.entry.name;
        let has_affinity = affinity == Some(name);
        let mut choice = estimate(now, cfg, local_data_centre, demand, server, loads, has_affinity);
        choice.cost_ms += match (is_long, short_pool.contains(server)) {
            _ if short_pool.is_empty() => 0.0,
            (true, true) => cfg.long_in_short_pool_ms,
            (false, false) => cfg.short_in_long_pool_ms,
            _ => 0.0,
        };
        if best.as_ref().is_none_or(|best| choice.cost_ms < best.cost_ms) {
            best = Some(choice);
        }
    }
    best
}

/// Engines reserved for short prompts, spread over the data centres. All instances that see the
/// same engines compute the same pool.
#[derive(Debug, Default)]
struct ShortPromptPool<'a> {
    names: HashSet<&'a BackendServerName>,
}

impl<'a> ShortPromptPool<'a> {
    fn of(cfg: &ChoiceSettings, demand: &Demand, servers: &[&'a Server]) -> Self {
        let mut pool = Self::default();
        if demand.prompt_tokens == 0 {
            return pool;
        }
        let mut by_data_centre: HashMap<&DataCentreName, Vec<&'a BackendServerName>> =
            HashMap::new();
        for server in servers {
            let entry = &server.entry;
            by_data_centre.entry(&entry.data_centre).or_default().push(&entry.name);
        }
        // Orders by rank within the data centre first, so that the pool takes one engine of each
        // data centre before it takes a second one of any.
        let mut ranked = Vec::with_capacity(servers.len());
        for names in by_data_centre.values_mut() {
            names.sort_by_cached_key(|name| {
                Reverse(rendezvous_weight(name.as_str(), SHORT_POOL_KEY))
            });
            ranked.extend(names.iter().enumerate().map(|(rank, name)| (rank, *name)));
        }
        ranked.sort_by_cached_key(|(rank, name)| {
            (*rank, Reverse(rendezvous_weight(name.as_str(), SHORT_POOL_KEY)))
        });
        let count = match servers.len() {
            0 | 1 => 0,
            all => ((all as f64 * cfg.short_pool_share).ceil() as usize).min(all - 1),
        };
        pool.names.extend(ranked.into_iter().take(count).map(|(_, name)| name));
        pool
    }

    fn contains(&self, server: &Server) -> bool {
        self.names.contains(&server.entry.name)
    }

    fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Rendezvous key that ranks engines for the short-prompt pool.
const SHORT_POOL_KEY: u64 = 1;

/// Returns the backend server that the shared prefix of the prompt is assigned to, leaving out
/// those in `excluded`.
fn affinity_server<'a>(
    demand: &Demand,
    servers: &[&'a Server],
    excluded: Option<&ShortPromptPool<'_>>,
) -> Option<&'a BackendServerName> {
    let key = demand.shared_prefix().last()?.id;
    let candidates =
        servers.iter().filter(|server| excluded.is_none_or(|pool| !pool.contains(server)));
    candidates
        .map(|server| &server.entry.name)
        .max_by_key(|name| rendezvous_weight(name.as_str(), key))
}

fn estimate(
    now: Instant,
    cfg: &ChoiceSettings,
    local_data_centre: &DataCentreName,
    demand: &Demand,
    server: &Server,
    loads: &Loads,
    has_affinity: bool,
) -> Choice {
    let load = loads.get(&server.entry.name);
    let is_cached =
        |part: u64| has_affinity || load.is_some_and(|load| load.is_part_cached(now, part));
    let cached: u64 = demand
        .shared_prefix()
        .iter()
        .take_while(|part| is_cached(part.id))
        .map(|part| part.tokens)
        .sum();
    let prefill_tokens = demand.prompt_tokens.saturating_sub(cached);
    let (occupancy, waiting, backlog, failure_ratio) = load.map_or((0, 0, 0, 0.0), |load| {
        (
            load.occupancy(now),
            load.waiting(now),
            load.pending_prefill_tokens,
            load.failure_ratio(now),
        )
    });
    let mut cost_ms = (prefill_tokens + backlog) as f64 / cfg.prefill_tokens_per_ms;
    cost_ms += failure_ratio * cfg.failure_ms;
    let utilisation = f64::from(occupancy) / f64::from(server.entry.slots.max(1));
    if demand.prompt_tokens > 0 {
        cost_ms += f64::from(occupancy) * cfg.per_running_ms;
        let excess = occupancy.saturating_sub(server.entry.slots).max(waiting);
        cost_ms += f64::from(excess) * cfg.per_waiting_ms;
    } else {
        cost_ms += utilisation * cfg.non_engine_saturation_ms;
    }
    if server.entry.data_centre != *local_data_centre {
        cost_ms += cfg.remote_ms + demand.body_bytes as f64 / 1_000.0 * cfg.remote_ms_per_kb;
    }
    // Breaks ties at random, so that instances do not all select the same server.
    cost_ms += rand::random::<f64>();
    let load_age = load.and_then(|load| load.report_age(now));
    Choice { server: server.entry.name.clone(), prefill_tokens, cost_ms, occupancy, load_age }
}
