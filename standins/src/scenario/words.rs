//! Parsers of words, numbers and times.

use std::time::Duration;

use winnow::Result;
use winnow::ascii::{dec_uint, space1};
use winnow::combinator::{alt, preceded};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// Parses a name at once.
pub(super) fn bare_name<'s>(input: &mut &'s str) -> Result<&'s str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c))
        .context(StrContext::Expected(StrContextValue::Description("a name")))
        .parse_next(input)
}

/// Parses a name after spaces.
pub(super) fn name(input: &mut &str) -> Result<String> {
    preceded(space1, bare_name).map(str::to_owned).parse_next(input)
}

/// Parses a path after spaces.
pub(super) fn path(input: &mut &str) -> Result<String> {
    let path = ('/', take_while(0.., |c: char| !c.is_whitespace())).take();
    preceded(space1, path)
        .context(StrContext::Expected(StrContextValue::Description("a path")))
        .map(str::to_owned)
        .parse_next(input)
}

/// Parses a whole number after spaces.
pub(super) fn number(input: &mut &str) -> Result<u64> {
    preceded(space1, dec_uint)
        .context(StrContext::Expected(StrContextValue::Description("a whole number")))
        .parse_next(input)
}

/// Parses a time such as `250ms` or `4s` after spaces.
pub(super) fn time(input: &mut &str) -> Result<Duration> {
    let unit = alt(("ms".value(1), "s".value(1_000)));
    preceded(space1, (dec_uint::<_, u64, ContextError>, unit))
        .context(StrContext::Expected(StrContextValue::Description("a time in ms or s")))
        .map(|(count, millis): (u64, u64)| Duration::from_millis(count.saturating_mul(millis)))
        .parse_next(input)
}

/// Parses a given word after spaces.
pub(super) fn word<'s>(text: &'static str) -> impl Parser<&'s str, (), ContextError> {
    preceded(space1, bare_name)
        .verify(move |found: &str| found == text)
        .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
        .void()
}

/// Fails because another word was expected.
pub(super) fn expected<T>(input: &mut &str, what: &'static str) -> Result<T> {
    winnow::combinator::fail
        .context(StrContext::Expected(StrContextValue::Description(what)))
        .parse_next(input)
}
