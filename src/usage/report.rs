//! HTTP client of the platform's usage-report interface.

use std::time::Duration;

use reqwest::{StatusCode, Url};

use super::tally::UsageTotals;
use crate::lease::Permit;
use crate::names::OrganisationName;

/// Timeout of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Request body of a usage report. The order of the fields is fixed.
#[derive(serde::Serialize)]
struct ReportBody {
    requests: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Outcome of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The interface has the totals.
    Accepted,
    /// The interface has different totals of the organisation for the window. This must not occur,
    /// since each window is sealed once.
    Conflict,
    /// The report was refused or not answered, so the same report must be sent again.
    Unconfirmed,
}

/// Client that sends usage reports.
#[derive(Debug, Clone)]
pub struct ReportClient {
    http: reqwest::Client,
    base: String,
}

impl ReportClient {
    /// Creates a client for the interface at a base URL.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let http = crate::platform::http::client()?;
        Ok(Self { http, base: base.trim_end_matches('/').to_owned() })
    }

    /// Returns the URL of one report, with the names percent-encoded.
    fn url(&self, window: u64, organisation: &OrganisationName) -> Option<Url> {
        let mut url = Url::parse(&self.base).ok()?;
        url.path_segments_mut().ok()?.pop_if_empty().extend([
            "usage",
            "windows",
            &window.to_string(),
            "organisations",
            organisation.as_str(),
        ]);
        Some(url)
    }

    /// Reports the sealed totals of one organisation. The request times out when the permit ends.
    pub async fn report(
        &self,
        permit: &Permit<'_>,
        window: u64,
        organisation: &OrganisationName,
        totals: UsageTotals,
    ) -> ReportOutcome {
        let Some(url) = self.url(window, organisation) else { return ReportOutcome::Unconfirmed };
        let UsageTotals { requests, prompt_tokens, output_tokens } = totals;
        let body = ReportBody { requests, prompt_tokens, output_tokens };
        let timeout = REPORT_TIMEOUT.min(permit.remaining());
        match self.http.put(url).timeout(timeout).json(&body).send().await {
            Ok(rsp) if rsp.status().is_success() => ReportOutcome::Accepted,
            Ok(rsp) if rsp.status() == StatusCode::CONFLICT => ReportOutcome::Conflict,
            Ok(rsp) => {
                let status = rsp.status();
                tracing::warn!(window, %organisation, %status, "usage report refused; will retry");
                ReportOutcome::Unconfirmed
            }
            Err(error) => {
                tracing::warn!(window, %organisation, %error, "usage report failed; will retry");
                ReportOutcome::Unconfirmed
            }
        }
    }
}
