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
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A free port on the loopback address.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Locks a mutex, also after a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
