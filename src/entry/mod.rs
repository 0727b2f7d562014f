//! The HTTP entry point: authenticates requests and proxies them to backend servers.
//!
//! [`server`] accepts connections and [`handler`] handles each request. A chat request is served by
//! a separate task, a [`relay`], which requests a slot ([`admit`]), sends the request
//! ([`attempt`]), validates the response ([`chunk`]) and forwards it to the caller ([`sink`]).
//! Requests to plain HTTP services ([`plain`]) are served in the same way by [`plain_relay`].

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

/// Shared state of the HTTP entry point; clones are cheap.
#[derive(Clone)]
pub struct Entry {
    /// Shared state of the instance.
    pub cx: Context,
    /// Requests slots from home instances.
    pub admission_client: AdmissionClient,
    /// Limits on the requests and tokens of organisations.
    pub limits: OrganisationLimits,
    /// Records usage to be billed.
    pub ledger: Ledger,
    /// Claims idempotency keys.
    pub claims: ClaimStore,
    /// HTTP clients for backend servers.
    pub backend_clients: backend::BackendClients,
    /// Retry budget of the instance.
    pub retry_budget: retry::RetryBudget,
}

impl Entry {
    /// Returns whether a backend server currently accepts requests.
    pub fn takes_work(&self, server: &BackendServer) -> bool {
        let in_force = self.cx.in_force.borrow();
        let current = in_force.config.backend_servers.get(&server.name);
        current.is_some_and(|current| in_force.takes_work(current))
    }
}
