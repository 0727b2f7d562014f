//! The admission decisions for one backend server, without input or output.
//!
//! The aggregate holds the waiting and the running requests together with the server's limit and
//! health. Each method takes the time of an event and returns the decisions that follow from it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::{RequestOutcome, RequestStats};
use super::fair::WaitingRequest;
use super::headroom::Headroom;
use super::health::{Health, RouteHealth};
use super::limit::{Capacity, Limit};
use super::occupancy::Occupancy;
use super::pace::{Pace, cost};
use super::queue::{DropReason, Queue, QueueSettings};
use super::report::LoadReport;
use super::tenure::{HomeRank, Tenure};
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
const MAX_WAITING_PER_SLOT: usize = 32;
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
struct RunningRequest {
    class: ClassName,
    organisation: OrganisationName,
    estimate: u64,
    charged: u64,
    started_at: Instant,
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
    running: BTreeMap<u64, RunningRequest>,
}

impl Admission {
    /// Begins the admission of a server.
    pub fn new(
        server: BackendServer,
        config: Arc<Config>,
        home_rank: HomeRank,
        now: Instant,
    ) -> Self {
        let settings =
            QueueSettings { max_waiting: (server.slots as usize).max(1) * MAX_WAITING_PER_SLOT };
        let mut queue = Queue::new(settings);
        queue.set_classes(config.classes.values());
        Self {
            limit: Limit::new(capacity(&server), now),
            server,
            config,
            queue,
            health: Health::default(),
            tenure: Tenure::new(now, home_rank),
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
    pub fn begin_tenure(&mut self, now: Instant, home_rank: HomeRank) {
        self.tenure = Tenure::new(now, home_rank);
    }

    /// Takes over a renewed standing.
    pub fn set_home_rank(&mut self, now: Instant, home_rank: HomeRank) {
        self.tenure.set_home_rank(now, home_rank);
    }

    /// Takes note that no other instance was home when all were asked, with the requests that they
    /// had admitted.
    pub fn confirm_sole_home(&mut self, now: Instant, queried_at: Instant, in_flight: u32) {
        if self.tenure.confirm_sole_home(queried_at) {
            self.occupancy.record_inherited(now, in_flight);
        }
    }

    /// Returns whether the other instances are to be asked whether they are home.
    pub fn needs_confirmation(&self) -> bool {
        self.tenure.needs_confirmation()
    }

    /// Takes over what is known of the other servers of the routes.
    pub fn set_route_health(&mut self, route_health: RouteHealth) {
        self.health.set_route_health(route_health);
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
        let wait = self.estimated_wait(now, &arrival.class, &arrival.organisation, charged, weight);
        if self.queue.waiting_for_organisation(&arrival.organisation) >= max_waiting as usize {
            return refuse(Reason::OrganisationLimit, retry_after(wait));
        }
        if arrival.wait_bound.is_some_and(|bound| wait > bound) {
            return refuse(Reason::WaitAboveBound, wait);
        }
        self.headroom.record_arrival(
            now,
            self.queue.tier(&arrival.class),
            self.pace.slot_time(charged),
        );
        // A guess is no reason to refuse: a request that waits in vain is dropped at its deadline.
        let measured = self.pace.is_measured();
        let late = measured && arrival.deadline.is_some_and(|deadline| wait > deadline);
        if late && self.queue.waiting_in_class(&arrival.class) > 0 {
            return refuse(Reason::TooLate, retry_after(wait));
        }
        let mut decisions = Vec::new();
        let dropped = self.queue.push(self.waiting_request(now, &arrival, charged), weight);
        self.estimates.insert(arrival.id, estimate);
        self.health.assign_probe(arrival.id);
        if let Some((request, dropped)) = dropped {
            decisions.push(self.refuse_dropped(&request, dropped, wait));
        }
        decisions.extend(self.grant(now));
        decisions
    }

    /// Removes a waiting request whose caller went away.
    pub fn cancel_waiting(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        self.queue.remove(id);
        self.estimates.remove(&id);
        self.health.release_probe(id);
        self.grant(now)
    }

    /// Takes note of how far a running request is.
    pub fn progress(&mut self, now: Instant, id: u64, stats: RequestStats) {
        if let Some(running) = self.running.get_mut(&id)
            && let Some(time) = stats.first_token
            && !running.first_token
        {
            running.first_token = true;
            self.pace.record_first_token(&running.class, time);
            self.limit.record_first_token(now, time);
        }
        self.record_token_gap(now, id, stats.token_gap);
    }

    /// Frees the slot of a request that ended.
    pub fn finish(
        &mut self,
        now: Instant,
        id: u64,
        outcome: RequestOutcome,
        stats: RequestStats,
    ) -> Vec<Decision> {
        self.progress(now, id, stats);
        let Some(running) = self.running.remove(&id) else { return Vec::new() };
        self.occupancy.record_own(now, self.running.len() as u32);
        let actual = match outcome {
            RequestOutcome::NotSent | RequestOutcome::Overloaded => 0,
            _ => cost(stats.prompt_tokens, stats.output_tokens),
        };
        self.queue.correct_charge(&running.class, &running.organisation, running.charged, actual);
        match outcome {
            RequestOutcome::Complete => {
                let held = now.duration_since(running.started_at);
                self.pace.record_completion(&running.class, running.estimate, actual, held);
                self.limit.record_success(now);
                self.health.record_success(now, id, stats.token_gap);
            }
            RequestOutcome::ServerFailed => {
                self.limit.record_failure(now);
                self.health.record_failure(now, id);
            }
            RequestOutcome::Overloaded => {
                self.limit.record_overload(now);
                self.health.release_probe(id);
            }
            RequestOutcome::Cancelled | RequestOutcome::NotSent => self.health.release_probe(id),
        }
        self.grant(now)
    }

    /// Takes note that the entry of a running request is lost; the request may still run.
    pub fn entry_lost(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        if self.running.remove(&id).is_some() {
            self.occupancy.record_lost(now, self.running.len() as u32);
            self.health.release_probe(id);
        }
        self.grant(now)
    }

    /// Takes note of a report of the engine.
    pub fn report(&mut self, now: Instant, report: &LoadReport) -> Vec<Decision> {
        self.limit.record_report(now, report);
        self.tenure.record_report(report.measured_at);
        self.occupancy.record_report(report);
        self.grant(now)
    }

    /// Takes note that the server doesn't report its load.
    pub fn set_unreported(&mut self) {
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
            running: self.running_count() + self.occupancy.external_min(),
            waiting: self.waiting_count(),
            limit: self.allowed(now) + self.occupancy.external_min(),
            wait_ms: self
                .estimated_tier_wait(now, Tier(TIERS as u8 - 1))
                .as_millis()
                .min(u128::from(u32::MAX)) as u32,
            token_gap_us: self.limit.token_gap().map_or(0, |gap| gap.as_micros() as u32),
            cold: self.limit.is_cold(),
            ejected: self.health.is_ejected(),
            resumes: self.occupancy.resumes(),
            tier_wait_ms: (0..TIERS as u8)
                .map(|tier| self.estimated_tier_wait(now, Tier(tier)).as_millis() as u32)
                .collect(),
        }
    }

    /// Returns how many requests this home may have running now.
    pub fn allowed(&self, now: Instant) -> u32 {
        let limit = self.limit.value();
        if self.limit.is_cold() {
            let external = self.occupancy.external_max();
            return self.tenure.cold_allowance(now, limit, external, self.limit.is_unreported());
        }
        limit.saturating_sub(self.occupancy.external_min())
    }

    fn grant(&mut self, now: Instant) -> Vec<Decision> {
        let late = self.queue.remove_late(now);
        let mut decisions: Vec<Decision> = late
            .iter()
            .map(|request| self.refuse_dropped(request, DropReason::TooLate, MIN_RETRY_AFTER))
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

    fn start(&mut self, now: Instant, request: WaitingRequest) {
        let running = RunningRequest {
            estimate: self.estimates.remove(&request.id).unwrap_or(request.cost),
            class: request.class,
            organisation: request.organisation,
            charged: request.cost,
            started_at: now,
            first_token: false,
        };
        self.running.insert(request.id, running);
        self.occupancy.record_own(now, self.running.len() as u32);
    }

    fn refuse_dropped(
        &mut self,
        request: &WaitingRequest,
        dropped: DropReason,
        wait: Duration,
    ) -> Decision {
        self.estimates.remove(&request.id);
        self.health.release_probe(request.id);
        let reason = match dropped {
            DropReason::Full => Reason::QueueFull,
            DropReason::Displaced => Reason::Shed,
            DropReason::TooLate => Reason::TooLate,
        };
        Decision::Refused { id: request.id, reason, wait: retry_after(wait) }
    }

    fn waiting_request(&self, now: Instant, arrival: &Arrival, charged: u64) -> WaitingRequest {
        let first_token = self.pace.first_token(&arrival.class);
        // The first token takes time too, but a slow server must not refuse everything.
        let latest = |deadline: Duration| now + deadline - first_token.min(deadline / 2);
        WaitingRequest {
            id: arrival.id,
            class: arrival.class.clone(),
            organisation: arrival.organisation.clone(),
            cost: charged,
            queued_at: now,
            deadline: arrival.deadline.map(latest),
        }
    }

    fn record_token_gap(&mut self, now: Instant, id: u64, gap: Option<Duration>) {
        let Some(gap) = gap else { return };
        let limit_reached = self.running_count() >= self.allowed(now);
        let target = self
            .running
            .get(&id)
            .and_then(|running| self.config.classes.get(&running.class))
            .map_or(DEFAULT_TOKEN_GAP, |class| class.token_gap());
        self.limit.record_token_gap(now, gap, target, limit_reached);
    }

    fn organisation(&self, name: &OrganisationName) -> (u32, u32) {
        self.config
            .organisations
            .get(name)
            .map_or((1, DEFAULT_MAX_WAITING), |org| (org.weight, org.max_waiting))
    }

    /// Estimates the wait of a new request.
    fn estimated_wait(
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
    fn estimated_tier_wait(&self, now: Instant, tier: Tier) -> Duration {
        let allowed = self.allowed(now);
        let ahead = self.queue.cost_through_tier(tier);
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
