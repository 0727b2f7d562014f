//! The configuration: versions accepted by operators, and marks for urgent changes.
//!
//! A version is accepted by replacing the root object in the platform's object API. Operators edit
//! all records except the keys as one sheet (see [`crate::sheet`]). A mark is an urgent override,
//! such as a withdrawn key, which is in force before it is stored.

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

/// The configuration that this instance uses: an accepted version and the marks on top of it.
///
/// Other modules receive it read-only from a `watch` channel.
#[derive(Debug, Clone, Default)]
pub struct InForce {
    /// The accepted configuration.
    pub config: Arc<Config>,
    /// Known marks that the accepted configuration does not supersede.
    pub marks: Arc<Marks>,
}

/// Receives the configuration in force; the current value is always available.
pub type InForceWatch = tokio::sync::watch::Receiver<Arc<InForce>>;

impl InForce {
    /// Returns the key with this hash, or `None` if it is unknown or withdrawn.
    pub fn valid_key(&self, hash: &KeyHash) -> Option<&Key> {
        let key = self.config.keys.get(hash)?;
        (!key.withdrawn && !self.marks.is_withdrawn(hash)).then_some(key)
    }

    /// Returns whether a backend server and its data centre are in service.
    pub fn takes_work(&self, server: &BackendServer) -> bool {
        let data_centre_in_service =
            self.config.data_centres.get(&server.data_centre).is_some_and(|centre| {
                self.marks
                    .is_in_service(&MarkTarget::DataCentre(centre.name.clone()), centre.in_service)
            });
        let target = MarkTarget::BackendServer(server.name.clone());
        data_centre_in_service && self.marks.is_in_service(&target, server.in_service)
    }

    /// Returns the configuration with the marks applied to its records.
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
