//! Decoding and encoding of the platform's settings, configuration, headers and events.

use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use laburnumvalve::gateway::events::EventSplitter;
use laburnumvalve::platform::catalog::{decode_config, decode_server};
use laburnumvalve::platform::headers::{
    ResponseKind, SendHead, classify_response, forwardable_headers, parse_notice,
    parse_request_headers, write_send_headers,
};
use laburnumvalve::platform::settings::parse;
use laburnumvalve::routing::catalog::RequestKind;
use laburnumvalve::routing::notices::Notice;
use rstest::rstest;
use serde_json::json;

const SETTINGS: &str = "node=edge-1\nzone=kolkata-a\nlisten.front=10.1.0.24:8740\n\
    listen.ready=10.1.0.24:8749\nlisten.control=10.1.0.24:8748\ninternal-ports=7200,7215\n\
    seeds=10.1.0.24:8748,10.2.0.20:8748\nplatform.address=10.200.1.7:8742\n\
    bounds.revoke-ms=5000\nbounds.budget-slack=58\nunknown.field=1\n";

#[test]
fn settings_are_read_with_their_units() {
    let cfg = parse(SETTINGS).expect("the settings are complete");

    assert_eq!(cfg.instance.as_str(), "edge-1");
    assert_eq!(cfg.max_withdrawal_delay, Duration::from_secs(5));
    assert_eq!(cfg.metrics_address.port(), 7_200);
    assert_eq!(cfg.seeds.len(), 2);
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let text = SETTINGS.replace("10.1.0.24:8740", "nowhere").replace("node=edge-1", "node=");
    let text = text + "stray words\n";

    let error = parse(&text).expect_err("three lines are bad").to_string();

    assert!(error.contains("node: is missing"), "{error}");
    assert!(error.contains("listen.front: \"nowhere\""), "{error}");
    assert!(error.contains("line 12: it has no \"=\""), "{error}");
}

#[test]
fn configuration_is_decoded() {
    let spec = json!({
        "version": 7,
        "routes": [{"name": "r", "host": "H.example", "path-prefix": "/p/", "kind": "streaming",
            "timeout-ms": 15000.0, "target-latency-ms": 400, "priority": 0, "service": "s",
            "max-attempts": 2, "resumable": true, "gap-target-ms": 300, "sticky": true}],
        "services": [{"name": "s", "cold-start-s": 3.0, "cold-per-s": 8.0,
            "engine": {"kv-tokens": 265628}}],
        "tenants": [{"name": "t", "api-keys": ["k"], "priority": 1}],
    });

    let catalog = decode_config(&spec.to_string()).expect("it is valid");

    let route = catalog.route("h.example", "/p/x").expect("the route is there");
    assert_eq!(route.request_kind, RequestKind::ResumableStream);
    assert_eq!(route.timeout, Duration::from_secs(15));
    assert_eq!(catalog.organisation("k").and_then(|o| o.tier), Some(1));
}

#[rstest]
#[case::no_address(json!({"service": "s", "zone": "z", "slots": 4, "state": "ready"}))]
#[case::unknown_state(json!({"service": "s", "address": "1.2.3.4:5", "zone": "z", "slots": 4, "state": "odd"}))]
#[case::not_an_object(json!("garbage"))]
#[case::wrong_type(json!({"service": 5, "address": "1.2.3.4:5", "zone": "z", "slots": 4, "state": "ready"}))]
fn malformed_server_entry_is_rejected(#[case] spec: serde_json::Value) {
    assert!(decode_server("i-1", &spec.to_string()).is_err());
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            (name.parse().expect("the name is valid"), HeaderValue::from_static(value))
        })
        .collect()
}

#[test]
fn internal_headers_of_callers_are_not_forwarded() {
    let sent = headers(&[
        ("x-laburnumvalve-key", "secret"),
        ("x-laburnumvalve-tenant", "forged"),
        ("x-laburnumvalve-hold", "1"),
        ("kv-from", "1.2.3.4:5/h"),
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("accept", "*/*"),
    ]);

    let passed = forwardable_headers(&sent);

    assert_eq!(passed.keys().map(|name| name.as_str()).collect::<Vec<_>>(), ["accept"]);
}

#[test]
fn send_headers_carry_deadline_and_expected_server() {
    let mut sent = HeaderMap::new();
    let (server, organisation) = ("i-1".into(), "timers".into());

    write_send_headers(
        &mut sent,
        &SendHead {
            server: &server,
            organisation: Some(&organisation),
            time_left: Duration::from_millis(1_234),
            urgency: 12,
            last_event: Some(4),
            kv_cache: None,
        },
    )
    .expect("headers can hold the names");

    assert_eq!(sent["x-laburnumvalve-deadline-ms"], "1234");
    assert_eq!(sent["x-laburnumvalve-expect-instance"], "i-1");
    assert_eq!(sent["x-laburnumvalve-tenant"], "timers");
    assert_eq!(sent["x-laburnumvalve-request-urgency"], "9");
    assert_eq!(sent["last-event-id"], "4");
}

/// Guards against a request that any server at the address runs, or that runs for no organisation, as
/// the header with the name is left out.
#[rstest]
#[case::server("i-1\r\nx: y", "timers")]
#[case::organisation("i-1", "timers\n")]
fn request_with_a_name_that_no_header_can_hold_is_not_sent(
    #[case] server: &str,
    #[case] organisation: &str,
) {
    let (server, organisation) = (server.into(), organisation.into());
    let head = SendHead {
        server: &server,
        organisation: Some(&organisation),
        time_left: Duration::from_secs(1),
        urgency: 5,
        last_event: None,
        kv_cache: None,
    };

    let written = write_send_headers(&mut HeaderMap::new(), &head);

    assert!(written.is_err());
}

#[test]
fn prompt_prefix_header_is_parsed_into_parts() {
    let head = parse_request_headers(&headers(&[
        ("x-laburnumvalve-token-counts", "1460,80"),
        ("x-laburnumvalve-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ]));

    assert_eq!((head.demand.prompt_tokens, head.demand.output_tokens), (1_460, 80));
    assert_eq!(head.demand.shared_prefix().len(), 2);
    assert_eq!(head.demand.shared_prefix()[0].id, 0x5c1e_07a2);
}

fn rsp(status: u16, pairs: &[(&'static str, &'static str)]) -> Response<()> {
    let mut rsp = Response::new(());
    *rsp.status_mut() = StatusCode::from_u16(status).expect("the status is valid");
    *rsp.headers_mut() = headers(pairs);
    rsp
}

const ID: (&str, &str) = ("x-laburnumvalve-attempt-id", "mine");
const OTHER_ID: (&str, &str) = ("x-laburnumvalve-attempt-id", "other");
const SEAL: (&str, &str) = ("x-laburnumvalve-response-seal", "s");
const NOT_RUN: (&str, &str) = ("x-laburnumvalve-not-executed", "1");

#[rstest]
#[case::success(rsp(200, &[ID, SEAL]), ResponseKind::Valid)]
#[case::of_another_request(rsp(200, &[OTHER_ID, SEAL]), ResponseKind::Invalid)]
#[case::unsealed(rsp(200, &[ID]), ResponseKind::Invalid)]
#[case::success_without_identifier(rsp(200, &[SEAL]), ResponseKind::Invalid)]
#[case::encoded(rsp(200, &[ID, SEAL, ("content-encoding", "gzip")]), ResponseKind::Invalid)]
#[case::full(rsp(503, &[ID, NOT_RUN]), ResponseKind::NotRun)]
#[case::another_server(rsp(421, &[ID]), ResponseKind::Misdirected)]
#[case::another_server_without_identifier(rsp(421, &[]), ResponseKind::Invalid)]
#[case::another_server_of_another_request(rsp(421, &[OTHER_ID]), ResponseKind::Invalid)]
#[case::full_without_identifier(rsp(503, &[NOT_RUN]), ResponseKind::Invalid)]
#[case::full_of_another_request(rsp(503, &[OTHER_ID, NOT_RUN]), ResponseKind::Invalid)]
#[case::unproved_refusal(rsp(503, &[ID, SEAL]), ResponseKind::AmbiguousFailure)]
#[case::too_many_without_proof(rsp(429, &[ID]), ResponseKind::AmbiguousFailure)]
#[case::own_failure(rsp(500, &[ID, SEAL]), ResponseKind::Valid)]
fn only_explicit_refusal_counts_as_not_run(
    #[case] rsp: Response<()>,
    #[case] wanted: ResponseKind,
) {
    let attempt = HeaderValue::from_static("mine");

    assert_eq!(classify_response(&rsp, Some(&attempt)), wanted);
}

#[test]
fn only_complete_events_are_taken() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");

    let events = splitter.take_complete().expect("two events are complete");

    assert_eq!(&events.bytes[..], b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(events.last_id, Some(2));
    assert!(splitter.take_complete().is_none());
}

#[test]
fn events_already_received_are_dropped() {
    let mut splitter = EventSplitter::after(Some(2));
    splitter.push(b"id: 2\ndata: b\n\n");
    assert!(splitter.take_complete().is_none());

    splitter.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n");

    let events = splitter.take_complete().expect("one event is new");
    assert_eq!(&events.bytes[..], b"id: 3\ndata: c\n\n");
}

#[rstest]
#[case::nothing(200, &[], Notice::default())]
#[case::leaving(200, &[("server-leaving", "1")], Notice { is_leaving: true, pause: None })]
#[case::not_leaving(200, &[("server-leaving", "0")], Notice::default())]
#[case::pause(503, &[("retry-after", "1.5")],
    Notice { is_leaving: false, pause: Some(Duration::from_millis(1_500)) })]
#[case::pause_of_another_status(429, &[("retry-after", "2")], Notice::default())]
#[case::date(503, &[("retry-after", "Fri, 04 Dec 2026 21:00:00 GMT")], Notice::default())]
#[case::negative(503, &[("retry-after", "-1")], Notice::default())]
#[case::endless(503, &[("retry-after", "inf")], Notice::default())]
fn notice_of_a_server_is_parsed_and_malformed_values_are_ignored(
    #[case] status: u16,
    #[case] fields: &[(&str, &str)],
    #[case] expected: Notice,
) {
    let mut rsp = Response::builder().status(status);
    for (name, value) in fields {
        rsp = rsp.header(*name, *value);
    }

    let parsed = parse_notice(&rsp.body(()).expect("the response is valid"));

    assert_eq!(parsed, expected);
}

/// Guards against a connection that ends by a panic because of a deadline that no clock can hold.
#[rstest]
#[case::too_large("1e30")]
#[case::infinite("inf")]
#[case::no_number("NaN")]
#[case::negative("-5")]
fn impossible_deadline_counts_as_none(#[case] deadline: &'static str) {
    let head = parse_request_headers(&headers(&[("x-laburnumvalve-deadline-ms", deadline)]));

    assert_eq!(head.timeout, None);
}
