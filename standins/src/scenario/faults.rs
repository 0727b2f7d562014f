//! Parsers of the faults of backend servers and the platform.

use winnow::Result;
use winnow::combinator::{opt, preceded};
use winnow::prelude::*;

use super::EngineAction;
use super::words::{expected, name, number, time, word};
use crate::platform::{LostAnswer, Outage};
use crate::{EngineFaults, PlainFaults, PlatformFaults};

/// Parses what is done to an engine.
pub(super) fn engine(input: &mut &str) -> Result<EngineAction> {
    let mut faults = EngineFaults::default();
    match name(input)?.as_str() {
        "crash" => return Ok(EngineAction::Crash),
        "turn-cold" => return Ok(EngineAction::TurnCold),
        "well" => {}
        "slow" => faults.slow = number(input)?.clamp(1, 1_000) as u32,
        "unavailable" => faults.unavailable = true,
        "silent-after" => faults.silent_after = Some(number(input)?),
        "cut-after" => faults.cut_after = Some(number(input)?),
        "stop-after" => faults.stop_after = Some(number(input)?),
        "late" => faults.late_ms = time(input)?.as_millis() as u64,
        "crossed" => faults.crossed = true,
        "nonsense" => faults.nonsense = true,
        "reset-before" => faults.reset_before = true,
        _ => return expected(input, "a fault of an engine"),
    }
    faults.for_next = opt(for_next).parse_next(input)?;
    Ok(EngineAction::Faults(faults))
}

/// Parses the faults of a plain service.
pub(super) fn plain(input: &mut &str) -> Result<PlainFaults> {
    let mut faults = PlainFaults::default();
    match name(input)?.as_str() {
        "well" => {}
        "reset-before" => faults.reset_before = true,
        "reset-after" => faults.reset_after = true,
        "silent-before" => faults.silent_before = true,
        "silent-after" => faults.silent_after = true,
        "unavailable" => faults.unavailable = true,
        "slow" => faults.slow_ms = time(input)?.as_millis() as u64,
        "redirect" => faults.redirect = Some(number(input)?.min(599) as u16),
        _ => return expected(input, "a fault of a plain service"),
    }
    faults.for_next = opt(for_next).parse_next(input)?;
    Ok(faults)
}

/// Parses the faults of the platform.
pub(super) fn platform(input: &mut &str) -> Result<PlatformFaults> {
    let mut faults = PlatformFaults::default();
    match name(input)?.as_str() {
        "well" => {}
        "unavailable" => faults.outage = Some(Outage::Unavailable),
        "hangs" => faults.outage = Some(Outage::Hang),
        "resets" => faults.outage = Some(Outage::Reset),
        "slow" => faults.slow_ms = time(input)?.as_millis() as u64,
        "loses" => faults.lost_answers.push(lost_answers(input)?),
        _ => return expected(input, "a fault of the platform"),
    }
    Ok(faults)
}

/// Parses `COUNT of VERB COLLECTION`.
fn lost_answers(input: &mut &str) -> Result<LostAnswer> {
    let (count, (), verb, collection) = (number, word("of"), name, name).parse_next(input)?;
    let count = count.min(u32::MAX.into()) as u32;
    Ok(LostAnswer { matching: format!("{verb} {collection}"), count, hang: false })
}

/// Parses `for-next COUNT`.
fn for_next(input: &mut &str) -> Result<u32> {
    preceded(word("for-next"), number).map(|count| count as u32).parse_next(input)
}
