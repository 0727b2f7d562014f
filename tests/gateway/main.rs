//! The gateway as a process, against stand-ins of the platform's store and of backend servers.

mod drain;
mod logs;
mod outage;
mod serve;
mod soak;
mod support;
