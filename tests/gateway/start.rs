//! Starts in an environment that is not ready yet: taken ports, unreadable settings, early signals.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;
use standins::free_address;
use tokio::net::{TcpListener, TcpSocket};

use crate::support::instance::InstanceSettings;
use crate::support::{Instance, WAIT_TIMEOUT, stand_ins, wait_until};

/// Time for which a port or the settings are not available.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(800);

/// What has taken a port.
#[derive(Debug, Clone, Copy)]
enum Holder {
    /// A process that listens on it, such as the former one of the instance.
    Listener,
    /// An outgoing connection of any process of the host.
    Connection,
}

impl Holder {
    /// Holds a port for a while.
    async fn hold(self, address: SocketAddr, remote: SocketAddr) {
        match self {
            Self::Listener => {
                let _held = TcpListener::bind(address).await.expect("the port is free");
                tokio::time::sleep(UNAVAILABLE_TIME).await;
            }
            Self::Connection => {
                let socket = TcpSocket::new_v4().expect("there are sockets");
                socket.bind(address).expect("the port is free");
                let connection = socket.connect(remote).await.expect("the store accepts");
                tokio::time::sleep(UNAVAILABLE_TIME).await;
                // Closed by a reset, so that the port is free at once.
                connection.set_zero_linger().expect("the socket is open");
            }
        }
    }
}

/// Guards against a process that ends at its start, and again at each restart, because one of its
/// ports is taken for a moment.
#[rstest]
#[case::callers_by_a_listener("listen.front", Holder::Listener)]
#[case::callers_by_a_connection("listen.front", Holder::Connection)]
#[case::peers_by_a_listener("listen.control", Holder::Listener)]
#[case::peers_by_a_connection("listen.control", Holder::Connection)]
#[case::metrics_by_a_connection("internal-ports", Holder::Connection)]
#[tokio::test]
async fn instance_waits_for_a_port_that_is_taken(#[case] field: &str, #[case] holder: Holder) {
    let (store, _server) = stand_ins(&["key"]).await;
    let address = free_address().expect("a port is free");
    let value = match field {
        "internal-ports" => address.port().to_string(),
        _ => address.to_string(),
    };
    let cfg = InstanceSettings {
        store: store.address,
        extra_settings: format!("{field}={value}\n"),
        ..Default::default()
    };

    let holding = tokio::spawn(holder.hold(address, store.address));
    tokio::time::sleep(UNAVAILABLE_TIME / 8).await;
    let mut instance = Instance::launch(cfg);
    holding.await.expect("the port was held");

    wait_until("the instance is ready", || instance.is_ready()).await;
    assert!(!instance.has_ended());
    wait_until("the port is served", || async {
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await;
}

/// Guards against a process that can't be stopped while it waits for a port.
#[tokio::test]
async fn instance_that_waits_for_a_port_ends_on_request() {
    let (store, _server) = stand_ins(&["key"]).await;
    let held = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = held.local_addr().expect("the listener has an address");
    let cfg = InstanceSettings {
        store: store.address,
        extra_settings: format!("listen.front={address}\n"),
        ..Default::default()
    };
    let mut instance = Instance::launch(cfg);
    tokio::time::sleep(UNAVAILABLE_TIME).await;
    assert!(!instance.has_ended());

    instance.terminate();

    let asked_at = Instant::now();
    while !instance.has_ended() {
        assert!(asked_at.elapsed() < WAIT_TIMEOUT, "the process goes on");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a process that ends at its start because its settings file is still being written.
#[rstest]
#[case::empty(0)]
#[case::cut_in_a_line(120)]
#[tokio::test]
async fn instance_waits_for_settings_that_are_being_written(#[case] written: usize) {
    let (store, _server) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let mut instance = Instance::launch(cfg);
    instance.kill();
    let text = instance.replace_settings("");
    instance.replace_settings(&text[..written]);

    instance.restart();
    tokio::time::sleep(UNAVAILABLE_TIME).await;
    instance.replace_settings(&text);

    wait_until("the instance is ready", || instance.is_ready()).await;
    assert!(!instance.has_ended());
}

/// Number of starts that are watched.
const STARTS: usize = 10;

/// Guards against a process that SIGHUP ends at its start, as its handler is installed long after
/// that of SIGTERM.
#[tokio::test]
async fn instance_catches_a_reload_as_early_as_a_stop() {
    let (store, _server) = stand_ins(&["key"]).await;
    let is_caught = |bits: u64, signal: Signal| bits & (1 << (signal.as_raw() as u64 - 1)) != 0;

    for _ in 0..STARTS {
        let cfg = InstanceSettings { store: store.address, ..Default::default() };
        let mut instance = Instance::launch(cfg);
        let bits = loop {
            assert!(!instance.has_ended());
            let bits = instance.caught_signals().unwrap_or_default();
            if is_caught(bits, Signal::TERM) {
                break bits;
            }
        };
        assert!(is_caught(bits, Signal::HUP), "SIGTERM is caught, but not SIGHUP: {bits:x}");
    }
}
