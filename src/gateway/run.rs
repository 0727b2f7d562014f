//! Starts the parts of a gateway instance and stops them in order.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use super::duty::{self, Duty};
use super::ingress::{self, LAST_CONNECTIONS};
use super::settings::GatewaySettings;
use super::shared::{Leaving, Shared};
use super::{peers, roster, scaling, status, sync, usage};
use crate::clock::{BootTime, wall_millis};
use crate::platform::duties::Duties;
use crate::platform::settings::parse;
use crate::platform::{Store, http};
use crate::timer::Timer;

/// Period of clean-up: idle connections, entries of backend servers that are gone.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Period at which a change of the settings file is looked for.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);
/// Time kept at the end of the grace for leaving in order.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);
/// Period at which a stopping process looks whether connections are left.
const LEAVE_POLL: Duration = Duration::from_millis(50);

/// Reads a settings file.
///
/// # Errors
/// Names the file and what is wrong with it.
pub fn read_settings(path: &Path) -> eyre::Result<GatewaySettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("settings file {}", path.display()))
}

/// Runs an instance until it is told to stop and its connections have ended.
///
/// # Errors
/// Fails if a socket can't be bound or the store's client can't be made.
pub async fn run(path: PathBuf) -> eyre::Result<()> {
    let cfg = read_settings(&path)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let store = Store::new(cfg.store)?;
    let callers = bind(cfg.callers).await?;
    let ready = bind(cfg.ready).await?;
    let metrics = bind(cfg.metrics).await?;
    let peers = bind(cfg.peers).await?;
    tracing::info!(instance = %cfg.instance, data_centre = %cfg.data_centre, "started");
    let cx = Rc::new(Shared::new(cfg));
    let timer = Timer::start();
    sync::start(&cx, &store);
    tokio::task::spawn_local(peers::serve(cx.clone(), peers));
    let client = http::client()?;
    tokio::task::spawn_local(peers::follow(cx.clone(), client.clone()));
    let duty = Rc::new(Duty::default());
    let keeping = tokio::task::spawn_local(duty::keep(cx.clone(), store.clone(), duty.clone()));
    tokio::task::spawn_local(roster::register(cx.clone(), store.clone(), timer.clone()));
    let tidying = roster::tidy(cx.clone(), store.clone(), duty.clone(), client, timer.clone());
    tokio::task::spawn_local(tidying);
    tokio::task::spawn_local(usage::publish(cx.clone(), store.clone(), timer.clone()));
    if let Some(address) = cx.cfg().duties {
        let duties = Duties::new(address)?;
        let orders = scaling::run(cx.clone(), duties.clone(), duty.clone(), timer.clone());
        tokio::task::spawn_local(orders);
        let report = usage::report(cx.clone(), store, duties, duty, timer.clone());
        tokio::task::spawn_local(report);
    }
    tokio::task::spawn_local(status::serve(cx.clone(), ready));
    tokio::task::spawn_local(status::serve(cx.clone(), metrics));
    tokio::task::spawn_local(ingress::accept(cx.clone(), callers));
    tokio::task::spawn_local(sweep(cx.clone(), timer.clone()));
    tokio::task::spawn_local(reload(cx.clone(), timer, path));
    terminate.recv().await;
    leave(&cx).await;
    if let Err(error) = keeping.await {
        tracing::error!(%error, "the task of the duties failed");
    }
    Ok(())
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))
}

async fn sweep(cx: Rc<Shared>, timer: Timer) {
    let mut ticks = timer.every(SWEEP_PERIOD);
    while ticks.recv().await.is_some() {
        cx.sweep();
        let step = cx.time.borrow_mut().synchronise(wall_millis(), BootTime::now());
        if let Some(step_ms) = step {
            tracing::debug!(step_ms, "the time of day was stepped; the former one is kept");
        }
    }
}

/// Takes a changed settings file, told by a signal or found by looking.
async fn reload(cx: Rc<Shared>, timer: Timer, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            tracing::error!(%error, "the signal to reload can't be followed");
            return;
        }
    };
    let mut ticks = timer.every(RELOAD_PERIOD);
    let modified = |path: &Path| std::fs::metadata(path).and_then(|meta| meta.modified()).ok();
    let mut known = modified(&path);
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            tick = ticks.recv() => match tick {
                Some(_) => false,
                None => return,
            },
        };
        let now = modified(&path);
        if !told && now == known {
            continue;
        }
        known = now;
        match read_settings(&path) {
            Ok(cfg) => {
                tracing::info!(told, "settings reloaded");
                *cx.cfg.borrow_mut() = Rc::new(cfg);
            }
            Err(error) => tracing::error!(error = %format!("{error:#}"), "settings not reloaded"),
        }
    }
}

/// Waits until the callers' requests have ended, within the time until the process is killed.
async fn leave(cx: &Rc<Shared>) {
    let told = Instant::now();
    tracing::info!(connections = cx.connections.get(), "told to stop");
    let grace = cx.cfg().stop_grace.saturating_sub(LEAVE_MARGIN);
    let takes_all_until = told + LAST_CONNECTIONS;
    cx.leaving.set(Some(Leaving { takes_all_until, ends_at: told + grace }));
    cx.draining.send_replace(true);
    loop {
        tokio::time::sleep(LEAVE_POLL).await;
        let waited = told.elapsed();
        let is_done = cx.connections.get() == 0 && waited > LAST_CONNECTIONS;
        if is_done || waited > grace {
            break;
        }
    }
    tracing::info!(connections = cx.connections.get(), "stopped");
}
