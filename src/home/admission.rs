//! The admission decisions for one backend server, without input or output.
//!
//! The aggregate holds the waiting and the running requests together with the server's limit and
//! health. Each method takes the time of an event and returns the decisions that follow from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::{Ending, Figures};
use super::fair::Waiting;
use super::headroom::Headroom;
use super::health::{Health, Peers};
use super::limit::{Capacity, Limit};
use super::occupancy::Occupancy;
use super::pace::{Pace, cost};
use super::queue::{Dropped, Queue, QueueSettings};
use super::report::Report;
use super::tenure::{Standing, Tenure};
use crate::config::model::TIERS;
use crate::config::{BackendServer, Config, Tier};
use crate::names::{ClassName, OrganisationName};
use crate::peer::generated::v1::ServerLoad;
use crate::peer::generated::v1::refused::Reason;

/// Waiting requests of an organisation that the configuration doesn't know.
const DEFAULT_MAX_WAITING: u32 = 32;
/// Token gap target of a class that the configuration doesn't know.
const DEFAULT_TOKEN_GAP: Duration = Duration::from_millis(100);
/// Waiting requests for each slot of a server.
const WAITING_PER_SLOT: usize = 32;
/// Longest time that a refusal tells the caller to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Shortest time that a refusal tells the caller to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, unique for the server; greater than those before.
    pub id: u64,
    /// The class.
    pub class: ClassName,
    /// The organisation that it runs for.
    pub organisation: OrganisationName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Time left until the answer must have started.
    pub deadline: Option<Duration>,
    /// Wait above which another backend server is preferred.
    pub wait_bound: Option<Duration>,
    /// Whether it may be run again.
    pub repeatable: bool,
}

/// A decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request has a slot.
    Granted {
        /// Number of the request.
        id: u64,
        /// Whether the server is in cold start.
        cold: bool,
    },
    /// The request has no slot and doesn't wait.
    Refused {
        /// Number of the request.
        id: u64,
        /// Why.
        reason: Reason,
        /// Estimated wait, which is also the time after which to try again.
        wait: Duration,
    },
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct Running {
    class: ClassName,
    organisation: OrganisationName,
    estimate: u64,
    charged: u64,
    since: Instant,
    first_token: bool,
}

/// The admission of one backend server.
#[derive(Debug)]
pub struct Admission {
    server: BackendServer,
    config: Arc<Config>,
    queue: Queue,
    limit: Limit,
    health: Health,
    tenure: Tenure,
    pace: Pace,
    occupancy: Occupancy,
    headroom: Headroom,
    estimates: BTreeMap<u64, u64>,
    running: BTreeMap<u64, Running>,
}

impl Admission {
    /// Begins the admission of a server.
    pub fn new(
        server: BackendServer,
        config: Arc<Config>,
        standing: Standing,
        now: Instant,
    ) -> Self {
        let settings =
            QueueSettings { max_waiting: (server.slots as usize).max(1) * WAITING_PER_SLOT };
        let mut queue = Queue::new(settings);
        queue.set_classes(config.classes.values());
        Self {
            limit: Limit::new(capacity(&server), now),
            server,
            config,
            queue,
            health: Health::default(),
            tenure: Tenure::new(now, standing),
            pace: Pace::default(),
            occupancy: Occupancy::default(),
            headroom: Headroom::new(now),
            estimates: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Takes over a changed configuration.
    pub fn configure(&mut self, server: BackendServer, config: Arc<Config>) {
        self.queue.set_classes(config.classes.values());
        self.limit.set_capacity(capacity(&server));
        self.server = server;
        self.config = config;
    }

    /// Begins a new tenure after another instance may have been home.
    pub fn begin_tenure(&mut self, now: Instant, standing: Standing) {
        self.tenure = Tenure::new(now, standing);
    }

    /// Takes over a renewed standing.
    pub fn set_standing(&mut self, now: Instant, standing: Standing) {
        self.tenure.set_standing(now, standing);
    }

    /// Takes note that no other instance was home when all were asked, with the requests that they
    /// had admitted.
    pub fn previous_gave_up(&mut self, now: Instant, asked: Instant, in_flight: u32) {
        if self.tenure.previous_gave_up(asked) {
            self.occupancy.adopt(now, in_flight);
        }
    }

    /// Returns whether the other instances are to be asked whether they are home.
    pub fn must_ask(&self) -> bool {
        self.tenure.must_ask()
    }

    /// Takes over what is known of the other servers of the routes.
    pub fn set_peers(&mut self, peers: Peers) {
        self.health.set_peers(peers);
    }

    /// Queues a request or refuses it.
    pub fn enqueue(&mut self, now: Instant, arrival: Arrival) -> Vec<Decision> {
        let refuse = |reason, wait| vec![Decision::Refused { id: arrival.id, reason, wait }];
        if !self.health.admits(now, arrival.repeatable) {
            return refuse(Reason::Ejected, MIN_RETRY_AFTER);
        }
        let (weight, max_waiting) = self.organisation(&arrival.organisation);
        let estimate = cost(arrival.prompt_tokens, arrival.estimated_tokens);
        let charged = self.pace.expected_cost(&arrival.class, estimate);
        let wait = self.wait(now, &arrival.class, &arrival.organisation, charged, weight);
        if self.queue.waiting_of(&arrival.organisation) >= max_waiting as usize {
            return refuse(Reason::OrganisationLimit, retry_after(wait));
        }
        if arrival.wait_bound.is_some_and(|bound| wait > bound) {
            return refuse(Reason::WaitAboveBound, wait);
        }
        self.headroom.arrived(now, self.queue.tier(&arrival.class), self.pace.hold(charged));
        // A guess is no reason to refuse: a request that waits in vain is dropped at its deadline.
        let known = self.pace.is_measured();
        let late = known && arrival.deadline.is_some_and(|deadline| wait > deadline);
        if late && self.queue.waiting_in(&arrival.class) > 0 {
            return refuse(Reason::TooLate, retry_after(wait));
        }
        let mut decisions = Vec::new();
        let dropped = self.queue.push(self.waiting(now, &arrival, charged), weight);
        self.estimates.insert(arrival.id, estimate);
        self.health.queued(arrival.id);
        if let Some((request, dropped)) = dropped {
            decisions.push(self.dropped(&request, dropped, wait));
        }
        decisions.extend(self.grant(now));
        decisions
    }

    /// Removes a waiting request whose caller went away.
    pub fn leave(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        self.queue.remove(id);
        self.estimates.remove(&id);
        self.health.left(id);
        self.grant(now)
    }

    /// Takes note of how far a running request is.
    pub fn progress(&mut self, now: Instant, id: u64, figures: Figures) {
        if let Some(running) = self.running.get_mut(&id)
            && let Some(time) = figures.first_token
            && !running.first_token
        {
            running.first_token = true;
            self.pace.first_token_seen(&running.class, time);
            self.limit.first_token_seen(now, time);
        }
        self.token_gap_seen(now, id, figures.token_gap);
    }

    /// Frees the slot of a request that ended.
    pub fn finish(
        &mut self,
        now: Instant,
        id: u64,
        ending: Ending,
        figures: Figures,
    ) -> Vec<Decision> {
        self.progress(now, id, figures);
        let Some(running) = self.running.remove(&id) else { return Vec::new() };
        self.occupancy.set_own(now, self.running.len() as u32);
        let actual = match ending {
            Ending::NotSent | Ending::Overloaded => 0,
            _ => cost(figures.prompt_tokens, figures.output_tokens),
        };
        self.queue.settle(&running.class, &running.organisation, running.charged, actual);
        match ending {
            Ending::Complete => {
                let held = now.duration_since(running.since);
                self.pace.ended(&running.class, running.estimate, actual, held);
                self.limit.succeeded(now);
                self.health.succeeded(now, id, figures.token_gap);
            }
            Ending::ServerFailed => {
                self.limit.failed(now);
                self.health.failed(now, id);
            }
            Ending::Overloaded => {
                self.limit.overloaded(now);
                self.health.left(id);
            }
            Ending::Cancelled | Ending::NotSent => self.health.left(id),
        }
        self.grant(now)
    }

    /// Takes note that the entry of a running request is lost; the request may still run.
    pub fn lose(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        if self.running.remove(&id).is_some() {
            self.occupancy.lose(now, self.running.len() as u32);
            self.health.left(id);
        }
        self.grant(now)
    }

    /// Takes note of a report of the engine.
    pub fn report(&mut self, now: Instant, report: &Report) -> Vec<Decision> {
        self.limit.reported(now, report);
        self.tenure.reported(report.measured);
        self.occupancy.report(report);
        self.grant(now)
    }

    /// Takes note that the server doesn't report its load.
    pub fn unreported(&mut self) {
        self.limit.set_unreported();
    }

    /// Decides what follows from the passing of time alone.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        self.occupancy.expire(now);
        self.grant(now)
    }

    /// Refuses all waiting requests for one reason.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Decision> {
        let waiting = self.queue.clear();
        self.estimates.clear();
        waiting
            .iter()
            .map(|request| Decision::Refused { id: request.id, reason, wait: MIN_RETRY_AFTER })
            .collect()
    }

    /// Returns the numbers of the running requests.
    pub fn running(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.keys().copied()
    }

    /// Returns how many requests run.
    pub fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests wait.
    pub fn waiting_count(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns whether the server is in cold start.
    pub fn is_cold(&self) -> bool {
        self.limit.is_cold()
    }

    /// Returns the load to report to peers.
    pub fn load(&self, now: Instant) -> ServerLoad {
        ServerLoad {
            backend_server: self.server.name.to_string(),
            running: self.running_count() + self.occupancy.foreign(),
            waiting: self.waiting_count(),
            limit: self.allowed(now) + self.occupancy.foreign(),
            wait_ms: self
                .tier_wait(now, Tier(TIERS as u8 - 1))
                .as_millis()
                .min(u128::from(u32::MAX)) as u32,
            token_gap_us: self.limit.token_gap().map_or(0, |gap| gap.as_micros() as u32),
            cold: self.limit.is_cold(),
            ejected: self.health.is_ejected(),
            resumes: self.occupancy.resumes(),
            tier_wait_ms: (0..TIERS as u8)
                .map(|tier| self.tier_wait(now, Tier(tier)).as_millis() as u32)
                .collect(),
        }
    }

    /// Returns how many requests this home may have running now.
    pub fn allowed(&self, now: Instant) -> u32 {
        let limit = self.limit.value();
        if self.limit.is_cold() {
            let foreign = self.occupancy.foreign_at_most();
            return self.tenure.cold_allowance(now, limit, foreign, self.limit.is_unreported());
        }
        limit.saturating_sub(self.occupancy.foreign())
    }

    fn grant(&mut self, now: Instant) -> Vec<Decision> {
        let late = self.queue.remove_late(now);
        let mut decisions: Vec<Decision> = late
            .iter()
            .map(|request| self.dropped(request, Dropped::TooLate, MIN_RETRY_AFTER))
            .collect();
        while self.has_slot(now)
            && let Some(request) = self.queue.pop()
        {
            decisions.push(Decision::Granted { id: request.id, cold: self.limit.is_cold() });
            self.start(now, request);
        }
        decisions
    }

    /// Returns whether the next request may have a slot that isn't kept for higher tiers.
    fn has_slot(&self, now: Instant) -> bool {
        let free = self.allowed(now).saturating_sub(self.running_count());
        let reserved = self.queue.next_in_strict_order().map_or(0, |tier| self.reserved(now, tier));
        free > reserved
    }

    /// Returns the slots that are kept free from a tier.
    fn reserved(&self, now: Instant, tier: Tier) -> u32 {
        let running = self.running.values();
        let higher = running.filter(|running| self.queue.tier(&running.class) < tier).count();
        self.headroom.reserved(now, tier, higher as u32, self.allowed(now))
    }

    fn start(&mut self, now: Instant, request: Waiting) {
        let running = Running {
            estimate: self.estimates.remove(&request.id).unwrap_or(request.cost),
            class: request.class,
            organisation: request.organisation,
            charged: request.cost,
            since: now,
            first_token: false,
        };
        self.running.insert(request.id, running);
        self.occupancy.set_own(now, self.running.len() as u32);
    }

    fn dropped(&mut self, request: &Waiting, dropped: Dropped, wait: Duration) -> Decision {
        self.estimates.remove(&request.id);
        self.health.left(request.id);
        let reason = match dropped {
            Dropped::Full => Reason::QueueFull,
            Dropped::Displaced => Reason::Shed,
            Dropped::TooLate => Reason::TooLate,
        };
        Decision::Refused { id: request.id, reason, wait: retry_after(wait) }
    }

    fn waiting(&self, now: Instant, arrival: &Arrival, charged: u64) -> Waiting {
        let usual = self.pace.first_token(&arrival.class);
        // The first token takes time too, but a slow server must not refuse everything.
        let latest = |deadline: Duration| now + deadline - usual.min(deadline / 2);
        Waiting {
            id: arrival.id,
            class: arrival.class.clone(),
            organisation: arrival.organisation.clone(),
            cost: charged,
            since: now,
            deadline: arrival.deadline.map(latest),
        }
    }

    fn token_gap_seen(&mut self, now: Instant, id: u64, gap: Option<Duration>) {
        let Some(gap) = gap else { return };
        let used_up = self.running_count() >= self.allowed(now);
        let target = self
            .running
            .get(&id)
            .and_then(|running| self.config.classes.get(&running.class))
            .map_or(DEFAULT_TOKEN_GAP, |class| class.token_gap());
        self.limit.token_gap_seen(now, gap, target, used_up);
    }

    fn organisation(&self, name: &OrganisationName) -> (u32, u32) {
        self.config
            .organisations
            .get(name)
            .map_or((1, DEFAULT_MAX_WAITING), |org| (org.weight, org.max_waiting))
    }

    /// Estimates the wait of a new request.
    fn wait(
        &self,
        now: Instant,
        class: &ClassName,
        organisation: &OrganisationName,
        cost: u64,
        weight: u32,
    ) -> Duration {
        let allowed = self.allowed(now);
        let ahead = self.queue.cost_ahead(class, organisation, cost, weight);
        let free = allowed.saturating_sub(self.running_count());
        if ahead == 0 && free > self.reserved(now, self.queue.tier(class)) {
            return Duration::ZERO;
        }
        self.pace.wait(ahead, allowed)
    }

    /// Estimates the wait of a new request of a tier.
    fn tier_wait(&self, now: Instant, tier: Tier) -> Duration {
        let allowed = self.allowed(now);
        let ahead = self.queue.cost_down_to(tier);
        let free = allowed.saturating_sub(self.running_count());
        if ahead == 0 && free > self.reserved(now, tier) {
            return Duration::ZERO;
        }
        self.pace.wait(ahead, allowed)
    }
}

fn capacity(server: &BackendServer) -> Capacity {
    Capacity { slots: server.slots, cold_limit: server.cold_limit }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
