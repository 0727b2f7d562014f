//! The timeline: events of all instances, merged in the order of their hybrid logical clocks, which
//! is consistent with causality.

use futures::future::join_all;

use super::generated::v1::{TimelineEvent, TimelineReply, TimelineRequest};
use super::members::Member;
use crate::clock::Hlc;
use crate::context::Context;
use crate::event::{Event, EventKind};
use crate::names::InstanceName;

/// Maximum number of events that one instance returns.
pub const MAX_EVENTS_PER_INSTANCE: usize = 5_000;
/// Timeout of fetching the events of a peer.
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Merged events and the instances that did not contribute.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize)]
pub struct Timeline {
    /// The events, oldest first.
    pub events: Vec<Event>,
    /// Listed instances that did not answer in time.
    pub missing: Vec<InstanceName>,
}

/// Collects the events of all listed instances later than `since`.
pub async fn collect(cx: &Context, since: Hlc) -> Timeline {
    let members = cx.members.borrow().clone();
    let peers = members.listed.values().filter(|member| member.name != cx.options.instance);
    let replies = join_all(peers.map(|member| fetch_events(cx, member, since))).await;
    let mut timeline =
        Timeline { events: cx.recorder.since(since, MAX_EVENTS_PER_INSTANCE), missing: Vec::new() };
    for (name, events) in replies {
        match events {
            Some(events) => timeline.events.extend(events),
            None => timeline.missing.push(name),
        }
    }
    timeline.events.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
    timeline
}

/// Returns the events of this instance, as the reply to a peer.
pub fn local_reply(cx: &Context, req: &TimelineRequest) -> TimelineReply {
    let limit = (req.limit as usize).min(MAX_EVENTS_PER_INSTANCE);
    let events = cx.recorder.since(Hlc(req.since_hlc), limit);
    TimelineReply { hlc: cx.clock.now().0, events: events.into_iter().map(to_message).collect() }
}

async fn fetch_events(
    cx: &Context,
    member: &Member,
    since: Hlc,
) -> (InstanceName, Option<Vec<Event>>) {
    let req = TimelineRequest { since_hlc: since.0, limit: MAX_EVENTS_PER_INSTANCE as u32 };
    let call = async {
        let mut client = cx.pool.peer_client(&member.peer_address).ok()?;
        Some(client.timeline(req).await.ok()?.into_inner())
    };
    let reply = tokio::time::timeout(PEER_TIMEOUT, call).await.ok().flatten();
    if let Some(reply) = &reply {
        cx.clock.observe(Hlc(reply.hlc));
    }
    let events = reply.map(|reply| reply.events.into_iter().filter_map(from_message).collect());
    (member.name.clone(), events)
}

fn to_message(event: Event) -> TimelineEvent {
    let or_empty = |name: Option<String>| name.unwrap_or_default();
    TimelineEvent {
        hlc: event.at.0,
        instance: event.instance.to_string(),
        kind: event.kind.as_str().to_owned(),
        request: or_empty(event.request.map(|name| name.to_string())),
        organisation: or_empty(event.organisation.map(|name| name.to_string())),
        backend_server: or_empty(event.backend_server.map(|name| name.to_string())),
        detail: event.detail,
    }
}

/// Converts a message to an event; `None` if this version of the program doesn't know its kind.
fn from_message(message: TimelineEvent) -> Option<Event> {
    let kind = EventKind::ALL.into_iter().find(|kind| kind.as_str() == message.kind)?;
    let non_empty = |text: String| (!text.is_empty()).then_some(text);
    Some(Event {
        at: Hlc(message.hlc),
        instance: message.instance.into(),
        kind,
        request: non_empty(message.request).map(Into::into),
        organisation: non_empty(message.organisation).map(Into::into),
        backend_server: non_empty(message.backend_server).map(Into::into),
        detail: message.detail,
    })
}
