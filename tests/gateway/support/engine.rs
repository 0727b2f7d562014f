//! Stand-in for a model engine whose runs can be migrated.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::runner::{EVENTS, event};
use super::{Body, dropped_response, full, serve, server_entry};

/// Time between two events of a stream.
pub const EVENT_PERIOD: Duration = Duration::from_millis(300);
/// Size of one write of an engine that writes without end.
const FLOOD_BYTES: usize = 64 << 10;

#[derive(Default)]
struct State {
    has_room: bool,
    has_exited: bool,
    /// Attempts whose run was stopped by a migration.
    stopped: HashSet<String>,
    /// Text that is sent without end in place of the end of a stopped run's stream.
    flood: Option<&'static str>,
    runs: u32,
    /// Attempts that went on from the memory of a run, with the reference to that memory.
    continued: Vec<(String, String)>,
}

/// Engines by address, which find each other to copy a run's KV cache.
#[derive(Clone, Default)]
pub struct Engines {
    by_address: Arc<Mutex<HashMap<SocketAddr, StandInEngine>>>,
}

/// An engine with slow streams.
#[derive(Clone)]
pub struct StandInEngine {
    name: String,
    engines: Engines,
    state: Arc<Mutex<State>>,
    /// Address that serves requests.
    pub address: SocketAddr,
}

impl Engines {
    /// Starts an engine; without room, it refuses copies of runs.
    pub async fn start(&self, name: &str, has_room: bool) -> StandInEngine {
        let state = State { has_room, ..State::default() };
        let mut engine = StandInEngine {
            name: name.to_owned(),
            engines: self.clone(),
            state: Arc::new(Mutex::new(state)),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let handler = engine.clone();
        engine.address = serve(move |req| {
            let engine = handler.clone();
            async move { engine.respond(req).await }
        })
        .await;
        let mut by_address = self.by_address.lock().expect("no lock holder panicked");
        by_address.insert(engine.address, engine.clone());
        engine
    }

    fn has_room_at(&self, address: &str) -> bool {
        let by_address = self.by_address.lock().expect("no lock holder panicked");
        let engine = address.parse().ok().and_then(|address| by_address.get(&address).cloned());
        engine.is_some_and(|engine| engine.lock().has_room)
    }
}

impl StandInEngine {
    /// Returns the engine's entry in the store.
    pub fn entry(&self, data_centre: &str, state: &str) -> Value {
        let mut entry = server_entry(self.address);
        entry["zone"] = data_centre.into();
        entry["state"] = state.into();
        entry
    }

    /// Ends the process: all streams are cut and requests get no response.
    pub fn exit(&self) {
        self.lock().has_exited = true;
    }

    /// Sends a text without end in place of the end of each stopped run's stream.
    pub fn flood_after_stop(&self, text: &'static str) {
        self.lock().flood = Some(text);
    }

    /// Returns the number of requests that the engine executed.
    pub fn runs(&self) -> u32 {
        self.lock().runs
    }

    /// Returns the attempts that went on from the memory of a run, with the reference to it.
    pub fn continued(&self) -> Vec<(String, String)> {
        self.lock().continued.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panicked")
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        if self.lock().has_exited {
            return dropped_response();
        }
        if parts.uri.path() == "/laburnumvalve/kv-move" {
            return self.copy_run(&serde_json::from_slice(&body).unwrap_or_default());
        }
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let attempt = text("x-laburnumvalve-attempt-id").unwrap_or_default().to_owned();
        let after = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or_default();
        let mut state = self.lock();
        state.runs += 1;
        if let Some(memory) = text("kv-from") {
            state.continued.push((attempt.clone(), memory.to_owned()));
        }
        drop(state);
        let mut rsp = Response::new(self.events(attempt.clone(), after));
        let headers = rsp.headers_mut();
        let id = HeaderValue::from_str(&attempt).expect("the ID came in a header");
        headers.insert("x-laburnumvalve-attempt-id", id);
        headers.insert("x-laburnumvalve-response-seal", HeaderValue::from_static("seal"));
        rsp
    }

    fn copy_run(&self, call: &Value) -> Response<Body> {
        if !self.engines.has_room_at(call["target"].as_str().unwrap_or_default()) {
            let mut rsp = Response::new(full("{}"));
            *rsp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return rsp;
        }
        if call["last"] == true {
            let id = call["id"].as_str().unwrap_or_default();
            self.lock().stopped.insert(id.to_owned());
        }
        Response::new(full(json!({ "handle": "copy-1", "created": 1 }).to_string()))
    }

    fn events(&self, attempt: String, after: u64) -> Body {
        let engine = self.clone();
        let frames = futures::stream::unfold(after, move |last| {
            let (engine, attempt) = (engine.clone(), attempt.clone());
            async move { Some((engine.next_event(&attempt, last + 1).await?, last + 1)) }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next_event(&self, attempt: &str, id: u64) -> Option<std::io::Result<Frame<Bytes>>> {
        let is_stopped = self.lock().stopped.contains(attempt);
        if id > EVENTS && !is_stopped {
            return None;
        }
        if !is_stopped {
            tokio::time::sleep(EVENT_PERIOD).await;
        }
        let state = self.lock();
        let text = match state.flood {
            _ if state.has_exited => return Some(Err(std::io::Error::other("the engine exited"))),
            Some(flood) if state.stopped.contains(attempt) => {
                flood.repeat(FLOOD_BYTES / flood.len())
            }
            None if state.stopped.contains(attempt) => {
                return Some(Err(std::io::Error::other("the run was stopped")));
            }
            _ => event(attempt, id),
        };
        Some(Ok(Frame::data(Bytes::from(text))))
    }
}

impl std::fmt::Debug for StandInEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StandInEngine").field("name", &self.name).finish_non_exhaustive()
    }
}
