//! Parsers of the statements.

use std::time::Duration;

use winnow::Result;
use winnow::ascii::multispace0;
use winnow::combinator::{opt, preceded, terminated};
use winnow::prelude::*;

use super::words::{bare_name, expected, name, number, path, time, word};
use super::{
    Action, Expectation, Placed, ProcessAction, RouteTarget, Side, Statement, Traffic, faults,
};

/// Slots of an engine unless its line says another number.
const DEFAULT_SLOTS: u64 = 8;
/// Time between tokens of an engine unless its line says another.
const DEFAULT_GAP: Duration = Duration::from_millis(5);
/// Tokens of an answer unless the traffic says another number.
const DEFAULT_TOKENS: u64 = 8;

/// Parses one line without its comment; the error says what was expected where.
pub(super) fn statement(line: &str) -> std::result::Result<Statement, String> {
    terminated(any_statement, multispace0).parse(line).map_err(|error| {
        let place = error.offset() + 1;
        let inner = error.inner().to_string().replace('\n', ", ");
        let reason = if inner.is_empty() { "the line should end here" } else { &inner };
        format!("column {place}: {reason}")
    })
}

fn any_statement(input: &mut &str) -> Result<Statement> {
    let start = *input;
    match bare_name(input)? {
        "instance" => placed.map(Statement::Instance).parse_next(input),
        "class" => class(input),
        "route" => route(input),
        "organisation" => name.map(Statement::Organisation).parse_next(input),
        "engine" => engine(input),
        "plain" => (placed, word("serves"), name)
            .map(|(placed, (), route)| Statement::Plain { placed, route })
            .parse_next(input),
        "traffic" => traffic.map(Statement::Traffic).parse_next(input),
        "at" => (time, action).map(|(at, action)| Statement::At(at, action)).parse_next(input),
        "expect" => expectation.map(Statement::Expect).parse_next(input),
        _ => {
            *input = start;
            expected(
                input,
                "instance, class, route, organisation, engine, plain, traffic, at or expect",
            )
        }
    }
}

fn placed(input: &mut &str) -> Result<Placed> {
    let (name, (), data_centre) = (name, word("in"), name).parse_next(input)?;
    Ok(Placed { name, data_centre })
}

fn class(input: &mut &str) -> Result<Statement> {
    let (name, (), tier, (), share, once) =
        (name, word("tier"), number, word("share"), number, opt(word("non-idempotent")))
            .parse_next(input)?;
    Ok(Statement::Class { name, tier, share, non_idempotent: once.is_some() })
}

fn route(input: &mut &str) -> Result<Statement> {
    let name_of_route = name(input)?;
    let target = match name(input)?.as_str() {
        "model" => RouteTarget::Model(name(input)?),
        "prefix" => RouteTarget::Prefix(path(input)?),
        _ => return expected(input, "model or prefix"),
    };
    let class = preceded(word("class"), name).parse_next(input)?;
    Ok(Statement::Route { name: name_of_route, target, class })
}

fn engine(input: &mut &str) -> Result<Statement> {
    let (placed, (), route) = (placed, word("serves"), name).parse_next(input)?;
    let slots = opt(preceded(word("slots"), number)).parse_next(input)?;
    let gap = opt(preceded(word("gap"), time)).parse_next(input)?;
    let mut cold = opt((preceded(word("cold"), time), preceded(word("limit"), number)));
    let cold = cold.parse_next(input)?;
    let (slots, gap) = (slots.unwrap_or(DEFAULT_SLOTS), gap.unwrap_or(DEFAULT_GAP));
    Ok(Statement::Engine { placed, route, slots, gap, cold })
}

fn traffic(input: &mut &str) -> Result<Traffic> {
    let name_of_traffic = name(input)?;
    let organisation = preceded(word("for"), name).parse_next(input)?;
    let route = preceded(word("to"), name).parse_next(input)?;
    let instance = preceded(word("at"), name).parse_next(input)?;
    let every = preceded(word("every"), time).parse_next(input)?;
    let count = preceded(word("count"), number).parse_next(input)?;
    let tokens = opt(preceded(word("tokens"), number)).parse_next(input)?;
    let copies = opt(preceded(word("copies"), number)).parse_next(input)?;
    Ok(Traffic {
        name: name_of_traffic,
        organisation,
        route,
        instance,
        every,
        count,
        tokens: tokens.unwrap_or(DEFAULT_TOKENS),
        copies: copies.unwrap_or(1),
    })
}

fn action(input: &mut &str) -> Result<Action> {
    let process = |kind| move |name| Action::Process(kind, name);
    match name(input)?.as_str() {
        "kill" => name.map(process(ProcessAction::Kill)).parse_next(input),
        "restart" => name.map(process(ProcessAction::Restart)).parse_next(input),
        "freeze" => name.map(process(ProcessAction::Freeze)).parse_next(input),
        "thaw" => name.map(process(ProcessAction::Thaw)).parse_next(input),
        "stop" => name.map(process(ProcessAction::Stop)).parse_next(input),
        "cut" => (name, word("from"), side)
            .map(|(name, (), side)| Action::Cut(true, name, side))
            .parse_next(input),
        "join" => (name, word("to"), side)
            .map(|(name, (), side)| Action::Cut(false, name, side))
            .parse_next(input),
        "engine" => (name, faults::engine)
            .map(|(name, fault)| Action::Engine(name, fault))
            .parse_next(input),
        "plain" => {
            (name, faults::plain).map(|(name, fault)| Action::Plain(name, fault)).parse_next(input)
        }
        "platform" => faults::platform.map(Action::Platform).parse_next(input),
        "withdraw" => (name, word("at"), name)
            .map(|(traffic, (), at)| Action::Withdraw(traffic, at))
            .parse_next(input),
        "data-centre" => (name, in_service, word("at"), name)
            .map(|(name, on, (), at)| Action::DataCentre(name, on, at))
            .parse_next(input),
        "backend-server" => (name, in_service, word("at"), name)
            .map(|(name, on, (), at)| Action::BackendServer(name, on, at))
            .parse_next(input),
        _ => expected(input, "an action"),
    }
}

fn side(input: &mut &str) -> Result<Side> {
    match name(input)?.as_str() {
        "platform" => Ok(Side::Platform),
        "peers" => Ok(Side::Peers),
        _ => expected(input, "platform or peers"),
    }
}

fn in_service(input: &mut &str) -> Result<bool> {
    match name(input)?.as_str() {
        "in" => Ok(true),
        "out" => Ok(false),
        _ => expected(input, "in or out"),
    }
}

fn expectation(input: &mut &str) -> Result<Expectation> {
    let subject = name(input)?;
    if subject == "never" {
        return never(input);
    }
    match name(input)?.as_str() {
        "whole" => {
            let count = preceded(word("at-least"), number).parse_next(input)?;
            Ok(Expectation::WholeAtLeast(subject, count))
        }
        "refused" => {
            let (code, (), from) = (name, word("from"), time).parse_next(input)?;
            Ok(Expectation::RefusedFrom(subject, code, from))
        }
        "idle" => {
            let from = preceded(word("from"), time).parse_next(input)?;
            Ok(Expectation::IdleFrom(subject, from))
        }
        _ => expected(input, "whole, refused or idle"),
    }
}

fn never(input: &mut &str) -> Result<Expectation> {
    match name(input)?.as_str() {
        "wrong" => Ok(Expectation::NeverWrong),
        "doubled" => Ok(Expectation::NeverDoubled),
        "false-not-run" => Ok(Expectation::NeverFalseNotRun),
        _ => expected(input, "wrong, doubled or false-not-run"),
    }
}
