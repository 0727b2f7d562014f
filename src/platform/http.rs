//! HTTP client for the platform's interfaces.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use reqwest::redirect::Policy;

use super::PlatformError;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of opening a connection to another instance, after which the next one is tried.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which an idle connection is closed; about ten pull requests or watches fit into it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_HOST: usize = 4;

/// Characters that are encoded in names: all but those without a meaning of their own in any part of
/// a URL.
const ENCODED_IN_NAMES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a name as a value in the query of a URL.
pub fn encode_query_value(name: &str) -> String {
    utf8_percent_encode(name, ENCODED_IN_NAMES).to_string()
}

/// Encodes a name as one segment of the path of a URL.
///
/// # Errors
/// [`PlatformError::Refused`] if no segment can hold it: an empty one names the collection, and `.`
/// and `..` are resolved even if they are encoded.
pub fn encode_path_segment(name: &str) -> Result<String, PlatformError> {
    match name {
        "" | "." | ".." => {
            Err(PlatformError::Refused(format!("an object can't be named \"{name}\"")))
        }
        _ => Ok(encode_query_value(name)),
    }
}

/// Creates a client that ignores proxy settings of the environment and follows no redirects.
///
/// # Errors
/// Fails if the client can't be built.
pub fn client() -> eyre::Result<reqwest::Client> {
    client_with(CONNECT_TIMEOUT)
}

/// Creates a client for other instances, which has a shorter timeout for opening a connection.
///
/// # Errors
/// Fails if the client can't be built.
pub fn peer_client() -> eyre::Result<reqwest::Client> {
    client_with(PEER_CONNECT_TIMEOUT)
}

fn client_with(connect_timeout: Duration) -> eyre::Result<reqwest::Client> {
    let builder = reqwest::Client::builder().no_proxy().redirect(Policy::none());
    let builder = builder.pool_idle_timeout(IDLE_TIMEOUT).pool_max_idle_per_host(MAX_IDLE_PER_HOST);
    Ok(builder.connect_timeout(connect_timeout).build()?)
}

/// Reason why a response body was not read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The connection failed before the end of the body.
    Broken(String),
    /// The body is longer than this number of bytes.
    TooLong(usize),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(why) => f.write_str(why),
            Self::TooLong(max) => write!(f, "the response body is longer than {max} bytes"),
        }
    }
}

/// Reads a response body of at most `max` bytes.
///
/// # Errors
/// If the connection fails, or the body is longer.
pub async fn read_limited(mut rsp: reqwest::Response, max: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = rsp.chunk().await.map_err(|e| BodyError::Broken(error_chain(&e)))? {
        if body.len() + chunk.len() > max {
            return Err(BodyError::TooLong(max));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the message of a failed call with those of all its causes.
pub fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
