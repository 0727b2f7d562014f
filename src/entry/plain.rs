//! Filtering of requests to plain HTTP services and of their responses.

use salvo::http::uri::Uri;
use salvo::http::{HeaderMap, HeaderName, Method};
use serde_json::Value;

use super::auth::{Caller, RequestError};
use crate::outcome::RefusalCode;

/// Request headers that are forwarded; the idempotency key is added separately.
const FORWARDED_HEADERS: [&str; 11] = [
    "accept",
    "accept-encoding",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "if-unmodified-since",
    "range",
];
/// Response headers that are returned; cookies are not, since request cookies are not forwarded.
pub const RETURNED_HEADERS: [&str; 17] = [
    "accept-ranges",
    "allow",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-length",
    "content-range",
    "content-type",
    "etag",
    "expires",
    "last-modified",
    "link",
    "location",
    "retry-after",
    "vary",
    "warning",
];
/// Query parameters in which callers put keys; they are removed.
const KEY_QUERY_PARAMETERS: [&str; 8] = [
    "access_token",
    "api-key",
    "api_key",
    "apikey",
    "auth",
    "authorization",
    "x-api-key",
    "x_api_key",
];

/// The part of a request that is forwarded.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// The method.
    pub method: Method,
    /// The path and the filtered query.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: bytes::Bytes,
}

impl PlainRequest {
    /// Filters a request.
    ///
    /// # Errors
    /// If the path is malformed or the caller's key occurs in a part that would be forwarded.
    pub fn from_parts(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        body: bytes::Bytes,
        caller: &Caller,
    ) -> Result<Self, RequestError> {
        check_path(uri.path())?;
        let target = match filter_query(uri.query().unwrap_or_default()) {
            query if query.is_empty() => uri.path().to_owned(),
            query => format!("{}?{query}", uri.path()),
        };
        let request = Self {
            method: method.clone(),
            target,
            headers: filter_headers(headers, &FORWARDED_HEADERS),
            body,
        };
        if request.contains_key(caller) {
            let message = "the path, query, headers or body hold the caller's key";
            return Err(RequestError::new(RefusalCode::BadRequest, message));
        }
        Ok(request)
    }

    fn contains_key(&self, caller: &Caller) -> bool {
        let in_headers =
            self.headers.values().any(|value| text_contains_key(value.as_bytes(), caller));
        in_headers
            || text_contains_key(self.target.as_bytes(), caller)
            || self.body_contains_key(caller)
    }

    fn body_contains_key(&self, caller: &Caller) -> bool {
        if text_contains_key(&self.body, caller) {
            return true;
        }
        let json = serde_json::from_slice::<Value>(&self.body);
        json.is_ok_and(|value| super::chat::value_contains_key(&value, caller))
    }
}

/// Returns the headers with the given names.
pub fn filter_headers(headers: &HeaderMap, names: &[&'static str]) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for name in names {
        let name = HeaderName::from_static(name);
        for value in headers.get_all(&name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Rejects paths that a server could resolve to a path outside the route's prefix.
fn check_path(path: &str) -> Result<(), RequestError> {
    let decoded = percent_decode(path.as_bytes());
    let has_dot_segment = decoded
        .split(|byte| matches!(byte, b'/' | b'\\'))
        .any(|segment| segment == b"." || segment == b"..");
    let encoded_slash = path.to_ascii_lowercase().contains("%2f");
    if has_dot_segment || encoded_slash {
        return Err(RequestError::new(
            RefusalCode::BadRequest,
            "the path is not in its normal form",
        ));
    }
    Ok(())
}

fn filter_query(query: &str) -> String {
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let name = pair.split('=').next().unwrap_or_default();
            let name = percent_decode(name.as_bytes()).to_ascii_lowercase();
            !pair.is_empty() && !KEY_QUERY_PARAMETERS.iter().any(|key| key.as_bytes() == name)
        })
        .collect();
    kept.join("&")
}

/// Returns whether the key occurs in a text, verbatim or percent-encoded.
fn text_contains_key(text: &[u8], caller: &Caller) -> bool {
    caller.key_occurs_in(text) || caller.key_occurs_in(&percent_decode(text))
}

fn percent_decode(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let [first, tail @ ..] = rest {
        let byte = match tail {
            [high, low, ..] if *first == b'%' => hex_byte(*high, *low),
            _ => None,
        };
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

fn hex_byte(high: u8, low: u8) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    u8::try_from(digit(high)? * 16 + digit(low)?).ok()
}
