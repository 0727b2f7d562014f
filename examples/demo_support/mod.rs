//! Support for the demonstration: an in-process fleet and callers.

pub mod caller;
pub mod fleet;
