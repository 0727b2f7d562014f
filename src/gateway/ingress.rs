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

/// Fraction of the maximum number of connections from which each is closed after a response, so that
/// idle ones make room.
const CROWDED_FRACTION: f64 = 0.75;

/// Accepts connections until the process exits. While there are as many as the memory allows, further
/// ones wait in the queue of the listener.
pub async fn accept(cx: Rc<InstanceState>, listener: TcpListener) {
    loop {
        wait_for_room(&cx).await;
        let socket = listen::accept(&listener, "callers").await;
        // Counted before the task runs, so that a shutdown doesn't miss it.
        let open = OpenConnection::count(&cx);
        tokio::task::spawn_local(serve(cx.clone(), socket, open));
    }
}

async fn wait_for_room(cx: &InstanceState) {
    let max = cx.cfg().max_connections();
    if *cx.open_connections.borrow() < max {
        return;
    }
    tracing::warn!(max, "as many connections of callers as the memory allows; accepting no more");
    // Fails only after the sender is dropped, and `cx` keeps it alive.
    let _ = cx.open_connections.subscribe().wait_for(|open| *open < max).await;
}

fn is_crowded(cx: &InstanceState) -> bool {
    let max = cx.cfg().max_connections() as f64;
    *cx.open_connections.borrow() as f64 >= max * CROWDED_FRACTION
}

/// An open connection of a caller; counted until dropped.
struct OpenConnection(Rc<InstanceState>);

impl OpenConnection {
    fn count(cx: &Rc<InstanceState>) -> Self {
        cx.open_connections.send_modify(|open| *open += 1);
        Self(cx.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.send_modify(|open| *open -= 1);
    }
}

/// Serves a connection until it is closed.
async fn serve(cx: Rc<InstanceState>, socket: TcpStream, _open: OpenConnection) {
    if let Err(error) = socket.set_nodelay(true) {
        tracing::debug!(%error, "setting TCP_NODELAY failed");
    }
    let limits = cx.catalog().limits;
    // Boxed, as a connection reserves the size of its service's future also while it is idle.
    let service = service_fn(|req| Box::pin(respond(cx.clone(), req)));
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
}

async fn respond(
    cx: Rc<InstanceState>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let mut rsp = handle(cx.clone(), req).await;
    if cx.is_draining() || is_crowded(&cx) {
        rsp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(rsp)
}
