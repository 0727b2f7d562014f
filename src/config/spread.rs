//! Pushes news of versions and marks to peers.

use std::time::Duration;

use futures::StreamExt;

use super::Mark;
use super::convert::mark_to_message;
use crate::context::Context;
use crate::metrics::Counter;
use crate::names::DataCentreName;
use crate::peer::generated::v1;
use crate::peer::members::{Member, Members, weight};

/// How long one peer may take to answer.
const SPREAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Peers that are told at once; enough for all, so that silent peers delay no other.
const MAX_CONCURRENT_SENDS: usize = 512;
/// Watchers in each data centre.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Item name that the watchers are chosen by.
const WATCHER_HASH_ITEM: &str = "config-watch";

/// Who is told of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadScope {
    /// Every listed instance, also suspected and leaving ones.
    AllInstances,
    /// The watchers of all data centres.
    AllWatchers,
    /// The instances of the own data centre.
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
        std::cmp::Reverse(weight(member.name.as_str(), WATCHER_HASH_ITEM))
    });
    usable.truncate(WATCHERS_PER_DATA_CENTRE);
    usable
}

/// Returns whether this instance watches the platform; also true while no watcher is known.
pub fn is_watcher(cx: &Context) -> bool {
    let members = cx.members.borrow();
    let watchers = watchers(&members, &cx.options.data_centre);
    watchers.is_empty() || watchers.iter().any(|member| member.name == cx.options.instance)
}

/// Tells peers which version is in force here, and the given marks.
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
    let call = async { cx.pool.peer(address)?.spread(req.clone()).await };
    match tokio::time::timeout(SPREAD_TIMEOUT, call).await {
        Ok(Ok(reply)) => tracing::trace!(address, version = reply.get_ref().config_version),
        Ok(Err(status)) => tracing::debug!(address, %status, "a peer refused news"),
        Err(_) => tracing::debug!(address, "a peer did not answer news"),
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
