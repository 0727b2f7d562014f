//! What the tasks of an instance share: settings, beliefs about the fleet, and counters.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::links::{Link, Links, most_idle};
use super::settings::GatewaySettings;
use crate::clock::{BootTime, wall_millis};
use crate::metrics::Metrics;
use crate::names::{BackendServerName, OrganisationName};
use crate::platform::Collection;
use crate::routing::budget::RetryBudget;
use crate::routing::catalog::{Catalog, Service, ServiceName};
use crate::routing::choose::{Choice, ChoiceSettings, Demand, choose};
use crate::routing::cold::{ColdRateLimiter, may_send_to_cold};
use crate::routing::fleet::{Fleet, Server};
use crate::routing::load::{Loads, Verdict};
use crate::routing::members::Members;
use crate::routing::mirror::Mirror;
use crate::routing::mix::WorkloadMix;
use crate::routing::proof::FreshnessProof;
use crate::routing::tried::SendHistory;
use crate::routing::windows::{StepFilteredClock, Tallies};

/// Part of the revocation bound after which an instance without proof takes no new connections.
const READY_PROOF_SHARE: f64 = 0.6;

/// Time without news of the store after which it counts as away; entries lapse after three
/// heartbeats of more than a second each.
const REGISTRY_SILENCE: Duration = Duration::from_millis(3_000);

/// Failed calls for the configuration in a row after which no other calls are made; one more than
/// single lost answers explain.
const AWAY_AFTER: u32 = 2;

/// Returns whether the store counts as away after some failed calls for the configuration in a row.
pub fn is_away(failures: u32) -> bool {
    failures >= AWAY_AFTER
}

/// The times of an instance that was told to stop.
#[derive(Debug, Clone, Copy)]
pub struct Leaving {
    /// Until when it takes every request, as callers still come in the usual way.
    pub takes_all_until: Instant,
    /// When it ends, whatever is unfinished.
    pub ends_at: Instant,
}

/// The state of one instance; its tasks run on one thread.
pub struct Shared {
    /// Settings in use.
    pub cfg: RefCell<Rc<GatewaySettings>>,
    /// Configuration in force.
    pub catalog: RefCell<Rc<Catalog>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Proof that the configuration is the newest one.
    pub proof: RefCell<FreshnessProof>,
    /// Loads of backend servers.
    pub loads: RefCell<Loads>,
    /// Other instances and this one.
    pub members: RefCell<Members>,
    /// Copies of the platform's collections.
    pub mirrors: RefCell<HashMap<Collection, Mirror>>,
    /// When another instance asked this one last.
    pub asked_at: Cell<Option<Instant>>,
    /// Counts changes of what this instance tells others: mirrors, proof, whether the store fails.
    pub changes: watch::Sender<u64>,
    /// Whether this instance reads the platform's store itself.
    pub reads_store: watch::Sender<bool>,
    /// Connections to backend servers.
    pub links: Links,
    /// Counts of requests that began to run.
    pub tallies: RefCell<Tallies>,
    /// Name of this process among all that ever counted requests.
    pub process: String,
    /// True time.
    pub time: RefCell<StepFilteredClock>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Whether this instance is about to stop.
    pub draining: watch::Sender<bool>,
    /// When this instance ends, if it was told to stop.
    pub leaving: Cell<Option<Leaving>>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Calls for the configuration that failed in a row.
    pub store_failures: watch::Sender<u32>,
    /// When the store last came back.
    pub store_returned_at: Cell<Option<BootTime>>,
    /// When the store last told of backend servers, directly or through a peer.
    registry_told_at: Cell<Option<BootTime>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    mix: RefCell<HashMap<ServiceName, WorkloadMix>>,
    cold: RefCell<HashMap<BackendServerName, ColdRateLimiter>>,
}

impl Shared {
    /// Makes the state of an instance that knows only its settings.
    pub fn new(cfg: GatewaySettings) -> Self {
        Self {
            process: format!("{}/{:x}", cfg.instance, rand::random::<u32>()),
            members: RefCell::default(),
            mirrors: RefCell::default(),
            asked_at: Cell::new(None),
            changes: watch::Sender::new(0),
            reads_store: watch::Sender::new(true),
            cfg: RefCell::new(Rc::new(cfg)),
            catalog: RefCell::default(),
            fleet: RefCell::default(),
            proof: RefCell::default(),
            loads: RefCell::default(),
            links: Links::default(),
            tallies: RefCell::default(),
            time: RefCell::new(StepFilteredClock::new(wall_millis(), BootTime::now())),
            metrics: Metrics::default(),
            draining: watch::Sender::new(false),
            leaving: Cell::new(None),
            connections: Cell::new(0),
            store_failures: watch::Sender::new(0),
            store_returned_at: Cell::new(None),
            registry_told_at: Cell::new(None),
            budgets: RefCell::default(),
            mix: RefCell::default(),
            cold: RefCell::default(),
        }
    }

    /// Returns the settings in use.
    pub fn cfg(&self) -> Rc<GatewaySettings> {
        self.cfg.borrow().clone()
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Rc<Catalog> {
        self.catalog.borrow().clone()
    }

    /// Returns whether keys may be honoured now.
    pub fn keys_are_proved(&self) -> bool {
        let bound = self.cfg.borrow().revoke_bound;
        self.proof.borrow().is_fresh(BootTime::now(), bound)
    }

    /// Returns whether this instance should be given new connections.
    pub fn is_ready(&self) -> bool {
        let bound = self.cfg.borrow().revoke_bound.mul_f64(READY_PROOF_SHARE);
        let proved = self.proof.borrow().is_fresh(BootTime::now(), bound);
        proved && !self.is_draining() && self.catalog.borrow().version > 0
    }

    /// Returns whether this instance is about to stop.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Returns whether a request that may last until `give_up_at` should be taken.
    pub fn takes(&self, give_up_at: Instant) -> bool {
        self.leaving.get().is_none_or(|leaving| {
            Instant::now() < leaving.takes_all_until || give_up_at <= leaving.ends_at
        })
    }

    /// Notes that the store told of backend servers, directly or through a peer, or did not.
    ///
    /// Entries lapse without cause only while nothing is heard of the store for a while; a store
    /// that turns just this instance away is no outage.
    pub fn note_registry(&self, answers: bool) {
        let now = BootTime::now();
        let told_at = self.registry_told_at.get();
        let mut fleet = self.fleet.borrow_mut();
        if told_at.is_some_and(|told_at| now.since(told_at) > REGISTRY_SILENCE) {
            fleet.record_registry_call(Instant::now(), false);
        }
        if answers {
            fleet.record_registry_call(Instant::now(), true);
            self.registry_told_at.set(Some(now));
        }
    }

    /// Returns whether the store fails so often that only the configuration is called for.
    pub fn is_store_away(&self) -> bool {
        is_away(*self.store_failures.borrow())
    }

    /// Returns the number of instances that bounds are divided among.
    pub fn instance_count(&self) -> usize {
        self.members.borrow().count().max(1)
    }

    /// Notes a request of a caller for the retry budget and the work mix of its service.
    pub fn note_request(&self, service: &Service, demand: &Demand) {
        let now = Instant::now();
        let cfg = self.cfg();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.name.clone()).or_default().record_request(now, &cfg.budget);
        let slots = self.fleet.borrow().usable(&service.name).next().map(|s| s.entry.slots);
        if let Some(slots) = slots.filter(|_| service.is_engine) {
            let mut mixes = self.mix.borrow_mut();
            mixes.entry(service.name.clone()).or_default().record(now, &cfg.choice, demand, slots);
        }
    }

    /// Returns the weights of the choice, with the engines divided as the work asks.
    fn weights(&self, service: &Service, cfg: &GatewaySettings) -> ChoiceSettings {
        let mixes = self.mix.borrow();
        let share = mixes.get(&service.name).map(|mix| mix.short_pool_share(&cfg.choice));
        ChoiceSettings {
            short_pool_share: share.unwrap_or(cfg.choice.short_pool_share),
            ..cfg.choice
        }
    }

    /// Takes one repeat out of the retry budget of a service; returns false if it is used up.
    pub fn take_repeat(&self, service: &ServiceName) -> bool {
        let cfg = self.cfg();
        let count = self.instance_count();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().try_acquire(Instant::now(), count, &cfg.budget)
    }

    /// Returns the repeats that this instance may still make now, by service.
    pub fn repeats_left(&self) -> Vec<(ServiceName, u64)> {
        let (now, cfg, count) = (Instant::now(), self.cfg(), self.instance_count());
        let mut budgets = self.budgets.borrow_mut();
        let left = budgets.iter_mut().map(|(name, budget)| {
            let left = budget.remaining(now, count, &cfg.budget);
            (name.clone(), left)
        });
        left.collect()
    }

    /// Chooses a backend server among those that were not tried.
    pub fn choose(
        &self,
        service: &Service,
        demand: &Demand,
        tried: &SendHistory,
    ) -> Option<(Choice, Server)> {
        let now = Instant::now();
        let cfg = self.cfg();
        let fleet = self.fleet.borrow();
        let loads = self.loads.borrow();
        let untried = fleet.usable(&service.name).filter(|s| !tried.contains(&s.entry.name));
        let bearing: Vec<&Server> = untried.filter(|s| self.bears(now, service, s)).collect();
        let bearing = tried.prefer_reachable(bearing);
        let is_ejected =
            |s: &&Server| loads.get(&s.entry.name).is_some_and(|load| load.is_ejected(now));
        let mut sound: Vec<&Server> = bearing.iter().copied().filter(|s| !is_ejected(s)).collect();
        if sound.is_empty() {
            sound = bearing;
        }
        let weights = self.weights(service, &cfg);
        let choice = choose(now, &weights, &cfg.data_centre, demand, &sound, &loads)?;
        let server = fleet.get(&choice.server)?.clone();
        Some((choice, server))
    }

    /// Returns whether a backend server bears another request of this instance.
    fn bears(&self, now: Instant, service: &Service, server: &Server) -> bool {
        if service.cold_requests_per_s <= 0.0 || !server.is_cold(now) {
            return true;
        }
        let name = &server.entry.name;
        let cfg = self.cfg();
        if !may_send_to_cold(&cfg.instance, self.members.borrow().names(), name) {
            return false;
        }
        let mut cold = self.cold.borrow_mut();
        cold.entry(name.clone()).or_default().allows(now, service.cold_requests_per_s, &cfg.cold)
    }

    /// Notes that the known configuration was the newest one at a time.
    pub fn note_proof(&self, sent_at: BootTime) {
        let mut proof = self.proof.borrow_mut();
        let former = *proof;
        proof.record(sent_at);
        if *proof != former {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Notes a send, for the limits of cold backend servers.
    pub fn note_send(&self, service: &Service, server: &Server) {
        let now = Instant::now();
        if service.cold_requests_per_s > 0.0 && server.is_cold(now) {
            let mut cold = self.cold.borrow_mut();
            cold.entry(server.entry.name.clone()).or_default().record_send(now);
        }
    }

    /// Keeps a connection to a backend server for further requests, within this instance's share.
    pub fn keep_link(&self, service: &Service, server: &BackendServerName, link: Link) {
        let most = most_idle(service.max_connections, self.instance_count());
        self.links.keep(server, link, most);
    }

    /// Takes the verdict on a request; a backend server that is left out returns as a cold one.
    pub fn note_verdict(&self, service: &Service, server: &BackendServerName, verdict: Verdict) {
        let now = Instant::now();
        if verdict == Verdict::TransportFailure {
            self.links.drop_idle(server);
        }
        if self.loads.borrow_mut().get_or_insert(server).record_verdict(now, verdict) {
            tracing::warn!(%server, "backend server is left out for a while: requests to it broke");
            if service.cold_requests_per_s > 0.0 {
                self.fleet.borrow_mut().mark_cold(now, server, service.cold_start);
            }
        }
    }

    /// Counts a request that began to run now.
    pub fn count_run(&self, organisation: &OrganisationName) {
        let window_ms = self.cfg.borrow().usage_window.as_millis().max(1) as u64;
        let window = self.time.borrow().unix_millis(BootTime::now()) / window_ms;
        self.tallies.borrow_mut().increment(&self.process, window, organisation);
    }

    /// Drops what belongs to backend servers that are gone.
    pub fn sweep(&self) {
        self.fleet.borrow_mut().purge_lapsed(Instant::now());
        let fleet = self.fleet.borrow();
        self.links.sweep(|name| fleet.get(name).is_some());
        self.loads.borrow_mut().retain(|name| fleet.get(name).is_some());
        self.cold.borrow_mut().retain(|name, _| fleet.get(name).is_some());
    }
}
