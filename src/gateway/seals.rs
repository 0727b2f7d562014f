//! Seals usage windows in the store: the holder of the duty lease adds up the published counts of a
//! window once, and all holders report this sum.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::revision::era_of;
use crate::routing::seals::{
    Seal, SealStep, StoredSeal, first_step, step_after_confirm, step_after_create, step_after_read,
};
use crate::routing::windows::{RequestCounts, Tallies, may_seal_in_era};

/// Maximum number of tallies of dead processes that are deleted per window.
const MAX_DELETED_TALLIES: usize = 4;
/// Number of windows after which a seal, and the tallies of a dead process, are deleted.
const RETAINED_WINDOWS: u64 = 24;

/// Seals windows, and remembers the counts of those that are not reported yet. The steps are those of
/// [`crate::routing::seals`].
#[derive(Debug, Default)]
pub struct Sealer {
    era_start: EraStart,
    /// Counts that may have been reported without a response, by window. They are reported again as
    /// they are, whatever the store says by then.
    confirmed: BTreeMap<u64, RequestCounts>,
}

impl Sealer {
    /// Forgets a window that is reported.
    pub fn forget(&mut self, window: u64) {
        self.confirmed.remove(&window);
    }

    /// Forgets the windows before one, which are no longer reported.
    pub fn forget_before(&mut self, oldest: u64) {
        self.confirmed.retain(|window, _| *window >= oldest);
    }

    /// Returns the counts to report for a window; `None` if they may be lost with an era of the store.
    ///
    /// # Errors
    /// Returns the error of a failed call. The window may be sealed again.
    pub async fn seal(
        &mut self,
        cx: &InstanceState,
        store: &Store,
        window: u64,
    ) -> Result<Option<&RequestCounts>, PlatformError> {
        let entry = match self.confirmed.entry(window) {
            Entry::Occupied(known) => return Ok(Some(known.into_mut())),
            Entry::Vacant(entry) => entry,
        };
        let window_ms = cx.cfg().usage_window.as_millis().max(1) as u64;
        let era = store.era();
        let may_create = self.era_start.may_seal(cx, store, era, (window + 1) * window_ms).await?;
        let name = window.to_string();
        let mut step = first_step(may_create);
        let count_calls = |calls| {
            cx.metrics.add(Counter::PlatformCalls, Collection::Seals.label(), calls);
        };
        loop {
            step = match step {
                SealStep::Create => {
                    count_calls(2);
                    let published = read_published(store, era, window).await?;
                    let counts = published.tallies.sum(window);
                    let seal = Seal { era, counts, is_confirmed: false };
                    let result = store.create(Collection::Seals, &name, &seal).await;
                    if result.is_ok() {
                        delete_outdated(store, window, &published).await;
                    }
                    step_after_create(seal, result)?
                }
                SealStep::Read => {
                    count_calls(1);
                    let result = store.get::<StoredSeal>(Collection::Seals, &name).await;
                    step_after_read(may_create, result)?
                }
                SealStep::Confirm(version, seal) => {
                    count_calls(1);
                    let result =
                        store.update(Collection::Seals, &name, Some(&version), &seal).await;
                    step_after_confirm(seal, result)?
                }
                SealStep::Report(counts) => return Ok(Some(entry.insert(counts))),
                SealStep::GiveUp => return Ok(None),
            };
        }
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
    /// sealed in an era.
    async fn may_seal(
        &mut self,
        cx: &InstanceState,
        store: &Store,
        era: u64,
        window_end_ms: u64,
    ) -> Result<bool, PlatformError> {
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
///
/// # Errors
/// Fails if a call fails, or if the store is no longer in the given era.
async fn read_published(store: &Store, era: u64, window: u64) -> Result<Published, PlatformError> {
    let oldest = window.saturating_sub(RETAINED_WINDOWS);
    let mut published = Published::default();
    let at = store
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
    if era_of(at) != era {
        let why = "the store came back from a copy before a window was sealed";
        return Err(PlatformError::Unknown(why.to_owned()));
    }
    Ok(published)
}

/// Deletes tallies of processes that are gone, and the seal of an old window.
async fn delete_outdated(store: &Store, window: u64, published: &Published) {
    for name in &published.outdated {
        delete_object(store, Collection::Tallies, name).await;
    }
    let oldest = window.saturating_sub(RETAINED_WINDOWS);
    delete_object(store, Collection::Seals, &oldest.to_string()).await;
}

async fn delete_object(store: &Store, collection: Collection, name: &str) {
    match store.delete(collection, name).await {
        Ok(()) | Err(PlatformError::NotFound) => {}
        Err(error) => {
            tracing::warn!(of = collection.label(), name, %error, "deleting old object failed")
        }
    }
}
