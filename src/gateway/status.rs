//! Readiness check and metrics endpoint.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::body::{ResponseBody, full_body};
use super::shared::InstanceState;
use super::{gauges, listen};
use crate::platform::READY_PATH;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness check and the metrics on a socket until the process exits.
pub async fn serve(cx: Rc<InstanceState>, listener: TcpListener) {
    listen::serve(listener, "status", move |req| std::future::ready(respond(&cx, &req))).await;
}

fn respond(cx: &InstanceState, req: &Request<Incoming>) -> Response<ResponseBody> {
    let (status, text) = match req.uri().path() {
        READY_PATH if cx.is_ready() => (StatusCode::OK, String::new()),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        METRICS_PATH => {
            gauges::update(cx);
            (StatusCode::OK, cx.metrics.render())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut rsp = Response::new(full_body(text));
    *rsp.status_mut() = status;
    rsp
}
