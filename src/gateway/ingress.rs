//! Accepts connections of callers and drains them on shutdown.

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::body::ResponseBody;
use super::handle::handle;
use super::listen;
use super::shared::InstanceState;

/// Time after SIGTERM for which new connections are still expected: the load balancer needs two
/// failed health checks, one per second, to notice. Connections are shut down gracefully
/// afterwards.
pub const ACCEPT_GRACE: Duration = Duration::from_millis(2_600);

/// Accepts connections until the process exits.
pub async fn accept(cx: Rc<InstanceState>, listener: TcpListener) {
    loop {
        let socket = listen::accept(&listener, "callers").await;
        // Counted before the task runs, so that a shutdown doesn't miss it.
        cx.open_connections.set(cx.open_connections.get() + 1);
        tokio::task::spawn_local(serve(cx.clone(), socket));
    }
}

/// Serves a connection until it is closed.
async fn serve(cx: Rc<InstanceState>, socket: TcpStream) {
    if let Err(error) = socket.set_nodelay(true) {
        tracing::debug!(%error, "setting TCP_NODELAY failed");
    }
    let limits = cx.catalog().limits;
    let service = service_fn(|req| respond(cx.clone(), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header.max(8_192) + 8_192)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let mut draining = cx.draining.subscribe();
    let closing = async {
        // `wait_for` fails only after the sender is dropped, and this task keeps it alive.
        let _ = draining.wait_for(|draining| *draining).await;
        tokio::time::sleep(ACCEPT_GRACE).await;
    };
    let mut ended = None;
    tokio::select! {
        result = connection.as_mut() => ended = Some(result),
        () = closing => connection.as_mut().graceful_shutdown(),
    }
    let result = match ended {
        Some(result) => result,
        None => connection.await,
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection of a caller ended with an error");
    }
    cx.open_connections.set(cx.open_connections.get() - 1);
}

async fn respond(
    cx: Rc<InstanceState>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut rsp = handle(cx.clone(), req).await;
    if cx.is_draining() {
        rsp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(rsp)
}
