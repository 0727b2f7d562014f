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
use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::duties::DutyClient;
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::windows::{RequestCounts, Tallies, may_finalise, may_seal_in_era};
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
/// Maximum number of tallies of dead processes that are deleted per window.
const MAX_DELETED_TALLIES: usize = 4;
/// Number of windows after which a seal, and the tallies of a dead process, are deleted.
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
    let mut era_start = EraStart::default();
    while ticks.recv().await.is_some() {
        if duty_lease.identity().is_none() {
            continue;
        }
        for window in due_windows(&cx, &reported) {
            let result =
                report_window(&cx, &store, &duties, &duty_lease, &mut era_start, window).await;
            match result {
                Ok(outcome) => {
                    cx.metrics.add(Counter::UsageWindows, outcome, 1);
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
    let oldest = now_ms
        .saturating_sub((cfg.max_usage_report_delay + cfg.usage_window).as_millis() as u64)
        / window_ms;
    let unreported = (oldest..now_ms / window_ms).filter(|window| !reported.contains(window));
    unreported.filter(is_finalisable).collect()
}

/// Reports a window, or gives it up if its sealed counts are lost; returns the outcome label.
async fn report_window(
    cx: &InstanceState,
    store: &Store,
    duties: &DutyClient,
    duty_lease: &DutyLease,
    era_start: &mut EraStart,
    window: u64,
) -> Result<&'static str, PlatformError> {
    let window_ms = cx.cfg().usage_window.as_millis().max(1) as u64;
    let counts = if era_start.may_seal(cx, store, (window + 1) * window_ms).await? {
        seal_window(cx, store, window).await?
    } else {
        match store.get::<RequestCounts>(Collection::Seals, &window.to_string()).await {
            Ok(sealed) => sealed.spec,
            Err(PlatformError::NotFound) => {
                tracing::warn!(window, "seal lost with an era of the store; window not reported");
                return Ok(LOST);
            }
            Err(error) => return Err(error),
        }
    };
    let lease_lost = || PlatformError::Refused("the duty lease was lost".to_owned());
    let identity = duty_lease.identity().ok_or_else(lease_lost)?;
    cx.metrics.add(Counter::PlatformCalls, "usage", 1);
    match duties.report_usage(&identity, window, &counts).await {
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

value! {
    /// Mark of the beginning of an era of the store, among the seals.
    pub struct EraMark {
        /// When the first holder of the duty lease began, in milliseconds since the Unix epoch.
        pub began_ms: u64,
    }
}

/// Beginning of the store's current era, as far as it is known.
///
/// Totals that were sealed and reported before it may be lost, and others for the same window would
/// contradict them. So windows that could have been sealed by then are not sealed again.
#[derive(Debug, Default)]
struct EraStart {
    /// The era and its beginning.
    known: Option<(u64, u64)>,
}

impl EraStart {
    /// Returns whether a window that ended at a time, in milliseconds since the Unix epoch, may be
    /// sealed.
    async fn may_seal(
        &mut self,
        cx: &InstanceState,
        store: &Store,
        window_end_ms: u64,
    ) -> Result<bool, PlatformError> {
        let era = store.era();
        if era == 0 {
            return Ok(true);
        }
        let began_ms = match self.known {
            Some((known, began_ms)) if known == era => began_ms,
            _ => self.read(cx, store, era).await?,
        };
        Ok(may_seal_in_era(Duration::from_millis(window_end_ms), Duration::from_millis(began_ms)))
    }

    /// Reads the mark of the era, and sets it if this is the first holder.
    async fn read(
        &mut self,
        cx: &InstanceState,
        store: &Store,
        era: u64,
    ) -> Result<u64, PlatformError> {
        let name = format!("era-{era}");
        let mark = EraMark { began_ms: cx.clock.borrow().unix_millis(BootTime::now()) };
        cx.metrics.add(Counter::PlatformCalls, Collection::Seals.label(), 1);
        let began_ms = match store.create(Collection::Seals, &name, &mark).await {
            Ok(_) => mark.began_ms,
            Err(PlatformError::Conflict) => {
                store.get::<EraMark>(Collection::Seals, &name).await?.spec.began_ms
            }
            Err(error) => return Err(error),
        };
        if store.era() != era {
            return Err(PlatformError::Unknown("the store came back from a copy".to_owned()));
        }
        tracing::info!(era, began_ms, "beginning of the store's era");
        self.known = Some((era, began_ms));
        Ok(began_ms)
    }
}

/// Returns the sealed totals of a window; seals the current ones if no holder has done so.
async fn seal_window(
    cx: &InstanceState,
    store: &Store,
    window: u64,
) -> Result<RequestCounts, PlatformError> {
    let name = window.to_string();
    cx.metrics.add(Counter::PlatformCalls, Collection::Seals.label(), 2);
    let published = read_published(store, window).await?;
    let counts = published.tallies.sum(window);
    match store.create(Collection::Seals, &name, &counts).await {
        Ok(_) => {
            for name in &published.outdated {
                delete_object(store, Collection::Tallies, name).await;
            }
            let oldest = window.saturating_sub(RETAINED_WINDOWS);
            delete_object(store, Collection::Seals, &oldest.to_string()).await;
            Ok(counts)
        }
        Err(PlatformError::Conflict | PlatformError::Unknown(_)) => {
            let sealed = store.get::<RequestCounts>(Collection::Seals, &name).await?;
            Ok(sealed.spec)
        }
        Err(error) => Err(error),
    }
}

/// What all instances published, as needed to seal one window.
#[derive(Debug, Default)]
struct Published {
    /// Counts of the window.
    tallies: Tallies,
    /// Names of objects whose processes are gone, at most [`MAX_DELETED_TALLIES`].
    outdated: Vec<String>,
}

/// Reads the published counts of a window page by page, as the objects of a large fleet exceed the
/// memory of a small instance; invalid ones are logged and skipped.
async fn read_published(store: &Store, window: u64) -> Result<Published, PlatformError> {
    let oldest = window.saturating_sub(RETAINED_WINDOWS);
    let mut published = Published::default();
    store
        .for_each::<Tallies>(Collection::Tallies, |name, tallies| match tallies {
            Ok(mut tallies) => {
                if tallies.latest_window() < oldest
                    && published.outdated.len() < MAX_DELETED_TALLIES
                {
                    published.outdated.push(name.to_owned());
                }
                tallies.retain_windows(window..=window);
                published.tallies.merge(&tallies);
            }
            Err(error) => {
                tracing::error!(name, %error, "published request counts are invalid; skipping them")
            }
        })
        .await?;
    Ok(published)
}

async fn delete_object(store: &Store, collection: Collection, name: &str) {
    match store.delete(collection, name).await {
        Ok(()) | Err(PlatformError::NotFound) => {}
        Err(error) => {
            tracing::warn!(of = collection.label(), name, %error, "deleting old object failed")
        }
    }
}
