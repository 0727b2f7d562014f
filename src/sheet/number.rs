//! Parsing and formatting of numbers as spreadsheets write them.
//!
//! Accepts digits of several scripts, thousands separators and decimal commas.

use super::file::Delimiter;

/// Digit zero of each supported script: ASCII, Arabic-Indic, Extended Arabic-Indic, Devanagari,
/// Bengali and full-width.
const DIGIT_ZEROS: [u32; 6] = [0x30, 0x0660, 0x06F0, 0x0966, 0x09E6, 0xFF10];
/// Maximum number of decimal places.
const DECIMAL_PLACES: usize = 3;
/// Maximum number of digits before the decimal separator; the value in thousandths fits a `u64`.
const MAX_DIGITS: usize = 15;
/// Fixed-point scale: numbers are stored in thousandths.
pub const SCALE: u64 = 1_000;

const NOT_A_NUMBER: &str = "not a number";
const AMBIGUOUS: &str = "ambiguous decimal or thousands separator; write the number without it";
const TOO_LARGE: &str = "too large";
const TOO_PRECISE: &str = "more than three decimal places";

/// Parses a non-negative number and returns it in thousandths.
///
/// In a comma-delimited sheet, a comma is a thousands separator and a point is the decimal
/// separator. In other sheets both characters may be either, so a number with a single separator
/// before exactly three digits, such as `1.000` or `1,000`, is rejected as ambiguous.
///
/// # Errors
/// Returns a message if the text is not a number, ambiguous, too large or too precise.
pub fn parse_thousandths(text: &str, delimiter: Delimiter) -> Result<u64, &'static str> {
    let normalized: String = text.chars().filter_map(normalize_char).collect();
    if normalized.is_empty() || !normalized.starts_with(|c: char| c.is_ascii_digit()) {
        return Err(NOT_A_NUMBER);
    }
    let (whole, fraction) = split_decimal(&normalized, delimiter)?;
    let digits = join_digit_groups(whole)?;
    if digits.len() > MAX_DIGITS {
        return Err(TOO_LARGE);
    }
    let fraction = fraction.trim_end_matches('0');
    if !fraction.chars().all(|c| c.is_ascii_digit()) {
        return Err(NOT_A_NUMBER);
    }
    if fraction.len() > DECIMAL_PLACES {
        return Err(TOO_PRECISE);
    }
    let whole: u64 = digits.parse().map_err(|_| NOT_A_NUMBER)?;
    let fraction: u64 =
        format!("{fraction:0<DECIMAL_PLACES$}").parse().map_err(|_| NOT_A_NUMBER)?;
    Ok(whole * SCALE + fraction)
}

/// Formats a number given in thousandths, without trailing zeros.
pub fn format_thousandths(value: u64) -> String {
    let (whole, fraction) = (value / SCALE, value % SCALE);
    if fraction == 0 {
        return whole.to_string();
    }
    let text = format!("{whole}.{fraction:0DECIMAL_PLACES$}");
    text.trim_end_matches('0').to_owned()
}

/// Maps digits of the supported scripts to ASCII, and white space and apostrophes to a space.
fn normalize_char(c: char) -> Option<char> {
    let digit = DIGIT_ZEROS
        .iter()
        .filter_map(|zero| (c as u32).checked_sub(*zero))
        .find(|value| *value < 10)
        .and_then(|value| char::from_digit(value, 10));
    match c {
        _ if digit.is_some() => digit,
        '\'' | '\u{2019}' => Some(' '),
        c if c.is_whitespace() => Some(' '),
        '\u{066B}' => Some(','),
        c => Some(c),
    }
}

/// Splits a number at its decimal separator; thousands separators stay in the integer part.
fn split_decimal(text: &str, delimiter: Delimiter) -> Result<(&str, &str), &'static str> {
    let separators: Vec<(usize, char)> =
        text.char_indices().filter(|(_, c)| matches!(c, '.' | ',')).collect();
    let Some((position, separator)) = separators.last().copied() else { return Ok((text, "")) };
    let (whole, fraction) = (&text[..position], &text[position + 1..]);
    let repeated = separators.iter().filter(|(_, c)| *c == separator).count() > 1;
    let is_ambiguous =
        separators.len() == 1 && fraction.len() == DECIMAL_PLACES && !whole.starts_with('0');
    let is_ambiguous = is_ambiguous && whole.len() <= DECIMAL_PLACES;
    if delimiter == Delimiter::Comma {
        return match separator {
            ',' => Ok((text, "")),
            _ if repeated => Err(NOT_A_NUMBER),
            _ => Ok((whole, fraction)),
        };
    }
    match (repeated, is_ambiguous) {
        (true, _) => Ok((text, "")),
        (false, true) => Err(AMBIGUOUS),
        (false, false) => Ok((whole, fraction)),
    }
}

/// Joins the digit groups of an integer, grouped by thousands or in the Indian way (1,00,000).
fn join_digit_groups(text: &str) -> Result<String, &'static str> {
    let groups: Vec<&str> = text.split([',', '.', ' ']).collect();
    let mut separators = text.chars().filter(|c| !c.is_ascii_digit());
    let first_separator = separators.next();
    let is_uniform = separators.all(|separator| Some(separator) == first_separator);
    let only_digits =
        groups.iter().all(|group| !group.is_empty() && group.bytes().all(|b| b.is_ascii_digit()));
    if !only_digits || !is_uniform {
        return Err(NOT_A_NUMBER);
    }
    let Some((last, before)) = groups[1..].split_last() else { return Ok(groups.concat()) };
    let first_group_fits = |longest: usize| (1..=longest).contains(&groups[0].len());
    let is_grouped_by_thousands =
        first_group_fits(3) && before.iter().all(|group| group.len() == 3);
    let is_indian_grouping = first_group_fits(2) && before.iter().all(|group| group.len() == 2);
    if last.len() == 3 && (is_grouped_by_thousands || is_indian_grouping) {
        Ok(groups.concat())
    } else {
        Err(NOT_A_NUMBER)
    }
}
