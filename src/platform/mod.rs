//! The platform: its object API, its list of instances and its other interfaces.

pub mod http;
pub mod lease;
pub mod objects;

pub use lease::{LeaseTask, LeaseWatch, LiveLease, Permit, Role};
pub use objects::{Object, Objects, PlatformError, StoreKind};
