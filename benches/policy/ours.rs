//! The product's policy: `Picker` selects candidates, `Admission` queues at each server's home.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use laburnumvalve::config::{InForce, Mark, MarkTarget, Marks};
use laburnumvalve::home::admission::{Admission, Arrival, Decision};
use laburnumvalve::home::health::RouteHealth;
use laburnumvalve::home::report::LoadReport;
use laburnumvalve::home::tenure::HomeRank;
use laburnumvalve::home::{PickCriteria, Picker, RequestOutcome, RequestStats};
use laburnumvalve::names::BackendServerName;
use laburnumvalve::peer::generated::v1::refused::Reason;
use laburnumvalve::peer::{Loads, Member, Members};

use super::engine::{Job, Output};
use super::run::Simulation;
use super::scene::Rng;

/// Period of the heartbeats that carry loads.
const BEAT_PERIOD: Duration = Duration::from_secs(1);
/// Period of load polls of each engine.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Period of `Admission::tick`.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Sends of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Output tokens that an entry instance estimates when the caller sets no maximum.
const DEFAULT_ESTIMATED_TOKENS: u64 = 256;
/// The only instance, home of all servers; the choice of homes is not simulated.
const HOME: &str = "home";

pub struct ProductPolicy {
    homes: Vec<Admission>,
    loads: Loads,
    in_force: InForce,
    members: Members,
    next_id: u64,
    /// Server and request of each queued or running attempt, by attempt identifier.
    attempts: BTreeMap<u64, (usize, usize)>,
    rng: Rng,
    sole_rank: HomeRank,
}

impl ProductPolicy {
    pub fn new(simulation: &Simulation) -> Self {
        let config = Arc::new(simulation.fleet.config.clone());
        let now = simulation.instant();
        let sole_rank = HomeRank { rank: 0, uncertain: false };
        let home = |server: &laburnumvalve::config::BackendServer| {
            let mut home = Admission::new(server.clone(), config.clone(), sole_rank, now);
            home.confirm_sole_home(now, now, 0);
            home
        };
        let member = Member {
            name: HOME.into(),
            data_centre: simulation.fleet.data_centres[0].into(),
            peer_address: String::new(),
            leaving: false,
        };
        Self {
            homes: simulation.fleet.servers.iter().map(home).collect(),
            loads: Loads::new(),
            in_force: InForce { config: config.clone(), marks: Arc::default() },
            members: Members {
                revision: 1,
                listed: BTreeMap::from([(member.name.clone(), member)]),
                suspected: BTreeSet::new(),
                certain: BTreeSet::new(),
            },
            next_id: 1,
            attempts: BTreeMap::new(),
            rng: Rng(11),
            sole_rank,
        }
    }

    /// Requests a slot at the homes of at most two candidates in order; refuses if none accepts.
    pub fn handle_arrival(
        &mut self,
        simulation: &mut Simulation,
        request: usize,
        exclude: Option<usize>,
    ) {
        let exclude: Vec<BackendServerName> =
            exclude.iter().map(|server| simulation.fleet.servers[*server].name.clone()).collect();
        let spec = simulation.requests[request].spec.clone();
        let centre =
            simulation.fleet.data_centres[spec.entry % simulation.fleet.data_centres.len()];
        let config = self.in_force.config.clone();
        let criteria = PickCriteria {
            route: &config.routes["pool"],
            class: &config.classes[spec.class.as_str()],
            prefix: request as u64,
            seed: self.rng.next(),
            exclude: &exclude,
        };
        let picker = Picker::new(centre.into());
        let candidates = picker.candidates(&self.in_force, &self.members, &self.loads, &criteria);
        for candidate in candidates {
            let name = candidate.server;
            let server = simulation.fleet.servers.iter().position(|server| server.name == name);
            let Some(server) = server else { continue };
            if self.request_slot(simulation, server, request, candidate.wait_bound) {
                return;
            }
        }
        simulation.refuse(request);
    }

    /// Returns whether the home queued the request or granted it a slot.
    fn request_slot(
        &mut self,
        simulation: &mut Simulation,
        server: usize,
        request: usize,
        wait_bound: Option<Duration>,
    ) -> bool {
        let id = self.next_id;
        self.next_id += 1;
        let tracked = &simulation.requests[request];
        let started = tracked.first_token.is_some();
        let elapsed = simulation.now.saturating_sub(tracked.spec.at);
        let time_left = (!started).then(|| tracked.spec.first_token.saturating_sub(elapsed));
        let arrival = Arrival {
            id,
            class: tracked.spec.class.as_str().into(),
            organisation: tracked.spec.organisation.as_str().into(),
            prompt_tokens: tracked.spec.prompt,
            estimated_tokens: DEFAULT_ESTIMATED_TOKENS,
            time_left,
            wait_bound,
            repeatable: true,
        };
        self.attempts.insert(id, (server, request));
        let now = simulation.instant();
        let decisions = self.homes[server].enqueue(now, arrival);
        let refused = decisions.iter().any(
            |decision| matches!(decision, Decision::Refused { id: other, .. } if *other == id),
        );
        if refused {
            self.attempts.remove(&id);
        }
        self.apply_decisions(simulation, server, decisions);
        !refused
    }

    pub fn handle_output(&mut self, simulation: &mut Simulation, server: usize, output: &Output) {
        let (Output::Done(job) | Output::Failed(job)) = output;
        let request = job.id as usize;
        let attempt = self.attempts.iter().find(|(_, known)| **known == (server, request));
        let Some(id) = attempt.map(|(id, _)| *id) else { return };
        self.attempts.remove(&id);
        let outcome = match output {
            Output::Done(_) => RequestOutcome::Complete,
            Output::Failed(_) => RequestOutcome::ServerFailed,
        };
        let stats = request_stats(simulation, request, job);
        let now = simulation.instant();
        let decisions = self.homes[server].finish(now, id, outcome, stats);
        self.apply_decisions(simulation, server, decisions);
        if outcome == RequestOutcome::ServerFailed {
            if simulation.requests[request].attempts < MAX_ATTEMPTS {
                self.handle_arrival(simulation, request, Some(server));
            } else {
                simulation.refuse(request);
            }
        }
    }

    pub fn step(&mut self, simulation: &mut Simulation) {
        let now = simulation.instant();
        self.apply_marks(simulation);
        for server in 0..self.homes.len() {
            if is_due(simulation.now, POLL_PERIOD, server) {
                self.homes[server].set_home_rank(now, self.sole_rank);
                let lag = simulation.scenario.report_lag();
                if let Some(load) = simulation.engines[server].report(simulation.now, lag) {
                    let decisions =
                        self.homes[server].record_report(now, &LoadReport::new(now, load));
                    self.apply_decisions(simulation, server, decisions);
                }
            }
            if is_due(simulation.now, TICK_PERIOD, 0) {
                let decisions = self.homes[server].tick(now);
                self.apply_decisions(simulation, server, decisions);
            }
            if is_due(simulation.now, BEAT_PERIOD, server) {
                let load = self.homes[server].load(now);
                self.loads.insert(simulation.fleet.servers[server].name.clone(), load);
                let config = self.in_force.config.clone();
                let route_health = RouteHealth::for_server(
                    &simulation.fleet.servers[server],
                    &config,
                    &self.loads,
                );
                self.homes[server].set_route_health(route_health);
            }
        }
    }

    /// Marks an evacuated data centre out of service one heartbeat after the order.
    ///
    /// Refuses everything queued at its servers, as the supervisor does.
    fn apply_marks(&mut self, simulation: &mut Simulation) {
        let mut marks = Marks::default();
        if let Some((centre, since)) = simulation.evacuated
            && simulation.now > since + BEAT_PERIOD
        {
            marks.merge(Mark::Service {
                target: MarkTarget::DataCentre(centre.into()),
                at: laburnumvalve::clock::Hlc(1),
                in_service: false,
            });
        }
        self.in_force.marks = Arc::new(marks);
        for server in 0..self.homes.len() {
            if !self.in_force.takes_work(&simulation.fleet.servers[server]) {
                let decisions = self.homes[server].refuse_all(Reason::Out);
                self.apply_decisions(simulation, server, decisions);
            }
        }
    }

    /// Applies the decisions of a home.
    ///
    /// Sends granted requests. Picks another server for requests that were refused because the
    /// server is out of service, and refuses the others.
    fn apply_decisions(
        &mut self,
        simulation: &mut Simulation,
        server: usize,
        decisions: Vec<Decision>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Granted { id, .. } => {
                    if let Some((_, request)) = self.attempts.get(&id) {
                        simulation.send(server, *request);
                    }
                }
                Decision::Refused { id, reason, .. } => {
                    let Some((_, request)) = self.attempts.remove(&id) else { continue };
                    if reason == Reason::Out {
                        self.handle_arrival(simulation, request, Some(server));
                    } else {
                        simulation.refuse(request);
                    }
                }
            }
        }
    }
}

fn request_stats(simulation: &Simulation, request: usize, job: &Job) -> RequestStats {
    let first = job.first_token;
    let generation_time = first.map(|first| simulation.now.saturating_sub(first));
    RequestStats {
        prompt_tokens: simulation.requests[request].spec.prompt,
        output_tokens: job.tokens as u64,
        first_token: first.map(|first| first.saturating_sub(job.sent_at)),
        token_gap: generation_time
            .filter(|_| job.tokens > 1.0)
            .map(|generation_time| generation_time.div_f64(job.tokens)),
    }
}

/// Returns whether a periodic event is due in this step; `offset` staggers the servers.
fn is_due(now: Duration, period: Duration, offset: usize) -> bool {
    let step = now.as_millis() as u64 / 10 + offset as u64 * 7;
    step.is_multiple_of(period.as_millis() as u64 / 10)
}
