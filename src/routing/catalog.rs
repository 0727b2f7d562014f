//! The operator's configuration of routes, services and organisations, and its lookups.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrganisationName, RouteName};

crate::name! {
    /// Name of a service: a group of backend servers that run the same program.
    ServiceName
}

choice! {
    /// What may be repeated of a request.
    pub enum RequestKind {
        /// May run any number of times.
        Idempotent,
        /// May run once.
        Once,
        /// An event stream that may run once.
        Stream,
        /// An event stream that may go on at another backend server after its last event.
        ResumableStream,
    }
}

impl RequestKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request whose fate is unknown may be sent again.
    pub fn is_safe_to_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One service among those that share the traffic of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part of the traffic, relative to the other weights.
    pub weight: u32,
}

/// Requests of one host below a path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: RouteName,
    /// Host that requests name, in lower case.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub request_kind: RequestKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time in which an answer, or the first event of a stream, is on time.
    pub latency_target: Duration,
    /// Rank of its requests; 0 is the highest.
    pub tier: u8,
    /// Services that share its traffic.
    pub weighted_services: Vec<WeightedService>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Longest pause between events for which a stream is on time.
    pub gap_target: Duration,
}

impl Route {
    /// Chooses a service for a request; `draw` is uniform in 0..1.
    pub fn pick_service(&self, sample: f64) -> Option<&ServiceName> {
        let total: f64 = self.weighted_services.iter().map(|share| f64::from(share.weight)).sum();
        let mut remaining = sample * total;
        for share in &self.weighted_services {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.weighted_services
            .iter()
            .rev()
            .find(|share| share.weight > 0)
            .map(|share| &share.service)
    }
}

/// Bounds of the number of backend servers of a service in one data centre.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// Fewest backend servers.
    pub min: u32,
    /// Most backend servers, reclaimable ones included.
    pub max: u32,
    /// Price of a reclaimable backend server, as a part of that of another one.
    pub spot_price_ratio: f64,
    /// Time from an order until a new backend server serves.
    pub startup_time: Duration,
    /// Price of a second of a backend server, by data centre.
    pub prices: HashMap<Arc<str>, f64>,
}

/// What the configuration says of a service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that each backend server accepts from all instances.
    pub max_connections: u32,
    /// How long a backend server stays cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold backend server bears; 0 if there is no limit.
    pub cold_requests_per_s: f64,
    /// Whether its backend servers are model engines.
    pub is_engine: bool,
    /// Bounds for ordering backend servers; none if they are not ordered.
    pub scaling: Option<Scaling>,
}

/// An organisation whose keys callers use.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Rank of its requests, which goes before the route's.
    pub tier: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub max_header: usize,
    /// Largest body, in bytes.
    pub max_body: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { max_header: 16 << 10, max_body: 4 << 20, idle_timeout: Duration::from_secs(15) }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its version; grows with each change.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Organisation>>,
    needs_keys: bool,
}

/// The parts of a [`Catalog`].
#[derive(Debug, Clone, Default)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations with their keys; none if requests need no key.
    pub organisations: Option<Vec<(Organisation, Vec<Arc<str>>)>>,
}

impl Catalog {
    /// Builds the lookups of a version.
    pub fn new(parts: CatalogParts) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            routes.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let needs_keys = parts.organisations.is_some();
        let mut keys = HashMap::new();
        for (organisation, api_keys) in parts.organisations.into_iter().flatten() {
            let organisation = Arc::new(organisation);
            keys.extend(api_keys.into_iter().map(|key| (key, organisation.clone())));
        }
        let services = parts.services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        Self { version: parts.version, limits: parts.limits, routes, services, keys, needs_keys }
    }

    /// Returns the route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes.get(host.as_str())?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}
