//! One running instance: builds the shared parts, starts the tasks and stops them in order.

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

/// Reports of peers' configuration that may wait to be compared.
const CONFIG_REPORT_QUEUE: usize = 1_024;
/// Period of keepalive pings on connections from peers.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time without a ping answer after which a connection from a peer is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that one peer connection may have open at once.
const MAX_CONCURRENT_PEER_STREAMS: u32 = 20_000;

/// The sockets of one instance, bound before anything else starts.
pub struct Sockets {
    /// For callers.
    pub callers: TcpListener,
    /// For peers.
    pub peers: TcpListener,
    /// For operators and metrics.
    pub admin: TcpListener,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Says which address can't be bound.
    pub async fn bind(options: &Options) -> eyre::Result<Self> {
        let bind = async |address, flag| {
            TcpListener::bind(address).await.wrap_err_with(|| format!("--{flag} {address}"))
        };
        Ok(Self {
            callers: bind(options.listen, "listen").await?,
            peers: bind(options.peer_listen, "peer-listen").await?,
            admin: bind(options.admin_listen, "admin-listen").await?,
        })
    }
}

/// Senders of the views that the context lets every part read.
struct ViewSenders {
    in_force: watch::Sender<Arc<InForce>>,
    members: watch::Sender<Arc<Members>>,
    loads: watch::Sender<Arc<Loads>>,
    draining: watch::Sender<bool>,
}

/// Runs an instance until `stop` resolves and every request has ended.
///
/// # Errors
/// Fails if a part can't be started or a socket fails.
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
    tracing::info!(instance = %cx.options.instance, listen = %cx.options.listen, "serving");

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

/// Passes what beats say of peers' configuration on to the configuration task.
async fn forward_config_reports(mut rx: mpsc::Receiver<PeerConfigReport>, config: ConfigHandle) {
    while let Some(PeerConfigReport { member, config_version, marks_digest }) = rx.recv().await {
        config.handle_beat(&member, config_version, marks_digest);
    }
}

/// Serves the calls of peers until the process ends.
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
        .wrap_err("the peer service failed")
}

/// Shuts down: gives homes and leases away, lets requests end, then makes usage durable.
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
