//! Watches the platform's store while this instance is the one of its data centre that reads it.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::shared::{InstanceState, is_unavailable};
use super::state::{SYNCED_COLLECTIONS, apply_update};
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::store::{Change, Store, StoredObject, WatchResult};
use crate::platform::{Collection, PlatformError};
use crate::routing::direct_reads::is_first_reader;
use crate::routing::mirror::{Item, Update};

/// Timeout of a watch of the configuration; each response is a new proof that it is current.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the configuration proof from which a call returns without waiting for a change. A proof
/// older than the duration of a watch means that the peer or the watch that supplied it failed.
const STALE_PROOF_AGE: Duration = Duration::from_millis(1_200);
/// Timeout of a watch of backend servers, after which a dead connection is noticed. It is well
/// below the maximum time for noticing a draining backend server.
const SERVERS_WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a watch of evacuated data centres; half of the maximum time for an evacuation.
const DATA_CENTRES_OUT_WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a watch of instances, which rarely change.
const INSTANCES_WATCH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Minimum time between two calls for a collection other than the configuration, as the entries of
/// a large fleet change constantly; a quarter of the maximum time for noticing a draining backend
/// server.
const MIN_CALL_PERIOD: Duration = Duration::from_millis(500);
/// Time that an instance which starts waits for a seed before it lists the instances, to find
/// another one to pull from.
const SEED_WAIT: Duration = Duration::from_millis(100);
/// Time for which an instance that begins to read the store reads the configuration only, if it
/// knows the other collections already. In most cases a peer has newer state by then.
const CONFIG_ONLY_TIME: Duration = Duration::from_millis(200);
/// Delay after a failed call of one of the first readers; it doubles with each consecutive failure
/// and is jittered.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The same for the other instances, which learn of the store's recovery from the first readers.
const LATER_READER_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum delay of the other instances.
const LATER_READER_MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// Maximum delay after a failed call of one of the first readers: a part of the time after a recovery
/// within which the counts of all instances must arrive.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Starts a watcher task for each collection.
pub fn start(cx: &Rc<InstanceState>, store: &Store) {
    for collection in SYNCED_COLLECTIONS {
        let watcher =
            CollectionWatcher { cx: cx.clone(), store: store.clone(), collection, failures: 0 };
        tokio::task::spawn_local(watcher.run());
    }
}

/// Keeps the copy of one collection up to date.
struct CollectionWatcher {
    cx: Rc<InstanceState>,
    store: Store,
    collection: Collection,
    /// Number of consecutive failed calls.
    failures: u32,
}

impl CollectionWatcher {
    async fn run(mut self) {
        loop {
            self.wait_until_due().await;
            let sent_at = BootTime::now();
            let known =
                self.cx.mirrors.borrow().get(&self.collection).and_then(|mirror| mirror.revision());
            let result = match known {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            self.cx.metrics.add(Counter::PlatformCalls, self.collection.label(), 1);
            self.record_result(result.as_ref().err());
            match result {
                Ok(update) => {
                    apply_update(&self.cx, self.collection, &update);
                    if self.collection == Collection::Configs {
                        self.cx.record_proof(sent_at);
                    }
                    if self.collection != Collection::Configs {
                        let elapsed = BootTime::now().since(sent_at);
                        tokio::time::sleep(MIN_CALL_PERIOD.saturating_sub(elapsed)).await;
                    }
                }
                Err(_) => {
                    tokio::time::sleep(self.retry_delay()).await;
                }
            }
        }
    }

    /// Waits until this instance reads the store. Collections other than the configuration also wait
    /// until a configuration call has shown that the store can be read.
    async fn wait_until_due(&self) {
        // `wait_for` and `changed` fail only after the sender is dropped, and this task keeps it
        // alive.
        let mut reads = self.cx.reads_store.subscribe();
        if self.collection == Collection::Instances && !self.cx.has_received(self.collection) {
            let _ = tokio::time::timeout(SEED_WAIT, reads.wait_for(|reads| *reads)).await;
            if !self.cx.has_received(self.collection) {
                return;
            }
        }
        loop {
            let was_reading = *reads.borrow();
            let _ = reads.wait_for(|reads| *reads).await;
            if self.collection == Collection::Configs {
                return;
            }
            if !was_reading && self.cx.has_received(self.collection) {
                tokio::time::sleep(CONFIG_ONLY_TIME).await;
            } else if self.is_proof_stale() || self.cx.is_store_unavailable() {
                let mut changes = self.cx.changes.subscribe();
                let _ = tokio::time::timeout(CONFIG_ONLY_TIME, changes.changed()).await;
            } else {
                return;
            }
        }
    }

    async fn list(&self) -> Result<Update, PlatformError> {
        let (objects, revision) = self.store.list(self.collection).await?;
        let items = objects.into_iter().map(|object| item(object, false)).collect();
        Ok(Update { revision, is_snapshot: true, items })
    }

    /// Waits for changes; lists the whole collection if the store no longer has the history since
    /// `revision`, or the changes can't be read, such as when they are too long together.
    async fn watch(&self, revision: u64) -> Result<Update, PlatformError> {
        let watched = self.store.watch(self.collection, revision, self.watch_timeout()).await;
        if let Err(PlatformError::Malformed(error)) = &watched {
            let label = self.collection.label();
            tracing::warn!(
                of = label,
                revision,
                error,
                "listing the collection instead of changes"
            );
            return self.list().await;
        }
        match watched? {
            WatchResult::Changes(changes, new_revision) => {
                let to_item = |change: Change| item(change.object, change.is_deleted);
                let items = changes.into_iter().map(to_item).collect();
                Ok(Update { revision: new_revision, is_snapshot: false, items })
            }
            WatchResult::HistoryExpired => {
                let label = self.collection.label();
                tracing::info!(
                    of = label,
                    revision,
                    "revision is no longer in the store's history; listing the collection again"
                );
                self.list().await
            }
        }
    }

    /// Returns the timeout of the next watch.
    fn watch_timeout(&self) -> Duration {
        match self.collection {
            Collection::Configs if self.is_proof_stale() => Duration::ZERO,
            Collection::Configs => CONFIG_WATCH_TIMEOUT,
            Collection::Servers => SERVERS_WATCH_TIMEOUT,
            Collection::DataCentresOut => DATA_CENTRES_OUT_WATCH_TIMEOUT,
            _ => INSTANCES_WATCH_TIMEOUT,
        }
    }

    fn is_proof_stale(&self) -> bool {
        let age = self.cx.proof.borrow().age(BootTime::now());
        age.is_none_or(|age| age > STALE_PROOF_AGE)
    }

    fn retry_delay(&self) -> Duration {
        let cfg = self.cx.cfg();
        let rank = self.cx.members.borrow().rank_in(&cfg.data_centre, &cfg.instance);
        let (first, max) = if is_first_reader(rank) {
            (RETRY_DELAY, MAX_RETRY_DELAY)
        } else {
            (LATER_READER_RETRY_DELAY, LATER_READER_MAX_RETRY_DELAY)
        };
        let doubled = first.saturating_mul(1 << self.failures.saturating_sub(1).min(8));
        doubled.min(max).mul_f64(rand::rng().random_range(0.5..1.0))
    }

    fn record_result(&mut self, error: Option<&PlatformError>) {
        let label = self.collection.label();
        if error.is_some() {
            self.cx.metrics.add(Counter::PlatformFailures, label, 1);
        }
        match error {
            Some(error) if self.failures == 0 => {
                tracing::warn!(of = label, %error, "call to the platform's store failed; retrying");
            }
            None if self.failures > 0 => {
                tracing::info!(of = label, "platform's store is reachable again");
            }
            _ => {}
        }
        self.failures = if error.is_some() { self.failures + 1 } else { 0 };
        if self.collection == Collection::Configs {
            let before = self.cx.failed_config_calls.send_replace(self.failures);
            if before == 0 && error.is_some() {
                // Wakes waiting pull requests, so that downstream peers can switch to another
                // instance.
                self.cx.changes.send_modify(|count| *count += 1);
            }
            if is_unavailable(before) && error.is_none() {
                self.cx.store_recovered_at.set(Some(BootTime::now()));
            }
        }
        if self.collection == Collection::Servers {
            self.cx.record_registry_contact(error.is_none());
        }
    }
}

fn item(object: StoredObject, is_deleted: bool) -> Item {
    let value = (!is_deleted).then_some(object.value);
    Item { name: object.name, revision: object.revision, value }
}
