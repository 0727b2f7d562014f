//! Applies updates of the platform's collections, received from the store or from a peer, to the
//! state of this instance.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::shared::InstanceState;
use crate::names::{DataCentreName, InstanceName};
use crate::platform::Collection;
use crate::platform::catalog::{decode_config, decode_server};
use crate::platform::store::CONFIG_NAME;
use crate::routing::fleet::{Fleet, Registration};
use crate::routing::members::Member;
use crate::routing::mirror::{Item, Mirror, Update};
use crate::routing::revision::era_of;

/// Collections that every instance keeps a copy of.
pub const SYNCED_COLLECTIONS: [Collection; 4] =
    [Collection::Configs, Collection::Servers, Collection::DataCentresOut, Collection::Instances];

/// Time within which an operator writes again what a copy of the store lacks.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Applies an update of a collection; outdated updates are ignored.
pub fn apply_update(cx: &InstanceState, collection: Collection, update: &Update) {
    if collection == Collection::DataCentresOut {
        keep_evacuations_missing_from_copy(cx, update);
    }
    if !cx.mirrors.borrow_mut().entry(collection).or_default().apply(update) {
        return;
    }
    match collection {
        Collection::Configs => update.items.iter().for_each(|item| apply_config(cx, item)),
        Collection::Servers => apply_servers(cx, update),
        Collection::DataCentresOut => apply_data_centres_out(cx),
        Collection::Instances => apply_instances(cx, update),
        Collection::Leases | Collection::Tallies | Collection::Seals | Collection::Origins => {}
    }
    if update.is_snapshot || !update.items.is_empty() {
        cx.changes.send_modify(|count| *count += 1);
    }
}

fn apply_config(cx: &InstanceState, item: &Item) {
    let Some(value) = item.value.as_ref().filter(|_| item.name == CONFIG_NAME) else { return };
    let revision = item.revision;
    match decode_config(value.as_str()) {
        Ok(catalog) => {
            let former = cx.catalog().version;
            if catalog.version > former {
                let version = catalog.version;
                tracing::info!(former, version, revision, "new configuration in force");
                *cx.catalog.borrow_mut() = Rc::new(catalog);
            }
        }
        Err(error) => tracing::error!(
            revision,
            %error,
            "configuration is invalid; keeping the previous one"
        ),
    }
}

fn apply_servers(cx: &InstanceState, update: &Update) {
    let now = Instant::now();
    let mut fleet = cx.fleet.borrow_mut();
    let mut listed = Vec::new();
    for item in &update.items {
        let entry = match &item.value {
            Some(value) => decode_server(&item.name, value.as_str()),
            None => Err("deleted".to_owned()),
        };
        match entry {
            Ok(entry) => listed.push((item.revision, entry)),
            Err(why) => {
                let server = &item.name;
                tracing::info!(
                    server,
                    revision = item.revision,
                    why,
                    "backend server removed from use"
                );
                fleet.remove(now, item.revision, &item.name.as_str().into());
            }
        }
    }
    listed.iter().for_each(|(_, entry)| reset_if_restarted(cx, &fleet, entry));
    if update.is_snapshot {
        fleet.apply_list(now, update.revision, listed);
        return;
    }
    for (revision, entry) in listed {
        let (draining, cold_ms) =
            (entry.is_draining, entry.remaining_cold_period.as_millis() as u64);
        tracing::info!(server = %entry.name, revision, draining, cold_ms, "backend server updated");
        fleet.upsert(now, revision, entry);
    }
}

/// If a backend server restarted under the same name, resets its load and closes its idle
/// connections.
fn reset_if_restarted(cx: &InstanceState, fleet: &Fleet, entry: &Registration) {
    let known = fleet.get(&entry.name).and_then(|known| known.entry.started_at_ms);
    let has_restarted =
        known.zip(entry.started_at_ms).is_some_and(|(known, started_at_ms)| known < started_at_ms);
    if has_restarted {
        tracing::info!(server = %entry.name, "backend server restarted");
        cx.loads.borrow_mut().get_or_insert(&entry.name).reset();
        cx.pool.close_idle(&entry.name);
    }
}

/// If the store came back from a copy, keeps the data centres that were evacuated before for as long as
/// an operator needs to write that again.
fn keep_evacuations_missing_from_copy(cx: &InstanceState, update: &Update) {
    let former = cx.mirrors.borrow().get(&Collection::DataCentresOut).and_then(Mirror::revision);
    if former.is_some_and(|former| era_of(former) < era_of(update.revision)) {
        let evacuated = cx.fleet.borrow().evacuated().clone();
        cx.kept_evacuations.replace(Some((evacuated, Instant::now() + REWRITE_TIME)));
    }
}

/// Ends the evacuations that were kept after a return of the store from a copy, once their time is over.
pub fn end_kept_evacuations(cx: &InstanceState) {
    let is_over =
        cx.kept_evacuations.borrow().as_ref().is_some_and(|(_, until)| Instant::now() >= *until);
    if is_over {
        cx.kept_evacuations.replace(None);
        apply_data_centres_out(cx);
    }
}

/// Applies the set of evacuated data centres, read from the local copy because an update may
/// contain only a part of them.
fn apply_data_centres_out(cx: &InstanceState) {
    let mut evacuated: HashSet<DataCentreName> =
        match cx.mirrors.borrow().get(&Collection::DataCentresOut) {
            Some(mirror) => mirror.names().map(DataCentreName::from).collect(),
            None => HashSet::new(),
        };
    if let Some((kept, _)) = &*cx.kept_evacuations.borrow() {
        evacuated.extend(kept.iter().cloned());
    }
    if evacuated == *cx.fleet.borrow().evacuated() {
        return;
    }
    tracing::info!(out = ?evacuated, "evacuated data centres changed");
    let catalog = cx.catalog();
    let cold_period =
        |name: &_| catalog.service(name).map_or(Duration::ZERO, |service| service.cold_period);
    cx.fleet.borrow_mut().set_evacuated(Instant::now(), evacuated, cold_period);
}

fn apply_instances(cx: &InstanceState, update: &Update) {
    let mut members = cx.members.borrow_mut();
    if update.is_snapshot {
        members.clear();
    }
    for item in &update.items {
        let name = InstanceName::from(item.name.as_str());
        let Some(value) = &item.value else {
            members.remove(&name);
            continue;
        };
        match serde_json::from_str::<Member>(value.as_str()) {
            Ok(member) => members.put(name, member),
            Err(error) => tracing::error!(%name, %error, "instance entry is invalid; ignoring it"),
        }
    }
}
