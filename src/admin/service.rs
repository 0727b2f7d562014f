//! Endpoints that take data centres and backend servers out of service and return them to it.

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::AdminState;
use super::body::read_json;
use super::reply::{respond, respond_error, respond_not_found};
use crate::config::MarkTarget;

/// Builds the routes below `/data-centres` and `/backend-servers`.
pub fn router(admin: &AdminState) -> Router {
    let data_centres = SetDataCentreService(admin.clone());
    let backend_servers = SetBackendServerService(admin.clone());
    Router::new()
        .push(Router::with_path("data-centres/{name}/service").put(data_centres))
        .push(Router::with_path("backend-servers/{name}/service").put(backend_servers))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceRequest {
    in_service: bool,
}

/// Takes a data centre out of service, or returns it to service.
struct SetDataCentreService(AdminState);

#[handler]
impl SetDataCentreService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let name = req.param::<String>("name").unwrap_or_default();
        let config = self.0.cx.in_force.borrow().config.clone();
        if !config.data_centres.contains_key(name.as_str()) {
            return respond_not_found(res, "data centre", &name);
        }
        self.0.set_in_service(MarkTarget::DataCentre(name.into()), req, res).await;
    }
}

/// Takes a backend server out of service, or returns it to service.
struct SetBackendServerService(AdminState);

#[handler]
impl SetBackendServerService {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let name = req.param::<String>("name").unwrap_or_default();
        let config = self.0.cx.in_force.borrow().config.clone();
        if !config.backend_servers.contains_key(name.as_str()) {
            return respond_not_found(res, "backend server", &name);
        }
        self.0.set_in_service(MarkTarget::BackendServer(name.into()), req, res).await;
    }
}

impl AdminState {
    async fn set_in_service(&self, target: MarkTarget, req: &mut Request, res: &mut Response) {
        let request: ServiceRequest = match read_json(req).await {
            Ok(request) => request,
            Err(error) => {
                let message = format!("the body must be {{\"in_service\": true|false}}: {error}");
                return respond_error(res, StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        let name = match &target {
            MarkTarget::DataCentre(name) => name.to_string(),
            MarkTarget::BackendServer(name) => name.to_string(),
        };
        let outcome = self.config.set_in_service(target, request.in_service).await;
        let body =
            json!({ "name": name, "in_service": request.in_service, "durable": outcome.durable });
        respond(res, StatusCode::OK, body);
    }
}
