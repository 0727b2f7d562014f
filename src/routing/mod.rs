//! Routing decisions: routes, backend servers, limits and request counts. This module performs no
//! I/O.

pub mod absence;
pub mod budget;
pub mod byte_budget;
pub mod catalog;
pub mod choose;
pub mod cold;
pub mod direct_reads;
pub mod fleet;
pub mod load;
pub mod members;
pub mod migration;
pub mod mirror;
pub mod mix;
pub mod notices;
pub mod origin_log;
pub mod origins;
pub mod proof;
pub mod quarantine;
pub mod rank;
pub mod revision;
pub mod scaling;
pub mod seals;
pub mod sound_parts;
pub mod tried;
pub mod urgency;
pub mod windows;
