//! The processes and stand-ins of one run.

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

/// Time within which a withdrawn key must not work any more.
pub const REVOCATION_BOUND: Duration = Duration::from_millis(5_000);
/// Data centres of the instances and of the backend servers.
pub const DATA_CENTRES: [&str; 2] = ["kolkata-a", "kolkata-b"];
/// Part of a service's requests that may be repeated; small, so that faults use the budget up.
pub const BUDGET_RATIO: f64 = 0.02;
/// Repeats that are allowed besides in each window.
pub const BUDGET_SLACK: f64 = 6.0;
/// Requests a second that a cold backend server bears.
pub const COLD_PER_S: f64 = 6.0;
/// Key that is never withdrawn.
pub const PERMANENT_KEY: &str = "lasting";

const SERVERS: usize = 6;

/// A usage report that was accepted.
#[derive(Debug, Clone)]
pub struct Report {
    /// Its window.
    pub window: u64,
    /// Its counts.
    pub counts: Value,
    /// Who sent it.
    pub holder: String,
    /// The holder's fencing number.
    pub fence: u64,
}

/// A backend server behind a relay.
pub struct Server {
    /// The stand-in.
    pub backend: StandInBackend,
    /// The way of all instances to it.
    pub relay: Relay,
    /// Its data centre.
    pub data_centre: &'static str,
}

impl Server {
    /// Returns its entry in the store.
    pub fn entry(&self, cold: Duration) -> Value {
        let mut entry = self.backend.entry();
        entry["address"] = self.relay.address().to_string().into();
        entry["zone"] = self.data_centre.into();
        entry["cold-remaining-ms"] = (cold.as_millis() as u64).into();
        entry
    }
}

/// Everything that runs for one seed.
pub struct Cluster {
    /// What was done to it.
    pub history: SharedHistory,
    /// The store.
    pub store: StandInStore,
    /// The way of each instance to the store.
    pub store_relays: Vec<Relay>,
    /// The gateway processes.
    pub instances: Vec<tokio::sync::Mutex<Instance>>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// Held while a data centre is out, so that no return ends a later order early.
    pub evacuation_locks: [tokio::sync::Mutex<()>; 2],
    /// Usage reports that were accepted.
    pub reports: Arc<Mutex<Vec<Report>>>,
    /// Keys of the newest configuration, and its version.
    keys: Mutex<(u64, Vec<String>)>,
    addresses: Vec<SocketAddr>,
    logs: PathBuf,
}

impl Cluster {
    /// Starts everything and waits until the instances are ready.
    pub async fn start(seed: u64, instances: usize) -> Arc<Self> {
        let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        // The logs of an earlier run would mislead; there may be none.
        let _ = std::fs::remove_dir_all(&logs);
        std::fs::create_dir_all(&logs).expect("a folder can be made");
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
            keys: Mutex::new((0, vec![PERMANENT_KEY.to_owned(), "guest-0".to_owned()])),
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
                revoke_ms: REVOCATION_BOUND.as_millis() as u64,
                log: LogOutput::File(cluster.logs.join(format!("instance-{number}.log"))),
                bounds: format!(
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

    /// Returns where the instances accept callers.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Writes the next version of the configuration, with the keys changed.
    pub fn configure(&self, change: impl FnOnce(&mut Vec<String>)) {
        let mut keys = self.keys.lock().expect("no writer panicked");
        let former = keys.1.clone();
        change(&mut keys.1);
        keys.0 += 1;
        let version = keys.0;
        let mut text = config(version, &[]);
        // The organisation's name tells backend servers the version.
        text["tenants"] = json!([{ "name": format!("timers-{version}"), "api-keys": keys.1 }]);
        text["services"][0]["cold-per-s"] = COLD_PER_S.into();
        text["services"][0]["cold-start-s"] = 2.0.into();
        self.store.put("config", "main", text);
        let at = Instant::now();
        let mut history = self.history.lock();
        history.versions.push((version, at));
        let withdrawn = former.into_iter().filter(|key| !keys.1.contains(key));
        history.withdrawn.extend(withdrawn.map(|name| Change { name, at, until: None }));
    }

    /// Returns the keys of the newest configuration.
    pub fn keys(&self) -> Vec<String> {
        self.keys.lock().expect("no writer panicked").1.clone()
    }

    /// Returns where the log lines of the instances are.
    pub fn logs(&self) -> &Path {
        &self.logs
    }
}

/// Accepts usage reports unless a later holder was seen; returns where.
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
            let mut reports = reports.lock().expect("no writer panicked");
            let seen = reports.iter().map(|report| report.fence).max().unwrap_or_default();
            let mut rsp = Response::new(full(""));
            if report.fence < seen {
                *rsp.status_mut() = StatusCode::CONFLICT;
            } else if parts.uri.path() == "/usage" {
                reports.push(report);
            }
            rsp
        }
    })
    .await
}
