//! Decodes the operator's configuration and the entries of backend servers in the platform's store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::json_text::JsonText;
use crate::routing::catalog::{
    CallerLimits, Catalog, CatalogParts, Organisation, RequestKind, Route, Scaling, Service,
    WeightedService,
};
use crate::routing::fleet::Registration;

/// Tier of a route without a priority.
const DEFAULT_TIER: f64 = 5.0;
/// Maximum size of the used fields of a backend server's entry: some twenty times that of the usual
/// ones.
const MAX_SERVER_ENTRY_BYTES: usize = 4 << 10;
/// Maximum size of the version of a backend server's software, which instances send each other for
/// every stream.
const MAX_VERSION_BYTES: usize = 128;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    priority: Option<f64>,
    service: Option<String>,
    traffic_split: Option<Vec<WireShare>>,
    max_attempts: Option<f64>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    gap_target_ms: Option<f64>,
}

#[derive(Deserialize)]
struct WireShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: String,
    max_connections: Option<f64>,
    cold_start_s: Option<f64>,
    cold_per_s: Option<f64>,
    engine: Option<WireEngine>,
    scaling: Option<WireScaling>,
}

/// Present for services whose servers are model engines.
#[derive(Deserialize)]
struct WireEngine {}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireScaling {
    min: f64,
    max: f64,
    boot_s: Option<f64>,
    spot_price: Option<f64>,
    #[serde(default)]
    zone_prices: HashMap<String, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
    max_header_bytes: Option<f64>,
    max_body_bytes: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<f64>,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
struct WireServer {
    service: String,
    address: SocketAddr,
    zone: String,
    /// Version of the software, not of a model's weights.
    #[serde(default)]
    version: String,
    slots: f64,
    state: String,
    /// Remaining cold period. A cold server isn't slow, but can take only few requests.
    cold_remaining_ms: Option<f64>,
    born: Option<u64>,
    #[serde(default)]
    spot: bool,
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e12) / 1_000.0)
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, 1e9))
}

/// Decodes a configuration.
///
/// # Errors
/// Fails if the value isn't a configuration.
pub fn decode_config(spec: &str) -> serde_json::Result<Catalog> {
    let wire: WireConfig = serde_json::from_str(spec)?;
    let default = CallerLimits::default();
    let limits = wire.limits.map_or(default, |limits| CallerLimits {
        max_header: limits.max_header_bytes.map_or(default.max_header, |bytes| bytes as usize),
        max_body: limits.max_body_bytes.map_or(default.max_body, |bytes| bytes as usize),
        idle_timeout: limits.idle_timeout_ms.map_or(default.idle_timeout, millis),
    });
    Ok(Catalog::new(CatalogParts {
        version: wire.version,
        limits,
        routes: wire.routes.into_iter().map(decode_route).collect(),
        services: wire.services.into_iter().map(decode_service).collect(),
        organisations: wire.tenants.map(|all| all.into_iter().map(decode_organisation).collect()),
    }))
}

fn decode_route(wire: WireRoute) -> Route {
    let shares = match wire.traffic_split {
        Some(split) => split
            .into_iter()
            .map(|share| WeightedService {
                service: share.service.into(),
                weight: share.weight as u32,
            })
            .collect(),
        None => wire
            .service
            .into_iter()
            .map(|service| WeightedService { service: service.into(), weight: 1 })
            .collect(),
    };
    Route {
        name: wire.name.into(),
        host: wire.host.to_ascii_lowercase().into(),
        prefix: wire.path_prefix.into(),
        request_kind: match (wire.kind.as_str(), wire.resumable) {
            ("idempotent", _) => RequestKind::Idempotent,
            ("streaming", true) => RequestKind::ResumableStream,
            ("streaming", false) => RequestKind::Stream,
            // An unknown kind is handled as the strictest one, which runs at most once.
            _ => RequestKind::Once,
        },
        timeout: wire.timeout_ms.map_or(Duration::from_secs(60), millis),
        latency_target: wire.target_latency_ms.map_or(Duration::from_secs(1), millis),
        tier: wire.priority.unwrap_or(DEFAULT_TIER) as u8,
        weighted_services: shares,
        max_attempts: wire.max_attempts.map_or(1, |count| count as u32).max(1),
        is_public: wire.public,
        gap_target: wire.gap_target_ms.map_or(Duration::from_secs(1), millis),
    }
}

fn decode_service(wire: WireService) -> Service {
    Service {
        name: wire.name.into(),
        max_connections: wire.max_connections.unwrap_or(100.0) as u32,
        cold_period: seconds(wire.cold_start_s.unwrap_or_default()),
        cold_requests_per_s: wire.cold_per_s.unwrap_or_default(),
        is_engine: wire.engine.is_some(),
        scaling: wire.scaling.map(|scaling| Scaling {
            min: scaling.min as u32,
            max: scaling.max as u32,
            spot_price_ratio: scaling.spot_price.unwrap_or(1.0),
            startup_time: seconds(scaling.boot_s.unwrap_or_default()),
            prices: scaling.zone_prices.into_iter().map(|(dc, p)| (Arc::from(dc), p)).collect(),
        }),
    }
}

fn decode_organisation(wire: WireTenant) -> (Organisation, Vec<Arc<str>>) {
    let tier = wire.priority.map(|priority| priority as u8);
    let keys = wire.api_keys.into_iter().map(Arc::from).collect();
    (Organisation { name: wire.name.into(), tier }, keys)
}

/// Returns the entry of a backend server without the fields that are not used.
///
/// # Errors
/// Fails if a field is missing or has the wrong type, or if the used fields are too long.
pub fn compact_server(spec: &str) -> Result<JsonText, String> {
    let wire: WireServer = serde_json::from_str(spec).map_err(|error| error.to_string())?;
    let compact = JsonText::encode(&wire).map_err(|error| error.to_string())?;
    let length = compact.as_str().len();
    if length > MAX_SERVER_ENTRY_BYTES {
        return Err(format!(
            "the fields have {length} bytes instead of at most {MAX_SERVER_ENTRY_BYTES}"
        ));
    }
    Ok(compact)
}

/// Decodes the entry of a backend server.
///
/// # Errors
/// Fails if a field is missing, too long or of the wrong type, or if the state is unknown.
pub fn decode_server(id: &str, spec: &str) -> Result<Registration, String> {
    let wire: WireServer = serde_json::from_str(spec).map_err(|error| error.to_string())?;
    let is_draining = match wire.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(format!("state \"{other}\" is unknown")),
    };
    let length = wire.version.len();
    if length > MAX_VERSION_BYTES {
        return Err(format!(
            "the version has {length} bytes instead of at most {MAX_VERSION_BYTES}"
        ));
    }
    Ok(Registration {
        name: id.into(),
        service: wire.service.into(),
        address: wire.address,
        data_centre: wire.zone.into(),
        version: wire.version.into(),
        slots: wire.slots as u32,
        is_draining,
        remaining_cold_period: millis(wire.cold_remaining_ms.unwrap_or_default()),
        started_at_ms: wire.born,
        is_spot: wire.spot,
    })
}
