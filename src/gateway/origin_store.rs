//! Stores what began each stream while a service has several software versions, and looks streams up
//! there: all instances that knew a stream may be lost at once.
//!
//! A few instances of each data centre write for the others, so that calls grow slowly with the fleet.
//! While each service has one version, nothing is written.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::Instant;

use super::duty::DutyLease;
use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::origin_log::{StoredOrigins, StoredPart};
use crate::routing::origins::Origin;
use crate::timer::Timer;

/// Period at which an instance checks whether versions differ, and writes what an earlier call has not.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Minimum time between two writes of an instance. Streams that began after the last one before its loss
/// are known to the keepers only.
const WRITE_PERIOD: Duration = Duration::from_millis(250);
/// Minimum time between two reads of what all processes have stored.
const MIN_READ_PERIOD: Duration = Duration::from_millis(1_000);
/// The same for each instance of the fleet, as one read returns the streams of all of them.
const READ_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(10);
/// Timeout of such a read, for which a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Period at which the holder of the duty lease looks for parts of processes that are gone.
const REMOVE_PERIOD: Duration = Duration::from_secs(15);
/// Age from which a part is deleted: streams of a minute, the time to take them up, and differences of
/// clocks.
const MAX_PART_AGE: Duration = Duration::from_secs(120);
/// Maximum number of parts that are deleted per period.
const MAX_DELETED_PARTS: usize = 64;

/// Writes the changed parts of this process's log until the process exits.
pub async fn write(cx: Rc<InstanceState>, store: Store, timer: Timer) {
    let mut ticks = timer.every(CHECK_PERIOD);
    let mut has_several_versions = false;
    let mut written_era = store.era();
    loop {
        tokio::select! {
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                has_several_versions = cx.fleet.borrow().has_several_versions();
                // A copy of the store may lack the last parts.
                if !has_several_versions || written_era != store.era() {
                    cx.origins.log.borrow_mut().mark_all_unstored();
                    written_era = store.era();
                }
            }
            () = cx.origins.log_changed.notified(), if has_several_versions => {}
        }
        if has_several_versions && !cx.is_store_unavailable() {
            write_changed_parts(&cx, &store).await;
            tokio::time::sleep(WRITE_PERIOD).await;
        }
    }
}

async fn write_changed_parts(cx: &InstanceState, store: &Store) {
    let now_ms = cx.clock.borrow().unix_millis(BootTime::now());
    let unstored = cx.origins.log.borrow().unstored(now_ms);
    for unstored in unstored {
        // Each process has its own parts: its successor must not replace them.
        let name = format!("{}.{}", cx.process_name.replace('/', "."), unstored.number);
        match put(cx, store, &name, &unstored.part).await {
            Ok(()) => cx.origins.log.borrow_mut().mark_stored(unstored.number, unstored.changes),
            Err(error) => {
                cx.metrics.add(Counter::PlatformFailures, Collection::Origins.label(), 1);
                tracing::warn!(%error, "storing the origins of streams failed; retrying");
                return;
            }
        }
    }
}

async fn put(
    cx: &InstanceState,
    store: &Store,
    name: &str,
    part: &StoredPart,
) -> Result<(), PlatformError> {
    cx.metrics.add(Counter::PlatformCalls, Collection::Origins.label(), 1);
    match store.update(Collection::Origins, name, None, part).await {
        Err(PlatformError::NotFound) => {
            cx.metrics.add(Counter::PlatformCalls, Collection::Origins.label(), 1);
            store.create(Collection::Origins, name, part).await.map(drop)
        }
        result => result.map(drop),
    }
}

/// What all processes had stored at the last read.
#[derive(Debug, Default)]
struct LastRead {
    at: Option<Instant>,
    origins: StoredOrigins,
}

/// Looks up streams among those that all processes have stored.
///
/// Callers whose streams broke off together take them up together, so one read serves them all.
#[derive(Debug, Default)]
pub struct StoredOriginsReader {
    store: OnceCell<Store>,
    last: Mutex<LastRead>,
}

impl StoredOriginsReader {
    /// Sets the store to read from, once.
    pub fn set_store(&self, store: Store) {
        let _ = self.store.set(store);
    }

    /// Returns what began a stream, if that is stored.
    pub async fn find(&self, cx: &InstanceState, stream: u64) -> Option<Origin> {
        let store = self.store.get()?;
        let mut last = self.last.lock().await;
        let min_period = MIN_READ_PERIOD.max(READ_PERIOD_PER_INSTANCE * cx.instance_count() as u32);
        let is_due = last.at.is_none_or(|at| at.elapsed() >= min_period);
        if last.origins.get(stream).is_none() && is_due && !cx.is_store_unavailable() {
            let started_at = Instant::now();
            match tokio::time::timeout(READ_TIMEOUT, read_all(cx, store)).await {
                Ok(Ok(origins)) => {
                    tracing::info!(streams = origins.count(), "read the stored origins of streams");
                    last.origins = origins;
                }
                Ok(Err(error)) => {
                    cx.metrics.add(Counter::PlatformFailures, Collection::Origins.label(), 1);
                    tracing::warn!(%error, "reading the stored origins of streams failed");
                }
                Err(_) => tracing::warn!("the stored origins of streams were not read in time"),
            }
            // Not before: if this caller leaves during the read, the next one reads.
            last.at = Some(started_at);
        }
        last.origins.get(stream).cloned()
    }
}

async fn read_all(cx: &InstanceState, store: &Store) -> Result<StoredOrigins, PlatformError> {
    cx.metrics.add(Counter::PlatformCalls, Collection::Origins.label(), 1);
    let mut origins = StoredOrigins::default();
    store
        .for_each::<StoredPart>(Collection::Origins, |name, part| match part {
            Ok(part) => origins.add(&part),
            Err(error) => tracing::warn!(name, %error, "stored origins are invalid; skipping them"),
        })
        .await?;
    Ok(origins)
}

/// Deletes the parts of processes that are gone, while this instance holds the duty lease.
pub async fn remove_old(
    cx: Rc<InstanceState>,
    store: Store,
    duty_lease: Rc<DutyLease>,
    timer: Timer,
) {
    let mut ticks = timer.every(REMOVE_PERIOD);
    // Former holders may have left parts.
    let mut may_have_parts = true;
    while ticks.recv().await.is_some() {
        may_have_parts |= cx.fleet.borrow().has_several_versions();
        if duty_lease.identity().is_none() {
            may_have_parts = true;
        } else if may_have_parts && !cx.is_store_unavailable() {
            match delete_old_parts(&cx, &store).await {
                Ok(left) => may_have_parts = left > 0,
                Err(error) => tracing::warn!(%error, "deleting old origins of streams failed"),
            }
        }
    }
}

/// Deletes old parts; returns how many parts there were.
async fn delete_old_parts(cx: &InstanceState, store: &Store) -> Result<usize, PlatformError> {
    let now_ms = cx.clock.borrow().unix_millis(BootTime::now());
    let max_age_ms = MAX_PART_AGE.as_millis() as u64;
    let (mut count, mut old) = (0, Vec::new());
    cx.metrics.add(Counter::PlatformCalls, Collection::Origins.label(), 1);
    store
        .for_each::<StoredPart>(Collection::Origins, |name, part| {
            count += 1;
            let is_old =
                part.is_ok_and(|part| now_ms.saturating_sub(part.written_at_ms) > max_age_ms);
            if is_old && old.len() < MAX_DELETED_PARTS {
                old.push(name.to_owned());
            }
        })
        .await?;
    for name in &old {
        cx.metrics.add(Counter::PlatformCalls, Collection::Origins.label(), 1);
        match store.delete(Collection::Origins, name).await {
            Ok(()) | Err(PlatformError::NotFound) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(count)
}
