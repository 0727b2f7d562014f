//! Accepts connections, and serves HTTP on the internal interfaces of an instance: status and
//! peers.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use super::body::ResponseBody;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Period at which an address that is not available is tried again.
const BIND_RETRY_PERIOD: Duration = Duration::from_millis(100);
/// Period of log lines about an address that stays unavailable.
const BIND_LOG_PERIOD: Duration = Duration::from_secs(10);
/// Time without a request after which a connection is closed; clients close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a connection's read buffer, and thereby of a request head.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Listens on an address as soon as it is available; `interface` is shown in log lines.
///
/// # Errors
/// If the address can never be used, such as for lack of permission.
pub async fn bind(address: SocketAddr, interface: &'static str) -> eyre::Result<TcpListener> {
    bind_when_available(address, interface, TcpListener::bind).await
}

/// Receives datagrams at an address as soon as it is available; `interface` is shown in log lines.
///
/// # Errors
/// If the address can never be used, such as for lack of permission.
pub async fn bind_datagrams(
    address: SocketAddr,
    interface: &'static str,
) -> eyre::Result<UdpSocket> {
    bind_when_available(address, interface, UdpSocket::bind).await
}

/// Binds a socket, and waits while its address is not available: an earlier process of the instance
/// may still end, an outgoing connection may have taken the port, or the host may not have the
/// address yet.
async fn bind_when_available<S>(
    address: SocketAddr,
    interface: &'static str,
    bind: impl AsyncFn(SocketAddr) -> std::io::Result<S>,
) -> eyre::Result<S> {
    let mut logged_at: Option<Instant> = None;
    loop {
        let error = match bind(address).await {
            Ok(socket) => return Ok(socket),
            Err(error) => error,
        };
        if !matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable) {
            return Err(error).wrap_err_with(|| format!("listening on {address} for {interface}"));
        }
        if logged_at.is_none_or(|at| at.elapsed() >= BIND_LOG_PERIOD) {
            logged_at = Some(Instant::now());
            tracing::warn!(of = interface, %address, %error, "address not available; trying again");
        }
        tokio::time::sleep(BIND_RETRY_PERIOD).await;
    }
}

/// Accepts the next connection; `interface` is shown in log lines.
pub async fn accept(listener: &TcpListener, interface: &'static str) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                tracing::warn!(of = interface, %error, "accepting a connection failed; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves requests on a socket until the process exits; `interface` is shown in log lines.
pub async fn serve<F, R>(listener: TcpListener, interface: &'static str, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    loop {
        let socket = accept(&listener, interface).await;
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| {
                let rsp = handler(req);
                async move { Ok::<_, Infallible>(rsp.await) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .max_buf_size(READ_BUFFER_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            if let Err(error) = served.await {
                tracing::debug!(of = interface, %error, "connection ended with an error");
            }
        });
    }
}
