//! The endpoints below `/control/` that all stand-ins share.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Mutex;

use crate::host::{Call, Reply};
use crate::lock;

/// Reads or replaces faults: `GET` or `PUT /control/faults`.
pub(crate) fn faults<F>(faults: &Mutex<F>, call: &Call) -> Reply
where
    F: Serialize + DeserializeOwned + Clone,
{
    if call.received.method == "GET" {
        return show(&*lock(faults));
    }
    match call.json::<F>() {
        Ok(new) => {
            *lock(faults) = new;
            Reply::done()
        }
        Err(reply) => reply,
    }
}

/// Answers with a value as JSON.
pub(crate) fn show(value: &impl Serialize) -> Reply {
    match serde_json::to_value(value) {
        Ok(value) => Reply::Json(200, value),
        Err(error) => Reply::error(500, &error.to_string()),
    }
}
