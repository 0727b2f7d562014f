//! Start and graceful shutdown of a gateway instance.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use super::duty::{self, DutyLease};
use super::ingress::{self, ACCEPT_GRACE};
use super::settings::GatewaySettings;
use super::shared::{InstanceState, ShutdownTimes};
use super::{evidence, peers, pulls, roster, scaling, status, sync, usage};
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

/// Runs an instance until it receives SIGTERM, and then until its connections are drained or the
/// grace period ends.
///
/// # Errors
/// If the settings are invalid, a socket can't be bound, or an HTTP client can't be created.
pub async fn run(path: PathBuf) -> eyre::Result<()> {
    let cfg = read_settings(&path)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let store = Store::new(cfg.store_address)?;
    let caller_listener = bind(cfg.request_address).await?;
    let ready_listener = bind(cfg.ready_address).await?;
    let metrics_listener = bind(cfg.metrics_address).await?;
    let peer_listener = bind(cfg.peer_address).await?;
    tracing::info!(instance = %cfg.instance, data_centre = %cfg.data_centre, "started");
    let cx = Rc::new(InstanceState::new(cfg));
    let timer = Timer::start();
    sync::start(&cx, &store);
    tokio::task::spawn_local(pulls::serve(cx.clone(), peer_listener));
    let client = http::peer_client()?;
    tokio::task::spawn_local(peers::sync_from_peers(cx.clone(), client.clone()));
    tokio::task::spawn_local(evidence::exchange(cx.clone(), client.clone(), timer.clone()));
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
    tokio::task::spawn_local(usage::publish(cx.clone(), store.clone(), timer.clone()));
    if let Some(address) = cx.cfg().duties_address {
        let duties = DutyClient::new(address)?;
        let orders = scaling::run(cx.clone(), duties.clone(), duty_lease.clone(), timer.clone());
        tokio::task::spawn_local(orders);
        let report = usage::report(cx.clone(), store, duties, duty_lease, timer.clone());
        tokio::task::spawn_local(report);
    }
    tokio::task::spawn_local(status::serve(cx.clone(), ready_listener));
    tokio::task::spawn_local(status::serve(cx.clone(), metrics_listener));
    tokio::task::spawn_local(ingress::accept(cx.clone(), caller_listener));
    tokio::task::spawn_local(sweep(cx.clone(), timer.clone()));
    tokio::task::spawn_local(reload(cx.clone(), timer, path));
    terminate.recv().await;
    shut_down(&cx).await;
    if let Err(error) = lease_task.await {
        tracing::error!(%error, "duty lease task failed");
    }
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))
}

async fn sweep(cx: Rc<InstanceState>, timer: Timer) {
    let mut ticks = timer.every(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        cx.sweep();
        let step = cx.clock.borrow_mut().synchronise(wall_millis(), BootTime::now());
        if let Some(step_ms) = step {
            tracing::debug!(step_ms, "system clock was stepped; ignoring the step");
        }
    }
}

/// Reloads the settings on SIGHUP and when the file has changed.
async fn reload(cx: Rc<InstanceState>, timer: Timer, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(%error, "SIGHUP can't be handled; settings are not reloaded");
            return;
        }
    };
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
    tracing::info!(connections = cx.open_connections.get(), "shutting down");
    let grace = cx.cfg().shutdown_grace.saturating_sub(SHUTDOWN_MARGIN);
    let admit_all_until = signalled_at + ACCEPT_GRACE;
    cx.shutdown.set(Some(ShutdownTimes { admit_all_until, exit_at: signalled_at + grace }));
    cx.draining.send_replace(true);
    loop {
        tokio::time::sleep(SHUTDOWN_POLL_PERIOD).await;
        let waited = signalled_at.elapsed();
        let is_done = cx.open_connections.get() == 0 && waited > ACCEPT_GRACE;
        if is_done || waited > grace {
            break;
        }
    }
    tracing::info!(connections = cx.open_connections.get(), "stopped");
}
