//! Task that maintains one lease: owns its state machine and calls the object API.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::sync::watch;

use super::claimant::{
    Holder, LeaseCall, LeaseRecord, LeaseSettings, LeaseStateMachine, LeaseWrite,
};
use super::former::FormerHolderTracker;
use super::live::{LeaseWatch, LiveLease, PermitState};
use super::role::{MAX_CANDIDATES, Role};
use crate::clock::BootClock;
use crate::context::Context;
use crate::event::EventKind;
use crate::metrics::Counter;
use crate::platform::{Object, ObjectKind, PlatformError};

/// Poll rounds (reads or renewals) within one term.
const ROUNDS_PER_TERM: u32 = 4;
/// Poll rounds between two reads of an instance that is not a candidate, in a fleet of fewer than
/// `MAX_CANDIDATES` instances. Larger fleets use a multiple.
const BASE_ROUNDS_BETWEEN_IDLE_READS: u32 = 24;
/// Maximum calls in one round: a read, a write that acquires the lease, and its read-back.
const MAX_CALLS_PER_ROUND: usize = 3;
/// Interval at which a release checks whether permits are still in use.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Acquires one lease if the instance is a candidate for it, and renews it until the instance
/// drains.
pub struct LeaseTask {
    cx: Context,
    role: Role,
    settings: LeaseSettings,
    clock: BootClock,
    machine: LeaseStateMachine,
    permit_state: Arc<PermitState>,
    former_holder_tracker: FormerHolderTracker,
    tx: watch::Sender<Option<LiveLease>>,
}

impl LeaseTask {
    /// Starts the task for a role.
    pub fn start(cx: Context, role: Role) -> LeaseWatch {
        Self::start_with_clock(cx, role, BootClock::default())
    }

    /// Starts the task for a role with the given clock.
    pub fn start_with_clock(cx: Context, role: Role, clock: BootClock) -> LeaseWatch {
        let (tx, rx) = watch::channel(None);
        let settings = LeaseSettings::from_term(cx.options.lease_term);
        let this_holder =
            Holder { instance: cx.options.instance.clone(), incarnation: cx.incarnation };
        let task = Self {
            machine: LeaseStateMachine::new(this_holder, settings),
            permit_state: Arc::default(),
            former_holder_tracker: FormerHolderTracker::default(),
            cx,
            role,
            settings,
            clock,
            tx,
        };
        tokio::spawn(task.run());
        LeaseWatch::new(rx)
    }

    async fn run(mut self) {
        let mut draining = self.cx.draining.clone();
        let mut rounds_until_idle_read = 0;
        while !*draining.borrow() {
            if self.is_active() || rounds_until_idle_read == 0 {
                self.run_poll_round().await;
                rounds_until_idle_read = self.rounds_between_idle_reads();
            }
            rounds_until_idle_read -= 1;
            let mut delay = self.cx.timer.after(self.round_delay());
            tokio::select! {
                _ = delay.recv() => {}
                changed = draining.changed() => if changed.is_err() { break },
            }
        }
        self.release().await;
    }

    /// Returns the time until the next round, with jitter so that instances do not poll in step.
    fn round_delay(&self) -> Duration {
        let base = self.settings.term / ROUNDS_PER_TERM;
        base.mul_f64(rand::rng().random_range(0.8..1.0))
    }

    /// Returns the rounds between two reads of an instance that is not a candidate.
    ///
    /// The number grows with the fleet, so that the total number of calls does not.
    fn rounds_between_idle_reads(&self) -> u32 {
        let instances = u32::try_from(self.cx.members.borrow().listed.len()).unwrap_or(u32::MAX);
        BASE_ROUNDS_BETWEEN_IDLE_READS.saturating_mul(1 + instances / MAX_CANDIDATES as u32)
    }

    /// Returns whether this instance holds the lease or is a candidate for it.
    fn is_active(&self) -> bool {
        let members = self.cx.members.borrow().clone();
        self.machine.held(self.clock.now()).is_some()
            || self.role.is_candidate(&members, &self.cx.options.instance)
    }

    /// Reads, renews or acquires the lease once, and reads it again after a write that conflicted
    /// or whose outcome is unknown.
    async fn run_poll_round(&mut self) {
        for _ in 0..MAX_CALLS_PER_ROUND {
            self.update_former_holders();
            let call = self.machine.next_call(self.clock.now());
            let is_read = call == LeaseCall::Read;
            self.perform(call).await;
            self.publish();
            let is_up_to_date_after_write = !is_read && !self.machine.must_read();
            if is_up_to_date_after_write || (is_read && !self.next_call_is_write()) {
                return;
            }
        }
    }

    /// Updates which former holders have stopped and whether local permits are still in use.
    fn update_former_holders(&mut self) {
        let former = self.machine.record().map(|record| record.former.clone());
        let members = self.cx.members.borrow().clone();
        let this_instance = &self.cx.options.instance;
        let stopped = self.former_holder_tracker.stopped(
            &former.unwrap_or_default(),
            &members,
            this_instance,
            self.clock.now(),
        );
        self.machine.set_stopped_holders(stopped);
        self.machine.set_actions_in_progress(self.permit_state.in_use() > 0);
    }

    fn next_call_is_write(&self) -> bool {
        matches!(self.machine.clone().next_call(self.clock.now()), LeaseCall::Write(_))
    }

    async fn perform(&mut self, call: LeaseCall) {
        self.cx.metrics.add(Counter::PlatformCalls, ObjectKind::Leases.as_str(), 1);
        match call {
            LeaseCall::Read => {
                let result = self.read().await;
                self.machine.on_read(self.clock.now(), result);
            }
            LeaseCall::Write(write) => {
                let result = self.write(&write).await;
                self.machine.on_write(write, result);
            }
        }
    }

    async fn read(&self) -> Result<Option<Object<LeaseRecord>>, PlatformError> {
        match self.cx.objects.get(ObjectKind::Leases, &self.role.name).await {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn write(&self, write: &LeaseWrite) -> Result<String, PlatformError> {
        let LeaseWrite { version, record, .. } = write;
        let (objects, name) = (&self.cx.objects, self.role.name.as_str());
        match version {
            Some(version) => objects.update(ObjectKind::Leases, name, version, record).await,
            None => objects.create(ObjectKind::Leases, name, record).await,
        }
    }

    /// Publishes the current grant to the receivers and records its acquisition or loss.
    fn publish(&mut self) {
        let before = self.tx.borrow().as_ref().map(LiveLease::epoch);
        let held = self.machine.held(self.clock.now());
        let after = held.map(|grant| grant.epoch);
        if before != after {
            self.record_change(before, after);
        }
        let former: Arc<[Holder]> = self.machine.former_holders().into();
        let live = held.map(|grant| {
            LiveLease::new(grant, former, self.clock.clone(), self.permit_state.clone())
        });
        self.tx.send_replace(live);
    }

    fn record_change(&self, before: Option<u64>, after: Option<u64>) {
        let name = &self.role.name;
        if let Some(epoch) = before {
            self.cx.recorder.record(EventKind::Lease, format!("lost {name}, epoch {epoch}"));
        }
        if let Some(epoch) = after {
            self.cx.recorder.record(EventKind::Lease, format!("won {name}, epoch {epoch}"));
        }
    }

    /// Waits until no permit is in use or the lease has expired, then releases it.
    async fn release(mut self) {
        self.permit_state.close();
        while self.permit_state.in_use() > 0 && self.machine.held(self.clock.now()).is_some() {
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        let call = self.machine.release(self.clock.now());
        if let Some(call) = call {
            self.perform(call).await;
        }
        self.publish();
    }
}
