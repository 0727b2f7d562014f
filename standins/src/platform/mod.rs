//! The platform: object API, instance list, weight store, backend server interface and
//! usage-report interface on one port.

mod calls;
mod instances;
mod objects;
mod orders;
mod settings;
mod usage;
mod view;
mod watch;

pub use instances::ListedInstance;
pub use orders::{Order, OrderEnd};
pub use settings::{LostAnswer, Outage, PlatformFaults, PlatformSettings};
pub use usage::{Report, ReportEnd, UsageFigures};
pub use view::View;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde_json::{Value, json};

use crate::host::{Answer, Call, Host, Reply};
use crate::relay::Relay;
use crate::{control, lock};
use calls::{Calls, RateLimit};
use instances::Instances;
use objects::Store;
use orders::Servers;
use usage::Reports;

/// Path of the instance list.
const INSTANCES: [&str; 6] =
    ["apis", "discovery.k8s.io", "v1", "namespaces", "default", "endpointslices"];

/// State of the platform.
struct State {
    settings: PlatformSettings,
    faults: Mutex<PlatformFaults>,
    calls: Mutex<Calls>,
    store: Arc<Store>,
    instances: Mutex<Instances>,
    servers: Mutex<Servers>,
    reports: Mutex<Reports>,
    weights: Mutex<RateLimit>,
}

/// A running platform; dropping it stops it.
pub struct Platform {
    host: Host,
    state: Arc<State>,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(settings: PlatformSettings) -> eyre::Result<Self> {
        let listen = settings.listen;
        let state = Arc::new(State::new(settings));
        let host = Host::start(listen, |_| Arc::clone(&state)).await?;
        Ok(Self { host, state })
    }

    /// Returns the base URL of all its interfaces.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the relay that all connections pass.
    pub fn relay(&self) -> &Relay {
        self.host.relay()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Changes the faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut lock(&self.state.faults));
    }

    /// Returns the calls by label, such as `update leases`, whether they succeeded or not.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.state.calls).by_label()
    }

    /// Returns the number of calls whose label has all words of a text.
    pub fn calls_matching(&self, words: &str) -> u64 {
        lock(&self.state.calls).matching(words)
    }

    /// Sets the calls to zero.
    pub fn reset_calls(&self) {
        lock(&self.state.calls).reset();
    }

    /// Returns all objects of a kind by name.
    pub fn objects(&self, kind: &str) -> BTreeMap<String, Value> {
        self.state.store.specs(kind)
    }

    /// Opens another port to the same platform, to cut off the one who uses it.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn view(&self) -> eyre::Result<View> {
        View::start(Arc::clone(&self.state)).await
    }

    /// Adds an instance to the list, or changes it.
    pub fn register(&self, instance: ListedInstance) {
        lock(&self.state.instances).register(instance);
    }

    /// Removes an instance from the list.
    pub fn deregister(&self, name: &str) {
        lock(&self.state.instances).deregister(name);
    }

    /// Lists an instance as leaving.
    pub fn set_terminating(&self, name: &str) {
        lock(&self.state.instances).set_terminating(name);
    }

    /// Changes how far the instance list is behind.
    pub fn set_list_lag(&self, lag: Duration) {
        lock(&self.state.instances).set_lag(lag);
    }

    /// Sets whether a backend server refuses orders with an old fencing number.
    pub fn set_checks_fencing(&self, data_centre: &str, server: &str, checks: bool) {
        lock(&self.state.servers).set_checks_fencing(data_centre, server, checks);
    }

    /// Sets whether a backend server runs, without an order.
    pub fn set_running(&self, data_centre: &str, server: &str, running: bool) {
        lock(&self.state.servers).set_running(data_centre, server, running);
    }

    /// Returns all orders in the order of arrival.
    pub fn orders(&self) -> Vec<Order> {
        lock(&self.state.servers).orders()
    }

    /// Returns all usage reports in the order of arrival, repeats included.
    pub fn reports(&self) -> Vec<Report> {
        lock(&self.state.reports).arrivals()
    }

    /// Returns the accepted figures by window and organisation.
    pub fn accepted_usage(&self) -> BTreeMap<(String, String), UsageFigures> {
        lock(&self.state.reports).accepted()
    }
}

impl State {
    fn new(settings: PlatformSettings) -> Self {
        Self {
            faults: Mutex::default(),
            calls: Mutex::new(Calls::new(settings.writes_per_second, settings.reads_per_second)),
            store: Arc::new(Store::new()),
            instances: Mutex::new(Instances::new(settings.list_lag)),
            servers: Mutex::new(Servers::new(settings.start_time)),
            reports: Mutex::default(),
            weights: Mutex::new(RateLimit::new(settings.weights_per_second)),
            settings,
        }
    }

    /// Counts a call, applies the faults and passes it on.
    async fn take(&self, call: Call, seen_at: &BTreeMap<String, SocketAddr>) -> Reply {
        let label = label(&call);
        let within_rate = lock(&self.calls).count(&label);
        let faults = lock(&self.faults).clone();
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        match faults.outage.filter(|_| faults.concerns(&label)) {
            Some(Outage::Unavailable) => return Reply::error(503, "unavailable"),
            Some(Outage::Hang) => return Reply::Silence,
            Some(Outage::Reset) => return Reply::Reset,
            None => {}
        }
        if !within_rate {
            return Reply::error(429, "too many requests");
        }
        let reply = self.pass_on(&call, seen_at);
        let lost = lock(&self.faults).take_lost(&label);
        match lost {
            Some(true) => Reply::Silence,
            Some(false) => Reply::Reset,
            None => reply,
        }
    }

    fn pass_on(&self, call: &Call, seen_at: &BTreeMap<String, SocketAddr>) -> Reply {
        let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
        match (call.received.method.as_str(), path.as_slice()) {
            ("GET", path) if path == INSTANCES => lock(&self.instances).list(seen_at),
            (_, ["apis", "laburnumvalve.dev", "v1", "namespaces", "default", rest @ ..]) => {
                self.store.answer(call, rest)
            }
            ("POST", ["data-centres", centre, "backend-servers", name, "orders"]) => {
                lock(&self.servers).order(centre, name, call)
            }
            ("GET", ["data-centres", centre, "backend-servers"]) => {
                lock(&self.servers).list(centre)
            }
            ("GET", ["weights", model]) => self.read_weights(model),
            ("PUT", ["usage", "windows", window, "organisations", organisation]) => {
                lock(&self.reports).take(window, organisation, call)
            }
            _ => Reply::error(404, "no such endpoint"),
        }
    }

    fn read_weights(&self, model: &str) -> Reply {
        if lock(&self.weights).take() {
            Reply::Json(200, json!({ "model": model, "bytes": self.settings.weight_bytes }))
        } else {
            Reply::error(429, "too many requests")
        }
    }

    fn control(&self, call: &Call) -> Reply {
        let path: Vec<&str> = call.path.iter().skip(1).map(String::as_str).collect();
        match (call.received.method.as_str(), path.as_slice()) {
            (_, ["faults"]) => control::faults(&self.faults, call),
            ("GET", ["calls"]) => control::show(&lock(&self.calls).by_label()),
            ("GET", ["orders"]) => control::show(&lock(&self.servers).orders()),
            ("GET", ["reports"]) => control::show(&lock(&self.reports).arrivals()),
            ("GET", ["objects", kind]) => control::show(&self.store.specs(kind)),
            ("PUT", ["instances"]) => match call.json::<ListedInstance>() {
                Ok(instance) => {
                    lock(&self.instances).register(instance);
                    Reply::done()
                }
                Err(reply) => reply,
            },
            ("DELETE", ["instances", name]) => {
                lock(&self.instances).deregister(name);
                Reply::done()
            }
            ("PUT", ["data-centres", centre, "backend-servers", name, "checks-fencing"]) => {
                match call.json::<bool>() {
                    Ok(checks) => {
                        lock(&self.servers).set_checks_fencing(centre, name, checks);
                        Reply::done()
                    }
                    Err(reply) => reply,
                }
            }
            _ => Reply::error(404, "no such control endpoint"),
        }
    }
}

/// Returns the label that calls are counted and matched by, such as `update leases`.
fn label(call: &Call) -> String {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    match path.as_slice() {
        path if path == INSTANCES => "list instances".to_owned(),
        ["apis", _, _, _, _, collection, rest @ ..] => {
            let verb = match call.received.method.as_str() {
                "POST" => "create",
                "PUT" => "update",
                "DELETE" => "delete",
                _ if call.query.contains_key("watch") => "watch",
                _ if rest.is_empty() => "list",
                _ => "get",
            };
            format!("{verb} {collection}")
        }
        ["data-centres", _, _, _, "orders"] => "send order".to_owned(),
        ["data-centres", ..] => "list servers".to_owned(),
        ["weights", ..] => "read weights".to_owned(),
        ["usage", ..] => "report usage".to_owned(),
        _ => "other".to_owned(),
    }
}

impl Answer for State {
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            if call.path.first().is_some_and(|first| first == "control") {
                return self.control(&call);
            }
            self.take(call, &BTreeMap::new()).await
        }
        .boxed()
    }
}
