//! Administration API over HTTP, for operators, scripts and the metrics scraper.

mod auth;
mod body;
mod health;
mod keys;
mod reply;
mod service;
mod sheets;
mod status;
mod timeline;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server, Service};
use tokio::net::TcpListener;

use crate::config::ConfigHandle;
use crate::context::Context;

/// State shared by the handlers of the administration API.
#[derive(Clone)]
struct AdminState {
    cx: Context,
    config: ConfigHandle,
}

/// Builds the router; all routes but `/ready` and `/metrics` require the administration secret.
pub fn router(cx: Context, config: ConfigHandle) -> Router {
    let secret = auth::RequireSecret(cx.options.admin_secret.clone());
    let admin = AdminState { cx, config };
    let public = Router::new()
        .push(Router::with_path("ready").get(health::Ready(admin.clone())))
        .push(Router::with_path("metrics").get(health::ShowMetrics(admin.clone())));
    let guarded = Router::new()
        .hoop(secret)
        .push(sheets::router(&admin))
        .push(keys::router(&admin))
        .push(service::router(&admin))
        .push(Router::with_path("status").get(status::ShowStatus(admin.clone())))
        .push(Router::with_path("timeline").get(timeline::ShowTimeline(admin)));
    Router::new().push(public).push(guarded)
}

/// Serves the administration API until the future is dropped.
///
/// # Errors
/// If the listener can't be used as an acceptor, or the server fails.
pub async fn serve(listener: TcpListener, cx: Context, config: ConfigHandle) -> eyre::Result<()> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    Server::new(acceptor).try_serve(Service::new(router(cx, config))).await?;
    Ok(())
}
