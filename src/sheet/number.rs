//! Numbers as people and spreadsheets write them: other digits, thousands marks, decimal commas.

use super::file::Delimiter;

/// Code points of the digit zero of the scripts that are read.
const DIGIT_ZEROS: [u32; 6] = [0x30, 0x0660, 0x06F0, 0x0966, 0x09E6, 0xFF10];
/// Decimal places that are kept.
const DECIMAL_PLACES: usize = 3;
/// Longest number in digits.
const MAX_DIGITS: usize = 15;
/// What one unit is in thousandths.
pub const SCALE: u64 = 1_000;

const NOT_A_NUMBER: &str = "not a number";
const AMBIGUOUS: &str = "could be a decimal or a thousands mark; write it without the mark";
const TOO_LARGE: &str = "too large";
const TOO_PRECISE: &str = "more than three decimal places";

/// Reads a number that is not negative, in thousandths.
///
/// In a comma-separated sheet a comma is a thousands mark and a point is a decimal mark. In the
/// others a lone mark before exactly three digits is refused as ambiguous.
///
/// # Errors
/// Says what is wrong.
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

/// Writes thousandths with as few decimal places as possible.
pub fn format_thousandths(value: u64) -> String {
    let (whole, fraction) = (value / SCALE, value % SCALE);
    if fraction == 0 {
        return whole.to_string();
    }
    let text = format!("{whole}.{fraction:0DECIMAL_PLACES$}");
    text.trim_end_matches('0').to_owned()
}

/// Turns a digit of any known script into ASCII and all spaces and apostrophes into one mark.
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

/// Splits at the decimal mark; a thousands mark stays in the whole part.
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

/// Joins the groups of a whole number, grouped by thousands or in the Indian way (1,00,000).
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
