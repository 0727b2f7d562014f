//! The product's decisions: candidates by the picker, admission at each server's home.

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
use super::run::World;
use super::scene::Rng;

/// Period of beats with loads.
const BEAT: Duration = Duration::from_secs(1);
/// Period at which engines are asked for their load.
const POLL: Duration = Duration::from_millis(500);
/// Period of the admission's own ticks.
const TICK: Duration = Duration::from_millis(50);
/// Attempts that a request has.
const ATTEMPTS: u32 = 3;
/// Output tokens that an entry expects when the caller gives no bound.
const ESTIMATE: u64 = 256;
/// The sole instance that is home of all servers; homes are chosen elsewhere.
const HOME: &str = "home";

pub struct Ours {
    homes: Vec<Admission>,
    loads: Loads,
    in_force: InForce,
    members: Members,
    next: u64,
    /// Attempts that wait or run: the server and the request.
    attempts: BTreeMap<u64, (usize, usize)>,
    rng: Rng,
    sole: HomeRank,
}

impl Ours {
    pub fn new(world: &World) -> Self {
        let config = Arc::new(world.fleet.config.clone());
        let now = world.instant();
        let sole = HomeRank { rank: 0, uncertain: false };
        let home = |server: &laburnumvalve::config::BackendServer| {
            let mut home = Admission::new(server.clone(), config.clone(), sole, now);
            home.confirm_sole_home(now, now, 0);
            home
        };
        let member = Member {
            name: HOME.into(),
            data_centre: world.fleet.centres[0].into(),
            peer_address: String::new(),
            leaving: false,
        };
        Self {
            homes: world.fleet.servers.iter().map(home).collect(),
            loads: Loads::new(),
            in_force: InForce { config: config.clone(), marks: Arc::default() },
            members: Members {
                revision: 1,
                listed: BTreeMap::from([(member.name.clone(), member)]),
                suspected: BTreeSet::new(),
                certain: BTreeSet::new(),
            },
            next: 1,
            attempts: BTreeMap::new(),
            rng: Rng(11),
            sole,
        }
    }

    /// Asks at most two homes for a slot.
    pub fn arrive(&mut self, world: &mut World, request: usize, exclude: Option<usize>) {
        let exclude: Vec<BackendServerName> =
            exclude.iter().map(|server| world.fleet.servers[*server].name.clone()).collect();
        let tracked = world.requests[request].arriving.clone();
        let centre = world.fleet.centres[tracked.entry % world.fleet.centres.len()];
        let config = self.in_force.config.clone();
        let criteria = PickCriteria {
            route: &config.routes["pool"],
            class: &config.classes[tracked.class.as_str()],
            prefix: request as u64,
            seed: self.rng.next(),
            exclude: &exclude,
        };
        let picker = Picker::new(centre.into());
        let candidates = picker.candidates(&self.in_force, &self.members, &self.loads, &criteria);
        for candidate in candidates {
            let name = candidate.server;
            let server = world.fleet.servers.iter().position(|server| server.name == name);
            let Some(server) = server else { continue };
            if self.ask(world, server, request, candidate.wait_bound) {
                return;
            }
        }
        world.refuse(request);
    }

    /// Returns whether the request waits or has a slot.
    fn ask(
        &mut self,
        world: &mut World,
        server: usize,
        request: usize,
        wait_bound: Option<Duration>,
    ) -> bool {
        let id = self.next;
        self.next += 1;
        let tracked = &world.requests[request];
        let started = tracked.first_token.is_some();
        let passed = world.now.saturating_sub(tracked.arriving.at);
        let time_left = (!started).then(|| tracked.arriving.first_token.saturating_sub(passed));
        let arrival = Arrival {
            id,
            class: tracked.arriving.class.as_str().into(),
            organisation: tracked.arriving.organisation.as_str().into(),
            prompt_tokens: tracked.arriving.prompt,
            estimated_tokens: ESTIMATE,
            time_left,
            wait_bound,
            repeatable: true,
        };
        self.attempts.insert(id, (server, request));
        let now = world.instant();
        let decisions = self.homes[server].enqueue(now, arrival);
        let refused = decisions.iter().any(
            |decision| matches!(decision, Decision::Refused { id: other, .. } if *other == id),
        );
        if refused {
            self.attempts.remove(&id);
        }
        self.follow(world, server, decisions);
        !refused
    }

    pub fn ended(&mut self, world: &mut World, server: usize, output: &Output) {
        let (Output::Done(job) | Output::Failed(job)) = output;
        let request = job.id as usize;
        let attempt = self.attempts.iter().find(|(_, known)| **known == (server, request));
        let Some(id) = attempt.map(|(id, _)| *id) else { return };
        self.attempts.remove(&id);
        let outcome = match output {
            Output::Done(_) => RequestOutcome::Complete,
            Output::Failed(_) => RequestOutcome::ServerFailed,
        };
        let stats = request_stats(world, request, job);
        let now = world.instant();
        let decisions = self.homes[server].finish(now, id, outcome, stats);
        self.follow(world, server, decisions);
        if outcome == RequestOutcome::ServerFailed {
            if world.requests[request].attempts < ATTEMPTS {
                self.arrive(world, request, Some(server));
            } else {
                world.refuse(request);
            }
        }
    }

    pub fn step(&mut self, world: &mut World) {
        let now = world.instant();
        self.take_marks(world);
        for server in 0..self.homes.len() {
            if due(world.now, POLL, server) {
                self.homes[server].set_home_rank(now, self.sole);
                let lag = world.scene.lag();
                if let Some(load) = world.engines[server].report(world.now, lag) {
                    let decisions =
                        self.homes[server].record_report(now, &LoadReport::new(now, load));
                    self.follow(world, server, decisions);
                }
            }
            if due(world.now, TICK, 0) {
                let decisions = self.homes[server].tick(now);
                self.follow(world, server, decisions);
            }
            if due(world.now, BEAT, server) {
                let load = self.homes[server].load(now);
                self.loads.insert(world.fleet.servers[server].name.clone(), load);
                let config = self.in_force.config.clone();
                let route_health =
                    RouteHealth::for_server(&world.fleet.servers[server], &config, &self.loads);
                self.homes[server].set_route_health(route_health);
            }
        }
    }

    /// Applies the order to take a data centre out, and retires its queues as the supervisor does.
    fn take_marks(&mut self, world: &mut World) {
        let mut marks = Marks::default();
        if let Some((centre, since)) = world.out
            && world.now > since + BEAT
        {
            marks.merge(Mark::Service {
                target: MarkTarget::DataCentre(centre.into()),
                at: laburnumvalve::clock::Hlc(1),
                in_service: false,
            });
        }
        self.in_force.marks = Arc::new(marks);
        for server in 0..self.homes.len() {
            if !self.in_force.takes_work(&world.fleet.servers[server]) {
                let decisions = self.homes[server].refuse_all(Reason::Out);
                self.follow(world, server, decisions);
            }
        }
    }

    /// Carries out what a home decided.
    fn follow(&mut self, world: &mut World, server: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Granted { id, .. } => {
                    if let Some((_, request)) = self.attempts.get(&id) {
                        world.send(server, *request);
                    }
                }
                Decision::Refused { id, reason, .. } => {
                    let Some((_, request)) = self.attempts.remove(&id) else { continue };
                    if reason == Reason::Out {
                        self.arrive(world, request, Some(server));
                    } else {
                        world.refuse(request);
                    }
                }
            }
        }
    }
}

fn request_stats(world: &World, request: usize, job: &Job) -> RequestStats {
    let first = job.first_token;
    let took = first.map(|first| world.now.saturating_sub(first));
    RequestStats {
        prompt_tokens: world.requests[request].arriving.prompt,
        output_tokens: job.tokens as u64,
        first_token: first.map(|first| first.saturating_sub(job.sent)),
        token_gap: took.filter(|_| job.tokens > 1.0).map(|took| took.div_f64(job.tokens)),
    }
}

/// Returns whether a periodic event falls on this step; `offset` spreads the servers' events.
fn due(now: Duration, period: Duration, offset: usize) -> bool {
    let step = now.as_millis() as u64 / 10 + offset as u64 * 7;
    step.is_multiple_of(period.as_millis() as u64 / 10)
}
