//! Selection of the backend servers to request a slot from.

use std::time::Duration;

use super::admit::AdmissionCriteria;
use super::work::RequestInfo;
use crate::config::{BackendServer, InForce};
use crate::context::Context;
use crate::home::pick::{PickCriteria, Picker};
use crate::names::BackendServerName;
use crate::peer::Loads;

/// A backend server and the estimated wait above which the next candidate is preferred.
pub type Candidate = (BackendServer, Option<Duration>);

/// Returns at most two backend servers that accept requests, in order of preference.
///
/// Servers that failed this request are returned only if there is no other; unavailable ones are
/// not returned.
pub fn candidates(
    cx: &Context,
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
) -> Vec<Candidate> {
    let in_force = cx.in_force.borrow().clone();
    let loads = cx.loads.borrow().clone();
    let failed: Vec<BackendServerName> = criteria.excluded.iter().cloned().collect();
    let mut unsuitable: Vec<BackendServerName> = criteria.unavailable.iter().cloned().collect();
    if criteria.needs_resume {
        unsuitable.extend(servers_without_resume(&in_force, &loads, info));
    }
    let found = pick(cx, &in_force, &loads, info, criteria, &[failed, unsuitable.clone()].concat());
    if found.is_empty() { pick(cx, &in_force, &loads, info, criteria, &unsuitable) } else { found }
}

fn pick(
    cx: &Context,
    in_force: &InForce,
    loads: &Loads,
    info: &RequestInfo,
    criteria: &AdmissionCriteria,
    exclude: &[BackendServerName],
) -> Vec<Candidate> {
    let Some(route) = in_force.config.routes.get(&info.route) else { return Vec::new() };
    let members = cx.members.borrow().clone();
    let pick_criteria = PickCriteria {
        route,
        class: &info.class,
        prefix: criteria.prefix_hash,
        seed: rand::random(),
        exclude,
    };
    let picker = Picker::new(cx.options.data_centre.clone());
    picker
        .candidates(in_force, &members, loads, &pick_criteria)
        .into_iter()
        .filter_map(|candidate| {
            let server = in_force.config.backend_servers.get(&candidate.server)?;
            Some((server.clone(), candidate.wait_bound))
        })
        .collect()
}

/// Returns the servers of the route that can't resume a partial response.
fn servers_without_resume(
    in_force: &InForce,
    loads: &Loads,
    info: &RequestInfo,
) -> Vec<BackendServerName> {
    in_force
        .config
        .servers_of(&info.route)
        .filter(|server| !loads.get(&server.name).is_some_and(|load| load.resumes))
        .map(|server| server.name.clone())
        .collect()
}
