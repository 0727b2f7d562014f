//! Measures of a scenario and their targets.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::{FULL_BATCH_TOKEN_GAP, PREFILL_TOKENS_PER_SECOND};
use super::run::{Request, STEP, Simulation};

/// Target for the mean time between tokens of a response.
const TOKEN_GAP: Duration = Duration::from_millis(40);

/// Results of one simulation run.
#[derive(Debug, Clone, Copy)]
pub struct Scores {
    attainment: f64,
    worst_fair_share_ratio: f64,
    goodput: f64,
    wasted: f64,
    violations: f64,
}

/// A table row: a value with its target, which is a lower bound if `at_least` is set.
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
        value: |scores| scores.worst_fair_share_ratio,
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
    pub fn of(simulation: &Simulation) -> Self {
        let top: Vec<&Request> =
            simulation.requests.iter().filter(|request| request.spec.tier == 0).collect();
        let attained = top.iter().filter(|request| meets_targets(request)).count();
        let good: Vec<&Request> =
            simulation.requests.iter().filter(|request| meets_targets(request)).collect();
        let good_work: f64 = good.iter().map(|request| slot_seconds(request)).sum();
        let generated: f64 = simulation.requests.iter().map(|request| request.generated).sum();
        let good_tokens: f64 = good.iter().map(|request| request.spec.tokens as f64).sum();
        let lost = simulation
            .requests
            .iter()
            .filter(|request| request.finished.is_none() && !request.refused)
            .count();
        let cold_limit_violations: u32 =
            simulation.engines.iter().map(|engine| engine.cold_limit_violations).sum();
        Self {
            attainment: attained as f64 / top.len() as f64,
            worst_fair_share_ratio: worst_fair_share_ratio(simulation),
            goodput: good_work / max_in_time_work(simulation),
            wasted: ((generated - good_tokens) / generated.max(1.0)).max(0.0),
            violations: f64::from(cold_limit_violations)
                + lost as f64
                + f64::from(simulation.sends_to_evacuated),
        }
    }
}

/// Returns whether the response was complete and met its latency targets.
fn meets_targets(request: &Request) -> bool {
    let (Some(first), Some(finished)) = (request.first_token, request.finished) else {
        return false;
    };
    let gap = finished.saturating_sub(first).as_secs_f64() / request.spec.tokens.max(1) as f64;
    first <= request.spec.at + request.spec.first_token && gap <= TOKEN_GAP.as_secs_f64()
}

/// Returns the slot-seconds that a request takes on a server with a full batch.
fn slot_seconds(request: &Request) -> f64 {
    let spec = &request.spec;
    spec.prompt as f64 / PREFILL_TOKENS_PER_SECOND
        + spec.tokens as f64 * FULL_BATCH_TOKEN_GAP.as_secs_f64()
}

/// Returns an upper bound, in slot-seconds, on the work that any policy could complete in time.
///
/// For any point in time, the work due by then is at most the capacity up to then, and the work due
/// later is at most the later demand. The bound is the minimum of their sum over all times.
fn max_in_time_work(simulation: &Simulation) -> f64 {
    let due = |request: &Request| {
        let spec = &request.spec;
        (spec.at + spec.first_token).as_secs_f64() + slot_seconds(request)
    };
    let mut by_due: Vec<(f64, f64)> =
        simulation.requests.iter().map(|request| (due(request), slot_seconds(request))).collect();
    by_due.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mut later: f64 = by_due.iter().map(|(_, work)| work).sum();
    let mut bound = later;
    for (due, work) in by_due {
        later -= work;
        let step = (due / STEP.as_secs_f64()) as usize;
        let capacity =
            simulation.cumulative_capacity[step.min(simulation.cumulative_capacity.len() - 1)];
        bound = bound.min(capacity + later);
    }
    bound
}

/// Returns the lowest ratio, over organisations, of work done in time to the max-min fair share.
fn worst_fair_share_ratio(simulation: &Simulation) -> f64 {
    let mut demand_by_organisation: BTreeMap<&str, f64> = BTreeMap::new();
    let mut served_by_organisation: BTreeMap<&str, f64> = BTreeMap::new();
    for request in &simulation.requests {
        let name = request.spec.organisation.as_str();
        *demand_by_organisation.entry(name).or_default() += slot_seconds(request);
        *served_by_organisation.entry(name).or_default() +=
            if meets_targets(request) { slot_seconds(request) } else { 0.0 };
    }
    let total: f64 = served_by_organisation.values().sum();
    let level = max_min_fair_level(demand_by_organisation.values().copied().collect(), total);
    demand_by_organisation
        .iter()
        .map(|(name, demand)| served_by_organisation[name] / demand.min(level).max(1e-9))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the cap on each demand under a max-min fair allocation of `total`.
///
/// The cap is infinite if `total` covers all demands.
fn max_min_fair_level(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = total;
    for (index, demand) in demands.iter().enumerate() {
        let equal_share = remaining / (demands.len() - index) as f64;
        if *demand >= equal_share {
            return equal_share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
