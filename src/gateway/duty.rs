//! Lease of the duties: the holder reports usage and orders backend servers for the whole fleet.
//!
//! The platform checks the fencing token of each call, so that calls of a former holder are
//! rejected.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::lease::{Holder, LeaseCall, LeaseRecord, LeaseSettings, LeaseStateMachine, LeaseWrite};
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::duties::HolderIdentity;
use crate::platform::{Collection, Object, PlatformError, Store};
use crate::routing::rank::rank;
use crate::routing::revision::in_era;

/// Name of the lease in metrics, and in a store that states no era.
const LEASE_NAME: &str = "duties";
/// Number of instances that compete for the lease; fixed, so that calls don't grow with the fleet.
const MAX_CANDIDATES: usize = 3;
/// Renewals of a holder per lease term.
const RENEWALS_PER_TERM: u32 = 3;
/// Polls of a candidate per lease term.
const POLLS_PER_TERM: u32 = 2;
/// Maximum number of calls per poll round, so that a write can follow a read.
const MAX_CALLS_PER_ROUND: usize = 3;
/// Period at which an instance that starts checks whether it is listed.
const LISTED_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum number of polls that an instance skips if it is not a candidate. In a larger fleet it is
/// the number of instances, so that calls don't grow with the fleet.
const MIN_SKIPPED_POLLS: usize = 8;

/// Whether this instance holds the duty lease, and with which fencing token.
#[derive(Default)]
pub struct DutyLease {
    held: Cell<Option<(u64, BootTime)>>,
    /// Highest fencing token that the platform rejected; it and lower ones are no longer used.
    rejected_fence: Cell<u64>,
    instance: RefCell<Option<InstanceName>>,
}

impl DutyLease {
    /// Returns the identity to call the platform with; `None` if the lease isn't held.
    pub fn identity(&self) -> Option<HolderIdentity> {
        let (fence, until) = self.held.get()?;
        let is_held = BootTime::now() < until && fence > self.rejected_fence.get();
        let instance = self.instance.borrow().clone()?;
        is_held.then_some(HolderIdentity { instance, fencing_token: fence })
    }

    /// Records that the platform rejected a call because it has seen a later holder.
    pub fn record_rejection(&self, identity: &HolderIdentity) {
        tracing::warn!(
            fence = identity.fencing_token,
            "platform rejected the fencing token; a later holder exists"
        );
        self.rejected_fence.set(self.rejected_fence.get().max(identity.fencing_token));
    }
}

/// Returns the name of the lease in an era of the store.
///
/// Each era has its own lease: a holder that doesn't know yet that the store came back from a copy could
/// otherwise renew the lease of its successor, as revisions are given out again.
fn lease_name(era: u64) -> String {
    if era == 0 { LEASE_NAME.to_owned() } else { format!("{LEASE_NAME}-{era}") }
}

/// Participation in the lease of one era of the store.
struct EraLease {
    era: u64,
    machine: LeaseStateMachine,
}

impl EraLease {
    fn new(era: u64, instance: &InstanceName, settings: LeaseSettings) -> Self {
        let this_holder = Holder { instance: instance.clone(), incarnation: rand::random() };
        Self { era, machine: LeaseStateMachine::new(this_holder, settings) }
    }

    /// Returns the fencing token and the end of the held lease. Tokens of a later era are greater than
    /// all before, whose epochs may be lost.
    fn held(&self) -> Option<(u64, BootTime)> {
        let grant = self.machine.held(BootTime::now())?;
        Some((in_era(self.era, grant.epoch), grant.until))
    }
}

/// Acquires and renews the lease until the instance shuts down, then releases it.
pub async fn maintain(cx: Rc<InstanceState>, store: Store, duty_lease: Rc<DutyLease>) {
    let cfg = cx.cfg();
    let settings = LeaseSettings::from_term(cfg.lease_term);
    *duty_lease.instance.borrow_mut() = Some(cfg.instance.clone());
    let mut lease = EraLease::new(store.era(), &cfg.instance, settings);
    let mut draining = cx.draining.subscribe();
    while !is_listed(&cx, &cfg.instance) && !cx.is_draining() {
        tokio::time::sleep(LISTED_CHECK_PERIOD).await;
    }
    // Random, so that instances that started together don't poll together.
    let mut polls_to_skip =
        rand::rng().random_range(1..=cx.instance_count().max(MIN_SKIPPED_POLLS));
    while !cx.is_draining() {
        if lease.era != store.era() {
            let is_lost = lease.held().is_some();
            tracing::info!(former = lease.era, era = store.era(), is_lost, "lease of a new era");
            lease = EraLease::new(store.era(), &cfg.instance, settings);
            duty_lease.held.set(None);
        }
        let is_held = lease.held().is_some();
        if is_held || polls_to_skip == 0 || is_candidate(&cx, &cfg.instance) {
            run_poll_round(&cx, &store, &mut lease, &duty_lease).await;
            polls_to_skip = cx.instance_count().max(MIN_SKIPPED_POLLS);
        }
        polls_to_skip -= 1;
        let rounds_per_term = if is_held { RENEWALS_PER_TERM } else { POLLS_PER_TERM };
        let delay = (settings.term / rounds_per_term).mul_f64(rand::rng().random_range(0.8..1.0));
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            _ = draining.wait_for(|draining| *draining) => {}
        }
    }
    duty_lease.held.set(None);
    if let Some(LeaseCall::Write(write)) = lease.machine.release(BootTime::now()) {
        let result = put(&store, &lease_name(lease.era), &write).await;
        tracing::info!(released = result.is_ok(), "tried to release the duty lease");
    }
}

/// Returns whether this instance is among the candidates for the lease.
///
/// An instance that is not in its own list is none, as its view of the others may be incomplete.
fn is_candidate(cx: &InstanceState, this_instance: &InstanceName) -> bool {
    is_listed(cx, this_instance)
        && rank(this_instance, cx.members.borrow().names(), 0) < MAX_CANDIDATES
}

fn is_listed(cx: &InstanceState, this_instance: &InstanceName) -> bool {
    cx.members.borrow().names().any(|name| name == this_instance)
}

async fn run_poll_round(
    cx: &InstanceState,
    store: &Store,
    lease: &mut EraLease,
    duty_lease: &DutyLease,
) {
    let name = lease_name(lease.era);
    let machine = &mut lease.machine;
    let before = machine.held(BootTime::now()).map(|grant| grant.epoch);
    for _ in 0..MAX_CALLS_PER_ROUND {
        // The platform rejects calls of former holders, so none has to confirm that it stopped.
        machine.set_stopped_holders(machine.former_holders());
        let call = machine.next_call(BootTime::now());
        cx.metrics.add(Counter::PlatformCalls, "lease", 1);
        let is_read = matches!(call, LeaseCall::Read);
        match call {
            LeaseCall::Read => {
                let result = read(store, &name).await;
                let failed = result.is_err();
                if failed {
                    cx.metrics.add(Counter::PlatformFailures, "lease", 1);
                }
                machine.on_read(BootTime::now(), result);
                if failed {
                    break;
                }
            }
            LeaseCall::Write(write) => {
                let result = put(store, &name, &write).await;
                machine.on_write(write, result);
            }
        }
        // Ends the round after a write with a known result, or a read after which there is nothing
        // to write.
        let is_settled = !is_read && !machine.must_read();
        let next_is_read = matches!(machine.clone().next_call(BootTime::now()), LeaseCall::Read);
        if is_settled || (is_read && next_is_read) {
            break;
        }
    }
    if lease.era != store.era() {
        // What was read or written is of an era that has ended.
        duty_lease.held.set(None);
        return;
    }
    let held = machine.held(BootTime::now());
    if before != held.map(|grant| grant.epoch) {
        tracing::info!(
            former = before,
            epoch = held.map(|grant| grant.epoch),
            "epoch of the held duty lease changed"
        );
    }
    cx.metrics.set_gauge("lease_epoch_held", LEASE_NAME, held.map_or(0, |grant| grant.epoch));
    duty_lease.held.set(lease.held());
}

async fn read(store: &Store, name: &str) -> Result<Option<Object<LeaseRecord>>, PlatformError> {
    match store.get(Collection::Leases, name).await {
        Ok(object) => Ok(Some(object)),
        Err(PlatformError::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}

async fn put(store: &Store, name: &str, write: &LeaseWrite) -> Result<String, PlatformError> {
    match &write.version {
        Some(version) => store.update(Collection::Leases, name, Some(version), &write.record).await,
        None => store.create(Collection::Leases, name, &write.record).await,
    }
}
