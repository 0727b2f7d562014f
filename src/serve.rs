//! Life cycle of an instance: creates the shared state, starts the tasks and shuts them down in
//! order.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;

use crate::claim::ClaimStore;
use crate::clock::Clock;
use crate::config::{self, ConfigHandle, InForce};
use crate::context::Context;
use crate::event::{EventKind, Recorder};
use crate::home::{self, AdmissionClient, HomeQueues};
use crate::metrics::Metrics;
use crate::options::Options;
use crate::peer::membership::{Outputs, PeerConfigReport};
use crate::peer::service::{PeerService, SecretVerifier};
use crate::peer::{Loads, Members, Membership, PeerPool};
use crate::platform::ObjectClient;
use crate::timer::Timer;
use crate::usage::{self, Ledger};
use crate::{admin, entry, orders};

/// Capacity of the queue of configuration reports received from peers.
const CONFIG_REPORT_QUEUE: usize = 1_024;
/// Period of keepalive pings on connections from peers.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time without a reply to a keepalive ping after which a connection from a peer is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls on one peer connection.
const MAX_CONCURRENT_PEER_STREAMS: u32 = 20_000;

/// Listening sockets of an instance, bound before its tasks start.
pub struct Sockets {
    /// For callers.
    pub callers: TcpListener,
    /// For peers.
    pub peers: TcpListener,
    /// For the administration API and metrics.
    pub admin: TcpListener,
}

impl Sockets {
    /// Binds the configured listen addresses.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn bind(options: &Options) -> eyre::Result<Self> {
        let bind = async |address, flag| {
            TcpListener::bind(address)
                .await
                .wrap_err_with(|| format!("failed to bind --{flag} {address}"))
        };
        Ok(Self {
            callers: bind(options.listen, "listen").await?,
            peers: bind(options.peer_listen, "peer-listen").await?,
            admin: bind(options.admin_listen, "admin-listen").await?,
        })
    }
}

/// Senders of the views in [`Context`].
struct ViewSenders {
    in_force: watch::Sender<Arc<InForce>>,
    members: watch::Sender<Arc<Members>>,
    loads: watch::Sender<Arc<Loads>>,
    draining: watch::Sender<bool>,
}

/// Runs an instance until `stop` resolves, then drains its requests within the drain time-out.
///
/// # Errors
/// If a task can't be started or a server fails.
pub async fn run(
    options: Options,
    sockets: Sockets,
    stop: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let (cx, senders) = build_context(options)?;
    let ViewSenders { in_force, members, loads, draining } = senders;
    cx.recorder.record(EventKind::Instance, "started");

    let config = config::start(cx.clone(), in_force);
    let homes = home::start(cx.clone());
    let ledger = usage::start(cx.clone());
    orders::start(cx.clone(), config.clone());
    let claims = ClaimStore::new(cx.clone());
    let limits = homes.limits();
    let (config_reports, config_reports_rx) = mpsc::channel(CONFIG_REPORT_QUEUE);
    let outputs = Outputs { members, loads, config_reports };
    let membership = Membership::start(cx.clone(), homes.clone(), outputs)?;
    tokio::spawn(forward_config_reports(config_reports_rx, config.clone()));

    let peers =
        PeerService { cx: cx.clone(), membership, config: config.clone(), ledger: ledger.clone() };
    let mut peers = tokio::spawn(serve_peers(sockets.peers, cx.clone(), peers, homes));
    let admin = admin::serve(sockets.admin, cx.clone(), config);
    let mut admin = tokio::spawn(admin);
    let admission = AdmissionClient::new(cx.clone());
    let entry =
        entry::serve(sockets.callers, cx.clone(), admission, limits, ledger.clone(), claims);
    let mut entry = tokio::spawn(entry);
    tracing::info!(
        instance = %cx.options.instance,
        listen = %cx.options.listen,
        "serving"
    );

    tokio::select! {
        () = stop => {}
        ended = &mut entry => ended??,
        ended = &mut admin => ended??,
        ended = &mut peers => ended??,
    }
    drain(&cx, &draining, entry, &ledger).await
}

fn build_context(options: Options) -> eyre::Result<(Context, ViewSenders)> {
    let (in_force_tx, in_force) = watch::channel(Arc::default());
    let (members_tx, members) = watch::channel(Arc::default());
    let (loads_tx, loads) = watch::channel(Arc::default());
    let (draining_tx, draining) = watch::channel(false);
    let clock = Clock::default();
    let cx = Context {
        incarnation: rand::random(),
        recorder: Recorder::new(options.instance.clone(), clock.clone()),
        clock,
        timer: Timer::start(),
        metrics: Metrics::default(),
        objects: ObjectClient::new(&options.platform_url)?,
        pool: PeerPool::new(&options.fleet_secret)?,
        options: Arc::new(options),
        in_force,
        members,
        loads,
        draining,
    };
    let senders = ViewSenders {
        in_force: in_force_tx,
        members: members_tx,
        loads: loads_tx,
        draining: draining_tx,
    };
    Ok((cx, senders))
}

/// Forwards configuration reports from heartbeats of peers to the configuration task.
async fn forward_config_reports(mut rx: mpsc::Receiver<PeerConfigReport>, config: ConfigHandle) {
    while let Some(PeerConfigReport { member, config_version, marks_digest }) = rx.recv().await {
        config.handle_beat(&member, config_version, marks_digest);
    }
}

/// Serves calls from peers until the process exits.
async fn serve_peers(
    listener: TcpListener,
    cx: Context,
    peers: PeerService,
    homes: HomeQueues,
) -> eyre::Result<()> {
    let check = SecretVerifier::new(cx.options.fleet_secret.clone());
    let peers = InterceptedService::new(peers.into_server(), check.clone());
    let homes = InterceptedService::new(home::service(homes), check);
    Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(KEEPALIVE_PERIOD))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .max_concurrent_streams(Some(MAX_CONCURRENT_PEER_STREAMS))
        .add_service(peers)
        .add_service(homes)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await
        .wrap_err("peer service failed")
}

/// Shuts down: announces draining, so that home queues and leases move to other instances, waits
/// for running requests up to the drain time-out, then flushes usage records.
async fn drain(
    cx: &Context,
    draining: &watch::Sender<bool>,
    entry: tokio::task::JoinHandle<eyre::Result<()>>,
    ledger: &Ledger,
) -> eyre::Result<()> {
    cx.recorder.record(EventKind::Instance, "draining");
    tracing::info!("draining");
    draining.send_replace(true);
    if !entry.is_finished() {
        tokio::time::timeout(cx.options.drain_timeout, entry)
            .await
            .ok()
            .transpose()?
            .transpose()?;
    }
    ledger.flush().await;
    tracing::info!("stopped");
    Ok(())
}
