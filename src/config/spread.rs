//! Pushes the version in force and marks to peers.

use std::time::Duration;

use futures::StreamExt;

use super::Mark;
use super::convert::mark_to_message;
use crate::context::Context;
use crate::metrics::Counter;
use crate::names::DataCentreName;
use crate::peer::generated::v1;
use crate::peer::members::{Member, Members, rendezvous_weight};

/// Timeout of one request to a peer.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum concurrent requests; high enough for all peers, so that unresponsive peers do not delay
/// others.
const MAX_CONCURRENT_SENDS: usize = 512;
/// Number of watchers in each data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Item of the rendezvous hash that selects the watchers.
const WATCHER_HASH_ITEM: &str = "config-watch";

/// Peers that a change is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadScope {
    /// All listed instances, including suspected and leaving ones.
    AllInstances,
    /// The watchers of all data centres.
    AllWatchers,
    /// The instances of the local data centre.
    LocalDataCentre,
}

/// Returns the instances of a data centre that watch the platform for changes.
pub fn watchers<'a>(members: &'a Members, data_centre: &DataCentreName) -> Vec<&'a Member> {
    let mut usable: Vec<&Member> = members
        .listed
        .values()
        .filter(|member| member.data_centre == *data_centre && members.is_usable(member))
        .collect();
    usable.sort_by_cached_key(|member| {
        std::cmp::Reverse(rendezvous_weight(member.name.as_str(), WATCHER_HASH_ITEM))
    });
    usable.truncate(WATCHERS_PER_DATA_CENTRE);
    usable
}

/// Returns whether this instance watches the platform; also true while its data centre has no
/// known watcher.
pub fn is_watcher(cx: &Context) -> bool {
    let members = cx.members.borrow();
    let watchers = watchers(&members, &cx.options.data_centre);
    watchers.is_empty() || watchers.iter().any(|member| member.name == cx.options.instance)
}

/// Sends the version in force here and the given marks to peers.
pub async fn spread(cx: Context, version: u64, marks: Vec<Mark>, scope: SpreadScope) {
    let addresses = recipient_addresses(&cx, scope);
    let req = v1::SpreadRequest {
        config_version: version,
        marks: marks.iter().map(mark_to_message).collect(),
        hlc: cx.clock.now().0,
        instance: cx.options.instance.to_string(),
    };
    let (cx, req) = (&cx, &req);
    futures::stream::iter(addresses)
        .for_each_concurrent(MAX_CONCURRENT_SENDS, async |address| send(cx, &address, req).await)
        .await;
}

async fn send(cx: &Context, address: &str, req: &v1::SpreadRequest) {
    let bytes = prost::Message::encoded_len(req) as u64;
    cx.metrics.add(Counter::PeerMessages, "spread", 1);
    cx.metrics.add(Counter::PeerBytes, "spread", bytes);
    let call = async { cx.pool.peer_client(address)?.spread(req.clone()).await };
    match tokio::time::timeout(SPREAD_TIMEOUT, call).await {
        Ok(Ok(reply)) => tracing::trace!(
            address,
            version = reply.get_ref().config_version,
            "a peer received the configuration update"
        ),
        Ok(Err(status)) => {
            tracing::debug!(address, %status, "failed to send the configuration update to a peer")
        }
        Err(_) => {
            tracing::debug!(
                address,
                "a peer did not respond to the configuration update within {SPREAD_TIMEOUT:?}"
            )
        }
    }
}

fn recipient_addresses(cx: &Context, scope: SpreadScope) -> Vec<String> {
    let members = cx.members.borrow();
    let chosen: Vec<&Member> = match scope {
        SpreadScope::AllInstances => members.listed.values().collect(),
        SpreadScope::AllWatchers => all_watchers(&members),
        SpreadScope::LocalDataCentre => {
            let own = &cx.options.data_centre;
            members.listed.values().filter(|member| member.data_centre == *own).collect()
        }
    };
    chosen
        .into_iter()
        .filter(|member| member.name != cx.options.instance)
        .map(|member| member.peer_address.clone())
        .collect()
}

fn all_watchers(members: &Members) -> Vec<&Member> {
    let data_centres: std::collections::BTreeSet<&DataCentreName> =
        members.listed.values().map(|member| &member.data_centre).collect();
    data_centres.into_iter().flat_map(|centre| watchers(members, centre)).collect()
}
