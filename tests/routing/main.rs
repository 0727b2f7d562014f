//! Tests of the routing decisions; they use no network.

mod catalog;
mod choice;
mod direct_reads;
mod eras;
mod fleet;
mod limits;
mod migration;
mod notices;
mod origin_log;
mod origins;
mod peers;
mod quarantine;
mod scaling;
mod seals;
mod sound_parts;
mod support;
mod tried;
mod urgency;
mod usage;
mod wire;
