//! Converts rows of cells into records and collects all problems.
//!
//! Invalid cells get a placeholder value, so that the record can still be checked against other
//! tables and all problems are reported in one pass.

use std::collections::BTreeSet;

use super::cell;
use super::columns::{Column, Table};
use super::file::{Delimiter, RawRow, SheetFile};
use super::number::{SCALE, parse_thousandths};
use super::problem::Problem;
use crate::config::model::TIERS;
use crate::config::{
    Access, BackendServer, Class, DataCentre, Organisation, Repeatability, Route, RouteTarget,
    ServerKind, Tier,
};
use crate::names::RouteName;

/// Default for the maximum number of requests of an organisation that wait in one queue.
const DEFAULT_MAX_WAITING: u32 = 100;
/// A tenth of a percent, as a percentage in thousandths; one unit of `Class::promised_share`.
pub const TENTH_OF_PERCENT: u64 = SCALE / 10;
/// The whole of a backend server, in the units of `Class::promised_share`.
pub const FULL_SHARE: u64 = 1_000;
/// Maximum latency target: one hour.
const MAX_TARGET_MS: u64 = 3_600_000;
/// Maximum number of requests or slots, and maximum weight.
const MAX_COUNT: u64 = 1_000_000;
/// Maximum price or token limit.
const MAX_AMOUNT: u64 = 1_000_000_000_000;

/// A record with its row number.
#[derive(Debug)]
pub struct Located<T> {
    /// Row number as the spreadsheet shows it.
    pub row: usize,
    /// The record.
    pub record: T,
}

/// The row of an organisation.
#[derive(Debug)]
pub struct OrganisationRow {
    /// The organisation.
    pub organisation: Organisation,
    /// The routes granted to it.
    pub routes: BTreeSet<RouteName>,
}

/// All records of a sheet, in row order.
#[derive(Debug, Default)]
pub struct Records {
    /// Classes.
    pub classes: Vec<Located<Class>>,
    /// Routes; the organisations of granted routes are not filled in yet.
    pub routes: Vec<Located<Route>>,
    /// Organisations.
    pub organisations: Vec<Located<OrganisationRow>>,
    /// Data centres.
    pub data_centres: Vec<Located<DataCentre>>,
    /// Backend servers.
    pub backend_servers: Vec<Located<BackendServer>>,
}

/// Converts all rows into records.
pub fn read(file: &SheetFile) -> (Records, Vec<Problem>) {
    let mut records = Records::default();
    let mut problems = file.problems.clone();
    for raw in &file.rows {
        read_row(file, raw, &mut records, &mut problems);
    }
    (records, problems)
}

fn read_row(file: &SheetFile, raw: &RawRow, records: &mut Records, problems: &mut Vec<Problem>) {
    let mut reader = RowReader { file, raw, problems };
    reader.check_cells();
    let table = reader.text(Column::Table).to_owned();
    let Some(table) = Table::parse(&table) else {
        let reason = "use class, route, organisation, data-centre or backend-server";
        return reader.add_problem(Column::Table, reason);
    };
    reader.check_unused(table);
    let row = raw.row;
    match table {
        Table::Class => records.classes.push(Located { row, record: reader.class() }),
        Table::Route => records.routes.push(Located { row, record: reader.route() }),
        Table::Organisation => {
            records.organisations.push(Located { row, record: reader.organisation() });
        }
        Table::DataCentre => {
            records.data_centres.push(Located { row, record: reader.data_centre() });
        }
        Table::BackendServer => {
            records.backend_servers.push(Located { row, record: reader.backend_server() });
        }
    }
}

/// Parses the cells of one row and collects their problems.
struct RowReader<'a> {
    file: &'a SheetFile,
    raw: &'a RawRow,
    problems: &'a mut Vec<Problem>,
}

type CellCheck = fn(&str) -> Result<(), &'static str>;

impl<'a> RowReader<'a> {
    /// Returns the text of a cell as written; empty if the sheet lacks the column.
    fn raw_text(&self, column: Column) -> &'a str {
        let position = self.file.header.iter().position(|header| *header == Some(column));
        position.and_then(|position| self.raw.cells.get(position)).map_or("", String::as_str)
    }

    /// Returns the unescaped text of a cell; empty for a cell that [`Self::check_cells`] reports.
    fn text(&self, column: Column) -> &'a str {
        let raw = self.raw_text(column);
        if cell::cell_error(raw).is_some() { "" } else { cell::unescape_formula(raw) }
    }

    fn has_cell_error(&self, column: Column) -> bool {
        cell::cell_error(self.raw_text(column)).is_some()
    }

    fn add_problem(&mut self, column: Column, reason: impl Into<String>) {
        let value = self.raw_text(column);
        self.problems.push(Problem::new(self.raw.row, column.as_str(), value, reason));
    }

    /// Reports cells that are invalid in any column, and text in columns without a header.
    fn check_cells(&mut self) {
        for (position, text) in self.raw.cells.iter().enumerate() {
            let column = self.file.header.get(position).copied().flatten();
            let name = column.map_or("", Column::as_str);
            if let Some(reason) = cell::cell_error(text) {
                self.problems.push(Problem::new(self.raw.row, name, text, reason));
            } else if column.is_none() && !text.is_empty() && self.has_no_header(position) {
                let reason = format!("\"{text}\" is in a column without a header");
                self.problems.push(Problem::new(self.raw.row, "", text, reason));
            }
        }
    }

    /// Returns whether the header cell is missing or blank; an unknown one was reported already.
    fn has_no_header(&self, position: usize) -> bool {
        position >= self.file.header.len() || self.file.blank_headers.contains(&position)
    }

    /// Reports non-blank cells in columns that the table does not use.
    fn check_unused(&mut self, table: Table) {
        for column in self.file.header.iter().flatten() {
            let used = *column == Column::Table || table.columns().contains(column);
            if !used && !self.text(*column).is_empty() {
                let reason =
                    format!("leave it blank: {} rows do not use this column", table.as_str());
                self.add_problem(*column, reason);
            }
        }
    }

    /// Returns the text of a required cell; reports it if it is blank or fails the check.
    fn required_text(&mut self, column: Column, check: CellCheck) -> &'a str {
        let text = self.text(column);
        if self.has_cell_error(column) {
            return text;
        }
        if text.is_empty() {
            self.add_problem(column, "must be given");
        } else if let Err(reason) = check(text) {
            self.add_problem(column, reason);
        }
        text
    }

    /// Parses a number in thousandths; `None` if the cell is blank or invalid.
    fn thousandths(&mut self, column: Column, max: u64) -> Option<u64> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        let text = match column {
            Column::PromisedShare => text.trim_end_matches('%').trim_end(),
            _ => text,
        };
        match parse_thousandths(text, self.delimiter()) {
            Ok(value) if value <= max * SCALE => Some(value),
            Ok(_) => {
                self.add_problem(column, format!("use at most {max}"));
                None
            }
            Err(reason) => {
                self.add_problem(column, reason);
                None
            }
        }
    }

    fn delimiter(&self) -> Delimiter {
        self.file.delimiter
    }

    /// Parses an integer from `min` to `max`; `None` if the cell is blank or invalid.
    fn integer(&mut self, column: Column, min: u64, max: u64) -> Option<u64> {
        let value = self.thousandths(column, max)?;
        if !value.is_multiple_of(SCALE) || value / SCALE < min {
            self.add_problem(column, format!("use a whole number from {min} to {max}"));
            return None;
        }
        Some(value / SCALE)
    }

    /// Parses a required integer; returns `min` if the cell is blank or invalid.
    fn required_integer(&mut self, column: Column, min: u64, max: u64) -> u32 {
        if self.text(column).is_empty() && !self.has_cell_error(column) {
            self.add_problem(column, "must be given");
        }
        self.integer(column, min, max).unwrap_or(min) as u32
    }

    fn yes_no(&mut self, column: Column, default: Option<bool>) -> bool {
        let text = self.text(column);
        if self.has_cell_error(column) {
            return false;
        }
        match (text.is_empty(), default) {
            (true, Some(default)) => default,
            (true, None) => {
                self.add_problem(column, "must be given: use yes or no");
                false
            }
            (false, _) => cell::parse_yes_no(text).unwrap_or_else(|reason| {
                self.add_problem(column, reason);
                false
            }),
        }
    }

    fn routes(&mut self) -> BTreeSet<RouteName> {
        cell::split_list(self.text(Column::Routes)).map(RouteName::from).collect()
    }

    fn class(&mut self) -> Class {
        Class {
            name: self.required_text(Column::Name, cell::check_ascii_name).into(),
            tier: Tier(self.required_integer(Column::Tier, 0, TIERS as u64 - 1) as u8),
            first_token_ms: self.required_integer(Column::FirstTokenMs, 1, MAX_TARGET_MS),
            token_gap_ms: self.required_integer(Column::TokenGapMs, 1, MAX_TARGET_MS),
            promised_share: self.promised_share(),
            repeatability: match self.yes_no(Column::Repeatable, None) {
                true => Repeatability::Idempotent,
                false => Repeatability::NonIdempotent,
            },
        }
    }

    /// Parses a percentage with at most one decimal place into thousandths of a backend server.
    fn promised_share(&mut self) -> u16 {
        let percent = self.thousandths(Column::PromisedShare, 100).unwrap_or_default();
        if !percent.is_multiple_of(TENTH_OF_PERCENT) {
            self.add_problem(Column::PromisedShare, "use at most one decimal place");
        }
        (percent / TENTH_OF_PERCENT) as u16
    }

    fn route(&mut self) -> Route {
        Route {
            name: self.required_text(Column::Name, cell::check_ascii_name).into(),
            target: self.route_target(),
            access: self.access(),
            class: self.required_text(Column::Class, |_| Ok(())).into(),
        }
    }

    fn route_target(&mut self) -> RouteTarget {
        let (model, prefix) = (self.text(Column::Model), self.text(Column::PathPrefix));
        match (model.is_empty(), prefix.is_empty()) {
            (false, true) => {
                RouteTarget::Model(self.required_text(Column::Model, cell::check_model).into())
            }
            (true, false) => RouteTarget::Prefix(
                self.required_text(Column::PathPrefix, cell::check_path_prefix).to_owned(),
            ),
            (true, true) => {
                self.add_problem(Column::Model, "a route needs a model or a path-prefix");
                RouteTarget::Model("".into())
            }
            (false, false) => {
                self.add_problem(
                    Column::PathPrefix,
                    "a route has a model or a path-prefix, not both",
                );
                RouteTarget::Model(model.into())
            }
        }
    }

    fn access(&mut self) -> Access {
        match self.text(Column::Access).to_lowercase().as_str() {
            "open" => Access::Open,
            "granted" => Access::Granted(BTreeSet::new()),
            _ => {
                self.add_problem(Column::Access, "use open or granted");
                Access::Granted(BTreeSet::new())
            }
        }
    }

    fn organisation(&mut self) -> OrganisationRow {
        let organisation = Organisation {
            name: self.required_text(Column::Name, cell::check_name).into(),
            weight: self.required_integer(Column::Weight, 1, MAX_COUNT),
            tokens_per_minute: self.integer(Column::TokensPerMinute, 1, MAX_AMOUNT),
            max_running: self.integer(Column::MaxRunning, 1, MAX_COUNT).map(|count| count as u32),
            max_waiting: self
                .integer(Column::MaxWaiting, 0, MAX_COUNT)
                .map_or(DEFAULT_MAX_WAITING, |count| count as u32),
        };
        OrganisationRow { organisation, routes: self.routes() }
    }

    fn data_centre(&mut self) -> DataCentre {
        DataCentre {
            name: self.required_text(Column::Name, cell::check_ascii_name).into(),
            region: self.required_text(Column::Region, cell::check_ascii_name).into(),
            in_service: self.yes_no(Column::InService, Some(true)),
        }
    }

    fn backend_server(&mut self) -> BackendServer {
        let server = BackendServer {
            name: self.required_text(Column::Name, cell::check_ascii_name).into(),
            data_centre: self.required_text(Column::DataCentre, |_| Ok(())).into(),
            address: self
                .required_text(Column::Address, cell::check_address)
                .trim_end_matches('/')
                .into(),
            routes: self.routes(),
            kind: self.kind(),
            price: self.thousandths(Column::Price, MAX_AMOUNT).unwrap_or_default(),
            slots: self.required_integer(Column::Slots, 1, MAX_COUNT),
            cold_limit: self.required_integer(Column::ColdLimit, 1, MAX_COUNT),
            checks_fencing: self.yes_no(Column::ChecksFencing, Some(false)),
            in_service: self.yes_no(Column::InService, Some(true)),
        };
        if server.cold_limit > server.slots {
            self.add_problem(
                Column::ColdLimit,
                format!("must not exceed the slots ({})", server.slots),
            );
        }
        server
    }

    fn kind(&mut self) -> ServerKind {
        match self.text(Column::Kind).to_lowercase().as_str() {
            "" | "standard" => ServerKind::Standard,
            "reclaimable" => ServerKind::Reclaimable,
            _ => {
                self.add_problem(Column::Kind, "use standard or reclaimable");
                ServerKind::Standard
            }
        }
    }
}
