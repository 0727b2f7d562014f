//! Baseline policies without admission control: requests queue in the engine.
//!
//! Round robin ignores load; least loaded uses delayed load reports.

use super::engine::Output;
use super::run::Simulation;

/// Sends of one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// A baseline policy; `next_turns` has one round-robin position for each entry instance.
pub struct Baseline {
    least_loaded: bool,
    next_turns: [usize; 9],
}

impl Baseline {
    pub fn new(least_loaded: bool) -> Self {
        Self { least_loaded, next_turns: std::array::from_fn(|entry| entry) }
    }

    pub fn handle_arrival(&mut self, simulation: &mut Simulation, request: usize) {
        let entry = simulation.requests[request].spec.entry;
        let evacuated = simulation.evacuated.map(|(centre, _)| centre);
        let count = simulation.fleet.servers.len();
        let usable: Vec<usize> = (0..count)
            .filter(|server| {
                Some(simulation.fleet.servers[*server].data_centre.as_str()) != evacuated
            })
            .collect();
        self.next_turns[entry] += 1;
        let turn = usable[self.next_turns[entry] % usable.len()];
        let server = if self.least_loaded { least_loaded(simulation, &usable, turn) } else { turn };
        simulation.send(server, request);
    }

    /// Retries a failed request that has produced no output; fails an interrupted one.
    pub fn handle_output(&mut self, simulation: &mut Simulation, _server: usize, output: &Output) {
        let Output::Failed(job) = output else { return };
        let request = job.id as usize;
        let tracked = &simulation.requests[request];
        if tracked.received == 0.0 && tracked.attempts < MAX_ATTEMPTS {
            self.handle_arrival(simulation, request);
        } else {
            simulation.refuse(request);
        }
    }

    pub fn step(&mut self, _simulation: &mut Simulation) {}
}

fn least_loaded(simulation: &Simulation, usable: &[usize], turn: usize) -> usize {
    let lag = simulation.scenario.report_lag();
    let load = |server: usize| {
        let report = simulation.engines[server].report(simulation.now, lag);
        report
            .map_or(if simulation.engines[server].is_up() { 0 } else { u32::MAX }, |engine_load| {
                engine_load.running + engine_load.waiting
            })
    };
    let count = simulation.engines.len();
    let distance = |server: usize| (server + count - turn) % count;
    usable.iter().copied().min_by_key(|server| (load(*server), distance(*server))).unwrap_or(turn)
}
