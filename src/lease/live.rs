//! A lease while it is held, and the permits that what is done under it must have.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::claimant::{Holder, LeaseGrant};
use crate::clock::{BootClock, BootTime};

/// Longest time that one act under a permit may take.
pub const ACTION_TIMEOUT: Duration = Duration::from_secs(2);

/// What all copies of a live lease share.
#[derive(Debug, Default)]
pub(super) struct PermitState {
    closed: AtomicBool,
    in_use: AtomicUsize,
}

impl PermitState {
    /// Refuses new permits from now on.
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the number of permits in use.
    pub(super) fn in_use(&self) -> usize {
        self.in_use.load(Ordering::SeqCst)
    }
}

/// A lease that was held when this value was taken; it says itself when it has ended.
#[derive(Debug, Clone)]
pub struct LiveLease {
    epoch: u64,
    until: BootTime,
    former: Arc<[Holder]>,
    clock: BootClock,
    permit_state: Arc<PermitState>,
}

impl LiveLease {
    pub(super) fn new(
        grant: LeaseGrant,
        former: Arc<[Holder]>,
        clock: BootClock,
        permit_state: Arc<PermitState>,
    ) -> Self {
        Self { epoch: grant.epoch, until: grant.until, former, clock, permit_state }
    }

    /// Returns the former holders that may still believe they are in charge.
    pub fn former(&self) -> &[Holder] {
        &self.former
    }

    /// Returns the fencing number.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a permit to act, unless the lease has ended; ask for one right before each act.
    pub fn permit(&self) -> Option<Permit<'_>> {
        self.permit_state.in_use.fetch_add(1, Ordering::SeqCst);
        let permit = Permit { lease: self };
        let ended = self.permit_state.closed.load(Ordering::SeqCst) || permit.remaining().is_zero();
        (!ended).then_some(permit)
    }
}

/// Permission to act under a lease; what is sent must end within [`Permit::remaining`].
#[derive(Debug)]
pub struct Permit<'a> {
    lease: &'a LiveLease,
}

impl Permit<'_> {
    /// Returns the fencing number.
    pub fn epoch(&self) -> u64 {
        self.lease.epoch
    }

    /// Returns the time until the holder must have stopped acting.
    pub fn remaining(&self) -> Duration {
        self.lease.until.since(self.lease.clock.now())
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.lease.permit_state.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Shows whether this instance holds a lease; clones show the same.
#[derive(Debug, Clone)]
pub struct LeaseWatch {
    rx: watch::Receiver<Option<LiveLease>>,
}

impl LeaseWatch {
    pub(super) fn new(rx: watch::Receiver<Option<LiveLease>>) -> Self {
        Self { rx }
    }

    /// Returns the lease if it is held now.
    pub fn live(&self) -> Option<LiveLease> {
        let lease = self.rx.borrow().clone()?;
        let live = lease.permit().is_some();
        live.then_some(lease)
    }

    /// Waits until the lease is won, renewed or lost; returns false if its task has ended.
    pub async fn changed(&mut self) -> bool {
        self.rx.changed().await.is_ok()
    }
}
