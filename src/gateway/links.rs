//! Pool of HTTP/1 connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::names::BackendServerName;

/// Timeout of opening a connection. A lost SYN packet would be retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// TCP user timeout: time without an acknowledgement from the remote host after which a connection
/// is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time before TCP keep-alive probes and interval between them, in whole seconds.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Idle timeout of a connection to a backend server that states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Safety margin before the idle timeout of the backend server, at which a connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum size of a response head; also the size of the read buffer of a connection.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of informational responses (1xx) before a response.
const MAX_INFORMATIONAL_RESPONSES: u32 = 16;
/// Maximum number of idle connections to a backend server.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Fraction of a backend server's connection limit that idle connections of all instances may use;
/// the rest is reserved for requests.
const IDLE_FRACTION: f64 = 0.5;

/// Aborts the task of a connection when dropped, which closes the socket at once.
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

/// Error of a request that received no response.
#[derive(Debug)]
pub enum ConnectionError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent at least in part, and no response was received.
    NoResponse(String),
}

impl Connection {
    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// If no response was received; the variant states whether the request was sent.
    pub async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let flooded = notify_after_informational_responses(&mut req);
        let sent = tokio::select! {
            sent = self.tx.try_send_request(req) => sent,
            () = flooded.notified() => {
                let why = format!("more than {MAX_INFORMATIONAL_RESPONSES} informational responses");
                return Err(ConnectionError::NoResponse(why));
            }
        };
        let rsp = sent.map_err(|mut failed| {
            let why = failed.error().to_string();
            match failed.take_message() {
                Some(_) => ConnectionError::NotSent(why),
                None => ConnectionError::NoResponse(why),
            }
        })?;
        if let Some(timeout) = keep_alive_timeout(&rsp) {
            self.idle_timeout = timeout.saturating_sub(IDLE_MARGIN);
        }
        Ok(rsp)
    }
}

/// Returns a notification that comes when a request received too many informational responses.
fn notify_after_informational_responses(req: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let flooded = Arc::new(Notify::new());
    let (notify, count) = (flooded.clone(), AtomicU32::new(0));
    hyper::ext::on_informational(req, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            notify.notify_one();
        }
    });
    flooded
}

/// Returns the idle timeout stated in a header such as `Keep-Alive: timeout=5`.
fn keep_alive_timeout(rsp: &Response<Incoming>) -> Option<Duration> {
    let text = rsp.headers().get("keep-alive")?.to_str().ok()?;
    let mut fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let seconds = fields.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?.1;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns the maximum number of idle connections that an instance may keep to a backend server,
/// whose limit of `max_connections` is shared by `instances`.
pub fn max_idle_per_instance(max_connections: u32, instances: usize) -> usize {
    let share = f64::from(max_connections) * IDLE_FRACTION / instances.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE_PER_SERVER)
}

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<BackendServerName, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns a connection that was idle for less than `max_idle_age`, or opens a new one.
    ///
    /// # Errors
    /// [`ConnectionError::NotSent`] if a connection can't be opened.
    pub async fn acquire(
        &self,
        server: &BackendServerName,
        address: SocketAddr,
        max_idle_age: Duration,
    ) -> Result<Connection, ConnectionError> {
        match self.acquire_idle(server, max_idle_age) {
            Some(connection) => Ok(connection),
            None => connect(address).await,
        }
    }

    fn acquire_idle(
        &self,
        server: &BackendServerName,
        max_idle_age: Duration,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(connection) = connections.pop() {
            let age = connection.idle_since.elapsed();
            if connection.tx.is_ready() && age < connection.idle_timeout.min(max_idle_age) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose last response was read completely to the pool, if fewer than
    /// `max_idle` are idle.
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

    /// Closes all idle connections to a backend server, for example after one of them timed out.
    pub fn close_idle(&self, server: &BackendServerName) {
        self.idle.borrow_mut().remove(server);
    }

    /// Closes connections that exceeded their idle timeout or whose backend server was removed.
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

/// Opens a connection.
///
/// A call whose response can't be compared with it, as it carries no attempt ID, needs a connection
/// of its own that is dropped afterwards: on any other, a late copy of an earlier response could be
/// taken for the one of this call.
///
/// # Errors
/// [`ConnectionError::NotSent`] if the connection can't be opened.
pub async fn connect(address: SocketAddr) -> Result<Connection, ConnectionError> {
    let not_sent =
        |why: String| ConnectionError::NotSent(format!("connecting to {address} failed: {why}"));
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| not_sent(format!("timed out after {} ms", CONNECT_TIMEOUT.as_millis())))?
        .map_err(|error| not_sent(error.to_string()))?;
    set_socket_options(&socket).map_err(|error| not_sent(error.to_string()))?;
    let (tx, connection) = http1::Builder::new()
        .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(
                %error,
                "connection to backend server at {address} ended with an error"
            );
        }
    });
    Ok(Connection {
        tx,
        _task: ConnectionTask(task.abort_handle()),
        idle_since: Instant::now(),
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    })
}

/// Disables Nagle's algorithm and enables detection of unreachable hosts.
fn set_socket_options(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = socket2::SockRef::from(socket);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_PERIOD).with_interval(KEEPALIVE_PERIOD);
    socket.set_tcp_keepalive(&probes)?;
    // Also limits the time for which keep-alive probes may stay unacknowledged.
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
