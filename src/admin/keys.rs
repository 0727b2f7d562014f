//! Endpoints that issue and withdraw API keys.

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::AdminState;
use super::body::read_json;
use super::reply::{respond, respond_apply_error, respond_error, respond_not_found};
use crate::names::{ClassName, KeyId, OrganisationName};

/// Builds the routes below `/keys`.
pub fn router(admin: &AdminState) -> Router {
    Router::with_path("keys")
        .post(IssueKey(admin.clone()))
        .push(Router::with_path("{id}").delete(WithdrawKey(admin.clone())))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyRequest {
    organisation: OrganisationName,
    #[serde(default)]
    default_class: Option<ClassName>,
    #[serde(default)]
    allowed_classes: Vec<ClassName>,
}

/// Issues a key. This response is the only one that contains the key itself.
struct IssueKey(AdminState);

#[handler]
impl IssueKey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let request: KeyRequest = match read_json(req).await {
            Ok(request) => request,
            Err(error) => {
                let message = format!("the body must be JSON with \"organisation\": {error}");
                return respond_error(res, StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        let KeyRequest { organisation, default_class, allowed_classes } = request;
        match self.0.config.issue_key(organisation, default_class, allowed_classes).await {
            Ok(issued) => {
                let body = json!({ "id": issued.id, "key": issued.key, "version": issued.version });
                respond(res, StatusCode::CREATED, body);
            }
            Err(error) => respond_apply_error(res, &error),
        }
    }
}

/// Withdraws a key by its identifier.
struct WithdrawKey(AdminState);

#[handler]
impl WithdrawKey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id: KeyId = req.param::<String>("id").unwrap_or_default().into();
        match self.0.config.withdraw(&id).await {
            Some(outcome) => {
                let body = json!({ "id": id, "withdrawn": true, "durable": outcome.durable });
                respond(res, StatusCode::OK, body);
            }
            None => respond_not_found(res, "key", id.as_str()),
        }
    }
}
