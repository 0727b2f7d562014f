//! Fault plans: generation from a seed, and injection from outside the processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standins::Direction;

use super::history::{Change, Scope};
use super::world::{Cluster, DATA_CENTRES, Server};
use crate::support::{Fault as ServerFault, WAIT_TIMEOUT, wait_until};

/// Period during which faults start.
const FAULT_PERIOD: Duration = Duration::from_secs(12);
/// Fault-free time at the start, during which everything must work.
const WARM_UP: Duration = Duration::from_secs(1);
/// Fault-free time at the end; longer than any time bound, so that everything must work again.
pub const COOL_DOWN: Duration = Duration::from_secs(6);
/// Range of the time between the starts of two faults, in ms; some faults overlap and some come in
/// quick succession.
const FAULT_GAP_MS: std::ops::Range<u64> = 50..1_500;
/// Range of the duration of a fault, in ms.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..5_000;
/// Time for which a draining backend server continues to serve, and the entry of a restarted one
/// stays registered.
const DEPARTURE_DELAY: Duration = Duration::from_millis(2_600);

/// Time for which a backend server is cold after a restart.
const COLD_TIME: Duration = Duration::from_millis(3_000);
/// Time within which all instances learn that a running backend server became cold.
const PROPAGATION_TIME: Duration = Duration::from_millis(2_000);

/// A fault, or an action of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Kills a process with SIGKILL and restarts it.
    Kill,
    /// Stops a process with SIGTERM and restarts it.
    Terminate,
    /// Suspends a process with SIGSTOP.
    Freeze,
    /// Makes a process reload its settings with SIGHUP.
    Hangup,
    /// Stops forwarding between an instance and the store in both directions.
    StoreSilent,
    /// Stops forwarding from the store to an instance.
    StoreOneWay,
    /// Closes the connections between an instance and the store.
    StoreCut,
    /// Delays the traffic between an instance and the store.
    StoreLag,
    /// The store refuses all calls.
    StoreAway,
    /// The store executes calls, but its responses are lost.
    StoreLosing,
    /// The store compacts its history.
    StoreCompact,
    /// A backend server has a fault.
    ServerFails(ServerFault),
    /// All backend servers lose their responses.
    AllLoseAnswers,
    /// Stops forwarding between the instances and a backend server in both directions.
    ServerSilent,
    /// Closes the connections to a backend server.
    ServerCut,
    /// Restarts a backend server abruptly, under another name.
    ServerRestart,
    /// Drains a backend server and restarts it under another name.
    ServerDrain,
    /// Registers a running backend server as cold.
    ServerCold,
    /// Writes a new version of the configuration with the same keys.
    Configure,
    /// Replaces a key in the configuration.
    Withdraw,
    /// Evacuates a data centre.
    DataCentreOut,
}

const FAULTS: [Fault; 24] = [
    Fault::Kill,
    Fault::Terminate,
    Fault::Freeze,
    Fault::Hangup,
    Fault::StoreSilent,
    Fault::StoreOneWay,
    Fault::StoreCut,
    Fault::StoreLag,
    Fault::StoreAway,
    Fault::StoreLosing,
    Fault::StoreCompact,
    Fault::ServerFails(ServerFault::Full),
    Fault::ServerFails(ServerFault::LoseAnswer),
    Fault::ServerFails(ServerFault::CutStream),
    Fault::ServerFails(ServerFault::WrongAnswer),
    Fault::AllLoseAnswers,
    Fault::ServerSilent,
    Fault::ServerCut,
    Fault::ServerRestart,
    Fault::ServerDrain,
    Fault::ServerCold,
    Fault::Configure,
    Fault::Withdraw,
    Fault::DataCentreOut,
];

/// A step of a fault plan.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// Start of the fault, from the start of the run.
    at: Duration,
    /// Duration of the fault, if it has one.
    duration: Duration,
    /// Kind of the fault.
    fault: Fault,
    /// Selects the instance, backend server or data centre, modulo their number.
    target: usize,
}

/// Generates the plan of a seed.
pub fn generate_plan(seed: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = WARM_UP;
    let mut plan = Vec::new();
    while at < WARM_UP + FAULT_PERIOD {
        plan.push(Step {
            at,
            duration: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
            fault: FAULTS[rng.random_range(0..FAULTS.len())],
            target: rng.random_range(0..usize::MAX),
        });
        at += Duration::from_millis(rng.random_range(FAULT_GAP_MS));
    }
    plan
}

/// Injects the faults of a plan, then waits for the recovery period.
pub async fn inject(cluster: &Arc<Cluster>, plan: &[Step]) {
    let started = tokio::time::Instant::now();
    let steps = plan.iter().map(|step| {
        let (cluster, step) = (cluster.clone(), *step);
        tokio::spawn(async move {
            tokio::time::sleep_until(started + step.at).await;
            cluster.apply_step(step).await;
        })
    });
    for step in futures::future::join_all(steps.collect::<Vec<_>>()).await {
        step.expect("no step panicked");
    }
    tokio::time::sleep(COOL_DOWN).await;
}

impl Cluster {
    async fn apply_step(&self, step: Step) {
        let instance = step.target % self.instances.len();
        let server = &self.servers[step.target % self.servers.len()];
        let scope = match step.fault {
            Fault::Kill | Fault::Terminate | Fault::Freeze => Scope::Instance(instance),
            Fault::StoreSilent | Fault::StoreOneWay | Fault::StoreCut | Fault::StoreLag => {
                Scope::Instance(instance)
            }
            Fault::StoreAway | Fault::StoreLosing | Fault::StoreCompact => Scope::Store,
            _ => Scope::Server,
        };
        let disturbance = self.history.begin(scope);
        match step.fault {
            Fault::Kill | Fault::Terminate => self.restart(instance, step.fault).await,
            Fault::Freeze | Fault::Hangup => self.signal(instance, step).await,
            Fault::StoreSilent | Fault::StoreOneWay | Fault::StoreCut | Fault::StoreLag => {
                self.disturb_store_relay(instance, step).await;
            }
            Fault::StoreAway => {
                self.store.set_unavailable(true);
                tokio::time::sleep(step.duration).await;
                self.store.set_unavailable(false);
            }
            Fault::StoreLosing => {
                self.store.set_dropping_responses(true);
                tokio::time::sleep(step.duration).await;
                self.store.set_dropping_responses(false);
            }
            Fault::StoreCompact => self.store.compact(),
            Fault::ServerFails(fault) => {
                server.backend.set_fault(fault);
                tokio::time::sleep(step.duration).await;
                server.backend.set_fault(ServerFault::None);
            }
            Fault::AllLoseAnswers => {
                let set = |fault| self.servers.iter().for_each(|s| s.backend.set_fault(fault));
                set(ServerFault::LoseAnswer);
                tokio::time::sleep(step.duration).await;
                set(ServerFault::None);
            }
            Fault::ServerSilent => {
                server.relay.freeze(Direction::Both);
                tokio::time::sleep(step.duration).await;
                server.relay.thaw(Direction::Both);
            }
            Fault::ServerCut => server.relay.cut(),
            Fault::ServerRestart => self.restart_server(server, step, false).await,
            Fault::ServerDrain => self.restart_server(server, step, true).await,
            Fault::ServerCold => self.register_cold(server, step.duration, PROPAGATION_TIME),
            Fault::Configure => self.configure(|_| {}),
            Fault::Withdraw => self.configure(|keys| {
                let next = format!("guest-{}", step.target);
                keys.pop();
                keys.push(next);
            }),
            Fault::DataCentreOut => self.evacuate(step).await,
        }
        self.history.end(disturbance);
    }

    async fn restart(&self, number: usize, fault: Fault) {
        let mut instance = self.instances[number].lock().await;
        if fault == Fault::Kill {
            instance.kill();
        } else {
            instance.signal(Signal::TERM);
            let signalled_at = Instant::now();
            while !instance.has_ended() {
                assert!(signalled_at.elapsed() < WAIT_TIMEOUT, "instance {number} does not stop");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        self.history.lock().starts.push((number, Instant::now()));
        instance.restart();
        let deadline = Instant::now() + WAIT_TIMEOUT;
        // If the store is subject to a fault, the instance becomes ready later.
        while !instance.is_ready().await && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn signal(&self, number: usize, step: Step) {
        let instance = self.instances[number].lock().await;
        if step.fault == Fault::Hangup {
            instance.signal(Signal::HUP);
            return;
        }
        instance.signal(Signal::STOP);
        tokio::time::sleep(step.duration).await;
        instance.signal(Signal::CONT);
    }

    async fn disturb_store_relay(&self, number: usize, step: Step) {
        let relay = &self.store_relays[number];
        match step.fault {
            Fault::StoreCut => relay.cut(),
            Fault::StoreLag => {
                relay.delay(Duration::from_millis(300));
                tokio::time::sleep(step.duration).await;
                relay.delay(Duration::ZERO);
            }
            _ => {
                let direction = match step.fault {
                    Fault::StoreOneWay => Direction::ToCaller,
                    _ => Direction::Both,
                };
                relay.freeze(direction);
                tokio::time::sleep(step.duration).await;
                relay.thaw(direction);
            }
        }
    }

    /// Restarts a backend server under another name, either abruptly or after it was drained.
    async fn restart_server(&self, server: &Server, step: Step, is_graceful: bool) {
        let former = server.backend.name();
        let name = format!("{former}-{}", step.target % 1_000);
        if is_graceful {
            let mut entry = server.entry(Duration::ZERO);
            entry["state"] = "draining".into();
            self.store.put("servers", &former, entry);
            self.record_departure(&former);
            tokio::time::sleep(DEPARTURE_DELAY).await;
        }
        server.relay.cut();
        server.backend.rename(&name);
        self.register_cold(server, COLD_TIME, Duration::ZERO);
        if !is_graceful {
            tokio::time::sleep(DEPARTURE_DELAY).await;
            self.record_departure(&former);
        }
        self.store.delete("servers", &former);
    }

    fn record_departure(&self, name: &str) {
        let departure = Change { name: name.to_owned(), at: Instant::now(), until: None };
        self.history.lock().departed.push(departure);
    }

    /// Registers a backend server as cold; all instances must know after `propagation`.
    ///
    /// The entry states the end of the longest of its cold periods, as they may overlap.
    fn register_cold(&self, server: &Server, time: Duration, propagation: Duration) {
        let name = server.backend.name();
        let now = Instant::now();
        let mut history = self.history.lock();
        let periods = history.cold.iter().filter(|known| known.name == name);
        let known_end = periods.filter_map(|known| known.until).max();
        let end = known_end.map_or(now + time, |known_end| known_end.max(now + time));
        let entry = server.entry(end.saturating_duration_since(now));
        self.store.put("servers", &name, entry);
        history.cold.push(Change { name, at: now + propagation, until: Some(end) });
    }

    async fn evacuate(&self, step: Step) {
        let number = step.target % DATA_CENTRES.len();
        let name = DATA_CENTRES[number];
        let _guard = self.evacuation_locks[number].lock().await;
        self.store.put("evacuations", name, serde_json::json!({}));
        let evacuation = Change { name: name.to_owned(), at: Instant::now(), until: None };
        let index = {
            let mut history = self.history.lock();
            history.evacuated.push(evacuation);
            history.evacuated.len() - 1
        };
        tokio::time::sleep(step.duration * 2).await;
        self.history.lock().evacuated[index].until = Some(Instant::now());
        self.store.delete("evacuations", name);
    }

    /// Waits until all instances are ready again.
    pub async fn wait_until_ready(&self) {
        for instance in &self.instances {
            let instance = instance.lock().await;
            wait_until("the instance is ready", || instance.is_ready()).await;
        }
    }
}
