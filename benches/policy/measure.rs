//! What is measured in a scene, and the targets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::{FULL_GAP, PREFILL_PACE};
use super::run::{Request, STEP, World};

/// Target for the mean time between tokens.
const TOKEN_GAP: Duration = Duration::from_millis(40);

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct Scores {
    attainment: f64,
    worst_share: f64,
    goodput: f64,
    wasted: f64,
    violations: f64,
}

/// One row of a table.
pub struct Measure {
    pub name: &'static str,
    pub value: fn(&Scores) -> f64,
    target: f64,
    at_least: bool,
}

pub const MEASURES: [Measure; 5] = [
    Measure {
        name: "attainment of the top tier",
        value: |scores| scores.attainment,
        target: 0.95,
        at_least: true,
    },
    Measure {
        name: "worst-served organisation, share of fair share",
        value: |scores| scores.worst_share,
        target: 0.90,
        at_least: true,
    },
    Measure {
        name: "goodput against full knowledge",
        value: |scores| scores.goodput,
        target: 0.95,
        at_least: true,
    },
    Measure { name: "wasted tokens", value: |scores| scores.wasted, target: 0.01, at_least: false },
    Measure {
        name: "promises broken (cold limit, lost requests, work to a data centre that is out)",
        value: |scores| scores.violations,
        target: 0.0,
        at_least: false,
    },
];

impl Measure {
    pub fn is_met(&self, value: f64) -> bool {
        if self.at_least { value >= self.target } else { value <= self.target }
    }

    pub fn target_text(&self) -> String {
        format!("{} {}", if self.at_least { "≥" } else { "≤" }, self.target)
    }
}

impl Scores {
    pub fn of(world: &World) -> Self {
        let top: Vec<&Request> =
            world.requests.iter().filter(|request| request.arriving.tier == 0).collect();
        let attained = top.iter().filter(|request| is_good(request)).count();
        let good: Vec<&Request> =
            world.requests.iter().filter(|request| is_good(request)).collect();
        let good_work: f64 = good.iter().map(|request| work(request)).sum();
        let made: f64 = world.requests.iter().map(|request| request.made).sum();
        let good_tokens: f64 = good.iter().map(|request| request.arriving.tokens as f64).sum();
        let lost = world
            .requests
            .iter()
            .filter(|request| request.finished.is_none() && !request.refused)
            .count();
        let broke: u32 = world.engines.iter().map(|engine| engine.broke_cold_limit).sum();
        Self {
            attainment: attained as f64 / top.len() as f64,
            worst_share: worst_share(world),
            goodput: good_work / full_knowledge(world),
            wasted: ((made - good_tokens) / made.max(1.0)).max(0.0),
            violations: f64::from(broke) + lost as f64 + f64::from(world.sent_out),
        }
    }
}

/// Returns whether the answer was whole and in time.
fn is_good(request: &Request) -> bool {
    let (Some(first), Some(finished)) = (request.first_token, request.finished) else {
        return false;
    };
    let gap = finished.saturating_sub(first).as_secs_f64() / request.arriving.tokens.max(1) as f64;
    first <= request.arriving.at + request.arriving.first_token && gap <= TOKEN_GAP.as_secs_f64()
}

/// Returns the slot-seconds that a request takes on a full server.
fn work(request: &Request) -> f64 {
    let arriving = &request.arriving;
    arriving.prompt as f64 / PREFILL_PACE + arriving.tokens as f64 * FULL_GAP.as_secs_f64()
}

/// Returns an upper bound of the work that could have been done in time.
///
/// Whatever the order, the work due by any time is bounded by the capacity until then, and the
/// rest by what was asked for; the least such sum over all times is the bound.
fn full_knowledge(world: &World) -> f64 {
    let due = |request: &Request| {
        let arriving = &request.arriving;
        (arriving.at + arriving.first_token).as_secs_f64() + work(request)
    };
    let mut by_due: Vec<(f64, f64)> =
        world.requests.iter().map(|request| (due(request), work(request))).collect();
    by_due.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut later: f64 = by_due.iter().map(|(_, work)| work).sum();
    let mut bound = later;
    for (due, work) in by_due {
        later -= work;
        let step = (due / STEP.as_secs_f64()) as usize;
        let capacity = world.capacity[step.min(world.capacity.len() - 1)];
        bound = bound.min(capacity + later);
    }
    bound
}

/// Returns the least ratio, over organisations, of work in time to the max-min fair share.
fn worst_share(world: &World) -> f64 {
    let mut asked: BTreeMap<&str, f64> = BTreeMap::new();
    let mut got: BTreeMap<&str, f64> = BTreeMap::new();
    for request in &world.requests {
        let name = request.arriving.organisation.as_str();
        *asked.entry(name).or_default() += work(request);
        *got.entry(name).or_default() += if is_good(request) { work(request) } else { 0.0 };
    }
    let total: f64 = got.values().sum();
    let level = fair_level(asked.values().copied().collect(), total);
    asked
        .iter()
        .map(|(name, asked)| got[name] / asked.min(level).max(1e-9))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the level at which `total` is shared max-min fairly among demands.
fn fair_level(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, demand) in demands.iter().enumerate() {
        let part = left / (demands.len() - index) as f64;
        if *demand >= part {
            return part;
        }
        left -= demand;
    }
    f64::INFINITY
}
