//! Reporter task: seals each usage window once and reports only sealed totals.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use super::chain::{SealChain, count_platform_call};
use super::report::{ReportClient, ReportOutcome};
use super::seal::Seal;
use super::tally::{Tally, UsageTotals};
use crate::clock::{BootClock, wall_millis};
use crate::context::Context;
use crate::event::EventKind;
use crate::lease::{LeaseTask, LeaseWatch, LiveLease, Role};
use crate::names::OrganisationName;
use crate::platform::{Object, ObjectKind, PlatformError};

/// Name of the lease that the reporter must hold.
pub const REPORTER_LEASE: &str = "usage-reporter";
/// Reporter rounds within one window. A window is sealed at least one round after its end.
const ROUNDS_PER_WINDOW: u32 = 4;
/// Maximum number of reports that are sent concurrently.
const MAX_CONCURRENT_REPORTS: usize = 8;
/// Number of windows without a change after which a tally is deleted.
const IDLE_TALLY_WINDOWS: u32 = 120;

/// Starts the reporter task of an instance, which is active while it holds the lease.
pub fn start(cx: Context) {
    start_with_clock(cx, BootClock::default());
}

/// Starts the reporter task of an instance with the given clock for its lease.
pub fn start_with_clock(cx: Context, clock: BootClock) {
    let client = match ReportClient::new(&cx.options.usage_url) {
        Ok(client) => client,
        Err(error) => {
            tracing::error!(
                %error,
                "failed to create the usage-report client; this instance reports no usage"
            );
            return;
        }
    };
    let role = Role { name: REPORTER_LEASE.to_owned(), data_centre: None };
    let lease = LeaseTask::start_with_clock(cx.clone(), role, clock);
    let reporter = Reporter {
        cx,
        lease,
        client,
        epoch_state: None,
        last_listed_window: 0,
        tally_positions: BTreeMap::new(),
    };
    tokio::spawn(reporter.run());
}

/// State of the reporter that is valid for one epoch of the lease.
struct EpochState {
    epoch: u64,
    chain: SealChain,
    /// Seal numbers and organisations whose totals were accepted or are in conflict, so that they
    /// need no further report.
    finished_reports: BTreeSet<(u64, OrganisationName)>,
}

impl EpochState {
    fn is_report_finished(&self, seal: &Seal, organisation: &OrganisationName) -> bool {
        self.finished_reports.contains(&(seal.number, organisation.clone()))
    }
}

struct Reporter {
    cx: Context,
    lease: LeaseWatch,
    client: ReportClient,
    epoch_state: Option<EpochState>,
    /// Latest window for which the tallies were listed.
    last_listed_window: u64,
    /// Position of each tally and the time at which it was first observed there.
    tally_positions: BTreeMap<String, (u64, Instant)>,
}

impl Reporter {
    async fn run(mut self) {
        let mut rounds = self.cx.timer.every(self.cx.options.usage_window / ROUNDS_PER_WINDOW);
        while !*self.cx.draining.borrow() && rounds.recv().await.is_some() {
            let Some(lease) = self.lease.live() else {
                self.epoch_state = None;
                continue;
            };
            if let Err(error) = self.run_round(&lease).await {
                tracing::warn!(%error, "sealing or reporting usage failed; will retry");
                self.epoch_state = None;
            }
        }
    }

    async fn run_round(&mut self, lease: &LiveLease) -> Result<(), PlatformError> {
        let mut epoch_state =
            match self.epoch_state.take().filter(|state| state.epoch == lease.epoch()) {
                Some(epoch_state) => epoch_state,
                None => self.load_epoch_state(lease).await?,
            };
        self.seal_ended_window(&mut epoch_state).await?;
        self.report_seals(&mut epoch_state).await?;
        epoch_state.chain.prune(&self.cx).await;
        self.epoch_state = Some(epoch_state);
        Ok(())
    }

    async fn load_epoch_state(&mut self, lease: &LiveLease) -> Result<EpochState, PlatformError> {
        self.last_listed_window = 0;
        let chain = SealChain::load(&self.cx).await?;
        Ok(EpochState { epoch: lease.epoch(), chain, finished_reports: BTreeSet::new() })
    }

    /// Seals the latest ended window, unless it is sealed or its tallies were listed before.
    async fn seal_ended_window(
        &mut self,
        epoch_state: &mut EpochState,
    ) -> Result<(), PlatformError> {
        let Some(window) = self.latest_ended_window() else { return Ok(()) };
        let is_sealed = epoch_state.chain.latest().is_some_and(|seal| seal.window >= window);
        if is_sealed || self.last_listed_window >= window {
            return Ok(());
        }
        let tallies = epoch_state.chain.list_tallies(&self.cx).await?;
        let Some(lease) = self.lease.live() else { return Ok(()) };
        if lease.epoch() != epoch_state.epoch {
            return Ok(());
        }
        let sealed_now = epoch_state.chain.seal_window(&self.cx, &tallies, window).await?;
        if let Some(Seal { number, window, totals, .. }) = sealed_now {
            let organisations = totals.len();
            let detail = format!("sealed {number}, window {window}, {organisations} organisations");
            self.cx.recorder.record(EventKind::Seal, detail);
        }
        self.last_listed_window = window;
        if let Some(latest) = epoch_state.chain.latest() {
            self.remove_idle_tallies(&tallies, latest).await;
        }
        Ok(())
    }

    /// Returns the latest window that ended at least one round ago.
    fn latest_ended_window(&self) -> Option<u64> {
        let length = self.cx.options.usage_window.as_millis().max(1) as u64;
        let delay = length / u64::from(ROUNDS_PER_WINDOW);
        (wall_millis().saturating_sub(delay) / length).checked_sub(1)
    }

    /// Reports all sealed windows, oldest first, as long as the lease is held.
    ///
    /// A failed report of one organisation does not block the reports of the others.
    async fn report_seals(&self, epoch_state: &mut EpochState) -> Result<(), PlatformError> {
        let seals: Vec<Seal> = epoch_state.chain.unreported().cloned().collect();
        for seal in &seals {
            if !self.report_seal(epoch_state, seal).await {
                break;
            }
        }
        let is_fully_reported = |seal: &&Seal| {
            seal.totals.keys().all(|name| epoch_state.is_report_finished(seal, name))
        };
        let Some(last) = seals.iter().take_while(is_fully_reported).last() else { return Ok(()) };
        epoch_state.chain.mark_reported(&self.cx, last).await?;
        epoch_state.finished_reports.retain(|(number, _)| *number > last.number);
        let detail = format!("reported up to window {}", last.window);
        self.cx.recorder.record(EventKind::Seal, detail);
        Ok(())
    }

    /// Reports one seal; returns `false` if all concurrent reports of a batch failed.
    async fn report_seal(&self, epoch_state: &mut EpochState, seal: &Seal) -> bool {
        let unreported: Vec<(OrganisationName, UsageTotals)> = seal
            .totals
            .iter()
            .filter(|(name, _)| !epoch_state.is_report_finished(seal, name))
            .map(|(name, totals)| (name.clone(), *totals))
            .collect();
        for batch in unreported.chunks(MAX_CONCURRENT_REPORTS) {
            let mut reports = Vec::with_capacity(batch.len());
            for (organisation, totals) in batch {
                reports.push(self.report_organisation(
                    epoch_state.epoch,
                    seal.window,
                    organisation,
                    *totals,
                ));
            }
            let outcomes = futures::future::join_all(reports).await;
            let finished: Vec<OrganisationName> = outcomes.into_iter().flatten().collect();
            if finished.is_empty() {
                return false;
            }
            epoch_state
                .finished_reports
                .extend(finished.into_iter().map(|name| (seal.number, name)));
        }
        true
    }

    /// Reports the totals of one organisation; returns its name if no retry is needed.
    ///
    /// A conflict cannot be resolved by a retry, so it is only logged.
    async fn report_organisation(
        &self,
        epoch: u64,
        window: u64,
        organisation: &OrganisationName,
        totals: UsageTotals,
    ) -> Option<OrganisationName> {
        let lease = self.lease.live().filter(|lease| lease.epoch() == epoch)?;
        let permit = lease.permit()?;
        match self.client.report(&permit, window, organisation, totals).await {
            ReportOutcome::Accepted => Some(organisation.clone()),
            ReportOutcome::Conflict => {
                tracing::error!(
                    window,
                    %organisation,
                    ?totals,
                    "usage report conflicts with the totals accepted earlier; not retried"
                );
                Some(organisation.clone())
            }
            ReportOutcome::Unconfirmed => None,
        }
    }

    /// Deletes tallies that are completely sealed and unchanged for `IDLE_TALLY_WINDOWS` windows.
    ///
    /// An instance that still runs creates its tally again when it has new records.
    async fn remove_idle_tallies(&mut self, tallies: &[Object<Tally>], latest: &Seal) {
        let idle_timeout: Duration = self.cx.options.usage_window * IDLE_TALLY_WINDOWS;
        self.tally_positions.retain(|name, _| tallies.iter().any(|tally| tally.name == *name));
        let now = Instant::now();
        for tally in tallies {
            let position = tally.spec.position;
            let last_change =
                self.tally_positions.entry(tally.name.clone()).or_insert((position, now));
            if last_change.0 != position {
                *last_change = (position, now);
            }
            let is_sealed =
                latest.sealed_positions.get(&tally.name).is_some_and(|sealed| *sealed >= position);
            if is_sealed && now - last_change.1 >= idle_timeout {
                count_platform_call(&self.cx, ObjectKind::Tallies);
                let objects = &self.cx.objects;
                let deleted =
                    objects.delete(ObjectKind::Tallies, &tally.name, &tally.version).await;
                tracing::debug!(name = tally.name, ?deleted, "requested deletion of an idle tally");
            }
        }
    }
}
