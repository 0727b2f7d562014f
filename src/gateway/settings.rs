//! Settings of the gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::names::{DataCentreName, InstanceName};
use crate::routing::budget::RetryBudgetSettings;
use crate::routing::choose::ChoiceSettings;
use crate::routing::cold::ColdSettings;
use crate::routing::scaling::ScalingSettings;

/// Memory of a host that states none, in bytes.
const DEFAULT_MAX_MEMORY: usize = 256 << 20;
/// Memory that a connection of a caller takes with a small request, in bytes: the buffers of the HTTP
/// library on it and on the connection to a backend server, the body, and the state of the request.
const CONNECTION_BYTES: usize = 40 << 10;

/// Part of the memory that large bodies of callers may take: a fourth, as a body that is being read may
/// take twice its size for a moment.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Settings of a gateway instance.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Name of this instance, unique in the fleet.
    pub instance: InstanceName,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Address that serves callers' requests.
    pub request_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address that serves pull requests of peers.
    pub peer_address: SocketAddr,
    /// Address that serves metrics.
    pub metrics_address: SocketAddr,
    /// Address for datagrams of peers.
    pub datagram_address: SocketAddr,
    /// Peers to pull from while no other instance is known.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's metadata store.
    pub store_address: SocketAddr,
    /// Address that takes usage reports and orders of backend servers; without it, none are sent.
    pub duties_address: Option<SocketAddr>,
    /// Maximum time for which a withdrawn key is still accepted.
    pub max_withdrawal_delay: Duration,
    /// Memory above which the process is killed, in bytes.
    pub max_memory: usize,
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Term of the duty lease.
    pub lease_term: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a window within which its report is due.
    pub max_usage_report_delay: Duration,
    /// Retry budget.
    pub budget: RetryBudgetSettings,
    /// Rate limit of requests to cold backend servers.
    pub cold: ColdSettings,
    /// Weights for the choice of a backend server.
    pub choice: ChoiceSettings,
    /// Parameters for the number of backend servers to order.
    pub scaling: ScalingSettings,
}

impl GatewaySettings {
    /// Returns the maximum number of open connections of callers, which together take half of the
    /// memory at most.
    pub fn max_connections(&self) -> usize {
        (self.max_memory / 2 / CONNECTION_BYTES).max(1)
    }

    /// Returns the memory that large bodies of callers may take together, in bytes.
    pub fn max_body_memory(&self) -> usize {
        self.max_memory / BODY_MEMORY_DIVISOR
    }

    /// Returns whether this instance can start from the state of a seed, and is none itself.
    pub fn has_other_seed(&self) -> bool {
        !self.seeds.is_empty() && !self.seeds.contains(&self.peer_address)
    }
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
            datagram_address: unset,
            seeds: Vec::new(),
            store_address: unset,
            duties_address: None,
            max_withdrawal_delay: Duration::from_secs(5),
            max_memory: DEFAULT_MAX_MEMORY,
            shutdown_grace: Duration::from_secs(8),
            lease_term: Duration::from_secs(3),
            usage_window: Duration::from_secs(5),
            max_usage_report_delay: Duration::from_secs(10),
            budget: RetryBudgetSettings::default(),
            cold: ColdSettings::default(),
            choice: ChoiceSettings::default(),
            scaling: ScalingSettings::default(),
        }
    }
}
