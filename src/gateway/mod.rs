//! Reverse proxy that routes callers' requests to backend servers and relays the responses, using
//! the platform's protocol.

pub mod attempt;
pub mod body;
pub mod duty;
pub mod events;
pub mod evidence;
pub mod gauges;
pub mod handle;
pub mod ingress;
pub mod links;
pub mod listen;
pub mod origin_store;
pub mod origins;
pub mod peers;
pub mod pulls;
pub mod record;
pub mod relay;
pub mod roster;
pub mod run;
pub mod scaling;
mod seals;
pub mod settings;
pub mod shared;
pub mod state;
pub mod status;
pub mod sync;
pub mod upload;
mod usage;

pub use settings::GatewaySettings;
