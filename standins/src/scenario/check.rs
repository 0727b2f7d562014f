//! Rules between the statements: every name that is used exists, and none exists twice.

use std::collections::BTreeSet;

use super::{Action, BadLine, Expectation, Scenario, Statement};

/// What a name stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Instance,
    Class,
    Route,
    Organisation,
    Engine,
    Plain,
    Traffic,
    DataCentre,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Class => "class",
            Self::Route => "route",
            Self::Organisation => "organisation",
            Self::Engine => "engine",
            Self::Plain => "plain service",
            Self::Traffic => "traffic",
            Self::DataCentre => "data centre",
        }
    }
}

/// Returns every line that breaks a rule.
pub(super) fn check(scenario: &Scenario) -> Vec<BadLine> {
    let mut names = BTreeSet::new();
    let mut bad = Vec::new();
    for (line, statement) in &scenario.statements {
        if let Some((kind, name)) = defined(statement)
            && !names.insert((kind, name))
        {
            let reason = format!("the {} \"{name}\" exists already", kind.as_str());
            bad.push(BadLine { line: *line, reason });
        }
        names.extend(data_centre(statement).map(|name| (Kind::DataCentre, name)));
    }
    for (line, statement) in &scenario.statements {
        for (kinds, name) in used(statement) {
            if !kinds.iter().any(|kind| names.contains(&(*kind, name))) {
                let what: Vec<&str> = kinds.iter().map(|kind| kind.as_str()).collect();
                let reason = format!("there is no {} \"{name}\"", what.join(" or "));
                bad.push(BadLine { line: *line, reason });
            }
        }
    }
    bad.sort_by_key(|bad| bad.line);
    bad
}

fn defined(statement: &Statement) -> Option<(Kind, &str)> {
    match statement {
        Statement::Instance(placed) => Some((Kind::Instance, &placed.name)),
        Statement::Class { name, .. } => Some((Kind::Class, name)),
        Statement::Route { name, .. } => Some((Kind::Route, name)),
        Statement::Organisation(name) => Some((Kind::Organisation, name)),
        Statement::Engine { placed, .. } => Some((Kind::Engine, &placed.name)),
        Statement::Plain { placed, .. } => Some((Kind::Plain, &placed.name)),
        Statement::Traffic(traffic) => Some((Kind::Traffic, &traffic.name)),
        Statement::At(..) | Statement::Expect(_) => None,
    }
}

fn data_centre(statement: &Statement) -> Option<&str> {
    match statement {
        Statement::Instance(placed)
        | Statement::Engine { placed, .. }
        | Statement::Plain { placed, .. } => Some(&placed.data_centre),
        _ => None,
    }
}

fn used(statement: &Statement) -> Vec<(&'static [Kind], &str)> {
    match statement {
        Statement::Route { class, .. } => vec![(&[Kind::Class], class)],
        Statement::Engine { route, .. } | Statement::Plain { route, .. } => {
            vec![(&[Kind::Route], route)]
        }
        Statement::Traffic(traffic) => vec![
            (&[Kind::Organisation], &traffic.organisation),
            (&[Kind::Route], &traffic.route),
            (&[Kind::Instance], &traffic.instance),
        ],
        Statement::At(_, action) => used_by_action(action),
        Statement::Expect(expectation) => used_by_expectation(expectation),
        _ => Vec::new(),
    }
}

fn used_by_action(action: &Action) -> Vec<(&'static [Kind], &str)> {
    match action {
        Action::Process(_, name) | Action::Cut(_, name, _) => vec![(&[Kind::Instance], name)],
        Action::Engine(name, _) => vec![(&[Kind::Engine], name)],
        Action::Plain(name, _) => vec![(&[Kind::Plain], name)],
        Action::Platform(_) => Vec::new(),
        Action::Withdraw(traffic, at) => {
            vec![(&[Kind::Traffic], traffic), (&[Kind::Instance], at)]
        }
        Action::DataCentre(name, _, at) => {
            vec![(&[Kind::DataCentre], name), (&[Kind::Instance], at)]
        }
        Action::BackendServer(name, _, at) => {
            vec![(&[Kind::Engine, Kind::Plain], name), (&[Kind::Instance], at)]
        }
    }
}

fn used_by_expectation(expectation: &Expectation) -> Vec<(&'static [Kind], &str)> {
    match expectation {
        Expectation::WholeAtLeast(name, _) | Expectation::RefusedFrom(name, ..) => {
            vec![(&[Kind::Traffic], name)]
        }
        Expectation::IdleFrom(name, _) => vec![(&[Kind::Engine, Kind::Plain], name)],
        _ => Vec::new(),
    }
}
