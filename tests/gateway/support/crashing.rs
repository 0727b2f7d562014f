//! Stand-in for an engine that crashes on a prompt with a deadly part, when it begins to answer or later.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::runner::full_stream;
use super::{Body, StandInStore, full, server_entry};

/// Identifier of the deadly part in the header.
pub const DEADLY_PART: &str = "dead";
/// Time from the arrival of a request to the first event of its answer.
const PREFILL_TIME: Duration = Duration::from_millis(200);
/// Time that an engine is down after a crash.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// When an engine crashes on the deadly part.
#[derive(Debug, Clone, Copy, Default)]
pub enum CrashTime {
    /// Before the first event of its answer.
    #[default]
    BeforeFirstEvent,
    /// So long after the first event, and before the second one.
    AfterFirstEvent(Duration),
}

/// Engines that restart under the same name and address after a crash; clones share the record.
#[derive(Clone, Default)]
pub struct CrashingEngines {
    crash_time: CrashTime,
    deadly_arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CrashingEngines {
    /// Starts engines and lists them in a store.
    pub async fn start(store: &StandInStore, count: usize, crash_time: CrashTime) -> Self {
        let engines = Self { crash_time, ..Self::default() };
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
            let (engines, store) = (engines.clone(), store.clone());
            tokio::spawn(async move {
                engines.run(&store, &format!("engine-{number}"), listener).await;
            });
        }
        engines
    }

    /// Returns when requests with the deadly part arrived.
    pub fn deadly_arrivals(&self) -> Vec<Instant> {
        self.deadly_arrivals.lock().expect("no lock holder panicked").clone()
    }

    async fn run(&self, store: &StandInStore, name: &str, mut listener: TcpListener) {
        let address = listener.local_addr().expect("the listener has an address");
        let mut started = 1_u64;
        loop {
            let mut entry = server_entry(address);
            entry["born"] = started.into();
            store.put("servers", name, entry);
            self.serve_until_crash(listener).await;
            tokio::time::sleep(RESTART_TIME).await;
            listener = listen_again(address).await;
            started += 1;
        }
    }

    /// Serves until a request crashes the engine, which closes its sockets at once.
    async fn serve_until_crash(&self, listener: TcpListener) {
        let crash = Arc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            let socket = tokio::select! {
                accepted = listener.accept() => accepted.expect("connections are accepted").0,
                () = crash.notified() => return,
            };
            let (engines, crash) = (self.clone(), crash.clone());
            connections.spawn(async move {
                let service = service_fn(|req| {
                    let (engines, crash) = (engines.clone(), crash.clone());
                    async move { Ok::<_, Infallible>(engines.answer(req, &crash).await) }
                });
                // Connections that a crash ends are part of the test.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
            });
        }
    }

    async fn answer(&self, req: Request<Incoming>, crash: &Arc<Notify>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let _ = body.collect().await;
        let text = |name: &str| {
            let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let prefix = text("x-laburnumvalve-prompt-prefix");
        let is_deadly = prefix.split(',').any(|part| part.starts_with(DEADLY_PART));
        if is_deadly {
            let mut arrivals = self.deadly_arrivals.lock().expect("no lock holder panicked");
            arrivals.push(Instant::now());
        }
        tokio::time::sleep(PREFILL_TIME).await;
        let attempt = text("x-laburnumvalve-attempt-id");
        let mut rsp = match (is_deadly, self.crash_time) {
            (false, _) => Response::new(full(full_stream(&attempt))),
            (true, CrashTime::BeforeFirstEvent) => {
                crash.notify_one();
                std::future::pending().await
            }
            (true, CrashTime::AfterFirstEvent(delay)) => {
                let last_event = text("last-event-id").parse::<u64>().unwrap_or_default();
                Response::new(first_event(last_event, delay, crash.clone()))
            }
        };
        let id = attempt.parse().expect("the ID is a valid header");
        rsp.headers_mut().insert("x-laburnumvalve-attempt-id", id);
        let seal = HeaderValue::from_static("seal");
        rsp.headers_mut().insert("x-laburnumvalve-response-seal", seal);
        rsp
    }
}

/// Returns a body that ends with a crash, some time after the event that follows `last_event`.
fn first_event(last_event: u64, delay: Duration, crash: Arc<Notify>) -> Body {
    let event = format!("id: {}\ndata: text\n\n", last_event + 1);
    let event = futures::stream::once(async move { Ok(Frame::data(Bytes::from(event))) });
    let end = futures::stream::once(async move {
        tokio::time::sleep(delay).await;
        crash.notify_one();
        std::future::pending().await
    });
    StreamBody::new(event.chain(end)).boxed_unsync()
}

/// Listens on an address that was in use until a moment ago.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}
