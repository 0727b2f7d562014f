//! Settings of a gateway instance.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{DataCentreName, InstanceName};
use crate::routing::budget::RetryBudgetSettings;
use crate::routing::choose::ChoiceSettings;
use crate::routing::cold::ColdSettings;
use crate::routing::scaling::ScalingSettings;

/// Settings of a gateway instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of this instance, unique in the fleet.
    pub instance: InstanceName,
    /// Data centre that this instance stands in.
    pub data_centre: DataCentreName,
    /// Address for callers.
    pub request_address: SocketAddr,
    /// Address that answers whether this instance takes connections.
    pub ready_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Peers to ask at the start.
    pub seeds: Vec<SocketAddr>,
    /// The platform's metadata store.
    pub store_address: SocketAddr,
    /// The platform's interface for usage reports and orders.
    pub duties_address: Option<SocketAddr>,
    /// Time after which a withdrawn key must not work.
    pub revocation_bound: Duration,
    /// Time from the signal to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Term of the lease of a duty.
    pub lease_term: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window in which its report is due.
    pub usage_deadline: Duration,
    /// Bounds of repeats.
    pub budget: RetryBudgetSettings,
    /// Bounds of requests to cold backend servers.
    pub cold: ColdSettings,
    /// Weights of the choice of a backend server.
    pub choice: ChoiceSettings,
    /// Backend servers to order.
    pub scaling: ScalingSettings,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance: "instance".into(),
            data_centre: "data-centre".into(),
            request_address: unset,
            ready_address: unset,
            peer_address: unset,
            metrics_address: unset,
            seeds: Vec::new(),
            store_address: unset,
            duties_address: None,
            revocation_bound: Duration::from_secs(5),
            shutdown_grace: Duration::from_secs(8),
            lease_term: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            usage_deadline: Duration::from_secs(10),
            budget: RetryBudgetSettings::default(),
            cold: ColdSettings::default(),
            choice: ChoiceSettings::default(),
            scaling: ScalingSettings::default(),
        }
    }
}
