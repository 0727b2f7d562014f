//! Fixtures for tests of the HTTP entry point: in-process instances in front of stand-ins.
#![allow(dead_code)]

#[path = "../home_support/mod.rs"]
mod home_support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use home_support::{Views, class, config, context, members, organisation, server};
use laburnumvalve::claim::ClaimStore;
use laburnumvalve::config::{
    Access, BackendServer, Class, Config, InForce, Key, KeyHash, Mark, Marks, Repeatability, Route,
    RouteTarget,
};
use laburnumvalve::context::Context;
use laburnumvalve::home::{self, AdmissionClient};
use laburnumvalve::options::Options;
use laburnumvalve::peer::generated::v1::ServerLoad;
use laburnumvalve::platform::ObjectClient;
use laburnumvalve::{entry, usage};
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};
use standins::received::Received;
use standins::{Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;

/// Key of the organisation with access to all routes.
pub const KEY: &str = "key-of-the-timers-4711";
/// Key of an organisation without access to any granted route.
pub const OTHER_KEY: &str = "key-of-the-council-4712";
/// Timeout of every wait, far above the expected times.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Progress timeout for backend servers in these tests.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Stand-ins for the object API and the backend servers.
pub struct Backends {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub plain: Plain,
}

impl Backends {
    /// Returns the requests received by the plain service, without load queries.
    pub fn plain_requests(&self) -> Vec<Received> {
        let mut received = self.plain.received();
        received.retain(|request| request.target != "/load");
        received
    }
}

/// An instance that is the home of all backend servers.
pub struct Instance {
    pub url: String,
    pub cx: Context,
    pub views: Views,
    pub serving: JoinHandle<eyre::Result<()>>,
    pub http: reqwest::Client,
    /// Keeps the channel of `cx.loads` open.
    _loads: watch::Sender<Arc<BTreeMap<laburnumvalve::names::BackendServerName, ServerLoad>>>,
}

/// Awaits a future; panics after [`WAIT_TIMEOUT`].
pub async fn within_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, work).await.expect("timed out")
}

/// Polls until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    within_timeout(async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Starts the stand-ins with the given number of engines.
pub async fn start_backends(engines: usize) -> Backends {
    let mut started = Vec::new();
    for _ in 0..engines {
        started.push(Engine::start(EngineSettings::default()).await.unwrap());
    }
    Backends {
        platform: Platform::start(PlatformSettings::default()).await.unwrap(),
        engines: started,
        plain: Plain::start(PlainSettings::default()).await.unwrap(),
    }
}

fn classes() -> Vec<Class> {
    // The targets are long, so that no request is refused as too late on a busy machine.
    let long_target = |name, tier| Class { first_token_ms: 20_000, ..class(name, tier, 0) };
    let booking =
        Class { repeatability: Repeatability::NonIdempotent, ..long_target("booking", 1) };
    vec![long_target("live", 0), booking]
}

fn route(name: &str, target: RouteTarget, open: bool, class: &str) -> Route {
    let access =
        if open { Access::Open } else { Access::Granted(BTreeSet::from(["timers".into()])) };
    Route { name: name.into(), target, access, class: class.into() }
}

fn routes() -> Vec<Route> {
    let model = |name: &str| RouteTarget::Model(name.into());
    let prefix = |path: &str| RouteTarget::Prefix(path.to_owned());
    vec![
        route("model", model("model"), false, "live"),
        route("once-model", model("once-model"), false, "booking"),
        route("open-model", model("open-model"), true, "live"),
        route("slots", prefix("/slots"), false, "live"),
        route("bookings", prefix("/bookings"), false, "booking"),
    ]
}

fn backend_server(name: &str, address: String, routes: &[&str]) -> BackendServer {
    let routes = routes.iter().map(|route| (*route).into()).collect();
    BackendServer { address, routes, ..server(name, 8, 8) }
}

fn key(organisation: &str) -> Key {
    Key {
        id: organisation.into(),
        organisation: organisation.into(),
        default_class: None,
        allowed_classes: BTreeSet::new(),
        withdrawn: false,
    }
}

fn configuration(backends: &Backends) -> Config {
    let engines = backends.engines.iter().enumerate().map(|(index, engine)| {
        let routes = ["model", "once-model", "open-model"];
        backend_server(&format!("engine-{index}"), engine.url(), &routes)
    });
    let plain = backend_server("plain", backends.plain.url(), &["slots", "bookings"]);
    let organisations = vec![organisation("timers", 1), organisation("council", 1)];
    let base = config(classes(), organisations, engines.chain([plain]).collect());
    Config {
        routes: routes().into_iter().map(|route| (route.name.clone(), route)).collect(),
        keys: [(KEY, "timers"), (OTHER_KEY, "council")]
            .map(|(text, name)| (KeyHash::of(text), key(name)))
            .into(),
        ..base
    }
}

fn loads(backends: &Backends) -> BTreeMap<laburnumvalve::names::BackendServerName, ServerLoad> {
    let load = |name: &str| ServerLoad {
        backend_server: name.to_owned(),
        limit: 8,
        resumes: true,
        ..ServerLoad::default()
    };
    (0..backends.engines.len())
        .map(|index| format!("engine-{index}"))
        .map(|name| (name.as_str().into(), load(&name)))
        .collect()
}

impl Instance {
    /// Starts an instance in front of the stand-ins.
    pub async fn start(name: &str, backends: &Backends) -> Self {
        let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", callers.local_addr().unwrap());
        let listed = members(&[(name, peers.local_addr().unwrap().to_string())]);
        let (mut cx, views) = context(name, configuration(backends), listed);
        let options = Options { progress_timeout: PROGRESS_TIMEOUT, ..(*cx.options).clone() };
        cx.options = Arc::new(options);
        cx.objects = ObjectClient::new(&backends.platform.url()).unwrap();
        let (loads_tx, loads) = watch::channel(Arc::new(loads(backends)));
        cx.loads = loads;

        let homes = home::start(cx.clone());
        let limits = homes.limits();
        let server = tonic::transport::Server::builder().add_service(home::service(homes));
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(peers)));
        let admission_client = AdmissionClient::new(cx.clone());
        let claims = ClaimStore::new(cx.clone());
        let ledger = usage::start(cx.clone());
        let serving = entry::serve(callers, cx.clone(), admission_client, limits, ledger, claims);
        let serving = tokio::spawn(serving);
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .unwrap();
        Self { url, cx, views, serving, http, _loads: loads_tx }
    }

    /// Prepares a request without a key.
    pub fn post(&self, path: &str) -> RequestBuilder {
        self.http.post(format!("{}{path}", self.url))
    }

    /// Prepares a chat request with the key.
    pub fn chat(&self, body: &Value) -> RequestBuilder {
        self.post("/v1/chat/completions").bearer_auth(KEY).json(body)
    }

    /// Prepares a booking with the key and an idempotency key.
    pub fn booking(&self, idempotency_key: &str) -> RequestBuilder {
        let req = self.post("/bookings/today").bearer_auth(KEY);
        req.header("idempotency-key", idempotency_key).body("one sofa")
    }

    /// Changes the configured address of the plain service.
    pub fn set_plain_address(&self, address: &str) {
        self.views.in_force.send_modify(|in_force| {
            let mut config: Config = (*in_force.config).clone();
            let server =
                config.backend_servers.get_mut("plain").expect("the plain service is configured");
            server.address = address.to_owned();
            *in_force = Arc::new(InForce { config: Arc::new(config), ..(**in_force).clone() });
        });
    }

    /// Withdraws a key.
    pub fn withdraw(&self, key: &str) {
        self.views.in_force.send_modify(|in_force| {
            let mut marks: Marks = (*in_force.marks).clone();
            marks.merge(Mark::KeyWithdrawn(KeyHash::of(key)));
            *in_force = Arc::new(InForce { marks: Arc::new(marks), ..(**in_force).clone() });
        });
    }
}

/// A chat request body for a model.
pub fn chat_body(model: &str, streamed: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": "align the cues of episode nine" }],
        "max_tokens": 12,
        "stream": streamed,
    })
}

/// Returns the text that an engine generates for [`chat_body`].
pub fn expected_text() -> String {
    standins::tokens::answer(&chat_body("model", true)["messages"], 12)
}

/// The content of a received stream.
#[derive(Debug, Default)]
pub struct StreamedResponse {
    pub text: String,
    pub ids: BTreeSet<String>,
    pub finish_reasons: Vec<String>,
    pub done: bool,
    pub error: Option<Value>,
}

/// Reads a stream to its end; a lost connection leaves `done` false.
pub async fn read_stream(rsp: Response) -> StreamedResponse {
    let mut rsp = rsp;
    let mut bytes = Vec::new();
    while let Ok(Some(chunk)) = within_timeout(rsp.chunk()).await {
        bytes.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(bytes).unwrap();
    let mut streamed = StreamedResponse::default();
    for data in text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
        collect_event(&mut streamed, data);
    }
    streamed
}

fn collect_event(streamed: &mut StreamedResponse, data: &str) {
    assert!(
        !streamed.done && streamed.error.is_none(),
        "event after the end of the stream: {data}"
    );
    if data == "[DONE]" {
        streamed.done = true;
        return;
    }
    let event: Value = serde_json::from_str(data).unwrap();
    if event["error"].is_object() {
        streamed.error = Some(event["error"].clone());
        return;
    }
    streamed.ids.insert(event["id"].as_str().unwrap_or_default().to_owned());
    let choice = &event["choices"][0];
    streamed.text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
    if let Some(reason) = choice["finish_reason"].as_str() {
        streamed.finish_reasons.push(reason.to_owned());
    }
}

/// Sends a request and returns the status, `code` and `ran` of the error response.
pub async fn send_refused(req: RequestBuilder) -> (u16, String, String) {
    let rsp = within_timeout(req.send()).await.unwrap();
    let status = rsp.status().as_u16();
    let body: Value = within_timeout(rsp.json()).await.unwrap();
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    assert!(!field("request_id").is_empty(), "{body}");
    (status, field("code"), field("ran"))
}
