//! A small line-based language for failure scenarios.
//!
//! Each line is one statement; `#` starts a comment. A scenario says which instances, backend
//! servers and sheet rows there are, what traffic runs, which faults happen when, and what must
//! hold at the end:
//!
//! ```text
//! instance i1 in north-a
//! class standard tier 2 share 20
//! route timing model timing-model class standard
//! organisation shobdo
//! engine e1 in north-a serves timing slots 4 gap 5ms
//! traffic cues for shobdo to timing at i1 every 20ms count 50 tokens 8
//! at 500ms engine e1 crash
//! expect cues whole at-least 40
//! expect never wrong
//! ```

mod check;
mod faults;
mod parse;
mod words;

use std::time::Duration;

/// A scenario with all its statements in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Scenario {
    /// The statements with their line numbers, from 1.
    pub statements: Vec<(usize, Statement)>,
}

/// A line that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadLine {
    /// The line number, from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl std::fmt::Display for BadLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// Returns every line that can't be used.
    pub fn read(text: &str) -> Result<Self, Vec<BadLine>> {
        let mut scenario = Self::default();
        let mut bad = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            match parse::statement(line) {
                Ok(statement) => scenario.statements.push((index + 1, statement)),
                Err(reason) => bad.push(BadLine { line: index + 1, reason }),
            }
        }
        if bad.is_empty() {
            bad = check::check(&scenario);
        }
        if bad.is_empty() { Ok(scenario) } else { Err(bad) }
    }
}

/// One statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// `instance NAME in DATA-CENTRE`
    Instance(Placed),
    /// `class NAME tier TIER share PERCENT [non-idempotent]`
    Class {
        /// The name.
        name: String,
        /// The tier; 0 is the highest.
        tier: u64,
        /// The promised share in percent.
        share: u64,
        /// Whether its requests must run at most once.
        non_idempotent: bool,
    },
    /// `route NAME model MODEL class CLASS` or `route NAME prefix PATH class CLASS`
    Route {
        /// The name.
        name: String,
        /// What it leads to.
        target: RouteTarget,
        /// The class of its requests.
        class: String,
    },
    /// `organisation NAME`; all routes are granted to it.
    Organisation(String),
    /// `engine NAME in DATA-CENTRE serves ROUTE [slots N] [gap TIME] [cold TIME limit N]`
    Engine {
        /// Its name and data centre.
        placed: Placed,
        /// The route that it serves.
        route: String,
        /// Requests that it runs at once.
        slots: u64,
        /// Time between tokens.
        gap: Duration,
        /// Time until it is warm, and the requests that it bears until then.
        cold: Option<(Duration, u64)>,
    },
    /// `plain NAME in DATA-CENTRE serves ROUTE`
    Plain {
        /// Its name and data centre.
        placed: Placed,
        /// The route that it serves.
        route: String,
    },
    /// `traffic NAME for ORGANISATION to ROUTE at INSTANCE every TIME count N [tokens N]
    /// [copies N]`
    Traffic(Traffic),
    /// `at TIME ACTION`
    At(Duration, Action),
    /// `expect ...`
    Expect(Expectation),
}

/// A name in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
}

/// What a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// A model.
    Model(String),
    /// A path prefix.
    Prefix(String),
}

/// Requests of one organisation with a key of their own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Traffic {
    /// The name.
    pub name: String,
    /// The organisation.
    pub organisation: String,
    /// The route.
    pub route: String,
    /// The instance that receives them.
    pub instance: String,
    /// Time between two requests.
    pub every: Duration,
    /// Number of requests.
    pub count: u64,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Requests sent at once with the same idempotency key.
    pub copies: u64,
}

/// What happens at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// `kill INSTANCE`, `restart`, `freeze`, `thaw` or `stop` (gracefully)
    Process(ProcessAction, String),
    /// `cut INSTANCE from platform|peers` (true) or `join INSTANCE to platform|peers` (false)
    Cut(bool, String, Side),
    /// `engine NAME FAULT`
    Engine(String, EngineAction),
    /// `plain NAME FAULT`
    Plain(String, crate::PlainFaults),
    /// `platform FAULT`
    Platform(crate::PlatformFaults),
    /// `withdraw TRAFFIC at INSTANCE`: withdraws the key of the traffic.
    Withdraw(String, String),
    /// `data-centre NAME out|in at INSTANCE`
    DataCentre(String, bool, String),
    /// `backend-server NAME out|in at INSTANCE`
    BackendServer(String, bool, String),
}

/// What is done to the process of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessAction {
    /// End it at once.
    Kill,
    /// Start it again.
    Restart,
    /// Stop it from running.
    Freeze,
    /// Let it go on.
    Thaw,
    /// Ask it to shut down gracefully.
    Stop,
}

/// What an instance is cut off from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The platform.
    Platform,
    /// The other instances.
    Peers,
}

/// What is done to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineAction {
    /// It drops all connections and starts again.
    Crash,
    /// It becomes cold.
    TurnCold,
    /// It has these faults from then on.
    Faults(crate::EngineFaults),
}

/// What must hold at the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expectation {
    /// `expect TRAFFIC whole at-least N`
    WholeAtLeast(String, u64),
    /// `expect TRAFFIC refused CODE from TIME`: every request sent from then on, before it runs.
    RefusedFrom(String, String, Duration),
    /// `expect SERVER idle from TIME`: it receives no request from then on.
    IdleFrom(String, Duration),
    /// `expect never wrong`: no answer that looks whole is cut, crossed or another's.
    NeverWrong,
    /// `expect never doubled`: no idempotency key runs twice.
    NeverDoubled,
    /// `expect never false-not-run`: nothing runs that was refused as not run.
    NeverFalseNotRun,
}
