//! Calls to model engines other than requests: migration of a run's KV cache to another engine.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use serde::Deserialize;
use serde_json::json;

/// Path of the call that copies a run's KV cache.
const MIGRATION_PATH: &str = "/laburnumvalve/kv-move";

/// KV cache of a run that was copied to another engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MigratedKvCache {
    /// Address of the engine that the cache was copied from.
    pub source: SocketAddr,
    /// Handle of the copy, which is valid for one request.
    pub handle: String,
}

impl MigratedKvCache {
    /// Returns the value of the request header that refers to the copy.
    pub fn to_header(&self) -> String {
        format!("{}/{}", self.source, self.handle)
    }
}

/// Reason why the KV cache of a run was not copied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyError {
    /// The engine has no run with this attempt ID.
    RunEnded,
    /// Another copy of the run is in progress.
    InProgress,
    /// The destination has no slot or memory left, or can't be reached.
    NoRoom,
    /// The call failed, or its response is not one of the above.
    Failed(String),
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RunEnded => f.write_str("the engine has no run with this attempt ID"),
            Self::InProgress => f.write_str("another copy of the run is in progress"),
            Self::NoRoom => f.write_str("the destination has no room or can't be reached"),
            Self::Failed(why) => f.write_str(why),
        }
    }
}

#[derive(Deserialize)]
struct WireMigration {
    /// String or number.
    handle: serde_json::Value,
}

/// Builds the request that copies a run's KV cache to another engine.
///
/// With `stops_run`, the engine stops the run before it copies; otherwise the run continues during
/// the copy.
///
/// # Errors
/// Fails if `attempt` isn't visible ASCII text.
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

/// Parses the response to a migration request.
///
/// # Errors
/// Returns the reason why nothing was copied.
pub fn parse_migration_response(
    source: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<MigratedKvCache, CopyError> {
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(CopyError::RunEnded),
        StatusCode::CONFLICT => return Err(CopyError::InProgress),
        StatusCode::SERVICE_UNAVAILABLE => return Err(CopyError::NoRoom),
        status => return Err(CopyError::Failed(format!("unexpected status {}", status.as_u16()))),
    }
    let wire: WireMigration =
        serde_json::from_slice(body).map_err(|error| CopyError::Failed(error.to_string()))?;
    let handle = match wire.handle {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    };
    Ok(MigratedKvCache { source, handle })
}
