//! Builds sheets row by row.

use std::fmt::Write;

use super::fleet::Placement;

/// Columns that the tests use.
const COLUMNS: [&str; 25] = [
    "table",
    "name",
    "tier",
    "first-token-ms",
    "token-gap-ms",
    "promised-share",
    "repeatable",
    "model",
    "path-prefix",
    "access",
    "class",
    "weight",
    "tokens-per-minute",
    "max-running",
    "max-waiting",
    "region",
    "data-centre",
    "address",
    "routes",
    "kind",
    "price",
    "slots",
    "cold-limit",
    "checks-fencing",
    "in-service",
];

/// A sheet under construction.
#[derive(Debug, Clone)]
pub struct Sheet {
    text: String,
}

impl Default for Sheet {
    fn default() -> Self {
        Self { text: format!("{}\n", COLUMNS.join(",")) }
    }
}

impl Sheet {
    /// Adds a row to a table.
    pub fn row(mut self, table: &str, name: &str, cells: &[(&str, &str)]) -> Self {
        let value = |column: &str| match column {
            "table" => table,
            "name" => name,
            other => cells.iter().find(|(known, _)| *known == other).map_or("", |(_, text)| text),
        };
        let row: Vec<&str> = COLUMNS.iter().map(|column| value(column)).collect();
        let _ = writeln!(self.text, "{}", row.join(","));
        self
    }

    /// Adds a class.
    pub fn class(self, name: &str, tier: &str, share: &str, repeatable: bool) -> Self {
        let repeatable = if repeatable { "yes" } else { "no" };
        let cells = [
            ("tier", tier),
            ("first-token-ms", "5000"),
            ("token-gap-ms", "1000"),
            ("promised-share", share),
            ("repeatable", repeatable),
        ];
        self.row("class", name, &cells)
    }

    /// Adds a route to a model.
    pub fn model_route(self, name: &str, model: &str, class: &str) -> Self {
        self.row("route", name, &[("model", model), ("class", class), ("access", "granted")])
    }

    /// Adds a route to a plain service.
    pub fn prefix_route(self, name: &str, prefix: &str, class: &str) -> Self {
        self.row("route", name, &[("path-prefix", prefix), ("class", class), ("access", "granted")])
    }

    /// Adds an organisation with the routes granted to it.
    pub fn organisation(self, name: &str, routes: &str) -> Self {
        let cells = [("weight", "1"), ("max-waiting", "100"), ("routes", routes)];
        self.row("organisation", name, &cells)
    }

    /// Adds an organisation with a limit on its running requests.
    pub fn limited_organisation(self, name: &str, routes: &str, max_running: usize) -> Self {
        let max_running = max_running.to_string();
        let cells = [
            ("weight", "1"),
            ("max-waiting", "100"),
            ("routes", routes),
            ("max-running", max_running.as_str()),
        ];
        self.row("organisation", name, &cells)
    }

    /// Adds a data centre.
    pub fn data_centre(self, name: &str, region: &str) -> Self {
        self.row("data-centre", name, &[("region", region), ("in-service", "yes")])
    }

    /// Adds a backend server.
    pub fn backend_server(
        self,
        place: &Placement,
        address: &str,
        slots: usize,
        cold_limit: usize,
    ) -> Self {
        let cells = [
            ("data-centre", place.data_centre.as_str()),
            ("address", address),
            ("routes", &place.routes),
            ("kind", "standard"),
            ("price", "1"),
            ("slots", &slots.to_string()),
            ("cold-limit", &cold_limit.min(slots).to_string()),
            ("checks-fencing", "yes"),
            ("in-service", "yes"),
        ];
        self.row("backend-server", &place.name, &cells)
    }

    /// Returns the text of the sheet.
    pub fn text(&self) -> &str {
        &self.text
    }
}
