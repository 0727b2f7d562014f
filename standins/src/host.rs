//! The HTTP server that all stand-ins share: salvo on a private port behind a [`Relay`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderValue, ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, Service};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;

use crate::received::Received;
use crate::relay::Relay;

/// Largest request body in bytes.
const MAX_BODY: usize = 32 << 20;

/// Pieces of a streamed body; an error cuts the connection.
pub type Pieces = mpsc::Receiver<std::io::Result<Bytes>>;

/// A request as a stand-in handles it.
#[derive(Debug)]
pub struct Call {
    /// What was received.
    pub received: Received,
    /// Segments of the path.
    pub path: Vec<String>,
    /// Parameters of the query.
    pub query: HashMap<String, String>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// Returns the reply that says what is wrong.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| Reply::error(400, &error.to_string()))
    }
}

/// What a stand-in does with a request.
pub enum Reply {
    /// Answers with JSON.
    Json(u16, Value),
    /// Answers with a text of a content type.
    Text(u16, &'static str, String),
    /// Answers with a stream of a content type.
    Stream(&'static str, Pieces),
    /// Answers with a redirect.
    Redirect(u16, String),
    /// Resets the connection without an answer.
    Reset,
    /// Keeps the connection open and never answers.
    Silence,
}

impl Reply {
    /// Answers with an empty JSON object.
    pub fn done() -> Self {
        Self::Json(200, json!({}))
    }

    /// Answers with an error.
    pub fn error(status: u16, message: &str) -> Self {
        Self::Json(status, json!({ "error": { "message": message, "code": status } }))
    }
}

/// Decides on requests.
pub trait Answer: Send + Sync + 'static {
    /// Handles one request.
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply>;
}

/// A running stand-in server; dropping it closes all its connections.
pub struct Host {
    relay: Arc<Relay>,
    serving: JoinHandle<()>,
}

impl Host {
    /// Starts serving on an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start<A: Answer>(
        listen: SocketAddr,
        build: impl FnOnce(&Arc<Relay>) -> Arc<A>,
    ) -> eyre::Result<Self> {
        let private = TcpListener::bind(crate::ANY_PORT).await?;
        let relay = Arc::new(Relay::start_on(listen, private.local_addr()?).await?);
        let adapter = Adapter { relay: Arc::clone(&relay), answer: build(&relay) };
        let router = Router::with_path("{**rest}").goal(adapter);
        let server = Server::new(TcpAcceptor::try_from(private)?).disable_fuse();
        let serving = tokio::spawn(server.serve(Service::new(router)));
        Ok(Self { relay, serving })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Returns the relay that all connections pass.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.serving.abort();
        self.relay.refuse(true);
        self.relay.cut();
    }
}

/// Connects salvo to an [`Answer`].
struct Adapter<A> {
    relay: Arc<Relay>,
    answer: Arc<A>,
}

#[salvo::async_trait]
impl<A: Answer> Handler for Adapter<A> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let port = req.remote_addr().clone().into_std().map_or(0, |address| address.port());
        let Some(call) = read_call(req).await else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        match Arc::clone(&self.answer).answer(call).await {
            Reply::Reset => {
                self.relay.cut_port(port);
                std::future::pending::<()>().await;
            }
            Reply::Silence => std::future::pending().await,
            reply => write_reply(res, reply),
        }
    }
}

async fn read_call(req: &mut Request) -> Option<Call> {
    let body = req.payload_with_max_size(MAX_BODY).await.ok()?.clone();
    let headers = req.headers().iter().map(|(name, value)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    let received = Received {
        method: req.method().to_string(),
        target: req.uri().to_string(),
        headers: headers.collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let path = req.uri().path().split('/').filter(|segment| !segment.is_empty());
    let path = path.map(str::to_owned).collect();
    let query = req.queries().iter().map(|(name, value)| (name.clone(), value.clone())).collect();
    Some(Call { received, path, query, body })
}

fn write_reply(res: &mut Response, reply: Reply) {
    let (status, content_type, body) = match reply {
        Reply::Json(status, value) => (status, "application/json", value.to_string().into()),
        Reply::Text(status, content_type, text) => (status, content_type, text.into()),
        Reply::Stream(content_type, pieces) => {
            (200, content_type, ResBody::stream(ReceiverStream::new(pieces)))
        }
        Reply::Redirect(status, location) => {
            if let Ok(location) = HeaderValue::try_from(location) {
                res.headers_mut().insert("location", location);
            }
            (status, "text/plain", "redirected".to_owned().into())
        }
        Reply::Reset | Reply::Silence => return,
    };
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.headers_mut().insert("content-type", HeaderValue::from_static(content_type));
    res.body(body);
}
