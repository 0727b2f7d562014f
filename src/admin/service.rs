//! Takes data centres and backend servers out of service, and in again.

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::Admin;
use super::body::read_json;
use super::reply::{answer, refuse, refuse_unknown};
use crate::config::MarkTarget;

/// Builds the routes below `/data-centres` and `/backend-servers`.
pub fn router(admin: &Admin) -> Router {
    let centres = SetDataCentre(admin.clone());
    let servers = SetBackendServer(admin.clone());
    Router::new()
        .push(Router::with_path("data-centres/{name}/service").put(centres))
        .push(Router::with_path("backend-servers/{name}/service").put(servers))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceOrder {
    in_service: bool,
}

/// Takes a data centre out of service, or in again.
struct SetDataCentre(Admin);

#[handler]
impl SetDataCentre {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let name = req.param::<String>("name").unwrap_or_default();
        let config = self.0.cx.in_force.borrow().config.clone();
        if !config.data_centres.contains_key(name.as_str()) {
            return refuse_unknown(res, "data centre", &name);
        }
        self.0.set_service(MarkTarget::DataCentre(name.into()), req, res).await;
    }
}

/// Takes a backend server out of service, or in again.
struct SetBackendServer(Admin);

#[handler]
impl SetBackendServer {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let name = req.param::<String>("name").unwrap_or_default();
        let config = self.0.cx.in_force.borrow().config.clone();
        if !config.backend_servers.contains_key(name.as_str()) {
            return refuse_unknown(res, "backend server", &name);
        }
        self.0.set_service(MarkTarget::BackendServer(name.into()), req, res).await;
    }
}

impl Admin {
    async fn set_service(&self, target: MarkTarget, req: &mut Request, res: &mut Response) {
        let order: ServiceOrder = match read_json(req).await {
            Ok(order) => order,
            Err(error) => {
                let message = format!("the body must be {{\"in_service\": true|false}}: {error}");
                return refuse(res, StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        let name = match &target {
            MarkTarget::DataCentre(name) => name.to_string(),
            MarkTarget::BackendServer(name) => name.to_string(),
        };
        let outcome = self.config.set_in_service(target, order.in_service).await;
        let body =
            json!({ "name": name, "in_service": order.in_service, "durable": outcome.durable });
        answer(res, StatusCode::OK, body);
    }
}
