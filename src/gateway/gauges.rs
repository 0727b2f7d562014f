//! Gauges of the gateway, read when the metrics are asked for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::shared::Shared;
use crate::clock::BootTime;
use crate::log::dropped_lines;
use crate::routing::catalog::ServiceName;

/// Label of gauges that belong to the whole instance.
const WHOLE: &str = "instance";

/// Backend servers of one service, by what they may be used for.
#[derive(Debug, Clone, Copy, Default)]
struct States {
    usable: u64,
    cold: u64,
    left_out: u64,
    leaving: u64,
}

/// Sets all gauges to what the instance knows now.
pub fn set(cx: &Shared) {
    let metrics = &cx.metrics;
    let proof_age = cx.proof.borrow().age(BootTime::now());
    // An instance without any proof shows the largest age, as its proof is no use either.
    let proof_age_ms = proof_age.unwrap_or(Duration::MAX).as_millis().min(u64::MAX.into()) as u64;
    metrics.set("configuration_version", WHOLE, cx.catalog().version);
    metrics.set("configuration_proof_age_ms", WHOLE, proof_age_ms);
    metrics.set("instances_listed", WHOLE, cx.members.borrow().count() as u64);
    metrics.set("reads_store", WHOLE, u64::from(*cx.reads_store.borrow()));
    metrics.set("store_away", WHOLE, u64::from(cx.is_store_away()));
    metrics.set("open_connections", WHOLE, cx.connections.get() as u64);
    metrics.set("log_lines_dropped", WHOLE, dropped_lines());
    for (service, states) in count_servers(cx) {
        metrics.set("servers_usable", service.as_str(), states.usable);
        metrics.set("servers_cold", service.as_str(), states.cold);
        metrics.set("servers_left_out", service.as_str(), states.left_out);
        metrics.set("servers_leaving", service.as_str(), states.leaving);
    }
    for (service, left) in cx.repeats_left() {
        metrics.set("retry_budget_left", service.as_str(), left);
    }
}

fn count_servers(cx: &Shared) -> BTreeMap<ServiceName, States> {
    let now = Instant::now();
    let (fleet, loads) = (cx.fleet.borrow(), cx.loads.borrow());
    let mut all: BTreeMap<ServiceName, States> = BTreeMap::new();
    for server in fleet.all() {
        let name = &server.entry.name;
        let states = all.entry(server.entry.service.clone()).or_default();
        states.usable += u64::from(fleet.is_usable(name));
        states.cold += u64::from(server.is_cold(now));
        states.left_out += u64::from(loads.get(name).is_some_and(|load| load.is_ejected(now)));
        states.leaving += u64::from(fleet.draining_since(name).is_some());
    }
    all
}
