//! Loads the first configuration of an instance: from peers, which is fast, then from the platform.

use std::time::Duration;

use futures::StreamExt;

use super::pull::PeerPuller;
use super::watcher::Watcher;
use crate::context::Context;
use crate::names::InstanceName;

/// Maximum number of listed peers to pull from at start, in addition to the seeds.
const MAX_BOOTSTRAP_PEERS: usize = 4;
/// Delay before the peers and the platform are queried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Loads the first configuration, then watches the platform.
pub async fn bootstrap(watcher: Watcher, puller: PeerPuller) {
    loop {
        pull_from_peers(&puller).await;
        match watcher.load().await {
            Ok(_) => break,
            Err(error) if watcher.state.borrow().version() > 0 => {
                tracing::warn!(%error, "platform read failed; using the configuration from peers");
                break;
            }
            Err(error) => {
                tracing::warn!(%error, "no configuration from peers or the platform; retrying")
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    tokio::join!(watcher.clone().watch_root(), watcher.watch_marks());
}

/// Pulls from the seeds and some listed peers; a newer version is never replaced by an older one.
async fn pull_from_peers(puller: &PeerPuller) {
    let addresses = peer_addresses(&puller.cx);
    futures::stream::iter(addresses)
        .for_each_concurrent(None, async |address| {
            if let Err(status) = puller.run(&address).await {
                tracing::debug!(address, %status, "failed to pull the configuration from a peer");
            }
        })
        .await;
}

fn peer_addresses(cx: &Context) -> Vec<String> {
    let own = cx.options.peer_listen;
    let seeds = cx.options.seeds.iter().filter(|seed| **seed != own).map(ToString::to_string);
    let members = cx.members.borrow();
    let is_other = |name: &InstanceName| *name != cx.options.instance;
    let listed = members
        .listed
        .values()
        .filter(|member| is_other(&member.name) && members.is_usable(member))
        .take(MAX_BOOTSTRAP_PEERS)
        .map(|member| member.peer_address.clone());
    let mut addresses: Vec<String> = seeds.chain(listed).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}
