//! The client of the backend server interface.

use std::collections::BTreeSet;

use reqwest::{StatusCode, Url};
use serde_json::json;

use super::intent::Intent;
use crate::lease::{ACTION_TIMEOUT, Permit};
use crate::names::{BackendServerName, DataCentreName};

/// How sending an order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendOutcome {
    /// The interface carried it out, now or before.
    Done,
    /// The backend server has seen a greater fencing number.
    Fenced,
    /// There was no clear answer: the same order must be sent again.
    Unknown(String),
    /// The lease ends before the order's deadline, so nothing was sent.
    InsufficientLeaseTime,
}

/// A backend server as the interface lists it.
#[derive(Debug, serde::Deserialize)]
struct ListedServer {
    name: BackendServerName,
    state: ServerState,
}

/// State of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Running,
    Starting,
    Stopped,
}

/// The interface's list of backend servers.
#[derive(Debug, serde::Deserialize)]
struct ServerList {
    items: Vec<ListedServer>,
}

/// Sends orders.
#[derive(Debug, Clone)]
pub struct OrderClient {
    http: reqwest::Client,
    base: String,
}

impl OrderClient {
    /// Makes a client for the interface at a base URL.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let http = crate::platform::http::client()?;
        Ok(Self { http, base: base.trim_end_matches('/').to_owned() })
    }

    /// Sends an order with the fencing number of the permit; its deadline lies within the permit.
    pub async fn send(&self, permit: &Permit<'_>, holder: &str, intent: &Intent) -> SendOutcome {
        let Some(url) = self.url(intent) else {
            return SendOutcome::Unknown("the interface has no valid URL".to_owned());
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

    /// Returns the backend servers of a data centre that run or start; none without an answer.
    pub async fn running(
        &self,
        data_centre: &DataCentreName,
    ) -> Option<BTreeSet<BackendServerName>> {
        let url = self.base_url(&["data-centres", data_centre.as_str(), "backend-servers"])?;
        let rsp = self.http.get(url).timeout(ACTION_TIMEOUT).send().await.ok()?;
        let list: ServerList = rsp.error_for_status().ok()?.json().await.ok()?;
        let active = list.items.into_iter().filter(|item| item.state != ServerState::Stopped);
        Some(active.map(|item| item.name).collect())
    }

    fn url(&self, intent: &Intent) -> Option<Url> {
        self.base_url(&[
            "data-centres",
            intent.data_centre.as_str(),
            "backend-servers",
            intent.server.as_str(),
            "orders",
        ])
    }

    /// Returns a URL below the base; names are escaped as path segments.
    fn base_url(&self, segments: &[&str]) -> Option<Url> {
        let mut url = Url::parse(&self.base).ok()?;
        url.path_segments_mut().ok()?.pop_if_empty().extend(segments);
        Some(url)
    }
}
