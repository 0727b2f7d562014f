//! The load of backend servers, as reported by their home instances in heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::generated::v1::ServerLoad;
use crate::names::BackendServerName;

/// Latest reported load of each backend server.
pub type Loads = BTreeMap<BackendServerName, ServerLoad>;

/// Receives the loads; it always holds the latest value.
pub type LoadsWatch = tokio::sync::watch::Receiver<Arc<Loads>>;
