//! Status endpoint: the state of this instance, its members and its backend servers.

use salvo::http::StatusCode;
use salvo::{Response, handler};
use serde_json::{Value, json};

use super::AdminState;
use super::reply::respond;
use crate::config::{InForce, Mark, MarkTarget};
use crate::context::Context;
use crate::peer::{Loads, Members};
use crate::platform::{Object, ObjectKind};

/// Responds with the status of this instance as JSON.
pub struct ShowStatus(pub AdminState);

#[handler]
impl ShowStatus {
    async fn handle(&self, res: &mut Response) {
        let cx = &self.0.cx;
        let in_force = cx.in_force.borrow().clone();
        let members = cx.members.borrow().clone();
        let loads = cx.loads.borrow().clone();
        let draining = *cx.draining.borrow();
        let body = json!({
            "instance": cx.options.instance,
            "data_centre": cx.options.data_centre,
            "program_version": env!("CARGO_PKG_VERSION"),
            "incarnation": cx.incarnation,
            "ready": cx.not_ready_reason().is_none(),
            "draining": draining,
            "config_version": in_force.config.version,
            "marks": in_force.marks.iter().map(|mark| mark_json(&in_force, &mark)).collect::<Vec<_>>(),
            "members": members_json(&members),
            "backend_servers": backend_servers_json(&in_force, &loads),
            "leases": leases_json(cx).await,
        });
        respond(res, StatusCode::OK, body);
    }
}

/// Lists the leases stored in the platform; null if the platform is unavailable.
async fn leases_json(cx: &Context) -> Value {
    let leases = cx.objects.list::<Value>(ObjectKind::Leases).await;
    let to_json = |lease: Object<Value>| json!({ "name": lease.name, "lease": lease.spec });
    leases.map_or(Value::Null, |(leases, _)| leases.into_iter().map(to_json).collect())
}

fn mark_json(in_force: &InForce, mark: &Mark) -> Value {
    match mark {
        Mark::KeyWithdrawn(hash) => {
            let id = in_force.config.keys.get(hash).map(|key| key.id.clone());
            json!({ "kind": "key", "name": id, "withdrawn": true })
        }
        Mark::Service { target, at, in_service } => {
            let (kind, name) = match target {
                MarkTarget::DataCentre(name) => ("data-centre", name.as_str()),
                MarkTarget::BackendServer(name) => ("backend-server", name.as_str()),
            };
            json!({ "kind": kind, "name": name, "in_service": in_service, "at_ms": at.millis() })
        }
    }
}

fn members_json(members: &Members) -> Vec<Value> {
    members
        .listed
        .values()
        .map(|member| {
            json!({
                "name": member.name,
                "data_centre": member.data_centre,
                "peer_address": member.peer_address,
                "leaving": member.leaving,
                "suspected": members.suspected.contains(&member.name),
                "certain": members.certain.contains(&member.name),
            })
        })
        .collect()
}

fn backend_servers_json(in_force: &InForce, loads: &Loads) -> Vec<Value> {
    in_force
        .config
        .backend_servers
        .values()
        .map(|server| {
            let load = loads.get(&server.name).map(|load| {
                json!({
                    "running": load.running,
                    "waiting": load.waiting,
                    "limit": load.limit,
                    "wait_ms": load.wait_ms,
                    "cold": load.cold,
                    "ejected": load.ejected,
                })
            });
            json!({
                "name": server.name,
                "data_centre": server.data_centre,
                "takes_work": in_force.takes_work(server),
                "load": load,
            })
        })
        .collect()
}
