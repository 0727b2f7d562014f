//! Endpoints that check, apply and export the sheet.

use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::{Request, Response, Router, handler};
use serde_json::{Value, json};

use super::AdminState;
use super::reply::{respond, respond_apply_error, respond_error};
use crate::config::{Config, InForce};
use crate::sheet;

/// Maximum size of an uploaded sheet.
const MAX_SHEET_BYTES: usize = 32 << 20;

/// Builds the routes below `/sheet`.
pub fn router(admin: &AdminState) -> Router {
    Router::with_path("sheet")
        .get(ExportSheet(admin.clone()))
        .push(Router::with_path("check").post(CheckSheet(admin.clone())))
        .push(Router::with_path("apply").post(ApplySheet(admin.clone())))
}

/// Responds with the differences that applying a sheet would make.
struct CheckSheet(AdminState);

#[handler]
impl CheckSheet {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let Some(config) = read_sheet(req, res).await else { return };
        let in_force = self.0.cx.in_force.borrow().clone();
        respond(res, StatusCode::OK, differences_json(&in_force, &config));
    }
}

/// Applies a sheet; responds with a conflict if another was applied after its base version.
///
/// The base version is the query parameter `based-on`, by default the version in force on this
/// instance.
struct ApplySheet(AdminState);

#[handler]
impl ApplySheet {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let based_on = match req.query::<String>("based-on").map(|text| text.parse::<u64>()) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => {
                let message = "based-on must be a version number";
                return respond_error(res, StatusCode::BAD_REQUEST, "bad_request", message);
            }
        };
        let Some(config) = read_sheet(req, res).await else { return };
        let in_force = self.0.cx.in_force.borrow().clone();
        let based_on = based_on.unwrap_or(in_force.config.version);
        let mut body = differences_json(&in_force, &config);
        match self.0.config.apply(config, based_on).await {
            Ok(accepted) => {
                body["version"] = accepted.version.into();
                body["changed"] = accepted.changed.into();
                respond(res, StatusCode::OK, body);
            }
            Err(error) => respond_apply_error(res, &error),
        }
    }
}

/// Exports the configuration in force, with marks applied, as a sheet.
struct ExportSheet(AdminState);

#[handler]
impl ExportSheet {
    async fn handle(&self, res: &mut Response) {
        let config = self.0.cx.in_force.borrow().effective();
        let header = salvo::http::HeaderValue::from_static("text/csv; charset=utf-8");
        res.headers_mut().insert(CONTENT_TYPE, header);
        res.headers_mut().insert("x-config-version", config.version.into());
        // `write_body` fails only on a streaming body; this one is still empty.
        let _ = res.write_body(sheet::export(&config));
    }
}

/// Reads and parses the body; responds with an error and returns `None` if that fails.
async fn read_sheet(req: &mut Request, res: &mut Response) -> Option<Config> {
    let bytes = match req.payload_with_max_size(MAX_SHEET_BYTES).await {
        Ok(bytes) => bytes.clone(),
        Err(error) => {
            respond_error(res, StatusCode::PAYLOAD_TOO_LARGE, "too_large", &error.to_string());
            return None;
        }
    };
    let parsed = tokio::task::spawn_blocking(move || sheet::parse(&bytes)).await;
    match parsed {
        Ok(Ok(config)) => Some(config),
        Ok(Err(problems)) => {
            let message =
                format!("the sheet has {} problem(s); nothing was changed", problems.len());
            let error = json!({ "code": "bad_sheet", "message": message, "problems": problems });
            respond(res, StatusCode::UNPROCESSABLE_ENTITY, json!({ "error": error }));
            None
        }
        Err(error) => {
            respond_error(res, StatusCode::INTERNAL_SERVER_ERROR, "internal", &error.to_string());
            None
        }
    }
}

fn differences_json(in_force: &InForce, config: &Config) -> Value {
    let differences = sheet::diff(&in_force.effective(), config);
    json!({ "based_on": in_force.config.version, "differences": differences })
}
