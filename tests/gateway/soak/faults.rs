//! The faults of a run: drawn from the seed, then played from outside the processes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standins::Direction;

use super::history::{Change, Whom};
use super::world::{DATA_CENTRES, Server, World};
use crate::support::{Fault as ServerFault, PATIENCE, eventually};

/// Time in which faults begin.
const FAULTS_FOR: Duration = Duration::from_secs(12);
/// Calm time at the start, in which everything must work.
const CALM_BEFORE: Duration = Duration::from_secs(1);
/// Calm time at the end; it is longer than any bound, so that all must work again.
pub const CALM_AFTER: Duration = Duration::from_secs(6);
/// Pause between the beginnings of two faults, in ms; some overlap and some come in a series.
const GAP_MS: std::ops::Range<u64> = 50..1_500;
/// How long a fault lasts, in ms.
const LASTS_MS: std::ops::Range<u64> = 200..5_000;
/// Time that a draining backend server goes on serving, and a former entry stays listed.
const LEAVES_AFTER: Duration = Duration::from_millis(2_600);

/// Time for which a backend server is cold after its start.
const COLD_START: Duration = Duration::from_millis(3_000);
/// Time in which the news of a server that became cold again reaches instances.
const NEWS_TAKES: Duration = Duration::from_millis(2_000);

/// One thing that goes wrong, or that an operator does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Terminate,
    Freeze,
    Hangup,
    StoreSilent,
    StoreOneWay,
    StoreCut,
    StoreLag,
    StoreAway,
    StoreLosing,
    StoreCompact,
    ServerFails(ServerFault),
    AllLoseAnswers,
    ServerSilent,
    ServerCut,
    ServerRestart,
    ServerDrain,
    ServerCold,
    Configure,
    Withdraw,
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

/// A fault of a plan.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// When it begins, from the start of the run.
    at: Duration,
    /// How long it lasts, where that fits.
    lasts: Duration,
    /// What it is.
    fault: Fault,
    /// Which instance or backend server it meets.
    target: usize,
}

/// Draws the plan of a seed.
pub fn draw_plan(seed: u64) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = CALM_BEFORE;
    let mut plan = Vec::new();
    while at < CALM_BEFORE + FAULTS_FOR {
        plan.push(Step {
            at,
            lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            fault: FAULTS[rng.random_range(0..FAULTS.len())],
            target: rng.random_range(0..usize::MAX),
        });
        at += Duration::from_millis(rng.random_range(GAP_MS));
    }
    plan
}

/// Plays a plan, then waits for the calm at the end.
pub async fn play(world: &Arc<World>, plan: &[Step]) {
    let started = tokio::time::Instant::now();
    let steps = plan.iter().map(|step| {
        let (world, step) = (world.clone(), *step);
        tokio::spawn(async move {
            tokio::time::sleep_until(started + step.at).await;
            world.meet(step).await;
        })
    });
    for step in futures::future::join_all(steps.collect::<Vec<_>>()).await {
        step.expect("a step was played");
    }
    tokio::time::sleep(CALM_AFTER).await;
}

impl World {
    async fn meet(&self, step: Step) {
        let instance = step.target % self.instances.len();
        let server = &self.servers[step.target % self.servers.len()];
        let whom = match step.fault {
            Fault::Kill | Fault::Terminate | Fault::Freeze => Whom::Instance(instance),
            Fault::StoreSilent | Fault::StoreOneWay | Fault::StoreCut | Fault::StoreLag => {
                Whom::Instance(instance)
            }
            Fault::StoreAway | Fault::StoreLosing | Fault::StoreCompact => Whom::Store,
            _ => Whom::Server,
        };
        let trouble = self.book.begin(whom);
        match step.fault {
            Fault::Kill | Fault::Terminate => self.restart(instance, step.fault).await,
            Fault::Freeze | Fault::Hangup => self.signal(instance, step).await,
            Fault::StoreSilent | Fault::StoreOneWay | Fault::StoreCut | Fault::StoreLag => {
                self.trouble_way(instance, step).await;
            }
            Fault::StoreAway => {
                self.store.set_away(true);
                tokio::time::sleep(step.lasts).await;
                self.store.set_away(false);
            }
            Fault::StoreLosing => {
                self.store.set_losing(true);
                tokio::time::sleep(step.lasts).await;
                self.store.set_losing(false);
            }
            Fault::StoreCompact => self.store.compact(),
            Fault::ServerFails(fault) => {
                server.runner.set_fault(fault);
                tokio::time::sleep(step.lasts).await;
                server.runner.set_fault(ServerFault::None);
            }
            Fault::AllLoseAnswers => {
                let set = |fault| self.servers.iter().for_each(|s| s.runner.set_fault(fault));
                set(ServerFault::LoseAnswer);
                tokio::time::sleep(step.lasts).await;
                set(ServerFault::None);
            }
            Fault::ServerSilent => {
                server.way.freeze(Direction::Both);
                tokio::time::sleep(step.lasts).await;
                server.way.thaw(Direction::Both);
            }
            Fault::ServerCut => server.way.cut(),
            Fault::ServerRestart => self.restart_server(server, step, false).await,
            Fault::ServerDrain => self.restart_server(server, step, true).await,
            Fault::ServerCold => self.list_cold(server, step.lasts, NEWS_TAKES),
            Fault::Configure => self.configure(|_| {}),
            Fault::Withdraw => self.configure(|keys| {
                let next = format!("guest-{}", step.target);
                keys.pop();
                keys.push(next);
            }),
            Fault::DataCentreOut => self.take_out(step).await,
        }
        self.book.end(trouble);
    }

    async fn restart(&self, number: usize, fault: Fault) {
        let mut instance = self.instances[number].lock().await;
        if fault == Fault::Kill {
            instance.kill();
        } else {
            instance.signal(Signal::TERM);
            let told = Instant::now();
            while !instance.has_ended() {
                assert!(told.elapsed() < PATIENCE, "instance {number} does not stop");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        self.book.open().starts.push((number, Instant::now()));
        instance.restart();
        let deadline = Instant::now() + PATIENCE;
        // The store may be in trouble; then it is ready later.
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
        tokio::time::sleep(step.lasts).await;
        instance.signal(Signal::CONT);
    }

    async fn trouble_way(&self, number: usize, step: Step) {
        let way = &self.ways[number];
        match step.fault {
            Fault::StoreCut => way.cut(),
            Fault::StoreLag => {
                way.delay(Duration::from_millis(300));
                tokio::time::sleep(step.lasts).await;
                way.delay(Duration::ZERO);
            }
            _ => {
                let direction = match step.fault {
                    Fault::StoreOneWay => Direction::ToCaller,
                    _ => Direction::Both,
                };
                way.freeze(direction);
                tokio::time::sleep(step.lasts).await;
                way.thaw(direction);
            }
        }
    }

    /// Lets a backend server leave, at once or after it drained, and come back under another name.
    async fn restart_server(&self, server: &Server, step: Step, drains: bool) {
        let former = server.runner.name();
        let name = format!("{former}-{}", step.target % 1_000);
        if drains {
            let mut entry = server.entry(Duration::ZERO);
            entry["state"] = "draining".into();
            self.store.put("servers", &former, entry);
            self.note_left(&former);
            tokio::time::sleep(LEAVES_AFTER).await;
        }
        server.way.cut();
        server.runner.rename(&name);
        self.list_cold(server, COLD_START, Duration::ZERO);
        if !drains {
            tokio::time::sleep(LEAVES_AFTER).await;
            self.note_left(&former);
        }
        self.store.delete("servers", &former);
    }

    fn note_left(&self, name: &str) {
        let left = Change { name: name.to_owned(), at: Instant::now(), until: None };
        self.book.open().left.push(left);
    }

    /// Lists a backend server as cold; all instances must know after a while.
    fn list_cold(&self, server: &Server, time: Duration, known_after: Duration) {
        let name = server.runner.name();
        let now = Instant::now();
        self.store.put("servers", &name, server.entry(time));
        let cold = Change { name, at: now + known_after, until: Some(now + time) };
        self.book.open().cold.push(cold);
    }

    async fn take_out(&self, step: Step) {
        let number = step.target % DATA_CENTRES.len();
        let name = DATA_CENTRES[number];
        let _order = self.outs[number].lock().await;
        self.store.put("evacuations", name, serde_json::json!({}));
        let out = Change { name: name.to_owned(), at: Instant::now(), until: None };
        let number = {
            let mut history = self.book.open();
            history.out.push(out);
            history.out.len() - 1
        };
        tokio::time::sleep(step.lasts * 2).await;
        self.book.open().out[number].until = Some(Instant::now());
        self.store.delete("evacuations", name);
    }

    /// Waits until all instances are ready again.
    pub async fn settle(&self) {
        for instance in &self.instances {
            let instance = instance.lock().await;
            eventually("the instance is ready", || instance.is_ready()).await;
        }
    }
}
