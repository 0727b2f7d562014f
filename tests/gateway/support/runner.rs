//! Stand-in for a backend server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::Value;

use super::{Body, dropped_response, full, serve, server_entry};

/// Number of events in a complete stream.
pub const EVENTS: u64 = 8;

/// Delay of `Fault::LoseAnswerLate`; shorter than the attempt timeout of the test route.
const LATE_DELAY: Duration = Duration::from_millis(500);

/// Fault of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects requests as not executed because it is full.
    Full,
    /// Executes the request and closes the connection before the response body.
    LoseAnswer,
    /// Like `LoseAnswer`, after a delay.
    LoseAnswerLate,
    /// Closes the connection of a stream in the middle of the fourth event.
    CutStream,
    /// Responds with the attempt ID and the body of another request.
    WrongAnswer,
}

/// A request that a backend server executed.
#[derive(Debug, Clone)]
pub struct Run {
    /// Request headers.
    pub headers: HeaderMap,
    /// Start of the execution.
    pub at: Instant,
}

impl Run {
    /// Returns the value of a header, or an empty string if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|text| text.to_str().ok()).unwrap_or_default()
    }
}

#[derive(Default)]
struct State {
    name: String,
    fault: Fault,
    runs: Vec<Run>,
}

/// A backend server that records the requests it executes.
#[derive(Clone)]
pub struct StandInBackend {
    state: Arc<Mutex<State>>,
    /// Address that serves requests.
    pub address: SocketAddr,
}

impl StandInBackend {
    /// Starts a backend server.
    pub async fn start(name: &str) -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let state = State { name: name.to_owned(), ..State::default() };
        let mut server = Self { state: Arc::new(Mutex::new(state)), address: unset };
        let handler = server.clone();
        server.address = serve(move |req| {
            let server = handler.clone();
            async move { server.respond(req).await }
        })
        .await;
        server
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self) -> Value {
        server_entry(self.address)
    }

    /// Returns the server's name.
    pub fn name(&self) -> String {
        self.lock().name.clone()
    }

    /// Changes the server's name, as a restart does.
    pub fn rename(&self, name: &str) {
        self.lock().name = name.to_owned();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panicked")
    }

    /// Sets the fault of the server.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Returns the requests that the server executed.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let _ = body.collect().await;
        let fault = self.lock().fault;
        let attempt = parts.headers.get("x-laburnumvalve-attempt-id").cloned();
        let attempt = attempt.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        // With `WrongAnswer`, the body is that of another request.
        let body_attempt = if fault == Fault::WrongAnswer { "other" } else { attempt };
        let mut rsp = Response::new(full(plain_body(body_attempt)));
        let headers = rsp.headers_mut();
        if let Some(id) = parts.headers.get("x-laburnumvalve-attempt-id") {
            headers.insert("x-laburnumvalve-attempt-id", id.clone());
        }
        let expected = parts.headers.get("x-laburnumvalve-expect-instance");
        if expected.is_some_and(|expected| expected != self.name().as_str()) {
            *rsp.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return rsp;
        }
        if fault == Fault::Full {
            headers.insert("x-laburnumvalve-not-executed", HeaderValue::from_static("1"));
            *rsp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return rsp;
        }
        headers.insert("x-laburnumvalve-response-seal", HeaderValue::from_static("seal"));
        if fault == Fault::WrongAnswer {
            headers.insert("x-laburnumvalve-attempt-id", HeaderValue::from_static("other"));
        }
        let path = parts.uri.path().to_owned();
        let after =
            parts.headers.get("last-event-id").and_then(|id| id.to_str().ok()?.parse().ok());
        self.lock().runs.push(Run { headers: parts.headers.clone(), at: Instant::now() });
        if fault == Fault::LoseAnswerLate {
            tokio::time::sleep(LATE_DELAY).await;
        }
        if matches!(fault, Fault::LoseAnswer | Fault::LoseAnswerLate) {
            return dropped_response();
        } else if path.starts_with("/stream/") || path.starts_with("/job/") {
            *rsp.body_mut() =
                events(body_attempt, after.unwrap_or_default(), fault == Fault::CutStream);
        }
        rsp
    }
}

fn events(attempt: &str, after: u64, is_truncated: bool) -> Body {
    let attempt = Arc::<str>::from(attempt);
    let ids = futures::stream::iter(after + 1..=EVENTS);
    let frames = ids.then(move |id| {
        let text = event(&attempt, id);
        async move {
            tokio::time::sleep(Duration::from_millis(40)).await;
            if is_truncated && id == 4 {
                return Ok(Frame::data(Bytes::from_static(b"id: 4\ndata: ha")));
            }
            if is_truncated && id > 4 {
                return Err(std::io::Error::other("broken off"));
            }
            Ok(Frame::data(Bytes::from(text)))
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the body of a non-streaming response.
pub fn plain_body(attempt: &str) -> String {
    format!("served {attempt}")
}

/// Returns the text of an event.
pub fn event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: {attempt} {}\n\n", id * 7)
}

/// Returns the text of a complete stream.
pub fn full_stream(attempt: &str) -> String {
    (1..=EVENTS).map(|id| event(attempt, id)).collect()
}
