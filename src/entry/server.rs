//! HTTP server for callers: connection limits, timeouts and graceful shutdown.

use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server};
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::Entry;
use super::backend::BackendClients;
use super::retry::RetryBudget;
use crate::claim::{ClaimStore, janitor};
use crate::context::Context;
use crate::home::{AdmissionClient, OrganisationLimits};
use crate::usage::Ledger;

/// Timeout for receiving the request headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum header buffer size accepted by the HTTP library, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8 << 10;
/// Time for which a draining instance still accepts connections, since load balancers detect the
/// draining with a delay.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_secs(3);

/// Serves requests until the instance has drained.
///
/// # Errors
/// If the listener or the HTTP clients can't be set up.
pub async fn serve(
    listener: TcpListener,
    cx: Context,
    admission_client: AdmissionClient,
    limits: OrganisationLimits,
    ledger: Ledger,
    claims: ClaimStore,
) -> eyre::Result<()> {
    let mut draining = cx.draining.clone();
    let options = cx.options.clone();
    tokio::spawn(janitor::run(cx.clone()));
    let entry = Entry {
        cx,
        admission_client,
        limits,
        ledger,
        claims,
        backend_clients: BackendClients::new()?,
        retry_budget: RetryBudget::default(),
    };
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(HEADER_TIMEOUT)
        .with_write_stall_timeout(options.progress_timeout);
    let mut server = Server::new(TcpAcceptor::try_from(listener)?)
        .fuse_config(fuse)
        .max_connections(options.max_connections);
    server.http1_mut().max_buf_size(options.max_header_bytes.max(MIN_HEADER_BUFFER_BYTES));
    server.http2_mut().max_header_list_size(options.max_header_bytes as u32);
    let handle = server.handle();
    let drain_timeout = options.drain_timeout;
    tokio::spawn(async move {
        if draining.wait_for(|draining| *draining).await.is_ok() {
            sleep(DRAIN_ACCEPT_PERIOD).await;
            handle.stop_graceful(drain_timeout);
        }
    });
    let router = Router::with_path("{**path}").goal(entry);
    server.try_serve(router).await?;
    Ok(())
}
