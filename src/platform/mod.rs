//! The platform: its object API, its settings, its names on the wire and its other interfaces.

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

/// Path that answers whether an instance takes connections.
pub const READY_PATH: &str = "/laburnumvalve/ready";
