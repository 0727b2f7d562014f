//! Gauges of the gateway, updated when the metrics are scraped.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::log::dropped_lines;
use crate::routing::catalog::ServiceName;

/// Label value of gauges that describe the instance itself.
const INSTANCE_LABEL: &str = "instance";

/// Numbers of a service's backend servers by state.
#[derive(Debug, Clone, Copy, Default)]
struct ServerStateCounts {
    usable: u64,
    cold: u64,
    ejected: u64,
    draining: u64,
    paused: u64,
}

/// Updates all gauges.
pub fn update(cx: &InstanceState) {
    let metrics = &cx.metrics;
    let proof_age = cx.proof.borrow().age(BootTime::now());
    // An instance without a proof reports the maximum age, as it can't accept keys either.
    let proof_age_ms = proof_age.unwrap_or(Duration::MAX).as_millis().min(u64::MAX.into()) as u64;
    metrics.set_gauge("configuration_version", INSTANCE_LABEL, cx.catalog().version);
    metrics.set_gauge("configuration_proof_age_ms", INSTANCE_LABEL, proof_age_ms);
    metrics.set_gauge("instances_listed", INSTANCE_LABEL, cx.members.borrow().count() as u64);
    metrics.set_gauge("reads_store", INSTANCE_LABEL, u64::from(*cx.reads_store.borrow()));
    metrics.set_gauge("store_away", INSTANCE_LABEL, u64::from(cx.is_store_unavailable()));
    metrics.set_gauge("open_connections", INSTANCE_LABEL, *cx.open_connections.borrow() as u64);
    metrics.set_gauge("log_lines_dropped", INSTANCE_LABEL, dropped_lines());
    let (suspected, quarantined) = cx.evidence.counts();
    metrics.set_gauge("stream_origins_known", INSTANCE_LABEL, cx.origins.count() as u64);
    metrics.set_gauge("prompt_parts_suspected", INSTANCE_LABEL, suspected as u64);
    metrics.set_gauge("prompt_parts_quarantined", INSTANCE_LABEL, quarantined as u64);
    for (service, counts) in count_servers(cx) {
        metrics.set_gauge("servers_usable", service.as_str(), counts.usable);
        metrics.set_gauge("servers_cold", service.as_str(), counts.cold);
        metrics.set_gauge("servers_left_out", service.as_str(), counts.ejected);
        metrics.set_gauge("servers_paused", service.as_str(), counts.paused);
        metrics.set_gauge("servers_leaving", service.as_str(), counts.draining);
    }
    for (service, left) in cx.retries_left() {
        metrics.set_gauge("retry_budget_left", service.as_str(), left);
    }
}

fn count_servers(cx: &InstanceState) -> BTreeMap<ServiceName, ServerStateCounts> {
    let now = Instant::now();
    let (fleet, loads) = (cx.fleet.borrow(), cx.loads.borrow());
    let mut by_service: BTreeMap<ServiceName, ServerStateCounts> = BTreeMap::new();
    for server in fleet.all() {
        let name = &server.entry.name;
        let counts = by_service.entry(server.entry.service.clone()).or_default();
        counts.usable += u64::from(fleet.is_usable(name));
        counts.cold += u64::from(server.is_cold(now));
        counts.ejected += u64::from(loads.get(name).is_some_and(|load| load.is_ejected(now)));
        counts.paused += u64::from(fleet.pause_left(now, &server.entry).is_some());
        counts.draining += u64::from(fleet.draining_since(name).is_some());
    }
    by_service
}
