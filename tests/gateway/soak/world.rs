//! Gateway processes and stand-ins of a soak run.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use standins::Relay;

use super::history::{Change, SharedHistory};
use crate::support::instance::{InstanceSettings, LogOutput};
use crate::support::{Instance, StandInBackend, StandInStore, config, full, serve};

/// Time after which a withdrawn key must be refused.
pub const WITHDRAWAL_BOUND: Duration = Duration::from_millis(5_000);
/// Data centres of the instances and of the backend servers.
pub const DATA_CENTRES: [&str; 2] = ["kolkata-a", "kolkata-b"];
/// Fraction of a service's requests that may be retried; low, so that faults exhaust the budget.
pub const BUDGET_RATIO: f64 = 0.02;
/// Retries that are allowed in addition in each window.
pub const BUDGET_SLACK: f64 = 6.0;
/// Rate of requests per second that a cold backend server can serve.
pub const COLD_PER_S: f64 = 6.0;
/// Key that is never withdrawn.
pub const PERMANENT_KEY: &str = "lasting";

/// Number of backend servers.
const SERVERS: usize = 6;

/// An accepted usage report.
#[derive(Debug, Clone)]
pub struct Report {
    /// Window ID.
    pub window: u64,
    /// Request counts by organisation.
    pub counts: Value,
    /// Lease holder that sent the report.
    pub holder: String,
    /// Fencing token of the holder.
    pub fence: u64,
}

/// A backend server behind a relay.
pub struct Server {
    /// Stand-in that executes the requests.
    pub backend: StandInBackend,
    /// Relay between the instances and the stand-in.
    pub relay: Relay,
    /// Data centre of the server.
    pub data_centre: &'static str,
}

impl Server {
    /// Returns the server's entry in the store.
    pub fn entry(&self, cold: Duration) -> Value {
        let mut entry = self.backend.entry();
        entry["address"] = self.relay.address().to_string().into();
        entry["zone"] = self.data_centre.into();
        entry["cold-remaining-ms"] = (cold.as_millis() as u64).into();
        entry
    }
}

/// All components of a soak run.
pub struct Cluster {
    /// History of faults and changes.
    pub history: SharedHistory,
    /// Metadata store.
    pub store: StandInStore,
    /// Relay between each instance and the store.
    pub store_relays: Vec<Relay>,
    /// Gateway processes.
    pub instances: Vec<tokio::sync::Mutex<Instance>>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Held during an evacuation, so that evacuations of the same data centre don't overlap.
    pub evacuation_locks: [tokio::sync::Mutex<()>; 2],
    /// Accepted usage reports.
    pub reports: Arc<Mutex<Vec<Report>>>,
    /// Version and keys of the latest configuration.
    latest_config: Mutex<(u64, Vec<String>)>,
    addresses: Vec<SocketAddr>,
    logs: PathBuf,
}

impl Cluster {
    /// Starts all components and waits until the instances are ready.
    pub async fn start(seed: u64, instances: usize) -> Arc<Self> {
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // Removes the logs of an earlier run, if there are any.
        let _ = std::fs::remove_dir_all(&logs);
        std::fs::create_dir_all(&logs).expect("the directory can be created");
        let store = StandInStore::start().await;
        let reports = Arc::new(Mutex::new(Vec::new()));
        let duties = serve_usage_reports(reports.clone()).await;
        let mut cluster = Self {
            history: SharedHistory::default(),
            store,
            store_relays: Vec::new(),
            instances: Vec::new(),
            servers: Vec::new(),
            evacuation_locks: Default::default(),
            reports,
            latest_config: Mutex::new((0, vec![PERMANENT_KEY.to_owned(), "guest-0".to_owned()])),
            addresses: Vec::new(),
            logs,
        };
        cluster.configure(|_| {});
        for number in 0..SERVERS {
            let backend = StandInBackend::start(&format!("server-{number}")).await;
            let relay = Relay::start(backend.address).await.expect("a relay starts");
            let server = Server { backend, relay, data_centre: DATA_CENTRES[number % 2] };
            cluster.store.put("servers", &server.backend.name(), server.entry(Duration::ZERO));
            cluster.servers.push(server);
        }
        for number in 0..instances {
            let relay = Relay::start(cluster.store.faulty_address).await.expect("a relay starts");
            let cfg = InstanceSettings {
                name: format!("instance-{number}"),
                data_centre: DATA_CENTRES[number % 2],
                store: relay.address(),
                duties: Some(duties),
                revoke_ms: WITHDRAWAL_BOUND.as_millis() as u64,
                log: LogOutput::File(cluster.logs.join(format!("instance-{number}.log"))),
                extra_settings: format!(
                    "bounds.retry-budget-ratio={BUDGET_RATIO}\nbounds.budget-slack={BUDGET_SLACK}\n\
                     bounds.usage-window-s=2\n"
                ),
            };
            cluster.history.lock().starts.push((number, Instant::now()));
            let instance = Instance::start(cfg).await;
            cluster.addresses.push(instance.caller_address);
            cluster.instances.push(instance.into());
            cluster.store_relays.push(relay);
        }
        cluster.into()
    }

    /// Returns the addresses that serve callers' requests, by instance index.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Writes the next version of the configuration with changed keys.
    pub fn configure(&self, change: impl FnOnce(&mut Vec<String>)) {
        let mut latest = self.latest_config.lock().expect("no lock holder panicked");
        let former = latest.1.clone();
        change(&mut latest.1);
        latest.0 += 1;
        let version = latest.0;
        let mut text = config(version, &[]);
        // The name of the organisation carries the version to the backend servers.
        text["tenants"] = json!([{ "name": format!("timers-{version}"), "api-keys": latest.1 }]);
        text["services"][0]["cold-per-s"] = COLD_PER_S.into();
        text["services"][0]["cold-start-s"] = 2.0.into();
        self.store.put("config", "main", text);
        let at = Instant::now();
        let mut history = self.history.lock();
        history.versions.push((version, at));
        let withdrawn = former.into_iter().filter(|key| !latest.1.contains(key));
        history.withdrawn.extend(withdrawn.map(|name| Change { name, at, until: None }));
    }

    /// Returns the keys of the latest configuration.
    pub fn keys(&self) -> Vec<String> {
        self.latest_config.lock().expect("no lock holder panicked").1.clone()
    }

    /// Returns the directory of the instances' logs.
    pub fn logs(&self) -> &Path {
        &self.logs
    }
}

/// Serves an endpoint that accepts usage reports unless a later holder has called; returns its
/// address.
async fn serve_usage_reports(reports: Arc<Mutex<Vec<Report>>>) -> SocketAddr {
    serve(move |req: Request<hyper::body::Incoming>| {
        let reports = reports.clone();
        async move {
            let (parts, body) = req.into_parts();
            let text = |name: &str| {
                let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            let body = body.collect().await.map(|all| all.to_bytes()).unwrap_or_default();
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let report = Report {
                window: body["window-id"].as_u64().unwrap_or_default(),
                counts: body["counts"].clone(),
                holder: text("x-laburnumvalve-duty-holder"),
                fence: text("x-laburnumvalve-fencing-token").parse().unwrap_or_default(),
            };
            let mut reports = reports.lock().expect("no lock holder panicked");
            let highest_fence = reports.iter().map(|report| report.fence).max().unwrap_or_default();
            let mut rsp = Response::new(full(""));
            if report.fence < highest_fence {
                *rsp.status_mut() = StatusCode::CONFLICT;
            } else if parts.uri.path() == "/usage" {
                reports.push(report);
            }
            rsp
        }
    })
    .await
}
