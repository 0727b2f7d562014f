//! Choice of the backend servers to ask for a slot.

use std::time::Duration;

use super::admit::Wish;
use super::work::Work;
use crate::config::{BackendServer, InForce};
use crate::context::Context;
use crate::home::pick::{PickCriteria, Picker};
use crate::names::BackendServerName;
use crate::peer::Loads;

/// A backend server to ask, with the wait above which the next one is preferred.
pub type Choice = (BackendServer, Option<Duration>);

/// Returns at most two backend servers that take work, the better one first.
///
/// Servers that failed this request come back only when there is no other.
pub fn candidates(cx: &Context, work: &Work, wish: &Wish) -> Vec<Choice> {
    let in_force = cx.in_force.borrow().clone();
    let loads = cx.loads.borrow().clone();
    let failed: Vec<BackendServerName> = wish.avoid.iter().cloned().collect();
    let unfit = if wish.resume { not_resuming(&in_force, &loads, work) } else { Vec::new() };
    let found = pick(cx, &in_force, &loads, work, wish, &[failed, unfit.clone()].concat());
    if found.is_empty() { pick(cx, &in_force, &loads, work, wish, &unfit) } else { found }
}

fn pick(
    cx: &Context,
    in_force: &InForce,
    loads: &Loads,
    work: &Work,
    wish: &Wish,
    exclude: &[BackendServerName],
) -> Vec<Choice> {
    let Some(route) = in_force.config.routes.get(&work.route) else { return Vec::new() };
    let members = cx.members.borrow().clone();
    let criteria = PickCriteria {
        route,
        class: &work.class,
        prefix: wish.prefix,
        seed: rand::random(),
        exclude,
    };
    let picker = Picker::new(cx.options.data_centre.clone());
    picker
        .candidates(in_force, &members, loads, &criteria)
        .into_iter()
        .filter_map(|candidate| {
            let server = in_force.config.backend_servers.get(&candidate.server)?;
            Some((server.clone(), candidate.wait_bound))
        })
        .collect()
}

/// Returns the servers that can't go on after a part of an answer.
fn not_resuming(in_force: &InForce, loads: &Loads, work: &Work) -> Vec<BackendServerName> {
    in_force
        .config
        .servers_of(&work.route)
        .filter(|server| !loads.get(&server.name).is_some_and(|load| load.resumes))
        .map(|server| server.name.clone())
        .collect()
}
