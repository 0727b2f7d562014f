//! Parsing, validation and escaping of single cells.

/// Maximum length of a name in characters.
const MAX_NAME_CHARS: usize = 63;
/// Maximum length of a model name in characters, and of a path prefix in bytes.
const MAX_TEXT_LEN: usize = 200;
/// Virama and nukta signs of Indic scripts. They are part of words, but `char::is_alphanumeric` is
/// false for them.
const INDIC_SIGNS: [char; 16] = [
    '\u{093C}', '\u{094D}', '\u{09BC}', '\u{09CD}', '\u{0A3C}', '\u{0A4D}', '\u{0ABC}', '\u{0ACD}',
    '\u{0B3C}', '\u{0B4D}', '\u{0BCD}', '\u{0C4D}', '\u{0CBC}', '\u{0CCD}', '\u{0D4D}', '\u{0DCA}',
];
/// Error values that spreadsheets write into a cell whose formula failed.
const SPREADSHEET_ERRORS: [&str; 7] =
    ["#REF!", "#N/A", "#NAME?", "#VALUE!", "#DIV/0!", "#NUM!", "#NULL!"];
/// First characters that make a spreadsheet evaluate a cell as a formula.
const FORMULA_PREFIXES: [char; 6] = ['=', '+', '-', '@', '\t', '\r'];

const INVALID_NAME: &str =
    "use 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit";
const INVALID_ASCII_NAME: &str = "use 1 to 63 letters from a to z, digits, '.', '_' or '-', starting with a letter or digit, because the name is used in URLs and headers";
const INVALID_MODEL: &str = "use 1 to 200 printable characters without spaces";
const INVALID_PATH_PREFIX: &str =
    "use a path such as /bookings, without spaces, '?', '#', '%', '//' or '..'";
const INVALID_ADDRESS: &str =
    "use an address such as http://10.0.0.7:8000, without a user, path, '?' or '#'";

/// Checks a name that may contain letters of any script.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_name(text: &str) -> Result<(), &'static str> {
    let is_letter = |c: char| c.is_alphanumeric() || INDIC_SIGNS.contains(&c);
    let valid = text.chars().count() <= MAX_NAME_CHARS
        && text.starts_with(char::is_alphanumeric)
        && text.chars().all(|c| is_letter(c) || matches!(c, '.' | '_' | '-'));
    if valid { Ok(()) } else { Err(INVALID_NAME) }
}

/// Checks a name that is used in URLs and headers, and therefore must be ASCII.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_ascii_name(text: &str) -> Result<(), &'static str> {
    if text.is_ascii() && check_name(text).is_ok() { Ok(()) } else { Err(INVALID_ASCII_NAME) }
}

/// Checks a model name.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_model(text: &str) -> Result<(), &'static str> {
    let printable = text.chars().all(|c| !c.is_whitespace() && !c.is_control());
    if printable && (1..=MAX_TEXT_LEN).contains(&text.chars().count()) {
        Ok(())
    } else {
        Err(INVALID_MODEL)
    }
}

/// Checks the path prefix of a route.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_path_prefix(text: &str) -> Result<(), &'static str> {
    let forbidden = |c: char| c.is_whitespace() || c.is_control() || "?#%\\".contains(c);
    let valid = text.starts_with('/')
        && text.len() <= MAX_TEXT_LEN
        && !text.contains(forbidden)
        && !text.contains("//")
        && !text.split('/').any(|segment| segment == ".." || segment == ".");
    if valid { Ok(()) } else { Err(INVALID_PATH_PREFIX) }
}

/// Checks the base URL of a backend server.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn check_address(text: &str) -> Result<(), &'static str> {
    let url = reqwest::Url::parse(text).map_err(|_| INVALID_ADDRESS)?;
    let plain = url.username().is_empty()
        && url.password().is_none()
        && url.query().is_none()
        && url.fragment().is_none()
        && url.path() == "/";
    if url.scheme() == "http" && url.has_host() && plain { Ok(()) } else { Err(INVALID_ADDRESS) }
}

/// Parses a yes/no cell.
///
/// # Errors
/// Returns the rule that the text violates.
pub fn parse_yes_no(text: &str) -> Result<bool, &'static str> {
    match text.to_lowercase().as_str() {
        "yes" | "true" | "1" => Ok(true),
        "no" | "false" | "0" => Ok(false),
        _ => Err("use yes or no"),
    }
}

/// Formats a yes/no cell.
pub fn format_yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Splits a list of names at white space, commas, semicolons and vertical bars.
pub fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| c.is_whitespace() || ",;|".contains(c)).filter(|item| !item.is_empty())
}

/// Returns why a cell is invalid in any column, such as a formula that failed.
pub fn cell_error(text: &str) -> Option<&'static str> {
    if SPREADSHEET_ERRORS.contains(&text) {
        return Some("a spreadsheet error value; fix the formula");
    }
    if text.starts_with('=') {
        return Some("a formula; export its value");
    }
    text.contains('\0').then_some("contains a NUL character")
}

/// Puts an apostrophe before a text that a spreadsheet would evaluate as a formula.
///
/// A text that already starts with an apostrophe gets another, so that [`unescape_formula`]
/// restores it.
pub fn escape_formula(text: &str) -> String {
    if text.starts_with(FORMULA_PREFIXES) || text.starts_with('\'') {
        format!("'{text}")
    } else {
        text.to_owned()
    }
}

/// Removes the apostrophe that [`escape_formula`] put before a text.
pub fn unescape_formula(text: &str) -> &str {
    match text.strip_prefix('\'') {
        Some(rest) if rest.starts_with(FORMULA_PREFIXES) || rest.starts_with('\'') => rest,
        _ => text,
    }
}
