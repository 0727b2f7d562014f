//! Runs a scenario against instances as processes and checks what it expects.

use std::collections::BTreeMap;
use std::time::Duration;

use reqwest::Method;
use serde_json::Value;
use standins::EngineSettings;
use standins::scenario::{
    Action, EngineAction, Expectation, Placed, ProcessAction, RouteTarget, Scenario, Side,
    Statement, Traffic,
};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller::{self, Answer, Caller, user};
use super::fleet::{IssuedKey, place};
use super::{Fleet, FleetSettings, Sheet};

/// One request that was sent.
struct Sent {
    traffic: String,
    /// Time from the start of the scenario.
    at: Duration,
    prompt: String,
    tokens: u64,
    chat: bool,
    idempotency_key: String,
    answer: Answer,
}

/// A scenario under way.
struct Run<'a> {
    scenario: &'a Scenario,
    fleet: Fleet,
    keys: BTreeMap<String, IssuedKey>,
    sent: Vec<Sent>,
    /// Requests that a backend server had received at the time of its expectation.
    received: BTreeMap<(String, Duration), usize>,
}

/// Runs a scenario; returns what does not hold.
pub async fn run(scenario: &Scenario) -> Vec<String> {
    let fleet = Fleet::start(settings(scenario)).await;
    let at = fleet.instances.keys().next().expect("a scenario has an instance").clone();
    let mut keys = BTreeMap::new();
    for traffic in traffics(scenario) {
        keys.insert(traffic.name.clone(), fleet.issue(&at, &traffic.organisation).await);
    }
    let (sent, received) = (Vec::new(), BTreeMap::new());
    let mut run = Run { scenario, fleet, keys, sent, received };
    run.play().await;
    let mut broken = Vec::new();
    for (line, statement) in &scenario.statements {
        if let Statement::Expect(expectation) = statement {
            let problems = run.judge(expectation);
            broken.extend(problems.into_iter().map(|problem| format!("line {line}: {problem}")));
        }
    }
    broken
}

fn traffics(scenario: &Scenario) -> impl Iterator<Item = &Traffic> {
    scenario.statements.iter().filter_map(|(_, statement)| match statement {
        Statement::Traffic(traffic) => Some(traffic),
        _ => None,
    })
}

/// Builds the fleet that a scenario describes.
fn settings(scenario: &Scenario) -> FleetSettings {
    let mut settings = FleetSettings {
        instances: Vec::new(),
        engines: Vec::new(),
        plains: Vec::new(),
        sheet: Sheet::default(),
        ..Default::default()
    };
    let mut data_centres = Vec::new();
    let mut routes = Vec::new();
    for (_, statement) in &scenario.statements {
        match statement {
            Statement::Instance(Placed { name, data_centre }) => {
                settings.instances.push((name.clone(), data_centre.clone()));
                data_centres.push(data_centre);
            }
            Statement::Engine { placed, route, slots, gap, cold } => {
                let (cold_start, cold_limit) = cold.unwrap_or((Duration::ZERO, *slots));
                let engine = EngineSettings {
                    slots: *slots as usize,
                    token_gap: *gap,
                    cold_start,
                    cold_limit: cold_limit as usize,
                    ..Default::default()
                };
                settings.engines.push((place(&placed.name, &placed.data_centre, route), engine));
                data_centres.push(&placed.data_centre);
            }
            Statement::Plain { placed, route } => {
                settings.plains.push(place(&placed.name, &placed.data_centre, route));
                data_centres.push(&placed.data_centre);
            }
            Statement::Route { name, .. } => routes.push(name.as_str()),
            _ => {}
        }
    }
    data_centres.sort();
    data_centres.dedup();
    let sheet = data_centres.iter().fold(settings.sheet, |s, name| s.data_centre(name, "region"));
    settings.sheet = sheet_rows(scenario, sheet, &routes.join(" "));
    settings
}

fn sheet_rows(scenario: &Scenario, sheet: Sheet, routes: &str) -> Sheet {
    scenario.statements.iter().fold(sheet, |sheet, (_, statement)| match statement {
        Statement::Class { name, tier, share, non_idempotent } => {
            sheet.class(name, &tier.to_string(), &share.to_string(), !non_idempotent)
        }
        Statement::Route { name, target: RouteTarget::Model(model), class } => {
            sheet.model_route(name, model, class)
        }
        Statement::Route { name, target: RouteTarget::Prefix(prefix), class } => {
            sheet.prefix_route(name, prefix, class)
        }
        Statement::Organisation(name) => sheet.organisation(name, routes),
        _ => sheet,
    })
}

impl Run<'_> {
    /// Sends the traffic, does the actions at their times and waits for all answers.
    async fn play(&mut self) {
        let start = Instant::now();
        let mut sending = JoinSet::new();
        for traffic in traffics(self.scenario) {
            let caller = self.fleet.caller(&traffic.instance, &self.keys[&traffic.name]);
            let target = self.target(&traffic.route);
            sending.spawn(send_all(traffic.clone(), caller, target, start));
        }
        for (at, step) in self.steps() {
            tokio::time::sleep_until(start + at).await;
            match step {
                Step::Do(action) => self.act(&action).await,
                Step::Count(server) => {
                    let count = self.received_by(&server);
                    self.received.insert((server, at), count);
                }
            }
        }
        while let Some(sent) = sending.join_next().await {
            self.sent.extend(sent.expect("the traffic failed"));
        }
    }

    fn target(&self, route: &str) -> RouteTarget {
        let routes = self.scenario.statements.iter().filter_map(|(_, statement)| match statement {
            Statement::Route { name, target, .. } => Some((name, target)),
            _ => None,
        });
        let mut routes = routes.filter(|(name, _)| *name == route);
        routes.next().expect("names are checked").1.clone()
    }

    /// Returns the actions, and the looks that expectations need, in order of time.
    fn steps(&self) -> Vec<(Duration, Step)> {
        let steps = self.scenario.statements.iter().filter_map(|(_, statement)| match statement {
            Statement::At(at, action) => Some((*at, Step::Do(action.clone()))),
            Statement::Expect(Expectation::IdleFrom(server, at)) => {
                Some((*at, Step::Count(server.clone())))
            }
            _ => None,
        });
        let mut steps: Vec<_> = steps.collect();
        steps.sort_by_key(|(at, _)| *at);
        steps
    }

    async fn act(&mut self, action: &Action) {
        match action {
            Action::Process(action, name) => {
                let instance = self.fleet.instances.get_mut(name).expect("names are checked");
                match action {
                    ProcessAction::Kill => instance.kill().await,
                    ProcessAction::Restart => instance.restart(),
                    ProcessAction::Freeze => instance.freeze(),
                    ProcessAction::Thaw => instance.thaw(),
                    ProcessAction::Stop => instance.stop(),
                }
            }
            Action::Cut(true, name, Side::Platform) => self.fleet.cut_from_platform(name),
            Action::Cut(false, name, Side::Platform) => self.fleet.join_platform(name),
            Action::Cut(true, name, Side::Peers) => self.fleet.cut_from_peers(name),
            Action::Cut(false, name, Side::Peers) => self.fleet.join_peers(name),
            Action::Engine(name, EngineAction::Crash) => self.fleet.engines[name].crash(),
            Action::Engine(name, EngineAction::TurnCold) => self.fleet.engines[name].turn_cold(),
            Action::Engine(name, EngineAction::Faults(faults)) => {
                self.fleet.engines[name].set_faults(faults.clone());
            }
            Action::Plain(name, faults) => self.fleet.plains[name].set_faults(faults.clone()),
            Action::Platform(faults) => self.fleet.platform.set_faults(faults.clone()),
            Action::Withdraw(traffic, at) => {
                self.fleet.instances[at].withdraw(&self.keys[traffic].id).await;
            }
            Action::DataCentre(name, on, at) => {
                self.fleet.instances[at].set_data_centre(name, *on).await;
            }
            Action::BackendServer(name, on, at) => {
                self.fleet.instances[at].set_backend_server(name, *on).await;
            }
        }
    }

    fn received_by(&self, server: &str) -> usize {
        let engine = self.fleet.engines.get(server).map(|engine| engine.received().len());
        engine.unwrap_or_else(|| self.fleet.plains[server].received().len())
    }

    /// Returns why an expectation does not hold.
    fn judge(&self, expectation: &Expectation) -> Vec<String> {
        match expectation {
            Expectation::WholeAtLeast(traffic, least) => {
                let whole = self.of(traffic).filter(|sent| sent.answer.looks_whole()).count();
                let missing = whole < *least as usize;
                let answers = || self.of(traffic).map(describe).collect::<Vec<_>>().join(", ");
                missing
                    .then(|| format!("{whole} whole of {least}: {}", answers()))
                    .into_iter()
                    .collect()
            }
            Expectation::RefusedFrom(traffic, code, from) => {
                let late = self.of(traffic).filter(|sent| sent.at >= *from);
                let wrong =
                    |sent: &&Sent| sent.answer.code() != code || sent.answer.ran() != "not_run";
                late.filter(wrong).map(|sent| format!("not refused: {}", describe(sent))).collect()
            }
            Expectation::IdleFrom(server, from) => {
                let before = self.received[&(server.clone(), *from)];
                let more = self.received_by(server) - before;
                (more > 0).then(|| format!("{server} received {more} more")).into_iter().collect()
            }
            Expectation::NeverWrong => self.sent.iter().filter_map(wrong).collect(),
            Expectation::NeverDoubled => self.doubled(),
            Expectation::NeverFalseNotRun => self.false_not_run(),
        }
    }

    fn of<'a>(&'a self, traffic: &'a str) -> impl Iterator<Item = &'a Sent> + 'a {
        self.sent.iter().filter(move |sent| sent.traffic == traffic)
    }

    fn doubled(&self) -> Vec<String> {
        let counts = self.fleet.runs_by_idempotency_key();
        let doubled = counts.iter().filter(|(_, count)| **count > 1);
        doubled.map(|(key, count)| format!("{key} ran {count} times")).collect()
    }

    /// Finds requests that ran although all answers to them said that they did not.
    fn false_not_run(&self) -> Vec<String> {
        let by_request = self.fleet.runs_by_request();
        let refused = self.sent.iter().filter(|sent| sent.answer.ran() == "not_run");
        let ran = refused.filter(|sent| by_request.contains_key(&sent.answer.request_id));
        ran.map(|sent| format!("ran: {}", describe(sent))).collect()
    }
}

/// A step of a scenario.
enum Step {
    Do(Action),
    Count(String),
}

/// Sends the requests of one traffic at their times and collects the answers.
async fn send_all(
    traffic: Traffic,
    caller: Caller,
    target: RouteTarget,
    start: Instant,
) -> Vec<Sent> {
    let mut sending = JoinSet::new();
    for number in 0..traffic.count {
        let due = start + traffic.every * number as u32;
        tokio::time::sleep_until(due).await;
        for _ in 0..traffic.copies {
            let (traffic, caller, target) = (traffic.clone(), caller.clone(), target.clone());
            sending.spawn(send_one(traffic, number, caller, target, start));
        }
    }
    sending.join_all().await
}

async fn send_one(
    traffic: Traffic,
    number: u64,
    caller: Caller,
    target: RouteTarget,
    start: Instant,
) -> Sent {
    let at = start.elapsed();
    let prompt = format!("{} number {number}", traffic.name);
    let idempotency_key = format!("{}-{number}", traffic.name);
    let (chat, answer) = match target {
        RouteTarget::Model(model) => {
            let mut body =
                caller::chat_body(&user(&prompt), traffic.tokens, number.is_multiple_of(2));
            body["model"] = model.into();
            (true, caller::read(caller.chat_request(&body)).await)
        }
        RouteTarget::Prefix(prefix) => {
            let req = caller.request(Method::POST, &prefix).body(prompt.clone());
            let req = req.header("idempotency-key", &idempotency_key);
            (false, caller::read(req).await)
        }
    };
    let tokens = traffic.tokens;
    Sent { traffic: traffic.name, at, prompt, tokens, chat, idempotency_key, answer }
}

/// Returns what is wrong with an answer that looks whole, or with one that is neither.
fn wrong(sent: &Sent) -> Option<String> {
    let Sent { answer, prompt, .. } = sent;
    let right = if !answer.looks_whole() {
        answer.broken || !answer.code().is_empty()
    } else if sent.chat {
        answer.is_whole(&user(prompt), sent.tokens)
    } else {
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        body["body"] == **prompt && body["idempotency_key"] == *sent.idempotency_key
    };
    (!right).then(|| format!("wrong: {}", describe(sent)))
}

fn describe(sent: &Sent) -> String {
    let Sent { at, idempotency_key, answer, .. } = sent;
    let Answer { status, broken, request_id, .. } = answer;
    let (code, ran) = (answer.code(), answer.ran());
    let broken = if *broken { " broken" } else { "" };
    format!("{idempotency_key} at {at:?}: {status}{broken} {code} {ran} {request_id}")
}
