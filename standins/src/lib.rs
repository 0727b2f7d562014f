//! Stand-ins for what laburnumvalve talks to: the platform, model engines and plain services.
//!
//! Each one is a small HTTP server on a loopback port of the current process. A Rust handle
//! injects faults and shows what was received; so do the HTTP endpoints below `/control/`, for
//! other processes. For tests and demonstrations only.

pub mod control;
pub mod engine;
pub mod host;
pub mod lagged;
pub mod plain;
pub mod platform;
pub mod received;
pub mod relay;
pub mod scenario;
pub mod tokens;

pub use engine::{Engine, EngineFaults, EngineSettings};
pub use plain::{Plain, PlainFaults, PlainSettings};
pub use platform::{Platform, PlatformFaults, PlatformSettings};
pub use relay::{Direction, Relay};

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A free port on the loopback address.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Locks a mutex, also after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// First port that processes of tests listen on, below the range of outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that processes of tests listen on.
const PORTS: u32 = 12_000;

/// Returns a loopback address that is free, and that no outgoing connection takes.
///
/// The port is bound but not listened on: a process that is being started may hold a copy of the
/// socket for a moment, and a copy that listens would keep the port from its user.
///
/// # Errors
/// Fails if no socket can be made.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 97 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (number % PORTS) as u16;
        let address = SocketAddr::new(ANY_PORT.ip(), port);
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        if socket.bind(address).is_ok() {
            return Ok(address);
        }
    }
}
