//! Conversion of the platform's request and response headers from and to types of this program.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::engine::MigratedKvCache;
use crate::names::{BackendServerName, OrganisationName};
use crate::routing::choose::{Demand, PromptPart};
use crate::routing::load::ReportedLoad;
use crate::routing::notices::Notice;

const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-laburnumvalve-attempt-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-laburnumvalve-deadline-ms");
const API_KEY: HeaderName = HeaderName::from_static("x-laburnumvalve-key");
const ORGANISATION: HeaderName = HeaderName::from_static("x-laburnumvalve-tenant");
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("x-laburnumvalve-expect-instance");
const URGENCY: HeaderName = HeaderName::from_static("x-laburnumvalve-request-urgency");
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("x-laburnumvalve-token-counts");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-laburnumvalve-prompt-prefix");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Attempt ID of the caller's attempt that brought the first event of the stream that it takes up.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const SEAL: HeaderName = HeaderName::from_static("x-laburnumvalve-response-seal");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-laburnumvalve-not-executed");
const LOAD: HeaderName = HeaderName::from_static("x-laburnumvalve-instance-load");

/// Set to 1 by a server that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Refers to the migrated KV cache from which an engine resumes a run. It doesn't name the origin
/// of a cache entry.
const KV_FROM: HeaderName = HeaderName::from_static("kv-from");

/// Headers that only this program may set; they are removed from callers' requests.
const RESERVED_HEADERS: [HeaderName; 11] = [
    API_KEY,
    ORGANISATION,
    DEADLINE,
    EXPECTED_SERVER,
    URGENCY,
    HeaderName::from_static("x-laburnumvalve-expect-version"),
    HeaderName::from_static("x-laburnumvalve-hold"),
    HeaderName::from_static("x-laburnumvalve-pin-ms"),
    HeaderName::from_static("x-laburnumvalve-kv-backup"),
    KV_FROM,
    HeaderName::from_static("kv-fetch"),
];

/// Hop-by-hop headers besides those that `Connection` lists; they are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Statuses of final responses in HTTP.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Lowest urgency, which has the highest number.
const LOWEST_URGENCY: u8 = 9;

/// Values of the headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub struct RequestHead {
    /// Identifier that the caller gave this attempt.
    pub attempt: Option<HeaderValue>,
    /// API key of the caller.
    pub api_key: Option<String>,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Token counts and prompt parts of the request.
    pub demand: Demand,
    /// Last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Identifier of the attempt that began the stream, if the caller resumes one.
    pub resumed_attempt: Option<HeaderValue>,
    /// Whether the caller resumes a stream, also if it doesn't say which, or from where in a way that
    /// can't be read.
    pub is_resumption: bool,
}

/// Values of the headers that this program sets on one send of a request.
#[derive(Debug, Clone)]
pub struct SendHead<'a> {
    /// Backend server that must execute the request.
    pub server: &'a BackendServerName,
    /// Organisation of the caller; `None` on public routes.
    pub organisation: Option<&'a OrganisationName>,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: u8,
    /// Last event that was forwarded to the caller, if a stream is resumed.
    pub last_event: Option<u64>,
    /// KV cache of the run so far, if the run was migrated.
    pub kv_cache: Option<&'a MigratedKvCache>,
}

/// Meaning of a backend server's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseKind {
    /// The response to the request, successful or not.
    Valid,
    /// The request has not run and will not.
    NotRun,
    /// The address now belongs to another server; the request has not run.
    Misdirected,
    /// Not provably the response to this request: it has a wrong or no attempt ID, no seal, a content
    /// encoding, or a status that no final response has.
    Invalid,
    /// A failure whose status would tell a caller that the request has not run, without the header
    /// that proves it.
    AmbiguousFailure,
}

/// Parses the headers of a caller's request; malformed values are ignored.
pub fn parse_request_headers(headers: &HeaderMap) -> RequestHead {
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let counts = text(&TOKEN_COUNTS).and_then(|value| value.split_once(','));
    let number = |text: &str| text.trim().parse::<u64>().ok();
    RequestHead {
        attempt: headers.get(&ATTEMPT_ID).cloned(),
        api_key: headers.get(&API_KEY).and_then(text_of).map(str::to_owned),
        timeout: text(&DEADLINE).and_then(parse_millis),
        demand: Demand {
            prompt_tokens: counts.and_then(|(prompt, _)| number(prompt)).unwrap_or_default(),
            output_tokens: counts.and_then(|(_, output)| number(output)).unwrap_or_default(),
            parts: text(&PROMPT_PREFIX).map(parse_prompt_parts).unwrap_or_default(),
            body_bytes: 0,
        },
        last_event: text(&LAST_EVENT_ID).and_then(number),
        resumed_attempt: headers.get(&RESUMES).cloned(),
        is_resumption: headers.contains_key(&LAST_EVENT_ID) || headers.contains_key(&RESUMES),
    }
}

/// Returns the text of a header, which may have characters outside ASCII.
fn text_of(value: &HeaderValue) -> Option<&str> {
    std::str::from_utf8(value.as_bytes()).ok()
}

fn parse_millis(text: &str) -> Option<Duration> {
    let ms: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(ms / 1_000.0).ok()
}

fn parse_prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').filter_map(|part| part.trim().split_once(':'));
    parts
        .filter_map(|(id, tokens)| {
            let id = u64::from_str_radix(id.trim(), 16).ok()?;
            Some(PromptPart { id, tokens: tokens.trim().parse().ok()? })
        })
        .collect()
}

/// Returns the headers of a caller's request that are forwarded to backend servers.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    remove_hop_by_hop(&mut kept);
    for name in &RESERVED_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Sets the headers of one send, in place of any that the caller gave.
///
/// # Errors
/// If a name has characters that no header can hold. Such a request can't be sent: without the name of
/// the server, any other one at its address would run it.
pub fn write_send_headers(headers: &mut HeaderMap, head: &SendHead<'_>) -> Result<(), String> {
    set_header(headers, EXPECTED_SERVER, head.server.as_str())?;
    set_header(headers, DEADLINE, &head.time_left.as_millis().max(1).to_string())?;
    set_header(headers, URGENCY, &head.urgency.min(LOWEST_URGENCY).to_string())?;
    if let Some(organisation) = head.organisation {
        set_header(headers, ORGANISATION, organisation.as_str())?;
    }
    if let Some(event) = head.last_event {
        set_header(headers, LAST_EVENT_ID, &event.to_string())?;
    }
    if let Some(kv_cache) = head.kv_cache {
        set_header(headers, KV_FROM, &kv_cache.to_header())?;
    }
    Ok(())
}

/// Sets a header; characters outside ASCII are sent as UTF-8.
///
/// # Errors
/// If the text has characters that no header can hold, such as line breaks.
pub fn set_header(headers: &mut HeaderMap, name: HeaderName, text: &str) -> Result<(), String> {
    let value = HeaderValue::from_bytes(text.as_bytes())
        .map_err(|error| format!("header {name} can't hold {text:?}: {error}"))?;
    headers.insert(name, value);
    Ok(())
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns whether a response body ends with its connection, as it has neither a length nor chunks.
pub fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key("content-length") && !headers.contains_key("transfer-encoding")
}

/// Classifies a backend server's response to an attempt.
pub fn classify_response<B>(rsp: &Response<B>, attempt: Option<&HeaderValue>) -> ResponseKind {
    let headers = rsp.headers();
    let status = rsp.status();
    // A faulty server may send an earlier response again, so nothing of a response counts, the
    // refusals included, before its ID is the one of this request.
    if headers.get(&ATTEMPT_ID) != attempt || !FINAL_STATUSES.contains(&status.as_u16()) {
        return ResponseKind::Invalid;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::Misdirected;
    }
    if headers.contains_key(&NOT_EXECUTED) && !status.is_success() {
        return ResponseKind::NotRun;
    }
    if headers.contains_key("content-encoding") {
        return ResponseKind::Invalid;
    }
    if status.is_success() && !headers.contains_key(&SEAL) {
        return ResponseKind::Invalid;
    }
    match status {
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => ResponseKind::AmbiguousFailure,
        _ => ResponseKind::Valid,
    }
}

/// Parses the load that a backend server reports in a response; `None` if absent or malformed.
pub fn parse_reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get(&LOAD)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    let running = numbers.next()??;
    let waiting = numbers.next()??;
    let slots = numbers.next()??;
    Some(ReportedLoad { running, waiting, slots })
}

/// Parses what a server says about itself in a response. It wants no requests for the time in
/// `Retry-After` of a 503.
pub fn parse_notice<B>(rsp: &Response<B>) -> Notice {
    let text = |name: &HeaderName| rsp.headers().get(name).and_then(|value| value.to_str().ok());
    let seconds = text(&RETRY_AFTER)
        .filter(|_| rsp.status() == StatusCode::SERVICE_UNAVAILABLE)
        .and_then(|text| text.trim().parse::<f64>().ok());
    Notice {
        is_leaving: text(&LEAVING).is_some_and(|value| value.trim() == "1"),
        pause: seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
    }
}

/// Returns the base URL of a platform interface.
pub fn base_url(address: SocketAddr) -> String {
    format!("http://{address}")
}
