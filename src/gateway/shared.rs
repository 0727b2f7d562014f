//! State shared by the tasks of an instance: settings, its view of the fleet, and counters.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::attempt::AdmittedRequest;
use super::evidence::SharedEvidence;
use super::links::{Connection, ConnectionPool, max_idle_per_instance};
use super::origins::SharedOrigins;
use super::settings::GatewaySettings;
use super::upload::BodyBudget;
use crate::clock::{BootTime, wall_millis};
use crate::metrics::Metrics;
use crate::names::{BackendServerName, DataCentreName, OrganisationName};
use crate::platform::Collection;
use crate::routing::budget::RetryBudget;
use crate::routing::catalog::{Catalog, Service, ServiceName};
use crate::routing::choose::{Choice, ChoiceSettings, Demand, choose};
use crate::routing::cold::{ColdRateLimiter, may_send_to_cold};
use crate::routing::fleet::{Fleet, Registration, Server};
use crate::routing::load::{Loads, Verdict};
use crate::routing::members::Members;
use crate::routing::migration::MigrationAttempts;
use crate::routing::mirror::Mirror;
use crate::routing::mix::{FleetSize, WorkloadMix};
use crate::routing::proof::FreshnessProof;
use crate::routing::tried::SendHistory;
use crate::routing::windows::{StepFilteredClock, Tallies};

/// Age of the configuration proof, as a fraction of the maximum withdrawal delay, from which an
/// instance reports that it is not ready.
const READY_PROOF_FRACTION: f64 = 0.6;

/// Time without contact to the store after which removals of backend servers may be due to an
/// outage: entries expire after three missed heartbeats of more than a second each.
const REGISTRY_OUTAGE_AFTER: Duration = Duration::from_millis(3_000);

/// Number of consecutive failed calls for the configuration after which the store counts as
/// unavailable and gets only these calls; a single failure may be a lost response.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Time before the exit of a process at which requests without a response get their final one; callers
/// could take a closed connection for anything.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(300);

/// Returns whether the store counts as unavailable after a number of consecutive failed
/// configuration calls.
pub fn is_unavailable(failures: u32) -> bool {
    failures >= UNAVAILABLE_AFTER_FAILURES
}

/// Times of a shutdown in progress.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTimes {
    /// Until when every request is admitted, as load balancers still send new connections.
    pub admit_all_until: Instant,
    /// When the process exits, even if requests are unfinished.
    pub exit_at: Instant,
}

impl ShutdownTimes {
    /// Returns when requests that have no response yet get their final one.
    fn last_response_at(self) -> Instant {
        self.exit_at.checked_sub(FINAL_RESPONSE_TIME).unwrap_or(self.exit_at)
    }
}

/// State of an instance, whose tasks all run on one thread.
pub struct InstanceState {
    /// Current settings.
    pub cfg: RefCell<Rc<GatewaySettings>>,
    /// Configuration in force.
    pub catalog: RefCell<Rc<Catalog>>,
    /// Registered backend servers.
    pub fleet: RefCell<Fleet>,
    /// Data centres that stay evacuated until a time although a copy of the store doesn't list them.
    pub kept_evacuations: RefCell<Option<(HashSet<DataCentreName>, Instant)>>,
    /// Latest proof that the configuration is current.
    pub proof: RefCell<FreshnessProof>,
    /// Load and failures of the backend servers.
    pub loads: RefCell<Loads>,
    /// All registered instances, this one included.
    pub members: RefCell<Members>,
    /// Local copies of the platform's collections.
    pub mirrors: RefCell<HashMap<Collection, Mirror>>,
    /// Time of the last pull request of another instance.
    pub last_pull_at: Cell<Option<Instant>>,
    /// Counts changes of the state that peers pull: collections, proof, and store failures.
    pub changes: watch::Sender<u64>,
    /// Whether this instance reads the platform's store directly.
    pub reads_store: watch::Sender<bool>,
    /// Memory for large bodies of callers.
    pub bodies: BodyBudget,
    /// Idle connections to backend servers.
    pub pool: ConnectionPool,
    /// Evidence against prompt parts that crash backend servers.
    pub evidence: SharedEvidence,
    /// What began the streams that may be taken up again.
    pub origins: SharedOrigins,
    /// Counts of executed requests for usage reports.
    pub tallies: RefCell<Tallies>,
    /// Name under which this process counts requests; unique across restarts.
    pub process_name: String,
    /// Wall clock without steps.
    pub clock: RefCell<StepFilteredClock>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether this instance is shutting down.
    pub draining: watch::Sender<bool>,
    /// Times of the shutdown, once it has begun.
    pub shutdown: Cell<Option<ShutdownTimes>>,
    /// Number of open connections of callers.
    pub open_connections: watch::Sender<usize>,
    /// Number of consecutive failed calls to the store for the configuration.
    pub failed_config_calls: watch::Sender<u32>,
    /// When the store last recovered from an outage.
    pub store_recovered_at: Cell<Option<BootTime>>,
    /// When the registry of backend servers was last read, directly or through a peer.
    last_registry_contact: Cell<Option<BootTime>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    workload_mixes: RefCell<HashMap<ServiceName, WorkloadMix>>,
    cold_limiters: RefCell<HashMap<BackendServerName, ColdRateLimiter>>,
}

impl InstanceState {
    /// Creates the state of an instance that has only its settings.
    pub fn new(cfg: GatewaySettings) -> Self {
        Self {
            process_name: format!("{}/{:x}", cfg.instance, rand::random::<u32>()),
            members: RefCell::default(),
            mirrors: RefCell::default(),
            last_pull_at: Cell::new(None),
            changes: watch::Sender::new(0),
            reads_store: watch::Sender::new(!cfg.has_other_seed()),
            bodies: BodyBudget::new(cfg.max_body_memory()),
            cfg: RefCell::new(Rc::new(cfg)),
            catalog: RefCell::default(),
            fleet: RefCell::default(),
            kept_evacuations: RefCell::default(),
            proof: RefCell::default(),
            loads: RefCell::default(),
            pool: ConnectionPool::default(),
            evidence: SharedEvidence::default(),
            origins: SharedOrigins::default(),
            tallies: RefCell::default(),
            clock: RefCell::new(StepFilteredClock::new(wall_millis(), BootTime::now())),
            metrics: Metrics::default(),
            draining: watch::Sender::new(false),
            shutdown: Cell::new(None),
            open_connections: watch::Sender::new(0),
            failed_config_calls: watch::Sender::new(0),
            store_recovered_at: Cell::new(None),
            last_registry_contact: Cell::new(None),
            budgets: RefCell::default(),
            workload_mixes: RefCell::default(),
            cold_limiters: RefCell::default(),
        }
    }

    /// Returns the current settings.
    pub fn cfg(&self) -> Rc<GatewaySettings> {
        self.cfg.borrow().clone()
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Returns whether the configuration is recent enough to accept keys.
    pub fn can_verify_keys(&self) -> bool {
        let max_age = self.cfg.borrow().max_withdrawal_delay;
        self.proof.borrow().is_fresh(BootTime::now(), max_age)
    }

    /// Returns whether load balancers should send new connections to this instance.
    pub fn is_ready(&self) -> bool {
        let max_age = self.cfg.borrow().max_withdrawal_delay.mul_f64(READY_PROOF_FRACTION);
        let is_proved = self.proof.borrow().is_fresh(BootTime::now(), max_age);
        is_proved && !self.is_draining() && self.can_route()
    }

    /// Returns whether this instance is shutting down.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns whether to admit a request with a deadline: during a shutdown, it must be able to
    /// finish before the process exits.
    pub fn admits(&self, deadline: Instant) -> bool {
        self.shutdown.get().is_none_or(|times| {
            Instant::now() < times.admit_all_until || deadline <= times.last_response_at()
        })
    }

    /// Waits until this instance is about to exit, so that final responses are due.
    pub async fn wait_for_last_responses(&self) {
        let mut draining = self.draining.subscribe();
        // Fails only after the sender is dropped, and `self` keeps it alive.
        let _ = draining.wait_for(|draining| *draining).await;
        match self.shutdown.get() {
            Some(times) => tokio::time::sleep_until(times.last_response_at().into()).await,
            None => std::future::pending().await,
        }
    }

    /// Records whether the registry of backend servers could be read, directly or through a peer.
    ///
    /// An outage begins after a time without any contact. If the store refuses only this instance,
    /// its peers still read the registry, so that removals are genuine.
    pub fn record_registry_contact(&self, is_reachable: bool) {
        let now = BootTime::now();
        let last_contact = self.last_registry_contact.get();
        let mut fleet = self.fleet.borrow_mut();
        if last_contact.is_some_and(|last_contact| now.since(last_contact) > REGISTRY_OUTAGE_AFTER)
        {
            fleet.set_registry_available(Instant::now(), false);
        }
        if is_reachable {
            fleet.set_registry_available(Instant::now(), true);
            self.last_registry_contact.set(Some(now));
        }
    }

    /// Returns whether the store is unavailable, so that only configuration calls are made.
    pub fn is_store_unavailable(&self) -> bool {
        is_unavailable(*self.failed_config_calls.borrow())
    }

    /// Returns whether this instance reads the store directly and its last configuration call failed.
    pub fn is_store_failing(&self) -> bool {
        *self.reads_store.borrow() && *self.failed_config_calls.borrow() > 0
    }

    /// Returns the revisions of the local copies of the collections.
    pub fn revisions(&self) -> BTreeMap<Collection, u64> {
        let mirrors = self.mirrors.borrow();
        let revision =
            |(collection, mirror): (&Collection, &Mirror)| Some((*collection, mirror.revision()?));
        mirrors.iter().filter_map(revision).collect()
    }

    /// Returns whether a collection was received at least once.
    pub fn has_received(&self, collection: Collection) -> bool {
        self.mirrors.borrow().get(&collection).is_some_and(|mirror| mirror.revision().is_some())
    }

    /// Returns whether the configuration and the backend servers are known, so that requests can be
    /// sent.
    pub fn can_route(&self) -> bool {
        self.catalog.borrow().version > 0 && self.has_received(Collection::Servers)
    }

    /// Returns the number of instances that share the fleet-wide limits.
    pub fn instance_count(&self) -> usize {
        self.members.borrow().count().max(1)
    }

    /// Records a request for the retry budget and the work mix of its service.
    pub fn record_request(&self, service: &Service, demand: &Demand, urgency: u8) {
        let now = Instant::now();
        let cfg = self.cfg();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.name.clone()).or_default().record_request(now, &cfg.budget);
        let slots = self.fleet.borrow().usable(&service.name).next().map(|s| s.entry.slots);
        if let Some(slots) = slots.filter(|_| service.is_engine) {
            let mut mixes = self.workload_mixes.borrow_mut();
            let mix = mixes.entry(service.name.clone()).or_default();
            mix.record(now, &cfg.choice, demand, urgency, slots);
        }
    }

    /// Returns whether any request was received since the start of the process.
    pub fn has_traffic(&self) -> bool {
        !self.budgets.borrow().is_empty()
    }

    /// Returns the settings of the server choice, with the engines split between short and long
    /// prompts according to the recent work mix.
    fn choice_settings(
        &self,
        request: &AdmittedRequest,
        cfg: &GatewaySettings,
        engines: &[&Server],
    ) -> ChoiceSettings {
        let mixes = self.workload_mixes.borrow();
        let size = FleetSize {
            engines: engines.len(),
            slots: engines.first().map_or(0, |engine| engine.entry.slots),
            instances: self.instance_count(),
        };
        let share = mixes.get(&request.service.name).map(|mix| {
            mix.short_pool_share(&cfg.choice, &request.head.demand, request.urgency, size)
        });
        ChoiceSettings {
            short_pool_share: share.unwrap_or(cfg.choice.short_pool_share),
            ..cfg.choice
        }
    }

    /// Records the start of a run for the work mix of its service.
    pub fn start_run(&self, request: &AdmittedRequest) {
        if request.service.is_engine {
            let mut mixes = self.workload_mixes.borrow_mut();
            let mix = mixes.entry(request.service.name.clone()).or_default();
            mix.start_run(&self.cfg.borrow().choice, &request.head.demand, request.urgency);
        }
    }

    /// Records the end of a run for the work mix of its service.
    pub fn finish_run(&self, request: &AdmittedRequest) {
        if request.service.is_engine {
            let mut mixes = self.workload_mixes.borrow_mut();
            let mix = mixes.entry(request.service.name.clone()).or_default();
            mix.finish_run(&self.cfg.borrow().choice, &request.head.demand, request.urgency);
        }
    }

    /// Takes one retry from the budget of a service; returns false if the budget is exhausted.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let cfg = self.cfg();
        let count = self.instance_count();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().try_acquire(Instant::now(), count, &cfg.budget)
    }

    /// Returns whether the budget of a service allows a retry.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        let (now, cfg, count) = (Instant::now(), self.cfg(), self.instance_count());
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().remaining(now, count, &cfg.budget) > 0
    }

    /// Returns the remaining retries of this instance by service.
    pub fn retries_left(&self) -> Vec<(ServiceName, u64)> {
        let (now, cfg, count) = (Instant::now(), self.cfg(), self.instance_count());
        let mut budgets = self.budgets.borrow_mut();
        let left = budgets.iter_mut().map(|(name, budget)| {
            let left = budget.remaining(now, count, &cfg.budget);
            (name.clone(), left)
        });
        left.collect()
    }

    /// Chooses a backend server that was not tried yet. Ejected ones are used only if there are no
    /// others.
    pub fn choose(
        &self,
        request: &AdmittedRequest,
        history: &SendHistory,
    ) -> Option<(Choice, Server)> {
        let now = Instant::now();
        let cfg = self.cfg();
        let fleet = self.fleet.borrow();
        let loads = self.loads.borrow();
        let candidates = self.candidates(now, request, history, &fleet, &loads);
        let settings = self.choice_settings(request, &cfg, &candidates);
        let demand = &request.head.demand;
        let choice = choose(now, &settings, &cfg.data_centre, demand, &candidates, &loads)?;
        let server = fleet.get(&choice.server)?.clone();
        Some((choice, server))
    }

    /// Chooses the engine that a running request is migrated to.
    pub fn choose_for_migration(
        &self,
        request: &AdmittedRequest,
        history: &SendHistory,
        attempts: &MigrationAttempts,
    ) -> Option<(Choice, Server)> {
        let now = Instant::now();
        let cfg = self.cfg();
        let fleet = self.fleet.borrow();
        let loads = self.loads.borrow();
        let engines = self.candidates(now, request, history, &fleet, &loads);
        let settings = self.choice_settings(request, &cfg, &engines);
        let demand = &request.head.demand;
        let choice =
            attempts.choose_engine(now, &settings, &cfg.data_centre, demand, &engines, &loads)?;
        let server = fleet.get(&choice.server)?.clone();
        Some((choice, server))
    }

    /// Returns the backend servers that a request may be sent to.
    fn candidates<'a>(
        &self,
        now: Instant,
        request: &'a AdmittedRequest,
        history: &SendHistory,
        fleet: &'a Fleet,
        loads: &Loads,
    ) -> Vec<&'a Server> {
        let untried =
            fleet.usable(&request.service.name).filter(|s| !history.contains(&s.entry.name));
        let untried = untried.filter(|s| fleet.pause_left(now, &s.entry).is_none());
        let fitting = untried.filter(|s| request.may_go_on_at(&s.entry.version));
        let with_capacity: Vec<&Server> =
            fitting.filter(|s| self.has_cold_capacity(now, &request.service, s)).collect();
        let with_capacity = history.prefer_reachable(with_capacity);
        let is_ejected =
            |s: &&Server| loads.get(&s.entry.name).is_some_and(|load| load.is_ejected(now));
        let healthy: Vec<&Server> =
            with_capacity.iter().copied().filter(|s| !is_ejected(s)).collect();
        if healthy.is_empty() { with_capacity } else { healthy }
    }

    /// Returns whether a backend server that was chosen still takes requests, with the same software.
    pub fn takes_requests(&self, entry: &Registration) -> bool {
        let fleet = self.fleet.borrow();
        fleet.get(&entry.name).is_some_and(|known| known.entry.version == entry.version)
            && fleet.is_usable(&entry.name)
            && fleet.pause_left(Instant::now(), entry).is_none()
    }

    /// Returns whether a backend server is warm, or this instance may send it another request while
    /// it is cold.
    fn has_cold_capacity(&self, now: Instant, service: &Service, server: &Server) -> bool {
        if service.cold_requests_per_s <= 0.0 || !server.is_cold(now) {
            return true;
        }
        let name = &server.entry.name;
        let cfg = self.cfg();
        if !may_send_to_cold(&cfg.instance, self.members.borrow().names(), name) {
            return false;
        }
        let mut cold = self.cold_limiters.borrow_mut();
        cold.entry(name.clone()).or_default().allows(now, service.cold_requests_per_s, &cfg.cold)
    }

    /// Records that the configuration was current when a call was sent.
    pub fn record_proof(&self, sent_at: BootTime) {
        let mut proof = self.proof.borrow_mut();
        let former = *proof;
        proof.record(sent_at);
        if *proof != former {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Records a send for the rate limit of cold backend servers.
    pub fn record_send(&self, service: &Service, server: &Server) {
        let now = Instant::now();
        if service.cold_requests_per_s > 0.0 && server.is_cold(now) {
            let mut cold = self.cold_limiters.borrow_mut();
            cold.entry(server.entry.name.clone()).or_default().record_send(now);
        }
    }

    /// Returns a connection to the pool, within this instance's share of the idle connections.
    pub fn release_connection(
        &self,
        service: &Service,
        server: &BackendServerName,
        connection: Connection,
    ) {
        let max_idle = max_idle_per_instance(service.max_connections, self.instance_count());
        self.pool.release(server, connection, max_idle);
    }

    /// Records how a request ended; a backend server that is ejected counts as cold when it
    /// returns.
    pub fn record_verdict(&self, service: &Service, server: &BackendServerName, verdict: Verdict) {
        let now = Instant::now();
        if verdict == Verdict::TransportFailure {
            self.pool.close_idle(server);
        }
        if self.loads.borrow_mut().get_or_insert(server).record_verdict(now, verdict) {
            tracing::warn!(%server, "backend server ejected after consecutive transport failures");
            if service.cold_requests_per_s > 0.0 {
                self.fleet.borrow_mut().mark_cold(now, server, service.cold_period);
            }
        }
    }

    /// Counts a request that started to execute now.
    pub fn count_started_run(&self, organisation: &OrganisationName) {
        let window_ms = self.cfg.borrow().usage_window.as_millis().max(1) as u64;
        let window = self.clock.borrow().unix_millis(BootTime::now()) / window_ms;
        self.tallies.borrow_mut().increment(&self.process_name, window, organisation);
    }

    /// Drops the state of backend servers that no longer exist.
    pub fn sweep(&self) {
        self.evidence.sweep();
        self.origins.sweep();
        self.fleet.borrow_mut().purge_lapsed(Instant::now());
        let fleet = self.fleet.borrow();
        self.pool.close_expired(|name| fleet.get(name).is_some());
        self.loads.borrow_mut().retain(|name| fleet.get(name).is_some());
        self.cold_limiters.borrow_mut().retain(|name, _| fleet.get(name).is_some());
    }
}
