//! The roster of instances in the store: this instance's entry, and the end of those that are gone.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::duty::Duty;
use super::peers::answers;
use super::shared::Shared;
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::{Collection, PlatformError, Store};
use crate::routing::absence::FailureDetector;
use crate::routing::members::Member;
use crate::timer::Timer;

/// Pause after a failed registration.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);
/// Period at which this instance looks whether it is still listed; it is far longer than the news
/// of its registration takes.
const LOOK_PERIOD: Duration = Duration::from_secs(4);
/// Period at which the holder of the duties asks the other instances; several times within the
/// time after which one counts as gone.
const ASK_PERIOD: Duration = Duration::from_secs(15);

/// Registers this instance, so that the others count it and ask it, and again if it is struck off.
pub async fn register(cx: Rc<Shared>, store: Store, timer: Timer) {
    write_entry(&cx, &store).await;
    let mut ticks = timer.every(LOOK_PERIOD);
    while ticks.recv().await.is_some() {
        if !is_listed(&cx) {
            tracing::warn!("this instance is no longer listed; it registers again");
            write_entry(&cx, &store).await;
        }
    }
}

/// Returns whether this instance is listed, as far as it knows.
fn is_listed(cx: &Shared) -> bool {
    let members = cx.members.borrow();
    let me = &cx.cfg().instance;
    members.count() == 0 || members.names().any(|name| name == me)
}

async fn write_entry(cx: &Shared, store: &Store) {
    let cfg = cx.cfg();
    let name = cfg.instance.as_str();
    let member = Member { data_centre: cfg.data_centre.clone(), address: cfg.peers };
    loop {
        cx.metrics.add(Counter::PlatformCalls, Collection::Instances.label(), 1);
        let created = store.create(Collection::Instances, name, &member).await;
        let answer = match created {
            // An earlier process of this instance, perhaps at another address.
            Err(PlatformError::Conflict) => {
                store.update(Collection::Instances, name, None, &member).await
            }
            created => created,
        };
        match answer {
            Ok(_) => return,
            Err(error) => tracing::warn!(%error, "this instance is not registered yet"),
        }
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}

/// Strikes off instances that are gone, while this instance holds the duties.
pub async fn tidy(
    cx: Rc<Shared>,
    store: Store,
    duty: Rc<Duty>,
    client: reqwest::Client,
    timer: Timer,
) {
    let mut ticks = timer.every(ASK_PERIOD);
    let mut absences = FailureDetector::default();
    while ticks.recv().await.is_some() {
        if duty.caller().is_none() {
            absences.clear();
            continue;
        }
        let others = others(&cx);
        absences.retain(|name| others.iter().any(|(other, _)| other == name));
        for (name, member) in others {
            let answered = answers(&client, &member).await;
            if absences.record_probe(Instant::now(), &name, answered) && duty.caller().is_some() {
                strike_off(&cx, &store, &name).await;
            }
        }
    }
}

fn others(cx: &Shared) -> Vec<(InstanceName, Member)> {
    let me = cx.cfg().instance.clone();
    let members = cx.members.borrow();
    let others = members.all().filter(|(name, _)| **name != me);
    others.map(|(name, member)| (name.clone(), member.clone())).collect()
}

async fn strike_off(cx: &Shared, store: &Store, name: &InstanceName) {
    cx.metrics.add(Counter::PlatformCalls, Collection::Instances.label(), 1);
    match store.delete(Collection::Instances, name.as_str()).await {
        Ok(()) => tracing::info!(%name, "instance is gone; its entry is deleted"),
        Err(error) => tracing::warn!(%name, %error, "entry of a gone instance is not deleted"),
    }
}
