//! Pool of gRPC connections to peers, one for each address, opened on first use.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

use super::generated::v1::home_client::HomeClient;
use super::generated::v1::peer_client::PeerClient;
use crate::options::Secret;

/// Header that carries the fleet secret.
pub const SECRET_HEADER: &str = "x-fleet-secret";
/// Maximum size of a message between peers.
pub const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Timeout of opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of HTTP/2 keep-alive pings on a peer connection.
const PING_PERIOD: Duration = Duration::from_millis(1_000);
/// Time without a ping acknowledgement after which a peer connection is closed.
const PING_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Adds the fleet secret to each call.
#[derive(Clone)]
pub struct SecretInjector {
    value: MetadataValue<Ascii>,
}

impl Interceptor for SecretInjector {
    fn call(&mut self, mut req: Request<()>) -> Result<Request<()>, Status> {
        req.metadata_mut().insert(SECRET_HEADER, self.value.clone());
        Ok(req)
    }
}

/// A connection to a peer whose calls carry the fleet secret.
pub type PeerChannel = InterceptedService<Channel, SecretInjector>;

/// Pool of connections to peers; clones share the connections.
#[derive(Clone)]
pub struct PeerPool {
    secret: SecretInjector,
    channels: Arc<Mutex<HashMap<String, Channel>>>,
}

impl PeerPool {
    /// Creates an empty pool.
    ///
    /// # Errors
    /// Fails if the secret contains characters that are not allowed in a header.
    pub fn new(secret: &Secret) -> eyre::Result<Self> {
        let mut value: MetadataValue<Ascii> = secret.reveal().parse()?;
        value.set_sensitive(true);
        Ok(Self { secret: SecretInjector { value }, channels: Arc::default() })
    }

    /// Returns a client of the peer service at an address such as `10.0.0.3:7400`.
    ///
    /// # Errors
    /// Fails if the address is malformed.
    pub fn peer_client(&self, address: &str) -> Result<PeerClient<PeerChannel>, Status> {
        Ok(PeerClient::new(self.channel(address)?)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a client of the home service at an address such as `10.0.0.3:7400`.
    ///
    /// # Errors
    /// Fails if the address is malformed.
    pub fn home_client(&self, address: &str) -> Result<HomeClient<PeerChannel>, Status> {
        Ok(HomeClient::new(self.channel(address)?)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Removes the connection to an address, such as that of an instance that is no longer listed.
    ///
    /// It closes when the last client that uses it is dropped.
    pub fn disconnect(&self, address: &str) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(address);
    }

    fn channel(&self, address: &str) -> Result<PeerChannel, Status> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(address) {
            return Ok(InterceptedService::new(channel.clone(), self.secret.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Status::invalid_argument(format!("peer address {address}: {error}")))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PING_PERIOD)
            .keep_alive_timeout(PING_TIMEOUT)
            .keep_alive_while_idle(true);
        let channel = endpoint.connect_lazy();
        channels.insert(address.to_owned(), channel.clone());
        Ok(InterceptedService::new(channel, self.secret.clone()))
    }
}
