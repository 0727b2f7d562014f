//! Usage reports. Instances that read the store publish the request counts that they know; the
//! holder of the duty lease adds them up, seals the totals of each window in the store, and reports
//! them.
//!
//! Totals are sealed before they are sent and never change, so that a new holder reports the same
//! totals again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::duty::DutyLease;
use super::seals::Sealer;
use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::duties::{DutyClient, HolderIdentity};
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::revision::era_of;
use crate::routing::windows::{Tallies, may_finalise};
use crate::timer::Timer;

/// Period at which an instance publishes changed counts.
///
/// A killed instance loses the counts since the last publication: at most a fifth of a window of
/// five seconds.
const PUBLISH_PERIOD: Duration = Duration::from_millis(1_000);
/// Period at which the lease holder checks for windows to report.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Outcome labels of a window that was reported, and of one whose sealed counts are lost.
const REPORTED: &str = "reported";
const LOST: &str = "lost";
/// Number of windows for which it is remembered that they were reported.
const RETAINED_WINDOWS: u64 = 24;

/// Publishes the known counts while this instance reads the store, until the process exits.
pub async fn publish(cx: Rc<InstanceState>, store: Store, timer: Timer) {
    let mut ticks = timer.every(PUBLISH_PERIOD);
    let mut publisher = Publisher::default();
    while ticks.recv().await.is_some() {
        if *cx.reads_store.borrow() && !cx.is_store_unavailable() {
            publisher.publish(&cx, &store).await;
        }
    }
}

/// Publishes counts and remembers the last published ones.
#[derive(Debug, Default)]
pub struct Publisher {
    published: Tallies,
    /// Whether the object of this process exists in the store.
    exists: bool,
    /// Era of the store in which that was published.
    era: u64,
}

impl Publisher {
    /// Publishes the known counts if they changed.
    ///
    /// Each process writes its own object, so that it doesn't overwrite the counts of an earlier
    /// process of the same instance.
    pub async fn publish(&mut self, cx: &InstanceState, store: &Store) {
        if self.era != store.era() {
            *self = Self { era: store.era(), ..Self::default() };
        }
        let tallies = cx.tallies.borrow().clone();
        if tallies == self.published {
            return;
        }
        let name = cx.process_name.replace('/', ".");
        cx.metrics.add(Counter::PlatformCalls, Collection::Tallies.label(), 1);
        let result = if self.exists {
            store.update(Collection::Tallies, &name, None, &tallies).await
        } else {
            store.create(Collection::Tallies, &name, &tallies).await
        };
        match result {
            Ok(_) => {
                self.exists = true;
                self.published = tallies;
            }
            // An earlier create took effect, but its response was lost.
            Err(PlatformError::Conflict) => self.exists = true,
            // Deleted by a lease holder that took this process for dead.
            Err(PlatformError::NotFound) => self.exists = false,
            Err(error) => {
                cx.metrics.add(Counter::PlatformFailures, Collection::Tallies.label(), 1);
                tracing::warn!(%error, "publishing request counts failed; retrying");
            }
        }
    }
}

/// Reports ended windows while this instance holds the duty lease.
pub async fn report(
    cx: Rc<InstanceState>,
    store: Store,
    duties: DutyClient,
    duty_lease: Rc<DutyLease>,
    timer: Timer,
) {
    let mut ticks = timer.every(REPORT_PERIOD);
    let mut reported = BTreeSet::new();
    let mut sealer = Sealer::default();
    while ticks.recv().await.is_some() {
        sealer.forget_before(oldest_reportable(&cx));
        if current_identity(&duty_lease, &store).is_none() {
            continue;
        }
        for window in due_windows(&cx, &reported) {
            let result =
                report_window(&cx, &store, &duties, &duty_lease, &mut sealer, window).await;
            match result {
                Ok(outcome) => {
                    cx.metrics.add(Counter::UsageWindows, outcome, 1);
                    sealer.forget(window);
                    reported.insert(window);
                    reported.retain(|old| old + RETAINED_WINDOWS > window);
                }
                Err(error) => {
                    cx.metrics.add(Counter::UsageWindows, "failed", 1);
                    tracing::warn!(window, %error, "usage report failed; retrying");
                    break;
                }
            }
        }
    }
}

/// Returns the unreported windows whose counts may be finalised and whose report is not overdue.
fn due_windows(cx: &InstanceState, reported: &BTreeSet<u64>) -> Vec<u64> {
    let cfg = cx.cfg();
    let window_ms = cfg.usage_window.as_millis().max(1) as u64;
    let now_ms = cx.clock.borrow().unix_millis(BootTime::now());
    let since_recovery = cx.store_recovered_at.get().map(|at| BootTime::now().since(at));
    let is_finalisable = |window: &u64| {
        let since_end = Duration::from_millis(now_ms.saturating_sub((window + 1) * window_ms));
        may_finalise(since_end, cfg.max_usage_report_delay, since_recovery)
    };
    let unreported =
        (oldest_reportable(cx)..now_ms / window_ms).filter(|window| !reported.contains(window));
    unreported.filter(is_finalisable).collect()
}

/// Returns the oldest window whose report is not overdue.
fn oldest_reportable(cx: &InstanceState) -> u64 {
    let cfg = cx.cfg();
    let now_ms = cx.clock.borrow().unix_millis(BootTime::now());
    let max_age = cfg.max_usage_report_delay + cfg.usage_window;
    now_ms.saturating_sub(max_age.as_millis() as u64) / cfg.usage_window.as_millis().max(1) as u64
}

/// Returns the identity for calls to the platform; `None` if the lease isn't held in the store's
/// current era.
fn current_identity(duty_lease: &DutyLease, store: &Store) -> Option<HolderIdentity> {
    duty_lease.identity().filter(|identity| era_of(identity.fencing_token) == store.era())
}

/// Reports a window, or gives it up if its sealed counts are lost; returns the outcome label.
async fn report_window(
    cx: &InstanceState,
    store: &Store,
    duties: &DutyClient,
    duty_lease: &DutyLease,
    sealer: &mut Sealer,
    window: u64,
) -> Result<&'static str, PlatformError> {
    let Some(counts) = sealer.seal(cx, store, window).await? else {
        tracing::warn!(window, "seal lost with an era of the store; window not reported");
        return Ok(LOST);
    };
    let lease_lost = || PlatformError::Refused("the duty lease was lost".to_owned());
    let identity = current_identity(duty_lease, store).ok_or_else(lease_lost)?;
    cx.metrics.add(Counter::PlatformCalls, "usage", 1);
    match duties.report_usage(&identity, window, counts).await {
        Ok(()) => {
            let total: u64 = counts.values().sum();
            tracing::info!(window, total, fence = identity.fencing_token, "usage reported");
            Ok(REPORTED)
        }
        Err(PlatformError::Conflict) => {
            duty_lease.record_rejection(&identity);
            Err(PlatformError::Conflict)
        }
        Err(error) => Err(error),
    }
}
