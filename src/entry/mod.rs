//! The entry: receives requests, decides who they run for, and relays answers.
//!
//! [`server`] accepts connections and [`handler`] takes each request. A chat request is served by
//! a task of its own, a [`relay`], which asks for a slot ([`admit`]), sends the request
//! ([`attempt`]) and passes the checked answer ([`chunk`]) to the caller ([`sink`]). Requests to
//! plain services go the same way in [`plain_relay`]. Requests to
//! plain services go the same way in [`plain`].

pub mod admit;
pub mod attempt;
pub mod auth;
pub mod backend;
pub mod chat;
pub mod chunk;
pub mod dispatch;
pub mod handler;
pub mod join;
pub mod models;
pub mod once;
pub mod pick;
pub mod plain;
pub mod plain_relay;
pub mod relay;
pub mod reply;
pub mod retry;
pub mod server;
pub mod sink;
pub mod sse;
pub mod work;

pub use server::serve;

use crate::claim::ClaimStore;
use crate::config::BackendServer;
use crate::context::Context;
use crate::home::{AdmissionClient, OrganisationLimits};
use crate::usage::Ledger;

/// Shared parts of the entry; clones are cheap.
#[derive(Clone)]
pub struct Entry {
    /// Shared parts of the instance.
    pub cx: Context,
    /// Asks for slots.
    pub admitter: AdmissionClient,
    /// Limits of organisations.
    pub limits: OrganisationLimits,
    /// Records what is to be billed.
    pub ledger: Ledger,
    /// Makes claims of idempotency keys.
    pub claims: ClaimStore,
    /// Connections to backend servers.
    pub backend_clients: backend::BackendClients,
    /// Budget of retries.
    pub retry_budget: retry::RetryBudget,
}

impl Entry {
    /// Returns whether a backend server takes new work at this moment.
    pub fn takes_work(&self, server: &BackendServer) -> bool {
        let in_force = self.cx.in_force.borrow();
        let current = in_force.config.backend_servers.get(&server.name);
        current.is_some_and(|current| in_force.takes_work(current))
    }
}
