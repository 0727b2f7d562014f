//! Runs one scene under one policy, step by step on the paused clock.

use std::time::Duration;

use tokio::time::Instant;

use super::baseline::Baseline;
use super::engine::{Engine, Job, Output, PREFILL_PACE};
use super::measure::Scores;
use super::ours::Ours;
use super::scene::{ARRIVALS, Arriving, COLD_LIMIT, Fault, Fleet, SLOTS, Scene, User, arrivals};

/// Length of a step.
pub const STEP: Duration = Duration::from_millis(10);
/// Time after the last arrival for which the scene goes on.
const TAIL: Duration = Duration::from_secs(150);
/// Time after which a data centre that was taken out must get no new work.
const OUT_WITHIN: Duration = Duration::from_secs(4);

/// How servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Ours,
    RoundRobin,
    LeastLoaded,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Request {
    pub arriving: Arriving,
    pub first_token: Option<Duration>,
    pub finished: Option<Duration>,
    pub refused: bool,
    pub attempts: u32,
    /// Tokens of the answer that the caller has.
    pub received: f64,
    /// Tokens that engines made for it.
    pub made: f64,
}

/// The engines and requests, seen by every policy.
pub struct World {
    pub fleet: Fleet,
    pub scene: Scene,
    pub now: Duration,
    pub start: Instant,
    pub engines: Vec<Engine>,
    pub requests: Vec<Request>,
    pub outputs: Vec<(usize, Output)>,
    /// Slot-seconds that the servers could have worked until each step.
    pub capacity: Vec<f64>,
    pub out: Option<(&'static str, Duration)>,
    pub sent_out: u32,
}

impl World {
    /// Returns the present on tokio's clock.
    pub fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Sends a request, or what is left of it, to an engine.
    pub fn send(&mut self, server: usize, request: usize) {
        let tracked = &mut self.requests[request];
        tracked.attempts += 1;
        let left = tracked.arriving.tokens as f64 - tracked.received;
        let prompt = tracked.arriving.prompt as f64 + tracked.received;
        let job = Job {
            id: request as u64,
            prefill: prompt / PREFILL_PACE,
            tokens: 0.0,
            wanted: left.max(1.0),
            sent: self.now,
            first_token: None,
        };
        let centre = self.fleet.servers[server].data_centre.as_str();
        let late = |(out, since): (&str, Duration)| out == centre && self.now > since + OUT_WITHIN;
        self.sent_out += u32::from(self.out.is_some_and(late));
        let outputs = self.engines[server].take(self.now, job);
        self.outputs.extend(outputs.into_iter().map(|output| (server, output)));
    }

    pub fn refuse(&mut self, request: usize) {
        self.requests[request].refused = true;
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(server) => self.engines[server].slowness = 4.0,
            Fault::Stop(server) => {
                let outputs = self.engines[server].stop();
                self.outputs.extend(outputs.into_iter().map(|output| (server, output)));
            }
            Fault::Start(server) => self.engines[server].start(self.now),
            Fault::Out(centre) => self.out = Some((centre, self.now)),
            Fault::In => self.out = None,
        }
    }

    fn count_capacity(&mut self) {
        let out = self.out.map(|(centre, _)| centre);
        let usable =
            self.engines.iter().zip(&self.fleet.servers).filter(|(engine, server)| {
                engine.is_up() && Some(server.data_centre.as_str()) != out
            });
        let slots: f64 = usable.map(|(engine, _)| engine.slots as f64 / engine.slowness).sum();
        let before = self.capacity.last().copied().unwrap_or_default();
        self.capacity.push(before + slots * STEP.as_secs_f64());
    }
}

enum Router {
    Ours(Box<Ours>),
    Baseline(Baseline),
}

impl Router {
    fn arrive(&mut self, world: &mut World, request: usize) {
        match self {
            Self::Ours(ours) => ours.arrive(world, request, None),
            Self::Baseline(baseline) => baseline.arrive(world, request),
        }
    }

    fn ended(&mut self, world: &mut World, server: usize, output: &Output) {
        match self {
            Self::Ours(ours) => ours.ended(world, server, output),
            Self::Baseline(baseline) => baseline.ended(world, server, output),
        }
    }

    fn step(&mut self, world: &mut World) {
        match self {
            Self::Ours(ours) => ours.step(world),
            Self::Baseline(baseline) => baseline.step(world),
        }
    }
}

/// Runs a scene and returns its scores.
pub async fn run(user: User, scene: Scene, policy: Policy, seed: u64) -> Scores {
    let fleet = Fleet::new(user);
    let faults = scene.faults(&fleet);
    let requests = arrivals(user, scene, seed).into_iter().map(|arriving| Request {
        arriving,
        first_token: None,
        finished: None,
        refused: false,
        attempts: 0,
        received: 0.0,
        made: 0.0,
    });
    let engine = |_| Engine::new(SLOTS as usize, COLD_LIMIT as usize);
    let mut world = World {
        engines: fleet.servers.iter().map(engine).collect(),
        fleet,
        scene,
        now: Duration::ZERO,
        start: Instant::now(),
        requests: requests.collect(),
        outputs: Vec::new(),
        capacity: Vec::new(),
        out: None,
        sent_out: 0,
    };
    let mut router = match policy {
        Policy::Ours => Router::Ours(Box::new(Ours::new(&world))),
        Policy::RoundRobin | Policy::LeastLoaded => {
            Router::Baseline(Baseline::new(policy == Policy::LeastLoaded))
        }
    };
    let (mut next_fault, mut next_request) = (0, 0);
    while world.now < ARRIVALS + TAIL {
        tokio::time::advance(STEP).await;
        world.now += STEP;
        while let Some((at, fault)) = faults.get(next_fault)
            && Duration::from_millis(*at) <= world.now
        {
            world.fault(*fault);
            next_fault += 1;
        }
        while next_request < world.requests.len()
            && world.requests[next_request].arriving.at <= world.now
        {
            router.arrive(&mut world, next_request);
            next_request += 1;
        }
        step(&mut world, &mut router);
    }
    Scores::of(&world)
}

fn step(world: &mut World, router: &mut Router) {
    world.count_capacity();
    for server in 0..world.engines.len() {
        let outputs = world.engines[server].step(world.now, STEP);
        world.outputs.extend(outputs.into_iter().map(|output| (server, output)));
    }
    while let Some((server, output)) = world.outputs.pop() {
        note(world, &output);
        router.ended(world, server, &output);
    }
    router.step(world);
}

/// Writes down what an attempt gave its caller.
fn note(world: &mut World, output: &Output) {
    let now = world.now;
    let (Output::Done(job) | Output::Failed(job)) = output;
    let request = &mut world.requests[job.id as usize];
    request.made += job.tokens;
    request.received += job.tokens;
    request.first_token = request.first_token.or(job.first_token);
    if matches!(output, Output::Done(_)) {
        request.finished = Some(now);
    }
}
