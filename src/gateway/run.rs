//! Start and graceful shutdown of a gateway instance.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::duty::{self, DutyLease};
use super::ingress::{self, ACCEPT_GRACE};
use super::settings::GatewaySettings;
use super::shared::{InstanceState, ShutdownTimes};
use super::{
    evidence, listen, origin_store, origins, peers, pulls, roster, scaling, state, status, sync,
    usage,
};
use crate::clock::{BootTime, wall_millis};
use crate::platform::duties::DutyClient;
use crate::platform::settings::parse;
use crate::platform::{Store, http};
use crate::timer::Timer;

/// Period at which expired connections and the state of removed backend servers are dropped, and
/// the clock is compared with the system clock.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Period at which the settings file is checked for changes.
const SETTINGS_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a start waits for settings that can be read, as the file may still be written.
const SETTINGS_WAIT: Duration = Duration::from_secs(3);
/// Period at which a start reads the settings again.
const SETTINGS_RETRY_PERIOD: Duration = Duration::from_millis(100);
/// Part of the shutdown grace period that is reserved for releasing the lease and exiting.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Period at which a shutdown checks for open connections.
const SHUTDOWN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Reads a settings file.
///
/// # Errors
/// If the file can't be read or a setting is invalid.
pub fn read_settings(path: &Path) -> eyre::Result<GatewaySettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("reading settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("parsing settings file {}", path.display()))
}

/// Signals to which an instance reacts.
#[derive(Debug)]
pub struct Signals {
    hangup: Signal,
    terminate: Signal,
}

impl Signals {
    /// Begins to catch the signals; one that comes before ends the process.
    ///
    /// # Errors
    /// If a handler can't be installed.
    pub fn catch() -> std::io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        Ok(Self { hangup, terminate: signal(SignalKind::terminate())? })
    }
}

/// What an instance needs before it can begin.
struct Prepared {
    cfg: GatewaySettings,
    peers: TcpListener,
    ready: TcpListener,
    callers: TcpListener,
}

/// Reads the settings and binds the sockets, and waits for those that are not available yet.
///
/// # Errors
/// If the settings stay unreadable, or a socket can never be bound.
async fn prepare(path: &Path) -> eyre::Result<Prepared> {
    let cfg = await_settings(path).await?;
    let peers = listen::bind(cfg.peer_address, "peers").await?;
    let ready = listen::bind(cfg.ready_address, "readiness").await?;
    // Last, as callers that are not served should go elsewhere at once.
    let callers = listen::bind(cfg.request_address, "callers").await?;
    Ok(Prepared { cfg, peers, ready, callers })
}

async fn await_settings(path: &Path) -> eyre::Result<GatewaySettings> {
    let started_at = Instant::now();
    let mut is_first = true;
    loop {
        match read_settings(path) {
            Err(error) if started_at.elapsed() < SETTINGS_WAIT => {
                if std::mem::take(&mut is_first) {
                    let error = format!("{error:#}");
                    tracing::warn!(error, "settings can't be read; trying again");
                }
                tokio::time::sleep(SETTINGS_RETRY_PERIOD).await;
            }
            result => return result,
        }
    }
}

/// Runs an instance until it receives SIGTERM, and then until its connections are drained or the
/// grace period ends.
///
/// # Errors
/// If the settings are invalid, a socket can't be bound, or an HTTP client can't be created.
pub async fn run(path: PathBuf, signals: Signals) -> eyre::Result<()> {
    let Signals { hangup, mut terminate } = signals;
    let prepared = tokio::select! {
        prepared = prepare(&path) => prepared?,
        _ = terminate.recv() => {
            tracing::info!("stopped before the start was complete");
            return Ok(());
        }
    };
    let Prepared { cfg, peers: peer_listener, ready: ready_listener, callers } = prepared;
    let store = Store::new(cfg.store_address)?;
    tracing::info!(instance = %cfg.instance, data_centre = %cfg.data_centre, "started");
    let cx = Rc::new(InstanceState::new(cfg));
    let timer = Timer::start();
    sync::start(&cx, &store);
    tokio::task::spawn_local(pulls::serve(cx.clone(), peer_listener));
    let client = http::peer_client()?;
    tokio::task::spawn_local(peers::sync_from_peers(cx.clone(), client.clone()));
    tokio::task::spawn_local(evidence::exchange(cx.clone(), client.clone(), timer.clone()));
    tokio::task::spawn_local(origins::receive(cx.clone()));
    cx.origins.set_store(store.clone());
    tokio::task::spawn_local(origin_store::write(cx.clone(), store.clone(), timer.clone()));
    let duty_lease = Rc::new(DutyLease::default());
    let lease_task =
        tokio::task::spawn_local(duty::maintain(cx.clone(), store.clone(), duty_lease.clone()));
    tokio::task::spawn_local(roster::register(cx.clone(), store.clone(), timer.clone()));
    let cleanup = roster::remove_dead_instances(
        cx.clone(),
        store.clone(),
        duty_lease.clone(),
        client,
        timer.clone(),
    );
    tokio::task::spawn_local(cleanup);
    let old_origins =
        origin_store::remove_old(cx.clone(), store.clone(), duty_lease.clone(), timer.clone());
    tokio::task::spawn_local(old_origins);
    tokio::task::spawn_local(usage::publish(cx.clone(), store.clone(), timer.clone()));
    if let Some(address) = cx.cfg().duties_address {
        let duties = DutyClient::new(address)?;
        let orders = scaling::run(cx.clone(), duties.clone(), duty_lease.clone(), timer.clone());
        tokio::task::spawn_local(orders);
        let report = usage::report(cx.clone(), store, duties, duty_lease, timer.clone());
        tokio::task::spawn_local(report);
    }
    tokio::task::spawn_local(status::serve(cx.clone(), ready_listener));
    tokio::task::spawn_local(serve_metrics(cx.clone()));
    tokio::task::spawn_local(ingress::accept(cx.clone(), callers));
    tokio::task::spawn_local(sweep(cx.clone(), timer.clone()));
    tokio::task::spawn_local(reload(cx.clone(), timer, path, hangup));
    terminate.recv().await;
    shut_down(&cx).await;
    if let Err(error) = lease_task.await {
        tracing::error!(%error, "duty lease task failed");
    }
    Ok(())
}

/// Serves metrics as soon as their address is available; requests don't wait for that.
async fn serve_metrics(cx: Rc<InstanceState>) {
    match listen::bind(cx.cfg().metrics_address, "metrics").await {
        Ok(listener) => status::serve(cx, listener).await,
        Err(error) => tracing::error!(error = %format!("{error:#}"), "metrics are not served"),
    }
}

async fn sweep(cx: Rc<InstanceState>, timer: Timer) {
    let mut ticks = timer.every(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        cx.sweep();
        state::end_kept_evacuations(&cx);
        let step = cx.clock.borrow_mut().synchronise(wall_millis(), BootTime::now());
        if let Some(step_ms) = step {
            tracing::debug!(step_ms, "system clock was stepped; ignoring the step");
        }
    }
}

/// Reloads the settings on SIGHUP and when the file has changed.
async fn reload(cx: Rc<InstanceState>, timer: Timer, path: PathBuf, mut hangup: Signal) {
    let mut ticks = timer.every(SETTINGS_CHECK_PERIOD);
    let modification_time =
        |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    let mut known_time = modification_time(&path);
    loop {
        let by_signal = tokio::select! {
            _ = hangup.recv() => true,
            tick = ticks.recv() => match tick {
                Some(_) => false,
                None => return,
            },
        };
        let modified_at = modification_time(&path);
        if !by_signal && modified_at == known_time {
            continue;
        }
        known_time = modified_at;
        match read_settings(&path) {
            Ok(cfg) => {
                tracing::info!(told = by_signal, "settings reloaded");
                *cx.cfg.borrow_mut() = Rc::new(cfg);
            }
            Err(error) => {
                tracing::error!(
                    error = %format!("{error:#}"),
                    "reloading settings failed; keeping the current ones"
                )
            }
        }
    }
}

/// Drains the connections of callers, at most until shortly before the end of the grace period.
async fn shut_down(cx: &Rc<InstanceState>) {
    let signalled_at = Instant::now();
    tracing::info!(connections = *cx.open_connections.borrow(), "shutting down");
    let grace = cx.cfg().shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
    let admit_all_until = signalled_at + ACCEPT_GRACE;
    cx.shutdown.set(Some(ShutdownTimes { admit_all_until, exit_at: signalled_at + grace }));
    cx.draining.send_replace(true);
    loop {
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
        let waited = signalled_at.elapsed();
        let is_done = *cx.open_connections.borrow() == 0 && waited > ACCEPT_GRACE;
        if is_done || waited > grace {
            break;
        }
    }
    tracing::info!(connections = *cx.open_connections.borrow(), "stopped");
}
