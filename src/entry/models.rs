//! The list of models available to a caller.

use serde_json::{Value, json};

use super::auth::{PresentedKey, RequestError, authorise};
use crate::config::{InForce, RouteTarget};

/// Lists the models available to a key or, without one, on open routes.
///
/// # Errors
/// If the key is not valid.
pub fn list(in_force: &InForce, key: Option<&PresentedKey>) -> Result<Value, RequestError> {
    if let Some(key) = key {
        super::auth::key_organisation(in_force, key)?;
    }
    let models: Vec<Value> = in_force
        .config
        .routes
        .values()
        .filter(|route| authorise(in_force, key.cloned(), route).is_ok())
        .filter_map(|route| match &route.target {
            RouteTarget::Model(model) => Some(model),
            RouteTarget::Prefix(_) => None,
        })
        .map(|model| json!({ "id": model, "object": "model", "created": 0, "owned_by": "laburnumvalve" }))
        .collect();
    Ok(json!({ "object": "list", "data": models }))
}
