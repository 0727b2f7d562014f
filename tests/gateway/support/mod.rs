//! Stand-ins and fixtures for the gateway tests.

pub mod crashing;
pub mod engine;
pub mod instance;
pub mod raw;
pub mod runner;
pub mod store;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

pub use instance::Instance;
pub use raw::{RawConnection, RawRequest, RawServer};
pub use runner::{Fault, StandInBackend};
pub use store::StandInStore;

/// Maximum time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Response body of a stand-in; an error closes the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response whose connection is closed before the body.
pub fn dropped_response() -> Response<Body> {
    let error = Err(std::io::Error::other("broken off"));
    let mut rsp = Response::new(StreamBody::new(futures::stream::iter([error])).boxed_unsync());
    rsp.headers_mut().insert("content-length", HeaderValue::from_static("6"));
    rsp
}

/// Serves requests on a new loopback address.
pub async fn serve<F, R>(handler: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(|req| {
                    let response = handler(req);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                // Clients that disconnect are part of the tests.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            });
        }
    });
    address
}

/// Returns the entry of a backend server in the store.
pub fn server_entry(address: SocketAddr) -> Value {
    json!({
        "service": "engines", "address": address.to_string(), "zone": "kolkata-a",
        "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
    })
}

/// Starts a store with a configuration and one registered backend server.
pub async fn stand_ins(keys: &[&str]) -> (StandInStore, StandInBackend) {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, keys));
    let server = StandInBackend::start("runner-1").await;
    store.put("servers", &server.name(), server.entry());
    (store, server)
}

/// Waits until a condition holds.
pub async fn wait_until<R: Future<Output = bool>>(what: &str, condition: impl Fn() -> R) {
    let started = std::time::Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{what}: condition not met within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a configuration with one route of each kind.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "valve.example", "path-prefix": format!("/{name}/"),
            "kind": kind, "timeout-ms": 5_000, "target-latency-ms": 200, "priority": 1,
            "service": "engines", "max-attempts": attempts, "resumable": resumable,
            "gap-target-ms": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("lookup", "idempotent", 2, false),
            route("booking", "non_idempotent", 1, false),
            route("stream", "streaming", 1, false),
            route("job", "streaming", 2, true),
        ],
        "services": [{"name": "engines", "health-path": "/healthz", "max-connections": 100,
            "cold-start-s": 0.0, "cold-per-s": 0.0}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "timers", "api-keys": keys, "priority": 1}],
    })
}
