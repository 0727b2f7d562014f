//! The usage-report interface: accepts each window of an organisation once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::host::{Call, Reply};

/// Figures of one organisation in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageFigures {
    /// Requests.
    pub requests: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of answers.
    pub output_tokens: u64,
}

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportEnd {
    /// It was the first and counts.
    Accepted,
    /// It repeats the accepted figures.
    Repeated,
    /// It differs from the accepted figures, which is a fault of the sender.
    Differing,
}

/// A report as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: String,
    /// The organisation.
    pub organisation: String,
    /// The figures.
    pub figures: UsageFigures,
    /// What became of it.
    pub end: ReportEnd,
}

/// All reports.
#[derive(Debug, Default)]
pub(super) struct Reports {
    accepted: BTreeMap<(String, String), UsageFigures>,
    arrivals: Vec<Report>,
}

impl Reports {
    /// Takes a report in.
    pub(super) fn take(&mut self, window: &str, organisation: &str, call: &Call) -> Reply {
        let figures: UsageFigures = match call.json() {
            Ok(figures) => figures,
            Err(reply) => return reply,
        };
        let key = (window.to_owned(), organisation.to_owned());
        let end = match self.accepted.get(&key) {
            None => ReportEnd::Accepted,
            Some(known) if *known == figures => ReportEnd::Repeated,
            Some(_) => ReportEnd::Differing,
        };
        if end == ReportEnd::Accepted {
            self.accepted.insert(key.clone(), figures);
        }
        let (window, organisation) = key;
        self.arrivals.push(Report { window, organisation, figures, end });
        match end {
            ReportEnd::Differing => Reply::error(409, "the figures differ from those accepted"),
            _ => Reply::done(),
        }
    }

    pub(super) fn arrivals(&self) -> Vec<Report> {
        self.arrivals.clone()
    }

    pub(super) fn accepted(&self) -> BTreeMap<(String, String), UsageFigures> {
        self.accepted.clone()
    }
}
