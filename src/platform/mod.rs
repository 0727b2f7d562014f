//! The platform: its object API, its list of instances and its other interfaces.

pub mod objects;

pub use objects::{Object, Objects, PlatformError, StoreKind};
