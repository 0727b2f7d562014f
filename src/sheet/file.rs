//! Decodes a CSV file into rows of cells.
//!
//! Accepts the encodings, delimiters and line breaks that spreadsheet programs write.

use super::columns::Column;
use super::problem::Problem;

/// A decoded sheet.
#[derive(Debug)]
pub struct SheetFile {
    /// Delimiter between cells.
    pub delimiter: Delimiter,
    /// Column at each position; `None` if the header cell is blank or unknown.
    pub header: Vec<Option<Column>>,
    /// Positions with a blank header cell.
    pub blank_headers: Vec<usize>,
    /// Non-blank rows below the header.
    pub rows: Vec<RawRow>,
    /// Problems in the header and in the quoting.
    pub problems: Vec<Problem>,
}

/// A row of cells with its row number.
#[derive(Debug, Clone)]
pub struct RawRow {
    /// Row number as the spreadsheet shows it, from 1 and including blank rows.
    pub row: usize,
    /// Cells without surrounding white space.
    pub cells: Vec<String>,
}

/// Delimiter between cells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delimiter {
    /// A comma; a point in a number is then the decimal separator.
    Comma,
    /// A semicolon, used in locales whose decimal separator is a comma.
    Semicolon,
    /// A tab.
    Tab,
}

impl Delimiter {
    /// Returns the delimiter character.
    pub fn as_char(self) -> char {
        match self {
            Self::Comma => ',',
            Self::Semicolon => ';',
            Self::Tab => '\t',
        }
    }
}

/// Decodes a sheet, splits it into rows and parses its header.
///
/// # Errors
/// If the bytes are not valid text, the sheet is empty, or the header lacks `table` or `name`.
pub fn read(bytes: &[u8]) -> Result<SheetFile, Vec<Problem>> {
    let text = decode(bytes).map_err(|problem| vec![problem])?;
    let mut text = text.replace("\r\n", "\n").replace('\r', "\n");
    text.push('\n');
    let (delimiter, first_row) = detect_delimiter(&mut text);
    let mut rows = split(&text, delimiter, first_row);
    rows.retain(|row| row.cells.iter().any(|cell| !cell.is_empty()));
    if rows.is_empty() {
        return Err(vec![Problem::new(1, "", "", "the sheet is empty")]);
    }
    let header_row = rows.remove(0);
    let (header, mut problems) = read_header(&header_row)?;
    if text.matches('"').count() % 2 == 1 {
        let row = rows.last().map_or(header_row.row, |row| row.row);
        let reason = "a quoted cell in or before this row is not closed";
        problems.push(Problem::new(row, "", "", reason));
    }
    if rows.is_empty() {
        problems.push(Problem::new(
            header_row.row,
            "",
            "",
            "the sheet has no rows below the header",
        ));
    }
    let blank_headers = blank_positions(&header_row);
    Ok(SheetFile { delimiter, header, blank_headers, rows, problems })
}

/// Decodes UTF-8, with or without a byte order mark, or UTF-16 with a byte order mark.
fn decode(bytes: &[u8]) -> Result<String, Problem> {
    let not_text = |row| Problem::new(row, "", "", "not UTF-8 text; save the sheet as CSV UTF-8");
    let utf16 = |bytes: &[u8], join: fn([u8; 2]) -> u16| {
        let units: Vec<u16> = bytes.chunks_exact(2).map(|pair| join([pair[0], pair[1]])).collect();
        String::from_utf16(&units).map_err(|_| not_text(1))
    };
    match bytes {
        [0xEF, 0xBB, 0xBF, rest @ ..] => decode_utf8(rest).map_err(not_text),
        [0xFF, 0xFE, rest @ ..] => utf16(rest, u16::from_le_bytes),
        [0xFE, 0xFF, rest @ ..] => utf16(rest, u16::from_be_bytes),
        _ => decode_utf8(bytes).map_err(not_text),
    }
}

/// Decodes UTF-8, or returns the line number of the first invalid byte.
fn decode_utf8(bytes: &[u8]) -> Result<String, usize> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text.to_owned()),
        Err(error) => {
            let valid = &bytes[..error.valid_up_to()];
            Err(valid.iter().filter(|byte| **byte == b'\n').count() + 1)
        }
    }
}

/// Detects the delimiter and returns it with the row number of the first line of `text`.
///
/// A `sep=` line at the start declares the delimiter and is removed from `text`. Otherwise the
/// delimiter is the most frequent candidate in the first non-blank line; if two are equally
/// frequent, the order of preference is comma, semicolon, tab.
fn detect_delimiter(text: &mut String) -> (Delimiter, usize) {
    let first = text.lines().next().unwrap_or_default().trim_matches('"');
    let declared = match first.trim_end_matches(' ').strip_prefix("sep=") {
        Some(";") => Some(Delimiter::Semicolon),
        Some(",") => Some(Delimiter::Comma),
        Some("\t") => Some(Delimiter::Tab),
        _ => None,
    };
    if let Some(delimiter) = declared {
        let end = text.find('\n').map_or(text.len(), |position| position + 1);
        text.drain(..end);
        return (delimiter, 2);
    }
    let header = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default();
    let count = |delimiter: Delimiter| header.matches(delimiter.as_char()).count();
    let (comma, semicolon, tab) =
        (count(Delimiter::Comma), count(Delimiter::Semicolon), count(Delimiter::Tab));
    let delimiter = if tab > comma.max(semicolon) {
        Delimiter::Tab
    } else if semicolon > comma {
        Delimiter::Semicolon
    } else {
        Delimiter::Comma
    };
    (delimiter, 1)
}

/// Splits text into rows, numbered as a spreadsheet program shows them.
fn split(text: &str, delimiter: Delimiter, first_row: usize) -> Vec<RawRow> {
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .delimiter(delimiter.as_char() as u8)
        .from_reader(text.as_bytes());
    let mut rows = Vec::new();
    let mut row = first_row;
    let mut record = csv::StringRecord::new();
    let mut line = reader.position().line();
    while reader.read_record(&mut record).unwrap_or(false) {
        let line_breaks: usize = record.iter().map(|cell| cell.matches('\n').count()).sum();
        let lines = (reader.position().line() - line) as usize;
        // The CSV reader skips blank lines before a record, but spreadsheets count them as rows.
        row += lines.saturating_sub(line_breaks + 1);
        let cells = record.iter().map(|cell| trim(cell).to_owned()).collect();
        rows.push(RawRow { row, cells });
        row += 1;
        line = reader.position().line();
    }
    rows
}

/// Removes surrounding white space, byte order marks and zero-width spaces from a cell.
fn trim(cell: &str) -> &str {
    cell.trim_matches(|c: char| c.is_whitespace() || c == '\u{FEFF}' || c == '\u{200B}')
}

fn blank_positions(row: &RawRow) -> Vec<usize> {
    let cells = row.cells.iter().enumerate();
    cells.filter(|(_, cell)| cell.is_empty()).map(|(position, _)| position).collect()
}

type Header = Vec<Option<Column>>;

/// Parses the header row; unknown and duplicate columns are reported as problems.
///
/// # Errors
/// If `table` or `name` is missing, since no row can be read without them.
fn read_header(row: &RawRow) -> Result<(Header, Vec<Problem>), Vec<Problem>> {
    let mut header: Header = Vec::new();
    let mut problems = Vec::new();
    for cell in &row.cells {
        let column = Column::parse(cell);
        if column.is_some() && header.contains(&column) {
            problems.push(Problem::new(row.row, cell, cell, "duplicate column"));
        } else if column.is_none() && !cell.is_empty() {
            problems.push(Problem::new(row.row, cell, cell, "there is no such column"));
        }
        header.push(column);
    }
    for needed in [Column::Table, Column::Name] {
        if !header.contains(&Some(needed)) {
            let reason = "the header row lacks this column";
            return Err(vec![Problem::new(row.row, needed.as_str(), "", reason)]);
        }
    }
    Ok((header, problems))
}
