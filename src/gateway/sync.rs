//! Reads the platform's store, while this instance is the one of its data centre that does.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::shared::{Shared, is_away};
use super::state::{FOLLOWED, apply};
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::store::{Change, Store, Stored, Watched};
use crate::platform::{Collection, PlatformError};
use crate::routing::mirror::{Item, Update};

/// Longest wait of a watch of the configuration; each answer proves it anew.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Age of the proof from which a call for the configuration waits for nothing: older ones than a
/// call takes come of a source that failed.
const STALE_PROOF: Duration = Duration::from_millis(1_200);
/// Longest wait of the watch of backend servers; a connection that went silent is noticed after
/// it, well within the time in which a leaving one must be.
const SERVERS_WAIT: Duration = Duration::from_millis(1_200);
/// Longest wait of the watch of data centres taken out; half of the time in which they must be.
const DATA_CENTRES_OUT_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait of the watch of instances, which change seldom.
const INSTANCES_WAIT: Duration = Duration::from_millis(5_000);
/// Shortest time between two calls for backend servers, whose entries change all the time in a
/// large fleet; a quarter of the time in which a leaving one must be noticed.
const SERVERS_PERIOD: Duration = Duration::from_millis(500);
/// Pause after a failed call; it doubles with each further failure, and is jittered.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a failed call, about half of the time in which the rest of the fleet must
/// have learned of a return.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(2_000);

/// Starts the tasks that read the store.
pub fn start(cx: &Rc<Shared>, store: &Store) {
    for of in FOLLOWED {
        let follower = Follower { cx: cx.clone(), store: store.clone(), of, failures: 0 };
        tokio::task::spawn_local(follower.run());
    }
}

/// Follows one collection.
struct Follower {
    cx: Rc<Shared>,
    store: Store,
    of: Collection,
    /// Failed calls in a row.
    failures: u32,
}

impl Follower {
    async fn run(mut self) {
        let mut reads = self.cx.reads_store.subscribe();
        let mut failures = self.cx.store_failures.subscribe();
        loop {
            // The senders live as long as the state that this task holds.
            let _ = reads.wait_for(|reads| *reads).await;
            if self.of != Collection::Configs {
                let _ = failures.wait_for(|failures| !is_away(*failures)).await;
            }
            let sent_at = BootTime::now();
            let known = self.cx.mirrors.borrow().get(&self.of).and_then(|mirror| mirror.revision());
            let answer = match known {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            self.cx.metrics.add(Counter::PlatformCalls, self.of.label(), 1);
            self.note_answer(answer.as_ref().err());
            match answer {
                Ok(update) => {
                    apply(&self.cx, self.of, &update);
                    if self.of == Collection::Configs {
                        self.cx.note_proof(sent_at);
                    }
                    if self.of == Collection::Servers {
                        let taken = BootTime::now().since(sent_at);
                        tokio::time::sleep(SERVERS_PERIOD.saturating_sub(taken)).await;
                    }
                }
                Err(_) => {
                    tokio::time::sleep(self.pause()).await;
                }
            }
        }
    }

    async fn list(&self) -> Result<Update, PlatformError> {
        let (objects, at) = self.store.list(self.of).await?;
        let items = objects.into_iter().map(|object| item(object, false)).collect();
        Ok(Update { revision: at, is_snapshot: true, items })
    }

    /// Waits for changes; lists everything if the history is gone.
    async fn watch(&self, revision: u64) -> Result<Update, PlatformError> {
        match self.store.watch(self.of, revision, self.wait()).await? {
            Watched::Changes(changes, at) => {
                let open = |change: Change| item(change.object, change.is_deleted);
                let items = changes.into_iter().map(open).collect();
                Ok(Update { revision: at, is_snapshot: false, items })
            }
            Watched::Lost => {
                let of = self.of.label();
                tracing::info!(of, revision, "the store's history is gone; listing again");
                self.list().await
            }
        }
    }

    /// Returns how long the next watch may wait for a change.
    fn wait(&self) -> Duration {
        match self.of {
            Collection::Configs if self.is_proof_stale() => Duration::ZERO,
            Collection::Configs => CONFIG_WAIT,
            Collection::Servers => SERVERS_WAIT,
            Collection::DataCentresOut => DATA_CENTRES_OUT_WAIT,
            _ => INSTANCES_WAIT,
        }
    }

    fn is_proof_stale(&self) -> bool {
        let age = self.cx.proof.borrow().age(BootTime::now());
        age.is_none_or(|age| age > STALE_PROOF)
    }

    fn pause(&self) -> Duration {
        let doubled = RETRY_PAUSE.saturating_mul(1 << self.failures.saturating_sub(1).min(8));
        doubled.min(MAX_RETRY_PAUSE).mul_f64(rand::rng().random_range(0.5..1.0))
    }

    fn note_answer(&mut self, error: Option<&PlatformError>) {
        let of = self.of.label();
        if error.is_some() {
            self.cx.metrics.add(Counter::PlatformFailures, of, 1);
        }
        match error {
            Some(error) if self.failures == 0 => {
                tracing::warn!(of, %error, "the platform's store does not serve this instance");
            }
            None if self.failures > 0 => {
                tracing::info!(of, "the platform's store serves this instance again");
            }
            _ => {}
        }
        self.failures = if error.is_some() { self.failures + 1 } else { 0 };
        if self.of == Collection::Configs {
            let before = self.cx.store_failures.send_replace(self.failures);
            if before == 0 && error.is_some() {
                // Those who ask this instance must look for another one.
                self.cx.changes.send_modify(|count| *count += 1);
            }
            if is_away(before) && error.is_none() {
                self.cx.store_returned_at.set(Some(BootTime::now()));
            }
        }
        if self.of == Collection::Servers {
            self.cx.note_registry(error.is_none());
        }
    }
}

fn item(object: Stored, is_deleted: bool) -> Item {
    let value = (!is_deleted).then_some(object.value);
    Item { name: object.name, revision: object.revision, value }
}
