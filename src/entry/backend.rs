//! HTTP connections to backend servers.
//!
//! No request is sent twice by the library: redirects, proxies and retries are off. The library's
//! connection pool still sends a request again if a reused connection closes before the request
//! was taken from its queue; requests that may not run twice therefore never reuse a connection.
//! A connection whose answer was not read to its end is closed, so that a late answer can't be
//! taken for the answer to a later request.

use std::time::Duration;

use reqwest::{Client, ClientBuilder};

/// How long opening a connection to a backend server may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Clients for backend servers; clones share the connections.
#[derive(Debug, Clone)]
pub struct BackendClients {
    pooled: Client,
    unpooled: Client,
}

impl BackendClients {
    /// Makes the clients.
    ///
    /// # Errors
    /// Fails if the HTTP library can't be set up.
    pub fn new() -> eyre::Result<Self> {
        let pooled = builder().pool_idle_timeout(IDLE_TIMEOUT).build()?;
        let unpooled = builder().pool_max_idle_per_host(0).build()?;
        Ok(Self { pooled, unpooled })
    }

    /// Returns the client for a request that may or may not be run again.
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
