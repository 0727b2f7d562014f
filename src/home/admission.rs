//! Admission control for one backend server, without I/O.
//!
//! [`Admission`] combines the queue and the running requests with the server's concurrency limit
//! and health. Each method takes the time of an event and returns the resulting decisions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::client::{RequestOutcome, RequestStats};
use super::fair::WaitingRequest;
use super::headroom::Headroom;
use super::health::{Health, RouteHealth};
use super::limit::{Capacity, ConcurrencyLimit};
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

/// Maximum number of waiting requests of an organisation that is not configured.
const DEFAULT_MAX_WAITING: u32 = 32;
/// Target time between tokens of a class that is not configured.
const DEFAULT_TOKEN_GAP: Duration = Duration::from_millis(100);
/// Queue capacity per slot of the server.
const MAX_WAITING_PER_SLOT: usize = 32;
/// Upper bound of the retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Lower bound of the retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request for a slot as it reaches the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Identifier of the request, unique per queue and increasing in order of arrival.
    pub id: u64,
    /// Class of the request.
    pub class: ClassName,
    /// Organisation that issued the request.
    pub organisation: OrganisationName,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Estimated number of output tokens.
    pub estimated_tokens: u64,
    /// Time remaining until the response must have started; unbounded if absent.
    pub time_left: Option<Duration>,
    /// Estimated wait above which the request is refused so that another server can be tried.
    pub wait_bound: Option<Duration>,
    /// Whether the request may be retried.
    pub repeatable: bool,
}

/// Outcome of admission for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent to the server.
    Granted {
        /// Identifier of the request.
        id: u64,
        /// Whether the server is in cold start.
        cold: bool,
    },
    /// The request gets no slot and is not queued.
    Refused {
        /// Identifier of the request.
        id: u64,
        /// Reason of the refusal.
        reason: Reason,
        /// Estimated wait, reported as the retry delay.
        wait: Duration,
    },
}

/// A request that holds a slot.
#[derive(Debug, Clone)]
struct RunningRequest {
    class: ClassName,
    organisation: OrganisationName,
    /// Cost in tokens, estimated from the lengths of the request alone.
    estimate: u64,
    /// Cost in tokens that the organisation was charged when the request started.
    charged: u64,
    started_at: Instant,
    first_token_seen: bool,
}

/// Admission state of one backend server.
#[derive(Debug)]
pub struct Admission {
    server: BackendServer,
    config: Arc<Config>,
    queue: Queue,
    limit: ConcurrencyLimit,
    health: Health,
    tenure: Tenure,
    pace: Pace,
    occupancy: Occupancy,
    headroom: Headroom,
    /// Uncorrected cost estimates of the waiting requests in tokens, by request identifier.
    estimates: BTreeMap<u64, u64>,
    /// Running requests by identifier.
    running: BTreeMap<u64, RunningRequest>,
}

impl Admission {
    /// Creates the admission state of a server with an empty queue.
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
            limit: ConcurrencyLimit::new(capacity(&server), now),
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

    /// Applies a changed configuration; waiting requests keep their position.
    pub fn configure(&mut self, server: BackendServer, config: Arc<Config>) {
        self.queue.set_classes(config.classes.values());
        self.limit.set_capacity(capacity(&server));
        self.server = server;
        self.config = config;
    }

    /// Starts a new tenure after another instance may have been home of the server.
    pub fn begin_tenure(&mut self, now: Instant, home_rank: HomeRank) {
        self.tenure = Tenure::new(now, home_rank);
    }

    /// Refreshes the rank of this instance in the home order.
    pub fn set_home_rank(&mut self, now: Instant, home_rank: HomeRank) {
        self.tenure.set_home_rank(now, home_rank);
    }

    /// Records that all other instances, queried at `queried_at`, denied being home of the server,
    /// and that `in_flight` requests admitted by them are still running.
    pub fn confirm_sole_home(&mut self, now: Instant, queried_at: Instant, in_flight: u32) {
        if self.tenure.confirm_sole_home(queried_at) {
            self.occupancy.record_inherited(now, in_flight);
        }
    }

    /// Returns whether the other instances must be queried for whether they are home.
    pub fn needs_confirmation(&self) -> bool {
        self.tenure.needs_confirmation()
    }

    /// Updates the state of the other servers of the same routes.
    pub fn set_route_health(&mut self, route_health: RouteHealth) {
        self.health.set_route_health(route_health);
    }

    /// Queues a request, or refuses it if it cannot be served in time or within its limits.
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
        // Until a request has completed, the estimated wait rests on defaults and must not refuse
        // anything; a request that can't be served is dropped at its deadline.
        let measured = self.pace.is_measured();
        let late = measured && arrival.time_left.is_some_and(|time_left| wait > time_left);
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

    /// Removes a waiting request that was cancelled or whose entry instance was lost.
    pub fn cancel_waiting(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        self.queue.remove(id);
        self.estimates.remove(&id);
        self.health.release_probe(id);
        self.grant(now)
    }

    /// Records the first token and the token gap of a running request.
    pub fn record_progress(&mut self, now: Instant, id: u64, stats: RequestStats) {
        if let Some(running) = self.running.get_mut(&id)
            && let Some(time) = stats.first_token
            && !running.first_token_seen
        {
            running.first_token_seen = true;
            self.pace.record_first_token(&running.class, time);
            self.limit.record_first_token(now, time);
        }
        self.record_token_gap(now, id, stats.token_gap);
    }

    /// Releases the slot of a finished request and corrects the cost charged for it.
    pub fn finish(
        &mut self,
        now: Instant,
        id: u64,
        outcome: RequestOutcome,
        stats: RequestStats,
    ) -> Vec<Decision> {
        self.record_progress(now, id, stats);
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

    /// Records the loss of the entry instance of a running request.
    ///
    /// The request may still run on the server, so its slot stays occupied until a later report.
    pub fn record_entry_loss(&mut self, now: Instant, id: u64) -> Vec<Decision> {
        if self.running.remove(&id).is_some() {
            self.occupancy.record_lost(now, self.running.len() as u32);
            self.health.release_probe(id);
        }
        self.grant(now)
    }

    /// Applies a load report of the engine.
    pub fn record_report(&mut self, now: Instant, report: &LoadReport) -> Vec<Decision> {
        self.limit.record_report(now, report);
        self.tenure.record_report(report.measured_at);
        self.occupancy.record_report(report);
        self.grant(now)
    }

    /// Records that the server has no load endpoint.
    pub fn set_no_load_endpoint(&mut self) {
        self.limit.set_no_load_endpoint();
    }

    /// Applies expiries and deadlines, and grants slots that became free by them.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        self.occupancy.expire(now);
        self.grant(now)
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(&mut self, reason: Reason) -> Vec<Decision> {
        let waiting = self.queue.clear();
        self.estimates.clear();
        waiting
            .iter()
            .map(|request| Decision::Refused { id: request.id, reason, wait: MIN_RETRY_AFTER })
            .collect()
    }

    /// Returns the identifiers of the running requests.
    pub fn running(&self) -> impl Iterator<Item = u64> + '_ {
        self.running.keys().copied()
    }

    /// Returns the number of running requests admitted by this home.
    pub fn running_count(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns whether the server is in cold start.
    pub fn is_cold(&self) -> bool {
        self.limit.is_cold()
    }

    /// Returns the load that is published to peers.
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

    /// Returns the number of requests that this home may have running.
    ///
    /// While the server is cold, the greatest possible number of external requests is subtracted,
    /// because the cold limit must never be exceeded; otherwise the least possible number.
    pub fn allowed(&self, now: Instant) -> u32 {
        let limit = self.limit.value();
        if self.limit.is_cold() {
            let external = self.occupancy.external_max();
            return self.tenure.cold_allowance(
                now,
                limit,
                external,
                self.limit.has_no_load_endpoint(),
            );
        }
        limit.saturating_sub(self.occupancy.external_min())
    }

    /// Drops requests past their deadline and grants free slots to waiting requests.
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

    /// Returns whether a slot is free that is not reserved for tiers above the next request's.
    ///
    /// A request that is served because its promised share is due may use the reserved slots.
    fn has_slot(&self, now: Instant) -> bool {
        let free = self.allowed(now).saturating_sub(self.running_count());
        let reserved =
            self.queue.next_tier_in_strict_order().map_or(0, |tier| self.reserved(now, tier));
        free > reserved
    }

    /// Returns the number of slots reserved for tiers above a tier.
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
            first_token_seen: false,
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
        // The deadline applies to the first token, so the usual time to it is subtracted. At most
        // half of the deadline is, or a slow server would drop every request.
        let latest = |time_left: Duration| now + time_left - first_token.min(time_left / 2);
        WaitingRequest {
            id: arrival.id,
            class: arrival.class.clone(),
            organisation: arrival.organisation.clone(),
            cost: charged,
            queued_at: now,
            deadline: arrival.time_left.map(latest),
        }
    }

    fn record_token_gap(&mut self, now: Instant, id: u64, gap: Option<Duration>) {
        let Some(gap) = gap else { return };
        let limit_reached = self.running_count() >= self.allowed(now);
        let target = self
            .running
            .get(&id)
            .and_then(|running| self.config.classes.get(&running.class))
            .map_or(DEFAULT_TOKEN_GAP, |class| class.token_gap_target());
        self.limit.record_token_gap(now, gap, target, limit_reached);
    }

    /// Returns the weight and the maximum number of waiting requests of an organisation.
    fn organisation(&self, name: &OrganisationName) -> (u32, u32) {
        self.config
            .organisations
            .get(name)
            .map_or((1, DEFAULT_MAX_WAITING), |org| (org.weight, org.max_waiting))
    }

    /// Estimates how long a new request of an organisation would wait.
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
        self.pace.estimated_wait(ahead, allowed)
    }

    /// Estimates how long a new request of a tier would wait.
    fn estimated_tier_wait(&self, now: Instant, tier: Tier) -> Duration {
        let allowed = self.allowed(now);
        let ahead = self.queue.cost_through_tier(tier);
        let free = allowed.saturating_sub(self.running_count());
        if ahead == 0 && free > self.reserved(now, tier) {
            return Duration::ZERO;
        }
        self.pace.estimated_wait(ahead, allowed)
    }
}

fn capacity(server: &BackendServer) -> Capacity {
    Capacity { slots: server.slots, cold_limit: server.cold_limit }
}

fn retry_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
