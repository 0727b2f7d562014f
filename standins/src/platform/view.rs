//! Another port to the same platform, whose instance list may show other peer addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::FutureExt;
use futures::future::BoxFuture;

use super::State;
use crate::host::{Answer, Call, Host, Reply};
use crate::lock;
use crate::relay::Relay;

/// The platform as one instance sees it; dropping it cuts that instance off.
pub struct View {
    host: Host,
    seen: Arc<Seen>,
}

struct Seen {
    state: Arc<State>,
    addresses: Mutex<BTreeMap<String, SocketAddr>>,
}

impl View {
    pub(super) async fn start(state: Arc<State>) -> eyre::Result<Self> {
        let seen = Arc::new(Seen { state, addresses: Mutex::default() });
        let host = Host::start(crate::ANY_PORT, |_| Arc::clone(&seen)).await?;
        Ok(Self { host, seen })
    }

    /// Returns the base URL of all interfaces.
    pub fn url(&self) -> String {
        self.host.url()
    }

    /// Returns the relay that all connections pass.
    pub fn relay(&self) -> &Relay {
        self.host.relay()
    }

    /// Lists an instance with another address of its peer service.
    pub fn show_peer(&self, instance: &str, address: SocketAddr) {
        lock(&self.seen.addresses).insert(instance.to_owned(), address);
    }
}

impl Answer for Seen {
    fn answer(self: Arc<Self>, call: Call) -> BoxFuture<'static, Reply> {
        async move {
            let addresses = lock(&self.addresses).clone();
            self.state.take(call, &addresses).await
        }
        .boxed()
    }
}
