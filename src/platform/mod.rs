//! Interfaces of the platform: object API, metadata store, settings file, headers, duties and
//! engine calls.

pub mod catalog;
pub mod duties;
pub mod engine;
pub mod headers;
pub mod http;
pub mod objects;
pub mod settings;
pub mod store;

pub use objects::{Object, ObjectClient, ObjectKind, PlatformError};
pub use store::{Collection, Store};

/// Path of the readiness check: whether an instance accepts connections.
pub const READY_PATH: &str = "/laburnumvalve/ready";
