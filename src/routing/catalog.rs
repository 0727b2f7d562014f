//! The operator's configuration of routes, services and organisations, with lookups.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrganisationName, RouteName};
use crate::routing::urgency::UrgencyScale;

crate::name! {
    /// Name of a service: a group of backend servers that run the same program.
    ServiceName
}

choice! {
    /// How a request may be retried, and whether its response is an event stream.
    pub enum RequestKind {
        /// May run any number of times.
        Idempotent,
        /// May run at most once.
        Once,
        /// An event stream that may run at most once.
        Stream,
        /// An event stream that another backend server may resume after its last event.
        ResumableStream,
    }
}

impl RequestKind {
    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request may be retried when it is unknown whether it ran.
    pub fn is_safe_to_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One of the services that the traffic of a route is split among.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the traffic, relative to the other weights.
    pub weight: u32,
}

/// A route: requests to one host below a path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: RouteName,
    /// Host name of the requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How its requests may be retried.
    pub request_kind: RequestKind,
    /// Request timeout.
    pub timeout: Duration,
    /// Target latency of a response, or of the first event of a stream.
    pub latency_target: Duration,
    /// Priority of its requests; 0 is the highest.
    pub tier: u8,
    /// Services that its traffic is split among.
    pub weighted_services: Vec<WeightedService>,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Target for the longest pause between two events of a stream.
    pub gap_target: Duration,
}

impl Route {
    /// Returns whether a part of the traffic goes to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.weighted_services.iter().any(|share| share.service == *service && share.weight > 0)
    }

    /// Picks a service by weight; `sample` is a uniform random number in 0..1.
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

/// Scaling parameters of a service in each data centre.
#[derive(Debug, Clone)]
pub struct Scaling {
    /// Minimum number of backend servers.
    pub min: u32,
    /// Maximum number of backend servers, spot servers included.
    pub max: u32,
    /// Price of a spot server relative to an on-demand server.
    pub spot_price_ratio: f64,
    /// Time from an order until the new backend server serves requests.
    pub startup_time: Duration,
    /// Price of a backend server per second, by data centre.
    pub prices: HashMap<Arc<str>, f64>,
}

/// Configuration of a service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that a backend server accepts, from all instances together.
    pub max_connections: u32,
    /// Cold period of a backend server after its ejection or the end of an evacuation. After its
    /// start, its registry entry states the remaining period.
    pub cold_period: Duration,
    /// Maximum request rate of a cold backend server, per second; 0 for no limit.
    pub cold_requests_per_s: f64,
    /// Whether its backend servers are model inference engines.
    pub is_engine: bool,
    /// Scaling parameters; `None` if backend servers are not ordered for this service.
    pub scaling: Option<Scaling>,
}

/// An organisation whose API keys callers use.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Priority of its requests, which goes before that of the route; 0 is the highest.
    pub tier: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of the header section in bytes.
    pub max_header: usize,
    /// Maximum size of the body in bytes.
    pub max_body: usize,
    /// Idle timeout of a connection.
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
    /// Version; increases with each change.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Organisation>>,
    needs_keys: bool,
    urgencies: UrgencyScale,
}

/// The parts that a [`Catalog`] is built from.
#[derive(Debug, Clone, Default)]
pub struct CatalogParts {
    /// Version of the configuration.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Organisations with their API keys; `None` if requests need no key.
    pub organisations: Option<Vec<(Organisation, Vec<Arc<str>>)>>,
}

impl Catalog {
    /// Builds the lookups of a configuration version.
    pub fn new(parts: CatalogParts) -> Self {
        let urgencies = urgency_scale(&parts);
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
        let CatalogParts { version, limits, .. } = parts;
        Self { version, limits, routes, services, keys, needs_keys, urgencies }
    }

    /// Returns the urgency that backend servers are told for a request.
    pub fn urgency(&self, route: &Route, organisation: Option<&Organisation>) -> u8 {
        let priority = organisation.and_then(|organisation| organisation.tier);
        self.urgencies.urgency(priority, route.tier)
    }

    /// Returns the route of the host with the longest prefix of the path. `host` may contain a port
    /// and capital letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.routes.get(host.as_str())?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether requests to routes that are not public need an API key.
    pub fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

fn urgency_scale(parts: &CatalogParts) -> UrgencyScale {
    let routes: BTreeSet<u8> = parts.routes.iter().map(|route| route.tier).collect();
    let organisations = parts.organisations.iter().flatten();
    let mut priorities: BTreeSet<Option<u8>> = organisations.map(|(o, _)| o.tier).collect();
    priorities.insert(None);
    UrgencyScale::new(&routes, &priorities)
}
