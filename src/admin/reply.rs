//! JSON responses of the administration API.

use salvo::Response;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde::Serialize;
use serde_json::json;

use crate::config::ApplyError;

/// Writes a status code and a JSON body to the response.
pub fn respond<T: Serialize + Send>(res: &mut Response, status: StatusCode, value: T) {
    res.status_code(status);
    res.render(Json(value));
}

/// Responds with a machine-readable error code and a human-readable message.
pub fn respond_error(res: &mut Response, status: StatusCode, code: &str, message: &str) {
    respond(res, status, json!({ "error": { "code": code, "message": message } }));
}

/// Responds 404 for an unknown name.
pub fn respond_not_found(res: &mut Response, kind: &str, name: &str) {
    respond_error(
        res,
        StatusCode::NOT_FOUND,
        "not_found",
        &format!("there is no {kind} \"{name}\""),
    );
}

/// Responds to a configuration edit that failed; a conflict includes the current version.
pub fn respond_apply_error(res: &mut Response, error: &ApplyError) {
    let (status, code) = match error {
        ApplyError::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
        ApplyError::TooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "too_large"),
        ApplyError::UnknownName(_) => (StatusCode::NOT_FOUND, "not_found"),
        ApplyError::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        ApplyError::Unknown(_) => (StatusCode::GATEWAY_TIMEOUT, "outcome_unknown"),
    };
    let mut body = json!({ "error": { "code": code, "message": error.to_string() } });
    if let ApplyError::Conflict { current_version } = error {
        body["error"]["version"] = (*current_version).into();
    }
    respond(res, status, body);
}
