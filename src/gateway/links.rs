//! Connections to backend servers: one request at a time on each, kept open for a while.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::names::BackendServerName;

/// How long opening a connection may take; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without an acknowledgement from the peer's machine after which a connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without traffic after which the peer's machine is probed, and between probes; whole seconds.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// How long a connection is kept idle if the backend server states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before a backend server's own idle timeout at which a connection is dropped.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle connections kept to one backend server at most.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Part of the connections that a backend server accepts which idle ones of all instances may
/// take; the rest is for requests.
const IDLE_FRACTION: f64 = 0.5;

/// Ends the task of a connection, which closes its socket at once.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a backend server; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    tx: SendRequest<Full<Bytes>>,
    _task: ConnectionTask,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum ConnectionError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, in part at least, and no answer came.
    Broken(String),
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// Tells whether the request was sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let rsp = self.tx.try_send_request(req).await.map_err(|mut failed| {
            let why = failed.error().to_string();
            match failed.take_message() {
                Some(_) => ConnectionError::NotSent(why),
                None => ConnectionError::Broken(why),
            }
        })?;
        if let Some(timeout) = keep_alive_timeout(&rsp) {
            self.idle_timeout = timeout.saturating_sub(IDLE_MARGIN);
        }
        Ok(rsp)
    }
}

/// Reads `Keep-Alive: timeout=5`.
fn keep_alive_timeout(rsp: &Response<Incoming>) -> Option<Duration> {
    let text = rsp.headers().get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let seconds = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns how many idle connections one instance may keep to a backend server that accepts
/// `max_connections` from all of them.
pub fn max_idle_per_instance(max_connections: u32, instances: usize) -> usize {
    let share = f64::from(max_connections) * IDLE_FRACTION / instances.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE_PER_SERVER)
}

/// Idle connections, by backend server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<BackendServerName, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns an idle connection that was used at most `max_age` ago, or opens a new one.
    ///
    /// # Errors
    /// [`ConnectionError::NotSent`] if a connection can't be opened.
    pub async fn acquire(
        &self,
        server: &BackendServerName,
        address: SocketAddr,
        max_age: Duration,
    ) -> Result<Connection, ConnectionError> {
        match self.acquire_idle(server, max_age) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    fn acquire_idle(&self, server: &BackendServerName, max_age: Duration) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(connection) = connections.pop() {
            let age = connection.idle_since.elapsed();
            if connection.tx.is_ready() && age < connection.idle_timeout.min(max_age) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end, if fewer than `most` are idle.
    pub fn release(&self, server: &BackendServerName, mut connection: Connection, max_idle: usize) {
        if connection.tx.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server.clone()).or_default();
        if connections.len() < max_idle {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to a backend server, such as after one went silent.
    pub fn close_idle(&self, server: &BackendServerName) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes connections that were idle for too long, or whose server is gone.
    pub fn close_expired(&self, is_known: impl Fn(&BackendServerName) -> bool) {
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| {
                !connection.tx.is_closed()
                    && connection.idle_since.elapsed() < connection.idle_timeout
            });
            !connections.is_empty() && is_known(server)
        });
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, ConnectionError> {
    let not_sent =
        |why: String| ConnectionError::NotSent(format!("connection to {address}: {why}"));
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent("timed out".to_owned()))?
        .map_err(|error| not_sent(error.to_string()))?;
    set_socket_options(&socket).map_err(|error| not_sent(error.to_string()))?;
    let (tx, connection) = http1::handshake(TokioIo::new(socket))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "connection to a backend server ended");
        }
    });
    Ok(Connection {
        tx,
        _task: ConnectionTask(task.abort_handle()),
        idle_since: Instant::now(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}

/// Turns off delays of small writes, and detects a peer whose machine no longer answers.
fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = socket2::SockRef::from(socket);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    socket.set_tcp_keepalive(&probes)?;
    // Ends a connection also while nothing is sent, when probes are not acknowledged.
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
