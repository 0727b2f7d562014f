//! Data model of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::names::{
    BackendServerName, ClassName, DataCentreName, KeyId, ModelName, OrganisationName, RegionName,
    RouteName,
};

/// Number of service tiers; tier 0 is the highest.
pub const TIERS: usize = 6;

/// A service tier; 0 is the highest.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Tier(pub u8);

choice! {
    /// Whether a request of a class may be executed more than once.
    pub enum Repeatability {
        /// Executing it twice has the same effect as executing it once.
        Idempotent,
        /// It must be executed at most once.
        NonIdempotent,
    }

    /// How the platform provides a backend server.
    pub enum ServerKind {
        /// On-demand: runs until it is stopped.
        Standard,
        /// Spot: cheaper, but the platform may reclaim it within seconds.
        Reclaimable,
    }
}

value! {
    /// An organisation with its limits.
    pub struct Organisation {
        /// The name.
        pub name: OrganisationName,
        /// Weight of its fair share within a class; at least 1.
        pub weight: u32,
        /// Limit of tokens per minute over all instances; unlimited if absent.
        pub tokens_per_minute: Option<u64>,
        /// Limit of concurrently running requests over all instances; unlimited if absent.
        pub max_running: Option<u32>,
        /// Limit of requests waiting in one queue.
        pub max_waiting: u32,
    }

    /// A request class.
    pub struct Class {
        /// The name.
        pub name: ClassName,
        /// The tier; 0 is the highest.
        pub tier: Tier,
        /// Target for the time to the first token, in milliseconds.
        pub first_token_ms: u32,
        /// Target for the time between tokens, in milliseconds.
        pub token_gap_ms: u32,
        /// Share of each backend server that is reserved for the class, in thousandths.
        pub promised_share: u16,
        /// Whether its requests may be executed more than once.
        pub repeatability: Repeatability,
    }

    /// Access to a route.
    pub enum Access {
        /// Every organisation, and callers without a key.
        Open,
        /// Only the listed organisations.
        Granted(BTreeSet<OrganisationName>),
    }

    /// Which requests a route matches.
    pub enum RouteTarget {
        /// Requests to a model, by the name in the request body.
        Model(ModelName),
        /// Requests to a plain service, by a path prefix that starts with a slash.
        Prefix(String),
    }

    /// A route from a model name or a path prefix to backend servers.
    pub struct Route {
        /// The name, by which backend servers list the routes that they serve.
        pub name: RouteName,
        /// Which requests it matches.
        pub target: RouteTarget,
        /// Who may use it.
        pub access: Access,
        /// Default class of its requests; a key or a header may override it.
        pub class: ClassName,
    }

    /// A data centre.
    pub struct DataCentre {
        /// The name.
        pub name: DataCentreName,
        /// The region of the data centre.
        pub region: RegionName,
        /// Whether it accepts new requests.
        pub in_service: bool,
    }

    /// A backend server: a model engine or a plain service.
    pub struct BackendServer {
        /// The name.
        pub name: BackendServerName,
        /// The data centre of the backend server.
        pub data_centre: DataCentreName,
        /// Base URL, such as `http://10.0.0.7:8000`.
        pub address: String,
        /// The routes that it serves.
        pub routes: BTreeSet<RouteName>,
        /// Whether it is an on-demand or a spot server.
        pub kind: ServerKind,
        /// Price per hour, in thousandths of the currency unit.
        pub price: u64,
        /// Limit of concurrent requests when warm.
        pub slots: u32,
        /// Limit of concurrent requests during cold start.
        pub cold_limit: u32,
        /// Whether it rejects orders with an outdated fencing token.
        pub checks_fencing: bool,
        /// Whether it accepts new requests.
        pub in_service: bool,
    }

    /// An API key, identified by its hash; the key itself is not stored.
    pub struct Key {
        /// Public identifier.
        pub id: KeyId,
        /// The organisation that the requests with this key belong to.
        pub organisation: OrganisationName,
        /// Default class of its requests; a header may override it.
        pub default_class: Option<ClassName>,
        /// Classes that its requests may select by header.
        pub allowed_classes: BTreeSet<ClassName>,
        /// Whether it was withdrawn, which can't be undone.
        pub withdrawn: bool,
    }
}

/// SHA-256 of a key, in lower-case hexadecimal.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hashes a key in clear text, as the caller sent it.
    pub fn of(key: &str) -> Self {
        Self(hex::encode(Sha256::digest(key.as_bytes())))
    }
}

/// An accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Config {
    /// The accepted version; 0 if none was accepted yet.
    pub version: u64,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationName, Organisation>,
    /// Classes by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<BackendServerName, BackendServer>,
    /// Keys by hash.
    pub keys: BTreeMap<KeyHash, Key>,
}

impl Class {
    /// Returns the target for the time to the first token.
    pub fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_ms.into())
    }

    /// Returns the target for the time between tokens.
    pub fn token_gap_target(&self) -> Duration {
        Duration::from_millis(self.token_gap_ms.into())
    }
}

impl Config {
    /// Returns the route of a model.
    pub fn model_route(&self, model: &str) -> Option<&Route> {
        self.routes.values().find(
            |route| matches!(&route.target, RouteTarget::Model(name) if name.as_str() == model),
        )
    }

    /// Returns the route with the longest path prefix that matches a path.
    pub fn path_route(&self, path: &str) -> Option<&Route> {
        self.routes
            .values()
            .filter_map(|route| match &route.target {
                RouteTarget::Prefix(prefix) if is_path_prefix(prefix, path) => {
                    Some((prefix.len(), route))
                }
                _ => None,
            })
            .max_by_key(|(length, _)| *length)
            .map(|(_, route)| route)
    }

    /// Returns the backend servers that serve a route.
    pub fn servers_of<'a>(
        &'a self,
        route: &'a RouteName,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        self.backend_servers.values().filter(move |server| server.routes.contains(route))
    }
}

/// Returns whether a path is equal to a prefix or below it, comparing whole segments.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
