//! Accepts connections, and serves HTTP on the internal interfaces of an instance: status and
//! peers.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::body::ResponseBody;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time without a request after which a connection is closed; clients close theirs earlier.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a connection's read buffer, and thereby of a request head.
const READ_BUFFER_BYTES: usize = 32 << 10;

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
