//! What the demonstration is made of: a fleet in this process, and callers.

pub mod caller;
pub mod fleet;
