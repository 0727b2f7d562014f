//! The administration API: HTTP for operators, their scripts and the metrics scraper.

mod auth;
mod health;
mod keys;
mod reply;
mod service;
mod sheets;
mod status;
mod timeline;

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server, Service};
use tokio::net::TcpListener;

use crate::clock::Hlc;
use crate::config::ConfigHandle;
use crate::context::Context;
use crate::event::{Event, Recorder};
use crate::names::InstanceName;

/// Returns at most so many events after a time, of all instances that answer.
pub type EventSource = Arc<dyn Fn(Hlc, usize) -> BoxFuture<'static, Vec<Event>> + Send + Sync>;
/// Returns the leases that this instance knows of.
pub type LeaseSource = Arc<dyn Fn() -> Vec<KnownLease> + Send + Sync>;

value! {
    /// A lease as this instance knows it.
    pub struct KnownLease {
        /// What the lease is for.
        pub name: String,
        /// The instance that holds it.
        pub holder: InstanceName,
        /// Its epoch, which is the fencing number of orders given under it.
        pub epoch: u64,
    }
}

/// Where the administration API gets what other parts know.
#[derive(Clone)]
pub struct Sources {
    /// Events for the time line.
    pub events: EventSource,
    /// Leases for the status.
    pub leases: LeaseSource,
}

impl Sources {
    /// Shows the events of this instance only, and no leases.
    pub fn local(recorder: Recorder) -> Self {
        let events = move |since, limit| {
            let events = recorder.since(since, limit);
            async move { events }.boxed()
        };
        Self { events: Arc::new(events), leases: Arc::new(Vec::new) }
    }
}

/// What the handlers of the administration API share.
#[derive(Clone)]
struct Admin {
    cx: Context,
    config: ConfigHandle,
    sources: Sources,
}

/// Builds the routes of the administration API.
pub fn router(cx: Context, config: ConfigHandle, sources: Sources) -> Router {
    let secret = auth::RequireSecret(cx.options.admin_secret.clone());
    let admin = Admin { cx, config, sources };
    let open = Router::new()
        .push(Router::with_path("ready").get(health::Ready(admin.clone())))
        .push(Router::with_path("metrics").get(health::ShowMetrics(admin.clone())));
    let guarded = Router::new()
        .hoop(secret)
        .push(sheets::router(&admin))
        .push(keys::router(&admin))
        .push(service::router(&admin))
        .push(Router::with_path("status").get(status::ShowStatus(admin.clone())))
        .push(Router::with_path("timeline").get(timeline::ShowTimeline(admin)));
    Router::new().push(open).push(guarded)
}

/// Serves the administration API until the future is dropped.
///
/// # Errors
/// If the listener can't be used.
pub async fn serve(listener: TcpListener, router: Router) -> eyre::Result<()> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    Server::new(acceptor).try_serve(Service::new(router)).await?;
    Ok(())
}
