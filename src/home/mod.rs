//! The admission queue of each backend server, kept by the server's home instance.

pub mod client;

pub use client::{AdmitError, Admitter, Ask, Ending, Permit};
