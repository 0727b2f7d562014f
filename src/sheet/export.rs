//! Exports a configuration as a sheet that parses to the same configuration.

use super::cell::escape_formula;
use super::columns::{COLUMNS, Column, Table};
use super::values::{Cells, to_rows};
use crate::config::Config;

/// Makes spreadsheet programs detect the file as UTF-8.
const BYTE_ORDER_MARK: &str = "\u{FEFF}";

/// Writes a configuration, without its keys, as CSV.
///
/// Cells that a spreadsheet would evaluate as a formula are escaped with an apostrophe, which the
/// parser removes.
pub fn export(config: &Config) -> String {
    let mut writer = csv::WriterBuilder::new()
        .terminator(csv::Terminator::CRLF)
        .from_writer(BYTE_ORDER_MARK.as_bytes().to_vec());
    let header = COLUMNS.map(Column::as_str).map(str::to_owned).to_vec();
    let body = to_rows(config).into_iter().map(|((table, _), cells)| record(table, &cells));
    for row in std::iter::once(header).chain(body) {
        writer.write_record(row).expect("records of equal length can be written to memory");
    }
    let bytes = writer.into_inner().expect("an in-memory writer can be flushed");
    String::from_utf8(bytes).expect("CSV records of UTF-8 text are UTF-8")
}

fn record(table: Table, cells: &Cells) -> Vec<String> {
    COLUMNS
        .into_iter()
        .map(|column| match column {
            Column::Table => table.as_str().to_owned(),
            _ => cells.get(&column).map(|cell| escape_formula(cell)).unwrap_or_default(),
        })
        .collect()
}
