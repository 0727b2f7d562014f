//! Parser of the settings file that the platform writes, with lines of the form `a.b=value`.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::gateway::GatewaySettings;
use crate::routing::budget::RetryBudgetSettings;
use crate::routing::cold::ColdSettings;

/// Environment variable that holds the path of the settings file.
pub const PATH_ENV: &str = "LABURNUMVALVE_CONFIG";

/// A field of the settings file that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidField {
    /// Name of the field.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// All missing or malformed fields of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings(pub Vec<InvalidField>);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} field(s) of the settings file can't be used:", self.0.len())?;
        self.0
            .iter()
            .try_for_each(|invalid| write!(f, "\n  {}: {}", invalid.field, invalid.problem))
    }
}

impl std::error::Error for InvalidSettings {}

/// Fields of a settings file, with the problems found so far.
struct Fields<'a> {
    values: BTreeMap<&'a str, &'a str>,
    problems: Vec<InvalidField>,
}

impl<'a> Fields<'a> {
    fn add_problem(&mut self, field: &str, problem: impl Into<String>) {
        self.problems.push(InvalidField { field: field.to_owned(), problem: problem.into() });
    }

    fn parse_optional<T: FromStr<Err: fmt::Display>>(&mut self, field: &str) -> Option<T> {
        let text = self.values.get(field).copied().filter(|text| !text.is_empty())?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_problem(field, format!("\"{text}\": {error}"));
                None
            }
        }
    }

    fn parse_required<T: FromStr<Err: fmt::Display>>(&mut self, field: &str, fallback: T) -> T {
        if self.values.get(field).is_none_or(|text| text.is_empty()) {
            self.add_problem(field, "is missing");
            return fallback;
        }
        self.parse_optional(field).unwrap_or(fallback)
    }

    /// Parses a duration given as a number of `unit`; a missing field has the default.
    fn parse_duration(&mut self, field: &str, unit: Duration, default: Duration) -> Duration {
        match self.parse_optional::<f64>(field) {
            Some(count) if count.is_finite() && count >= 0.0 => unit.mul_f64(count),
            Some(count) => {
                self.add_problem(field, format!("{count} is not a time"));
                default
            }
            None => default,
        }
    }

    fn parse_addresses(&mut self, field: &str) -> Vec<SocketAddr> {
        let text = self.values.get(field).copied().unwrap_or_default();
        let mut found = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => found.push(address),
                Err(error) => self.add_problem(field, format!("\"{part}\": {error}")),
            }
        }
        found
    }
}

/// Parses the text of a settings file.
///
/// # Errors
/// Fails if a field is missing or malformed; the error names all such fields.
pub fn parse(text: &str) -> Result<GatewaySettings, InvalidSettings> {
    let mut fields = Fields { values: BTreeMap::new(), problems: Vec::new() };
    for (index, line) in text.lines().map(str::trim).enumerate() {
        match line.split_once('=') {
            Some((field, value)) => {
                fields.values.insert(field, value);
            }
            None if line.is_empty() => {}
            None => fields.add_problem(&format!("line {}", index + 1), "it has no \"=\""),
        }
    }
    let cfg = read_settings(&mut fields);
    if fields.problems.is_empty() { Ok(cfg) } else { Err(InvalidSettings(fields.problems)) }
}

fn read_settings(fields: &mut Fields<'_>) -> GatewaySettings {
    const MS: Duration = Duration::from_millis(1);
    const S: Duration = Duration::from_secs(1);
    let default = GatewaySettings::default();
    let peer_address = fields.parse_required("listen.control", default.peer_address);
    // The first internal port serves metrics, as declared to the platform in deploy/system.toml, and
    // by UDP datagrams of peers.
    let internal_address = SocketAddr::new(peer_address.ip(), first_internal_port(fields));
    let budget = RetryBudgetSettings {
        ratio: fields.parse_optional("bounds.retry-budget-ratio").unwrap_or(default.budget.ratio),
        slack: fields.parse_optional("bounds.budget-slack").unwrap_or(default.budget.slack),
        window: fields.parse_duration("bounds.budget-window-s", S, default.budget.window),
    };
    let cold = ColdSettings {
        overage: fields.parse_optional("bounds.cold-overage").unwrap_or(default.cold.overage),
        slack: fields.parse_optional("bounds.cold-slack").unwrap_or(default.cold.slack),
    };
    GatewaySettings {
        cold,
        instance: fields.parse_required("node", String::new()).into(),
        data_centre: fields.parse_required("zone", String::new()).into(),
        request_address: fields.parse_required("listen.front", default.request_address),
        ready_address: fields.parse_required("listen.ready", default.ready_address),
        metrics_address: internal_address,
        datagram_address: internal_address,
        peer_address,
        seeds: fields.parse_addresses("seeds"),
        store_address: fields.parse_required("platform.address", default.store_address),
        duties_address: fields.parse_optional("cloud.address"),
        max_withdrawal_delay: fields.parse_duration(
            "bounds.revoke-ms",
            MS,
            default.max_withdrawal_delay,
        ),
        max_memory: fields
            .parse_optional::<usize>("limits.memory-mb")
            .map_or(default.max_memory, |mb| mb.saturating_mul(1 << 20)),
        shutdown_grace: fields.parse_duration("bounds.grace-s", S, default.shutdown_grace),
        lease_term: fields.parse_duration("bounds.lease-ms", MS, default.lease_term),
        usage_window: fields.parse_duration("bounds.usage-window-s", S, default.usage_window),
        max_usage_report_delay: fields.parse_duration(
            "bounds.usage-late-s",
            S,
            default.max_usage_report_delay,
        ),
        budget,
        ..default
    }
}

fn first_internal_port(fields: &mut Fields<'_>) -> u16 {
    let text = fields.values.get("internal-ports").copied().unwrap_or_default();
    match text.split(',').next().unwrap_or_default().parse() {
        Ok(port) => port,
        Err(error) => {
            fields.add_problem("internal-ports", format!("\"{text}\": {error}"));
            0
        }
    }
}
