//! The configuration that operators accept, and the marks that change it at once.

pub mod convert;
pub mod edit;
pub mod handle;
pub mod marks;
pub mod model;
pub mod persist;
pub mod plan;
pub mod pull;
pub mod root;
pub mod shard;
pub mod spread;
pub mod start;
pub mod state;
pub mod store;
pub mod task;
pub mod watcher;

pub use handle::{ConfigHandle, IssuedKey, MarkOutcome, start};
pub use marks::{Mark, MarkTarget, Marks};
pub use model::{
    Access, BackendServer, Class, Config, DataCentre, Key, KeyHash, Organisation, Repeatability,
    Route, RouteTarget, ServerKind, Tier,
};
pub use plan::{Accepted, ApplyError};

use std::sync::Arc;

/// What is in force on this instance: an accepted configuration with all marks applied.
///
/// Parts receive it from a `watch` channel and never change it.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The accepted configuration.
    pub config: Arc<Config>,
    /// Marks known to this instance.
    pub marks: Arc<Marks>,
}

/// Receives what is in force; the current value is always there.
pub type InForceWatch = tokio::sync::watch::Receiver<Arc<InForce>>;

impl InForce {
    /// Returns the key with this hash, unless it is unknown or withdrawn.
    pub fn valid_key(&self, hash: &KeyHash) -> Option<&Key> {
        let key = self.config.keys.get(hash)?;
        (!key.withdrawn && !self.marks.is_withdrawn(hash)).then_some(key)
    }

    /// Returns whether a backend server may receive new work.
    pub fn takes_work(&self, server: &BackendServer) -> bool {
        let data_centre_in_service =
            self.config.data_centres.get(&server.data_centre).is_some_and(|centre| {
                self.marks
                    .is_in_service(&MarkTarget::DataCentre(centre.name.clone()), centre.in_service)
            });
        let target = MarkTarget::BackendServer(server.name.clone());
        data_centre_in_service && self.marks.is_in_service(&target, server.in_service)
    }

    /// Returns the configuration with the marks taken into its records.
    pub fn effective(&self) -> Config {
        let mut config = Config::clone(&self.config);
        for centre in config.data_centres.values_mut() {
            let target = MarkTarget::DataCentre(centre.name.clone());
            centre.in_service = self.marks.is_in_service(&target, centre.in_service);
        }
        for server in config.backend_servers.values_mut() {
            let target = MarkTarget::BackendServer(server.name.clone());
            server.in_service = self.marks.is_in_service(&target, server.in_service);
        }
        for (hash, key) in &mut config.keys {
            key.withdrawn |= self.marks.is_withdrawn(hash);
        }
        config
    }

    /// Returns whether an organisation may use a route.
    pub fn may_use(&self, organisation: &Organisation, route: &Route) -> bool {
        match &route.access {
            Access::Open => true,
            Access::Granted(organisations) => organisations.contains(&organisation.name),
        }
    }
}
