//! The lease of the duties: one instance at a time reports usage and orders backend servers.
//!
//! The platform checks the fencing number of each call, so that a former holder does no harm.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::RngExt;

use super::shared::Shared;
use crate::clock::BootTime;
use crate::lease::{Holder, LeaseCall, LeaseRecord, LeaseSettings, LeaseStateMachine, LeaseWrite};
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::duties::Caller;
use crate::platform::{Collection, Object, PlatformError, Store};
use crate::routing::rank::rank;

/// Name of the lease.
const LEASE: &str = "duties";
/// Instances that contend for the lease at once, so that calls do not grow with the fleet.
const CONTENDERS: usize = 3;
/// Renewals within one term.
const RENEWALS_IN_TERM: u32 = 3;
/// Looks of a contender within one term.
const LOOKS_IN_TERM: u32 = 2;
/// Calls made in one round, so that a claim can follow a read.
const CALLS_IN_ROUND: usize = 3;
/// Looks that an instance which does not contend leaves out at least; it is one look for each
/// instance in a larger fleet, so that calls do not grow with the fleet.
const IDLE_LOOKS: usize = 8;

/// Shows whether this instance holds the duties.
#[derive(Default)]
pub struct Duty {
    held: Cell<Option<(u64, BootTime)>>,
    /// Fencing number that the platform refused; nothing more is sent with it.
    refused: Cell<u64>,
    instance: RefCell<Option<InstanceName>>,
}

impl Duty {
    /// Returns who calls the platform now; none if the lease isn't held.
    pub fn caller(&self) -> Option<Caller> {
        let (fence, until) = self.held.get()?;
        let holds = BootTime::now() < until && fence > self.refused.get();
        let instance = self.instance.borrow().clone()?;
        holds.then_some(Caller { instance, fence })
    }

    /// Notes that the platform has seen a later holder.
    pub fn note_refused(&self, caller: &Caller) {
        tracing::warn!(fence = caller.fence, "the platform has seen a later holder of the duties");
        self.refused.set(self.refused.get().max(caller.fence));
    }
}

/// Contends for the lease until the instance drains, then gives it up.
pub async fn keep(cx: Rc<Shared>, store: Store, duty: Rc<Duty>) {
    let cfg = cx.cfg();
    let settings = LeaseSettings::from_term(cfg.lease_term);
    let me = Holder { instance: cfg.instance.clone(), incarnation: rand::random() };
    *duty.instance.borrow_mut() = Some(cfg.instance.clone());
    let mut claimant = LeaseStateMachine::new(me, settings);
    let mut idle = 0;
    let mut draining = cx.draining.subscribe();
    while !cx.is_draining() {
        let holds = claimant.held(BootTime::now()).is_some();
        if holds || idle == 0 || contends(&cx, &cfg.instance) {
            round(&cx, &store, &mut claimant, &duty).await;
            idle = cx.instance_count().max(IDLE_LOOKS);
        }
        idle -= 1;
        let calls = if holds { RENEWALS_IN_TERM } else { LOOKS_IN_TERM };
        let pause = (settings.term / calls).mul_f64(rand::rng().random_range(0.8..1.0));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = draining.wait_for(|draining| *draining) => {}
        }
    }
    duty.held.set(None);
    if let Some(LeaseCall::Write(write)) = claimant.release(BootTime::now()) {
        let answer = put(&store, &write).await;
        tracing::info!(released = answer.is_ok(), "duties given up");
    }
}

/// Returns whether this instance is among the few that contend.
fn contends(cx: &Shared, me: &InstanceName) -> bool {
    rank(me, cx.members.borrow().names(), 0) < CONTENDERS
}

async fn round(cx: &Shared, store: &Store, claimant: &mut LeaseStateMachine, duty: &Duty) {
    let before = claimant.held(BootTime::now()).map(|tenancy| tenancy.epoch);
    for _ in 0..CALLS_IN_ROUND {
        // The platform's fence stops former holders, so nobody has to acknowledge a loss.
        claimant.set_stopped_holders(claimant.former());
        let call = claimant.next_call(BootTime::now());
        cx.metrics.add(Counter::PlatformCalls, "lease", 1);
        let was_read = matches!(call, LeaseCall::Read);
        match call {
            LeaseCall::Read => {
                let answer = read(store).await;
                let failed = answer.is_err();
                if failed {
                    cx.metrics.add(Counter::PlatformFailures, "lease", 1);
                }
                claimant.on_read(BootTime::now(), answer);
                if failed {
                    break;
                }
            }
            LeaseCall::Write(write) => {
                let answer = put(store, &write).await;
                claimant.on_write(write, answer);
            }
        }
        let is_settled = !was_read && !claimant.must_read();
        let next_is_read = matches!(claimant.clone().next_call(BootTime::now()), LeaseCall::Read);
        if is_settled || (was_read && next_is_read) {
            break;
        }
    }
    let held = claimant.held(BootTime::now());
    if before != held.map(|tenancy| tenancy.epoch) {
        tracing::info!(former = before, epoch = held.map(|t| t.epoch), "lease of the duties");
    }
    cx.metrics.set("lease_epoch_held", LEASE, held.map_or(0, |tenancy| tenancy.epoch));
    duty.held.set(held.map(|tenancy| (tenancy.epoch, tenancy.until)));
}

async fn read(store: &Store) -> Result<Option<Object<LeaseRecord>>, PlatformError> {
    match store.get(Collection::Leases, LEASE).await {
        Ok(object) => Ok(Some(object)),
        Err(PlatformError::NotFound) => Ok(None),
        Err(error) => Err(error),
    }
}

async fn put(store: &Store, write: &LeaseWrite) -> Result<String, PlatformError> {
    match &write.version {
        Some(version) => {
            store.update(Collection::Leases, LEASE, Some(version), &write.record).await
        }
        None => store.create(Collection::Leases, LEASE, &write.record).await,
    }
}
