//! A plain service: it answers any request and counts how often it ran each one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::host::{Answer, Call, Host, Reply};
use crate::received::Received;
use crate::relay::Relay;
use crate::{ANY_PORT, control, lock};

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct PlainSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
}

impl Default for PlainSettings {
    fn default() -> Self {
        Self { listen: ANY_PORT }
    }
}

/// Faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Resets the connection instead of running the request.
    pub reset_before: bool,
    /// Runs the request, then resets the connection instead of answering.
    pub reset_after: bool,
    /// Never answers, and doesn't run the request.
    pub silent_before: bool,
    /// Runs the request and never answers.
    pub silent_after: bool,
    /// Answers 503 without running the request.
    pub unavailable: bool,
    /// Answers with this redirect status, to the same path below `/redirected`.
    pub redirect: Option<u16>,
    /// Time from running to answering in milliseconds.
    pub slow_ms: u64,
    /// Number of requests that the faults apply to; all if absent.
    pub for_next: Option<u32>,
}

/// One run of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRun {
    /// The header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// The header `x-request-id`.
    pub request_id: Option<String>,
    /// The method and path.
    pub target: String,
}

#[derive(Default)]
struct State {
    faults: Mutex<PlainFaults>,
    received: Mutex<Vec<Received>>,
    runs: Mutex<Vec<PlainRun>>,
}

/// A running plain service; dropping it stops it.
pub struct Plain {
    host: Host,
    state: Arc<State>,
}

impl Plain {
    /// Starts a plain service.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(settings: PlainSettings) -> eyre::Result<Self> {
        let state = Arc::new(State::default());
        let host = Host::start(settings.listen, |_| Arc::clone(&state)).await?;
        Ok(Self { host, state })
    }

    /// Returns the base URL.
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
    pub fn set_faults(&self, faults: PlainFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns all requests received, whether they ran or not.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.state.received).clone()
    }

    /// Returns all runs in order.
    pub fn runs(&self) -> Vec<PlainRun> {
        lock(&self.state.runs).clone()
    }

    /// Returns the number of runs by idempotency key; runs without one are left out.
    pub fn runs_by_idempotency_key(&self) -> BTreeMap<String, usize> {
        count(self.runs().into_iter().filter_map(|run| run.idempotency_key))
    }

    /// Returns the number of runs by request identifier; runs without one are left out.
    pub fn runs_by_request(&self) -> BTreeMap<String, usize> {
        count(self.runs().into_iter().filter_map(|run| run.request_id))
    }
}

/// Counts equal texts.
pub(crate) fn count(texts: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for text in texts {
        *counts.entry(text).or_default() += 1;
    }
    counts
}

impl State {
    /// Returns the faults for one more request.
    fn take_faults(&self) -> PlainFaults {
        let mut faults = lock(&self.faults);
        match &mut faults.for_next {
            Some(0) => return PlainFaults::default(),
            Some(left) => *left -= 1,
            None => {}
        }
        faults.clone()
    }

    fn control(&self, call: &Call) -> Reply {
        match call.path.get(1).map(String::as_str) {
            Some("faults") => control::faults(&self.faults, call),
            Some("received") => control::show(&*lock(&self.received)),
            Some("runs") => control::show(&*lock(&self.runs)),
            _ => Reply::error(404, "no such control endpoint"),
        }
    }

    async fn run(&self, call: Call) -> Reply {
        let faults = self.take_faults();
        lock(&self.received).push(call.received.clone());
        if faults.reset_before {
            return Reply::Reset;
        }
        if faults.silent_before {
            return Reply::Silence;
        }
        if faults.unavailable {
            return Reply::error(503, "unavailable");
        }
        if let Some(status) = faults.redirect {
            return Reply::Redirect(status, format!("/redirected{}", call.received.target));
        }
        let number = self.count_run(&call.received);
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.reset_after {
            return Reply::Reset;
        }
        if faults.silent_after {
            return Reply::Silence;
        }
        Reply::Json(200, answer(&call.received, number))
    }

    fn count_run(&self, received: &Received) -> usize {
        let mut runs = lock(&self.runs);
        runs.push(PlainRun {
            idempotency_key: received.header("idempotency-key").map(str::to_owned),
            request_id: received.header("x-request-id").map(str::to_owned),
            target: format!("{} {}", received.method, received.target),
        });
        runs.len()
    }
}

/// Returns the answer to a request, from which a test sees whose answer it is.
fn answer(received: &Received, run: usize) -> serde_json::Value {
    json!({
        "run": run,
        "method": received.method,
        "target": received.target,
        "request_id": received.header("x-request-id"),
        "idempotency_key": received.header("idempotency-key"),
        "body": received.body,
    })
}

impl Answer for State {
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            if call.path.first().is_some_and(|first| first == "control") {
                return self.control(&call);
            }
            if call.received.method == "GET" && call.path == ["load"] {
                return Reply::error(404, "a plain service reports no load");
            }
            self.run(call).await
        }
        .boxed()
    }
}
