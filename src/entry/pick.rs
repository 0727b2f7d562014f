//! Choice of the backend servers to ask for a slot.

use rand::seq::SliceRandom;

use super::admit::Wish;
use super::work::Work;
use crate::config::{BackendServer, ServerKind};
use crate::context::Context;
use crate::names::BackendServerName;

/// Backend servers asked for each attempt.
const MAX_CANDIDATES: usize = 2;

/// Returns at most two backend servers that take work, the least loaded first.
pub fn candidates(cx: &Context, work: &Work, wish: &Wish) -> Vec<BackendServer> {
    let in_force = cx.in_force.borrow().clone();
    let mut servers: Vec<&BackendServer> = in_force
        .config
        .servers_of(&work.route)
        .filter(|server| in_force.takes_work(server) && !wish.avoid.contains(&server.name))
        .collect();
    if !work.repeatable && servers.iter().any(|server| server.kind == ServerKind::Standard) {
        servers.retain(|server| server.kind == ServerKind::Standard);
    }
    servers.shuffle(&mut rand::rng());
    servers.sort_by_cached_key(|server| load(cx, &server.name));
    servers.into_iter().take(MAX_CANDIDATES).cloned().collect()
}

/// Returns a key that is lower for a backend server with more room.
fn load(cx: &Context, server: &BackendServerName) -> (bool, bool, u32, u32) {
    let loads = cx.loads.borrow();
    loads.get(server).map_or((false, false, 0, 0), |load| {
        let used = (load.running + load.waiting) * 100 / load.limit.max(1);
        (load.ejected, load.cold, load.wait_ms, used)
    })
}
