//! Issues and withdraws keys.

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::Admin;
use super::body::read_json;
use super::reply::{answer, refuse, refuse_edit, refuse_unknown};
use crate::names::{ClassName, KeyId, OrganisationName};

/// Builds the routes below `/keys`.
pub fn router(admin: &Admin) -> Router {
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

/// Issues a key and shows it once.
struct IssueKey(Admin);

#[handler]
impl IssueKey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let wanted: KeyRequest = match read_json(req).await {
            Ok(wanted) => wanted,
            Err(error) => {
                let message = format!("the body must be JSON with \"organisation\": {error}");
                return refuse(res, StatusCode::BAD_REQUEST, "bad_request", &message);
            }
        };
        let KeyRequest { organisation, default_class, allowed_classes } = wanted;
        match self.0.config.issue_key(organisation, default_class, allowed_classes).await {
            Ok(issued) => {
                let body = json!({ "id": issued.id, "key": issued.key, "version": issued.version });
                answer(res, StatusCode::CREATED, body);
            }
            Err(error) => refuse_edit(res, &error),
        }
    }
}

/// Withdraws a key.
struct WithdrawKey(Admin);

#[handler]
impl WithdrawKey {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id: KeyId = req.param::<String>("id").unwrap_or_default().into();
        match self.0.config.withdraw(&id).await {
            Some(outcome) => {
                let body = json!({ "id": id, "withdrawn": true, "durable": outcome.durable });
                answer(res, StatusCode::OK, body);
            }
            None => refuse_unknown(res, "key", id.as_str()),
        }
    }
}
