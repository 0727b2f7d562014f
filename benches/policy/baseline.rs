//! The baselines: round robin and least loaded by late reports, each with the engine's own line.

use super::engine::Output;
use super::run::World;

/// Attempts that a request has.
const ATTEMPTS: u32 = 3;

pub struct Baseline {
    least_loaded: bool,
    turns: [usize; 9],
}

impl Baseline {
    pub fn new(least_loaded: bool) -> Self {
        Self { least_loaded, turns: std::array::from_fn(|entry| entry) }
    }

    pub fn arrive(&mut self, world: &mut World, request: usize) {
        let entry = world.requests[request].arriving.entry;
        let out = world.out.map(|(centre, _)| centre);
        let count = world.fleet.servers.len();
        let usable: Vec<usize> = (0..count)
            .filter(|server| Some(world.fleet.servers[*server].data_centre.as_str()) != out)
            .collect();
        self.turns[entry] += 1;
        let turn = usable[self.turns[entry] % usable.len()];
        let server = if self.least_loaded { least_loaded(world, &usable, turn) } else { turn };
        world.send(server, request);
    }

    /// A request that got nothing yet is tried again; one that was cut fails.
    pub fn ended(&mut self, world: &mut World, _server: usize, output: &Output) {
        let Output::Failed(job) = output else { return };
        let request = job.id as usize;
        let tracked = &world.requests[request];
        if tracked.received == 0.0 && tracked.attempts < ATTEMPTS {
            self.arrive(world, request);
        } else {
            world.refuse(request);
        }
    }

    pub fn step(&mut self, _world: &mut World) {}
}

fn least_loaded(world: &World, usable: &[usize], turn: usize) -> usize {
    let lag = world.scene.lag();
    let held = |server: usize| {
        let report = world.engines[server].report(world.now, lag);
        report.map_or(if world.engines[server].is_up() { 0 } else { u32::MAX }, |load| {
            load.running + load.waiting
        })
    };
    let count = world.engines.len();
    let nearest = |server: usize| (server + count - turn) % count;
    usable.iter().copied().min_by_key(|server| (held(*server), nearest(*server))).unwrap_or(turn)
}
