//! Access to a held lease, and the permits that guard actions under it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::claimant::{Holder, LeaseGrant};
use crate::clock::{BootClock, BootTime};

/// Maximum duration of one action under a permit.
pub const ACTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Permit accounting that is shared by all handles of a lease.
#[derive(Debug, Default)]
pub(super) struct PermitState {
    closed: AtomicBool,
    in_use: AtomicUsize,
}

impl PermitState {
    /// Refuses all further permits.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of permits in use.
    pub(super) fn in_use(&self) -> usize {
        self.in_use.load(Ordering::SeqCst)
    }
}

/// A snapshot of a held lease. It may expire at any time, so each action needs a [`Permit`].
#[derive(Debug, Clone)]
pub struct LiveLease {
    epoch: u64,
    until: BootTime,
    former_holders: Arc<[Holder]>,
    clock: BootClock,
    permit_state: Arc<PermitState>,
}

impl LiveLease {
    pub(super) fn new(
        grant: LeaseGrant,
        former_holders: Arc<[Holder]>,
        clock: BootClock,
        permit_state: Arc<PermitState>,
    ) -> Self {
        Self { epoch: grant.epoch, until: grant.until, former_holders, clock, permit_state }
    }

    /// Returns the former holders that may still act as if they held the lease.
    pub fn former_holders(&self) -> &[Holder] {
        &self.former_holders
    }

    /// Returns the epoch of the lease, which is sent as the fencing token.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a permit for one action, or `None` if the lease has ended.
    ///
    /// Callers request it immediately before each action.
    pub fn permit(&self) -> Option<Permit<'_>> {
        // The permit is counted before the check, so that a concurrent release waits for it.
        self.permit_state.in_use.fetch_add(1, Ordering::SeqCst);
        let permit = Permit { lease: self };
        let ended = self.permit_state.closed.load(Ordering::SeqCst) || permit.remaining().is_zero();
        (!ended).then_some(permit)
    }
}

/// Permission for one action under a lease, which must end within [`Permit::remaining`].
#[derive(Debug)]
pub struct Permit<'a> {
    lease: &'a LiveLease,
}

impl Permit<'_> {
    /// Returns the epoch of the lease, which is sent as the fencing token.
    pub fn epoch(&self) -> u64 {
        self.lease.epoch
    }

    /// Returns the time left until the holder must have stopped acting.
    pub fn remaining(&self) -> Duration {
        self.lease.until.since(self.lease.clock.now())
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.lease.permit_state.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Receiver for the state of a lease on this instance. Clones observe the same lease.
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    rx: watch::Receiver<Option<LiveLease>>,
}

impl LeaseWatch {
    pub(super) fn new(rx: watch::Receiver<Option<LiveLease>>) -> Self {
        Self { rx }
    }

    /// Returns the lease if this instance currently holds it.
    pub fn live(&self) -> Option<LiveLease> {
        let lease = self.rx.borrow().clone()?;
        let live = lease.permit().is_some();
        live.then_some(lease)
    }

    /// Waits until the lease is acquired, renewed or lost; returns `false` if its task has ended.
    pub async fn changed(&mut self) -> bool {
        self.rx.changed().await.is_ok()
    }
}
