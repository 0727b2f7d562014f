//! Stand-in of a backend server.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::{Body, full, serve};

/// Events of a whole stream.
pub const EVENTS: u64 = 8;

/// Time after which an answer is lost late; the test route repeats no request before.
const LATE: Duration = Duration::from_millis(500);

/// What a backend server does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It says that it is full and has not run the request.
    Full,
    /// It runs the request and closes the connection without an answer.
    LoseAnswer,
    /// As `LoseAnswer`, after a while.
    LoseAnswerLate,
    /// It breaks streams off in the middle of the fourth event.
    CutStream,
    /// It answers with the identifier of another request.
    WrongAnswer,
}

#[derive(Default)]
struct State {
    fault: Fault,
    runs: Vec<HeaderMap>,
}

/// A backend server that counts what it ran.
#[derive(Clone)]
pub struct Runner {
    name: String,
    state: Arc<Mutex<State>>,
    /// Where it is served.
    pub address: SocketAddr,
}

impl Runner {
    /// Starts a backend server.
    pub async fn start(name: &str) -> Self {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut runner = Self { name: name.to_owned(), state: Arc::default(), address: unset };
        let answering = runner.clone();
        runner.address = serve(move |req| {
            let runner = answering.clone();
            async move { runner.answer(req).await }
        })
        .await;
        runner
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> Value {
        json!({
            "service": "engines", "address": self.address.to_string(), "zone": "kolkata-a",
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
        })
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets what it does wrong.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().expect("no test panicked").fault = fault;
    }

    /// Returns the headers of the requests that it ran.
    pub fn runs(&self) -> Vec<HeaderMap> {
        self.state.lock().expect("no test panicked").runs.clone()
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let _ = body.collect().await;
        let fault = self.state.lock().expect("no test panicked").fault;
        let mut rsp = Response::new(full("served"));
        let headers = rsp.headers_mut();
        if let Some(id) = parts.headers.get("x-laburnumvalve-attempt-id") {
            headers.insert("x-laburnumvalve-attempt-id", id.clone());
        }
        let expected = parts.headers.get("x-laburnumvalve-expect-instance");
        if expected.is_some_and(|expected| expected != self.name.as_str()) {
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
        self.state.lock().expect("no test panicked").runs.push(parts.headers);
        if fault == Fault::LoseAnswerLate {
            tokio::time::sleep(LATE).await;
        }
        if matches!(fault, Fault::LoseAnswer | Fault::LoseAnswerLate) {
            *rsp.body_mut() = broken("");
            rsp.headers_mut().insert("content-length", HeaderValue::from_static("6"));
        } else if path.starts_with("/stream/") || path.starts_with("/job/") {
            *rsp.body_mut() = events(after.unwrap_or_default(), fault == Fault::CutStream);
        }
        rsp
    }
}

fn broken(text: &'static str) -> Body {
    let frames = futures::stream::iter([
        Ok(Frame::data(Bytes::from_static(text.as_bytes()))),
        Err(std::io::Error::other("broken off")),
    ]);
    StreamBody::new(frames).boxed_unsync()
}

fn events(after: u64, is_cut: bool) -> Body {
    let ids = futures::stream::iter(after + 1..=EVENTS);
    let frames = ids.then(move |id| async move {
        tokio::time::sleep(Duration::from_millis(40)).await;
        if is_cut && id == 4 {
            return Ok(Frame::data(Bytes::from_static(b"id: 4\ndata: ha")));
        }
        if is_cut && id > 4 {
            return Err(std::io::Error::other("broken off"));
        }
        Ok(Frame::data(Bytes::from(event(id))))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Returns the bytes of one event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: {}\n\n", id * 7)
}

/// Returns the bytes of a whole stream.
pub fn whole_stream() -> String {
    (1..=EVENTS).map(event).collect()
}
