//! laburnumvalve: a router for language-model traffic with priorities and service levels.
//!
//! The binary is a thin wrapper around this library; `docs/DESIGN.md` describes the architecture.

#[macro_use]
mod macros;

pub mod admin;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod context;
pub mod entry;
pub mod event;
pub mod explain;
pub mod gateway;
pub mod home;
pub mod json_text;
pub mod lease;
pub mod log;
pub mod metrics;
pub mod names;
pub mod operate;
pub mod options;
pub mod orders;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod routing;
pub mod serve;
pub mod sheet;
pub mod timer;
pub mod usage;
