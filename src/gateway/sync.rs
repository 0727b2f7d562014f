//! Reads the platform's store, while this instance is the one of its data centre that does.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::shared::{InstanceState, is_unavailable};
use super::state::{SYNCED_COLLECTIONS, apply_update};
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::store::{Change, Store, Stored, Watched};
use crate::platform::{Collection, PlatformError};
use crate::routing::mirror::{Item, Update};

/// Longest wait of a watch of the configuration; each answer proves it anew.
const CONFIG_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the proof from which a call for the configuration waits for nothing: older ones than a
/// call takes come of a source that failed.
const STALE_PROOF_AGE: Duration = Duration::from_millis(1_200);
/// Longest wait of the watch of backend servers; a connection that went silent is noticed after
/// it, well within the time in which a leaving one must be.
const SERVERS_WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Longest wait of the watch of data centres taken out; half of the time in which they must be.
const DATA_CENTRES_OUT_WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait of the watch of instances, which change seldom.
const INSTANCES_WATCH_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Shortest time between two calls for backend servers, whose entries change all the time in a
/// large fleet; a quarter of the time in which a leaving one must be noticed.
const MIN_SERVERS_CALL_PERIOD: Duration = Duration::from_millis(500);
/// Pause after a failed call; it doubles with each further failure, and is jittered.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Longest pause after a failed call, about half of the time in which the rest of the fleet must
/// have learned of a return.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Starts the tasks that read the store.
pub fn start(cx: &Rc<InstanceState>, store: &Store) {
    for collection in SYNCED_COLLECTIONS {
        let watcher =
            CollectionWatcher { cx: cx.clone(), store: store.clone(), collection, failures: 0 };
        tokio::task::spawn_local(watcher.run());
    }
}

/// Follows one collection.
struct CollectionWatcher {
    cx: Rc<InstanceState>,
    store: Store,
    collection: Collection,
    /// Failed calls in a row.
    failures: u32,
}

impl CollectionWatcher {
    async fn run(mut self) {
        let mut reads = self.cx.reads_store.subscribe();
        let mut failures = self.cx.store_failures.subscribe();
        loop {
            // The senders live as long as the state that this task holds.
            let _ = reads.wait_for(|reads| *reads).await;
            if self.collection != Collection::Configs {
                let _ = failures.wait_for(|failures| !is_unavailable(*failures)).await;
            }
            let sent_at = BootTime::now();
            let known =
                self.cx.mirrors.borrow().get(&self.collection).and_then(|mirror| mirror.at());
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
                    if self.collection == Collection::Servers {
                        let elapsed = BootTime::now().since(sent_at);
                        tokio::time::sleep(MIN_SERVERS_CALL_PERIOD.saturating_sub(elapsed)).await;
                    }
                }
                Err(_) => {
                    tokio::time::sleep(self.retry_delay()).await;
                }
            }
        }
    }

    async fn list(&self) -> Result<Update, PlatformError> {
        let (objects, at) = self.store.list(self.collection).await?;
        let items = objects.into_iter().map(|object| item(object, false)).collect();
        Ok(Update { at, is_whole: true, items })
    }

    /// Waits for changes; lists everything if the history is gone.
    async fn watch(&self, revision: u64) -> Result<Update, PlatformError> {
        match self.store.watch(self.collection, revision, self.watch_timeout()).await? {
            Watched::Changes(changes, at) => {
                let to_item = |change: Change| item(change.object, change.is_deleted);
                let items = changes.into_iter().map(to_item).collect();
                Ok(Update { at, is_whole: false, items })
            }
            Watched::Lost => {
                let label = self.collection.label();
                tracing::info!(of = label, revision, "the store's history is gone; listing again");
                self.list().await
            }
        }
    }

    /// Returns how long the next watch may wait for a change.
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
        let doubled = RETRY_DELAY.saturating_mul(1 << self.failures.saturating_sub(1).min(8));
        doubled.min(MAX_RETRY_DELAY).mul_f64(rand::rng().random_range(0.5..1.0))
    }

    fn record_result(&mut self, error: Option<&PlatformError>) {
        let label = self.collection.label();
        if error.is_some() {
            self.cx.metrics.add(Counter::PlatformFailures, label, 1);
        }
        match error {
            Some(error) if self.failures == 0 => {
                tracing::warn!(of = label, %error, "the platform's store does not serve this instance");
            }
            None if self.failures > 0 => {
                tracing::info!(of = label, "the platform's store serves this instance again");
            }
            _ => {}
        }
        self.failures = if error.is_some() { self.failures + 1 } else { 0 };
        if self.collection == Collection::Configs {
            let before = self.cx.store_failures.send_replace(self.failures);
            if before == 0 && error.is_some() {
                // Those who ask this instance must look for another one.
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

fn item(object: Stored, is_deleted: bool) -> Item {
    let value = (!is_deleted).then_some(object.value);
    Item { name: object.name, revision: object.revision, value }
}
