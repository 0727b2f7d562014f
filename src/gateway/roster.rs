//! Registration of instances in the store, and removal of the entries of dead instances.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::duty::DutyLease;
use super::peers::is_reachable;
use super::shared::InstanceState;
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::absence::FailureDetector;
use crate::routing::members::Member;
use crate::timer::Timer;

/// Delay after a failed registration.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Period at which this instance checks that it is still registered; much longer than it takes for
/// its registration to come back from the store.
const REGISTRATION_CHECK_PERIOD: Duration = Duration::from_secs(4);
/// Period at which the holder of the duty lease probes the other instances; several probes fit into
/// the time after which an instance counts as dead.
const LIVENESS_CHECK_PERIOD: Duration = Duration::from_secs(15);

/// Time for which an instance that starts beside others waits for their entries, which show whether
/// its own is still there from before a restart.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(2);

/// Registers this instance, so that the others find it, and again whenever its entry is missing.
pub async fn register(cx: Rc<InstanceState>, store: Store, timer: Timer) {
    if cx.cfg().has_other_seed() {
        let mut changes = cx.changes.subscribe();
        let received = async {
            while !cx.has_received(Collection::Instances) && changes.changed().await.is_ok() {}
        };
        let _ = tokio::time::timeout(ENTRIES_TIMEOUT, received).await;
    }
    if !cx.members.borrow().has(&cx.cfg().instance, &own_entry(&cx)) {
        write_entry(&cx, &store).await;
    }
    let mut ticks = timer.every(REGISTRATION_CHECK_PERIOD);
    while ticks.recv().await.is_some() {
        if !is_registered(&cx) {
            tracing::warn!("entry of this instance is missing from the store; registering again");
            write_entry(&cx, &store).await;
        }
    }
}

/// Returns whether the known entries include this instance, or none are known yet.
fn is_registered(cx: &InstanceState) -> bool {
    let members = cx.members.borrow();
    let this_instance = &cx.cfg().instance;
    members.count() == 0 || members.names().any(|name| name == this_instance)
}

fn own_entry(cx: &InstanceState) -> Member {
    let cfg = cx.cfg();
    Member {
        data_centre: cfg.data_centre.clone(),
        address: cfg.peer_address,
        datagram_port: Some(cfg.datagram_address.port()),
    }
}

async fn write_entry(cx: &InstanceState, store: &Store) {
    let cfg = cx.cfg();
    let name = cfg.instance.as_str();
    let member = own_entry(cx);
    loop {
        cx.metrics.add(Counter::PlatformCalls, Collection::Instances.label(), 1);
        let created = store.create(Collection::Instances, name, &member).await;
        let result = match created {
            // Left by an earlier process of this instance, possibly at another address.
            Err(PlatformError::Conflict) => {
                store.update(Collection::Instances, name, None, &member).await
            }
            created => created,
        };
        match result {
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "registering this instance failed; retrying"),
        }
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

/// Probes the other instances and deregisters dead ones, while this instance holds the duty lease.
pub async fn remove_dead_instances(
    cx: Rc<InstanceState>,
    store: Store,
    duty_lease: Rc<DutyLease>,
    client: reqwest::Client,
    timer: Timer,
) {
    let mut ticks = timer.every(LIVENESS_CHECK_PERIOD);
    let mut failure_detector = FailureDetector::default();
    while ticks.recv().await.is_some() {
        if duty_lease.identity().is_none() {
            failure_detector.clear();
            continue;
        }
        let others = other_instances(&cx);
        failure_detector.retain(|name| others.iter().any(|(other, _)| other == name));
        for (name, member) in others {
            let is_alive = is_reachable(&client, &member).await;
            if failure_detector.record_probe(Instant::now(), &name, is_alive)
                && duty_lease.identity().is_some()
            {
                deregister(&cx, &store, &name).await;
            }
        }
    }
}

fn other_instances(cx: &InstanceState) -> Vec<(InstanceName, Member)> {
    let this_instance = cx.cfg().instance.clone();
    let members = cx.members.borrow();
    let others = members.all().filter(|(name, _)| **name != this_instance);
    others.map(|(name, member)| (name.clone(), member.clone())).collect()
}

async fn deregister(cx: &InstanceState, store: &Store, name: &InstanceName) {
    cx.metrics.add(Counter::PlatformCalls, Collection::Instances.label(), 1);
    match store.delete(Collection::Instances, name.as_str()).await {
        Ok(()) => tracing::info!(%name, "dead instance deregistered"),
        Err(error) => tracing::warn!(%name, %error, "deregistering a dead instance failed"),
    }
}
