//! HTTP connections to backend servers.
//!
//! Redirects, proxies and retries are disabled so that the HTTP library sends each request once.
//! Its connection pool still resends a request if a reused connection closes before the request is
//! taken from the connection's queue; non-idempotent requests therefore always open a new
//! connection. A connection whose response was not read to the end is closed, so that a late
//! response can't be taken for the response to a later request.

use std::time::Duration;

use reqwest::{Client, ClientBuilder};

/// Timeout for opening a connection to a backend server.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle pooled connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP clients for backend servers; clones share the connection pool.
#[derive(Debug, Clone)]
pub struct BackendClients {
    pooled: Client,
    unpooled: Client,
}

impl BackendClients {
    /// Creates the clients.
    ///
    /// # Errors
    /// If the HTTP library can't be initialised.
    pub fn new() -> eyre::Result<Self> {
        let pooled = builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled })
    }

    /// Returns the client for a request: pooled connections only if it is repeatable.
    pub fn client(&self, repeatable: bool) -> &Client {
        if repeatable { &self.pooled } else { &self.unpooled }
    }
}

fn builder() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
}
