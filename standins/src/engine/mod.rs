//! A model engine: a batch with slots, tokens at a pace, a prefix cache, a lagging load report, a
//! cold start that fails over its limit, and faults.

mod answer;
mod batch;
mod prefix;
mod settings;

pub use batch::{Load, Run, RunEnd};
pub use settings::{EngineFaults, EngineSettings};

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde_json::json;

use crate::host::{Answer, Call, Host, Reply};
use crate::plain::count;
use crate::received::Received;
use crate::relay::Relay;
use crate::{control, lock};
use batch::Batch;

/// Time that a crashed engine refuses connections.
const RESTART_TIME: Duration = Duration::from_millis(200);

/// State that all requests of an engine share.
pub(crate) struct Shared {
    settings: EngineSettings,
    faults: Mutex<EngineFaults>,
    received: Mutex<Vec<Received>>,
    batch: Mutex<Batch>,
    relay: Arc<Relay>,
}

/// A running engine; dropping it stops it.
pub struct Engine {
    host: Host,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(settings: EngineSettings) -> eyre::Result<Self> {
        let mut made = None;
        let listen = settings.listen;
        let host = Host::start(listen, |relay| {
            let shared = Arc::new(Shared::new(settings, Arc::clone(relay)));
            made = Some(Arc::clone(&shared));
            shared
        })
        .await?;
        let shared = made.ok_or_else(|| eyre::eyre!("the engine was not built"))?;
        Ok(Self { host, shared })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the relay that all connections pass; it records every byte received.
    pub fn relay(&self) -> &Relay {
        self.host.relay()
    }

    /// Returns the requests that it runs at once.
    pub fn slots(&self) -> usize {
        self.shared.settings.slots
    }

    /// Returns the requests that it bears while cold.
    pub fn cold_limit(&self) -> usize {
        self.shared.settings.cold_limit
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Drops all connections and starts again, cold.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Becomes cold with an empty cache, without dropping connections or a new generation.
    pub fn turn_cold(&self) {
        lock(&self.shared.batch).turn_cold();
    }

    /// Returns all requests received.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.shared.received).clone()
    }

    /// Returns all runs in the order in which they were taken in.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.batch).runs()
    }

    /// Returns the number of runs by request identifier.
    pub fn runs_by_request(&self) -> BTreeMap<String, usize> {
        count(self.runs().into_iter().map(|run| run.request_id))
    }

    /// Returns the number of runs by idempotency key; runs without one are left out.
    pub fn runs_by_idempotency_key(&self) -> BTreeMap<String, usize> {
        count(self.runs().into_iter().filter_map(|run| run.idempotency_key))
    }

    /// Returns the true load now.
    pub fn load(&self) -> Load {
        lock(&self.shared.batch).load()
    }

    /// Returns the most requests that ran or waited at once, ever and while cold.
    pub fn peaks(&self) -> (usize, usize) {
        lock(&self.shared.batch).peaks()
    }
}

impl Shared {
    fn new(settings: EngineSettings, relay: Arc<Relay>) -> Self {
        let batch = Mutex::new(Batch::new(&settings));
        Self { settings, faults: Mutex::default(), received: Mutex::default(), batch, relay }
    }

    /// Drops all connections, refuses new ones for the restart time, then is cold.
    fn crash(&self) {
        lock(&self.batch).crash();
        self.relay.refuse(true);
        self.relay.cut();
        let relay = Arc::clone(&self.relay);
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            relay.refuse(false);
        });
    }

    /// Returns the faults for one more request.
    fn take_faults(&self) -> EngineFaults {
        let mut faults = lock(&self.faults);
        match &mut faults.for_next {
            Some(0) => return EngineFaults::default(),
            Some(left) => *left -= 1,
            None => {}
        }
        faults.clone()
    }

    fn control(&self, call: &Call) -> Reply {
        match call.path.get(1).map(String::as_str) {
            Some("faults") => control::faults(&self.faults, call),
            Some("received") => control::show(&*lock(&self.received)),
            Some("runs") => control::show(&lock(&self.batch).runs()),
            Some("crash") => {
                self.crash();
                Reply::done()
            }
            Some("turn-cold") => {
                lock(&self.batch).turn_cold();
                Reply::done()
            }
            Some("peaks") => {
                let (ever, cold) = lock(&self.batch).peaks();
                Reply::Json(200, json!({ "ever": ever, "cold": cold }))
            }
            _ => Reply::error(404, "no such control endpoint"),
        }
    }

    fn models(&self) -> Reply {
        let model = json!({ "id": self.settings.model, "object": "model" });
        Reply::Json(200, json!({ "object": "list", "data": [model] }))
    }
}

impl Answer for Shared {
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
            match (call.received.method.as_str(), path.as_slice()) {
                (_, ["control", ..]) => self.control(&call),
                ("GET", ["load"]) => control::show(&lock(&self.batch).report()),
                ("GET", ["v1", "models"]) => self.models(),
                ("POST", ["v1", "chat", "completions"]) => answer::answer(self, call, true).await,
                ("POST", ["v1", "completions"]) => answer::answer(self, call, false).await,
                _ => Reply::error(404, "no such endpoint"),
            }
        }
        .boxed()
    }
}
