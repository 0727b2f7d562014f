//! Runs one scenario under one policy, in fixed steps on the paused clock.

use std::time::Duration;

use tokio::time::Instant;

use super::baseline::Baseline;
use super::engine::{Engine, Job, Output, PREFILL_TOKENS_PER_SECOND};
use super::measure::Scores;
use super::ours::ProductPolicy;
use super::scene::{
    ARRIVAL_PERIOD, COLD_LIMIT, Deployment, Fault, Fleet, RequestSpec, SLOTS, Scenario,
    generate_arrivals,
};

/// Simulated time per step.
pub const STEP: Duration = Duration::from_millis(10);
/// Simulated time after the arrival period, in which outstanding requests can end.
const DRAIN_TIME: Duration = Duration::from_secs(150);
/// Time within which sends to an evacuated data centre must stop.
const MAX_EVACUATION_DELAY: Duration = Duration::from_secs(4);

/// How a server is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Product,
    RoundRobin,
    LeastLoaded,
}

/// A request and its progress.
#[derive(Debug, Clone)]
pub struct Request {
    pub spec: RequestSpec,
    pub first_token: Option<Duration>,
    pub finished: Option<Duration>,
    pub refused: bool,
    pub attempts: u32,
    /// Response tokens that the caller has received.
    pub received: f64,
    /// Tokens that engines have generated for the request, over all attempts.
    pub generated: f64,
}

/// State of the simulation, shared by all policies.
pub struct Simulation {
    pub fleet: Fleet,
    pub scenario: Scenario,
    pub now: Duration,
    pub start: Instant,
    pub engines: Vec<Engine>,
    pub requests: Vec<Request>,
    pub outputs: Vec<(usize, Output)>,
    /// Available slot-seconds of all usable servers from the start up to each step.
    pub cumulative_capacity: Vec<f64>,
    pub evacuated: Option<(&'static str, Duration)>,
    pub sends_to_evacuated: u32,
}

impl Simulation {
    /// Returns the current simulated time as an instant of tokio's clock.
    pub fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Sends a request to an engine; an interrupted one continues after the tokens received.
    pub fn send(&mut self, server: usize, request: usize) {
        let tracked = &mut self.requests[request];
        tracked.attempts += 1;
        let remaining = tracked.spec.tokens as f64 - tracked.received;
        let prompt = tracked.spec.prompt as f64 + tracked.received;
        let job = Job {
            id: request as u64,
            prefill_s: prompt / PREFILL_TOKENS_PER_SECOND,
            tokens: 0.0,
            target_tokens: remaining.max(1.0),
            sent_at: self.now,
            first_token: None,
        };
        let centre = self.fleet.servers[server].data_centre.as_str();
        let is_late = |(evacuated, since): (&str, Duration)| {
            evacuated == centre && self.now > since + MAX_EVACUATION_DELAY
        };
        self.sends_to_evacuated += u32::from(self.evacuated.is_some_and(is_late));
        let outputs = self.engines[server].submit(self.now, job);
        self.outputs.extend(outputs.into_iter().map(|output| (server, output)));
    }

    pub fn refuse(&mut self, request: usize) {
        self.requests[request].refused = true;
    }

    fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(server) => self.engines[server].slowdown = 4.0,
            Fault::Stop(server) => {
                let outputs = self.engines[server].stop();
                self.outputs.extend(outputs.into_iter().map(|output| (server, output)));
            }
            Fault::Start(server) => self.engines[server].start(self.now),
            Fault::Evacuate(centre) => self.evacuated = Some((centre, self.now)),
            Fault::Restore => self.evacuated = None,
        }
    }

    fn record_capacity(&mut self) {
        let evacuated = self.evacuated.map(|(centre, _)| centre);
        let usable = self.engines.iter().zip(&self.fleet.servers).filter(|(engine, server)| {
            engine.is_up() && Some(server.data_centre.as_str()) != evacuated
        });
        let slots: f64 = usable.map(|(engine, _)| engine.slots as f64 / engine.slowdown).sum();
        let before = self.cumulative_capacity.last().copied().unwrap_or_default();
        self.cumulative_capacity.push(before + slots * STEP.as_secs_f64());
    }
}

enum Router {
    Product(Box<ProductPolicy>),
    Baseline(Baseline),
}

impl Router {
    fn handle_arrival(&mut self, simulation: &mut Simulation, request: usize) {
        match self {
            Self::Product(product) => product.handle_arrival(simulation, request, None),
            Self::Baseline(baseline) => baseline.handle_arrival(simulation, request),
        }
    }

    fn handle_output(&mut self, simulation: &mut Simulation, server: usize, output: &Output) {
        match self {
            Self::Product(product) => product.handle_output(simulation, server, output),
            Self::Baseline(baseline) => baseline.handle_output(simulation, server, output),
        }
    }

    fn step(&mut self, simulation: &mut Simulation) {
        match self {
            Self::Product(product) => product.step(simulation),
            Self::Baseline(baseline) => baseline.step(simulation),
        }
    }
}

/// Runs a scenario and returns its scores.
pub async fn run(deployment: Deployment, scenario: Scenario, policy: Policy, seed: u64) -> Scores {
    let fleet = Fleet::new(deployment);
    let faults = scenario.faults(&fleet);
    let requests = generate_arrivals(deployment, scenario, seed).into_iter().map(|spec| Request {
        spec,
        first_token: None,
        finished: None,
        refused: false,
        attempts: 0,
        received: 0.0,
        generated: 0.0,
    });
    let engine = |_| Engine::new(SLOTS as usize, COLD_LIMIT as usize);
    let mut simulation = Simulation {
        engines: fleet.servers.iter().map(engine).collect(),
        fleet,
        scenario,
        now: Duration::ZERO,
        start: Instant::now(),
        requests: requests.collect(),
        outputs: Vec::new(),
        cumulative_capacity: Vec::new(),
        evacuated: None,
        sends_to_evacuated: 0,
    };
    let mut router = match policy {
        Policy::Product => Router::Product(Box::new(ProductPolicy::new(&simulation))),
        Policy::RoundRobin | Policy::LeastLoaded => {
            Router::Baseline(Baseline::new(policy == Policy::LeastLoaded))
        }
    };
    let (mut next_fault, mut next_request) = (0, 0);
    while simulation.now < ARRIVAL_PERIOD + DRAIN_TIME {
        tokio::time::advance(STEP).await;
        simulation.now += STEP;
        while let Some((at, fault)) = faults.get(next_fault)
            && Duration::from_millis(*at) <= simulation.now
        {
            simulation.inject_fault(*fault);
            next_fault += 1;
        }
        while next_request < simulation.requests.len()
            && simulation.requests[next_request].spec.at <= simulation.now
        {
            router.handle_arrival(&mut simulation, next_request);
            next_request += 1;
        }
        step(&mut simulation, &mut router);
    }
    Scores::of(&simulation)
}

fn step(simulation: &mut Simulation, router: &mut Router) {
    simulation.record_capacity();
    for server in 0..simulation.engines.len() {
        let outputs = simulation.engines[server].step(simulation.now, STEP);
        simulation.outputs.extend(outputs.into_iter().map(|output| (server, output)));
    }
    while let Some((server, output)) = simulation.outputs.pop() {
        record_output(simulation, &output);
        router.handle_output(simulation, server, &output);
    }
    router.step(simulation);
}

/// Adds the result of an attempt to its request.
fn record_output(simulation: &mut Simulation, output: &Output) {
    let now = simulation.now;
    let (Output::Done(job) | Output::Failed(job)) = output;
    let request = &mut simulation.requests[job.id as usize];
    request.generated += job.tokens;
    request.received += job.tokens;
    request.first_token = request.first_token.or(job.first_token);
    if matches!(output, Output::Done(_)) {
        request.finished = Some(now);
    }
}
