//! Calls to the platform that only the holder of the duty lease makes: usage reports and scaling.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

use super::headers::base_url;
use super::objects::{PlatformError, check_status};
use crate::names::{DataCentreName, InstanceName};
use crate::routing::catalog::ServiceName;
use crate::routing::windows::RequestCounts;

const HOLDER_HEADER: &str = "X-Laburnumvalve-Duty-Holder";
const FENCING_TOKEN_HEADER: &str = "X-Laburnumvalve-Fencing-Token";

/// Timeout of a call, after which its outcome is unknown.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Identity of the lease holder that makes a call.
#[derive(Debug, Clone)]
pub struct HolderIdentity {
    /// Instance that holds the lease.
    pub instance: InstanceName,
    /// Epoch of the lease, which grows with each change of holder.
    pub fencing_token: u64,
}

/// Order that sets the desired count of backend servers of a service in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Desired count of spot or on-demand servers.
    pub count: u32,
    /// Whether the order is for spot servers, which the platform may reclaim.
    pub is_spot: bool,
}

/// Client of the platform's interface for usage reports and scaling; clones share connections.
#[derive(Debug, Clone)]
pub struct DutyClient {
    http: reqwest::Client,
    base: String,
}

impl DutyClient {
    /// Creates a client.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> eyre::Result<Self> {
        Ok(Self { http: super::http::client()?, base: base_url(address) })
    }

    /// Reports the request counts of a usage window.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if the platform has seen the fencing token of a later holder;
    /// others if the call failed.
    pub async fn report_usage(
        &self,
        identity: &HolderIdentity,
        window: u64,
        counts: &RequestCounts,
    ) -> Result<(), PlatformError> {
        let body = json!({ "window-id": window, "counts": counts });
        self.call("usage", identity, &body).await
    }

    /// Sets the desired count of backend servers.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if no servers are available or the platform has seen the fencing
    /// token of a later holder; others if the call failed.
    pub async fn set_desired_count(
        &self,
        identity: &HolderIdentity,
        order: &Order,
    ) -> Result<(), PlatformError> {
        let mut body = json!({
            "service": order.service,
            "zone": order.data_centre,
            "desired-count": order.count,
        });
        if order.is_spot {
            body["spot"] = true.into();
        }
        self.call("scale", identity, &body).await
    }

    async fn call(
        &self,
        path: &str,
        identity: &HolderIdentity,
        body: &serde_json::Value,
    ) -> Result<(), PlatformError> {
        let req = self
            .http
            .post(format!("{}/{path}", self.base))
            .header(HOLDER_HEADER, identity.instance.as_str())
            .header(FENCING_TOKEN_HEADER, identity.fencing_token)
            .timeout(CALL_TIMEOUT)
            .json(body);
        let rsp = req.send().await.map_err(|error| super::objects::call_error(&error))?;
        check_status(rsp.status())
    }
}
