//! Tests of gateway processes with stand-ins for the platform's store and the backend servers.

mod broken_answers;
mod drain;
mod entries;
mod eras;
mod logs;
mod memory;
mod migration;
mod names;
mod notices;
mod outage;
mod paused;
mod quarantine;
mod serve;
mod size;
mod soak;
mod start;
mod support;
mod surplus;
mod trouble;
mod versions;
