//! The load of backend servers as their home instances report it in beats.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::generated::v1::ServerLoad;
use crate::names::BackendServerName;

/// Latest reported load by backend server.
pub type Loads = BTreeMap<BackendServerName, ServerLoad>;

/// Receives the loads; the current value is always there.
pub type LoadsWatch = tokio::sync::watch::Receiver<Arc<Loads>>;
