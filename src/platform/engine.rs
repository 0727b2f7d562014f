//! Calls to model engines besides requests: moving a run's memory to another engine.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use serde::Deserialize;
use serde_json::json;

/// Path of the call that copies a run's memory.
const MIGRATION_PATH: &str = "/laburnumvalve/kv-move";

/// Memory of a run that was copied to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MigratedKvCache {
    /// Engine that the run was at.
    pub source: SocketAddr,
    /// Names the memory; it serves one request.
    pub handle: String,
}

impl MigratedKvCache {
    /// Returns the text that names the memory in a request.
    pub fn to_header(&self) -> String {
        format!("{}/{}", self.source, self.handle)
    }
}

#[derive(Deserialize)]
struct WireMigration {
    /// A string or a number.
    handle: serde_json::Value,
}

/// Makes the call that copies a run's memory to another engine.
///
/// With `stops_run` the run stops first; without, it goes on meanwhile.
///
/// # Errors
/// If the request can't be built.
pub fn migration_request(
    source: SocketAddr,
    attempt: &HeaderValue,
    target: SocketAddr,
    stops_run: bool,
) -> eyre::Result<Request<Full<Bytes>>> {
    let mut body = json!({ "id": attempt.to_str()?, "target": target.to_string() });
    if stops_run {
        body["last"] = true.into();
    }
    let mut req = Request::new(Full::new(Bytes::from(body.to_string())));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(MIGRATION_PATH);
    req.headers_mut().insert(HOST, HeaderValue::from_str(&source.to_string())?);
    req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(req)
}

/// Reads the answer of such a call.
///
/// # Errors
/// Says why nothing was copied.
pub fn parse_migration_response(
    source: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<MigratedKvCache, String> {
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err("no such run".to_owned()),
        StatusCode::CONFLICT => return Err("another copy is being made".to_owned()),
        status => return Err(format!("status {}", status.as_u16())),
    }
    let wire: WireMigration = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let handle = match wire.handle {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    };
    Ok(MigratedKvCache { source, handle })
}
