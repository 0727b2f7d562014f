//! HTTP client of the platform's interface for backend servers.

use std::collections::BTreeSet;

use reqwest::{StatusCode, Url};
use serde_json::json;

use super::intent::Intent;
use crate::lease::{ACTION_TIMEOUT, Permit};
use crate::names::{BackendServerName, DataCentreName};

/// Outcome of sending an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The interface has executed the order, now or on an earlier send.
    Done,
    /// The order was refused because the backend server has seen a higher fencing token.
    Fenced,
    /// The order was rejected for another reason, or its outcome is unknown; contains the reason.
    /// The same order must be sent again.
    Unknown(String),
    /// Nothing was sent, because the lease would end before the request times out.
    InsufficientLeaseTime,
}

/// A backend server in the interface's list.
#[derive(Debug, serde::Deserialize)]
struct ListedServer {
    name: BackendServerName,
    state: ServerState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Running,
    Starting,
    Stopped,
}

/// Response body with the backend servers of a data centre.
#[derive(Debug, serde::Deserialize)]
struct ServerList {
    items: Vec<ListedServer>,
}

/// Client that sends orders and lists backend servers.
#[derive(Debug, Clone)]
pub struct OrderClient {
    http: reqwest::Client,
    base: String,
}

impl OrderClient {
    /// Creates a client for the interface at a base URL.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let http = crate::platform::http::client()?;
        Ok(Self { http, base: base.trim_end_matches('/').to_owned() })
    }

    /// Sends an order with the epoch of the permit as the fencing token.
    ///
    /// It is sent only if the permit lasts at least as long as the request timeout.
    pub async fn send(&self, permit: &Permit<'_>, holder: &str, intent: &Intent) -> SendOutcome {
        let Some(url) = self.order_url(intent) else {
            return SendOutcome::Unknown(
                "cannot build the order URL from the base URL of the order interface".to_owned(),
            );
        };
        let (order, argument) = intent.action.order_and_argument();
        let body = json!({
            "id": intent.id,
            "order": order,
            "argument": argument,
            "fencing": permit.epoch(),
            "holder": holder,
        });
        let req = self.http.post(url).timeout(ACTION_TIMEOUT).json(&body);
        if permit.remaining() < ACTION_TIMEOUT {
            return SendOutcome::InsufficientLeaseTime;
        }
        match req.send().await {
            Ok(rsp) if rsp.status().is_success() => SendOutcome::Done,
            Ok(rsp) if rsp.status() == StatusCode::CONFLICT => SendOutcome::Fenced,
            Ok(rsp) => SendOutcome::Unknown(rsp.status().to_string()),
            Err(error) => SendOutcome::Unknown(error.to_string()),
        }
    }

    /// Returns the running and starting backend servers of a data centre, or `None` if the request
    /// failed.
    pub async fn active_servers(
        &self,
        data_centre: &DataCentreName,
    ) -> Option<BTreeSet<BackendServerName>> {
        let url = self.endpoint_url(&["data-centres", data_centre.as_str(), "backend-servers"])?;
        let rsp = self.http.get(url).timeout(ACTION_TIMEOUT).send().await.ok()?;
        let list: ServerList = rsp.error_for_status().ok()?.json().await.ok()?;
        let active = list.items.into_iter().filter(|item| item.state != ServerState::Stopped);
        Some(active.map(|item| item.name).collect())
    }

    fn order_url(&self, intent: &Intent) -> Option<Url> {
        self.endpoint_url(&[
            "data-centres",
            intent.data_centre.as_str(),
            "backend-servers",
            intent.server.as_str(),
            "orders",
        ])
    }

    /// Appends path segments to the base URL, percent-encoding each of them.
    fn endpoint_url(&self, segments: &[&str]) -> Option<Url> {
        let mut url = Url::parse(&self.base).ok()?;
        url.path_segments_mut().ok()?.pop_if_empty().extend(segments);
        Some(url)
    }
}
