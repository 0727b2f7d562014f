//! API keys: withdrawal on all instances, no forwarding to backend servers, and access to routes.

mod common;

use common::caller::{chat_body, read, read_response, user};
use common::{Caller, Fleet, FleetSettings, IN_FORCE_BOUND, STEP_BOUND};
use futures::future::join_all;
use reqwest::{Method, RequestBuilder};
use rstest::rstest;
use serde_json::Value;
use standins::received::contains;

/// The instances of the default fleet.
const INSTANCES: [&str; 3] = ["i1", "i2", "i3"];
/// Tokens of a stream that lasts longer than the test, at 5 ms per token.
const LONG_STREAM_TOKENS: u64 = 20_000;

/// What one instance is disconnected from while the key is withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Partition {
    None,
    Platform,
    Peers,
}

#[rstest]
#[case(Partition::None)]
#[case(Partition::Platform)]
#[case(Partition::Peers)]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_rejected_on_every_instance(#[case] partition: Partition) {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i1", "shobdo").await;
    let other = fleet.issue("i2", "shobdo").await;
    // The connections stay open across the withdrawal.
    let callers = INSTANCES.map(|at| fleet.caller(at, &key));
    let streams = join_all(callers.each_ref().map(async |caller| {
        let req = caller.chat_request(&chat_body(&user("long"), LONG_STREAM_TOKENS, true));
        req.send().await.expect("the stream request failed")
    }));
    let streams = streams.await;
    match partition {
        Partition::None => {}
        Partition::Platform => fleet.cut_from_platform("i3"),
        Partition::Peers => fleet.cut_from_peers("i3"),
    }

    fleet.instances["i1"].withdraw(&key.id).await;
    tokio::time::sleep(IN_FORCE_BOUND).await;
    let messages = user("after");
    let refused = join_all(callers.each_ref().map(|caller| caller.stream(&messages, 4))).await;
    let ended = tokio::time::timeout(STEP_BOUND, join_all(streams.into_iter().map(read_response)));
    let ended = ended.await.expect("a stream did not end after the withdrawal");

    for answer in refused {
        assert_eq!((answer.status, answer.ran()), (401, "not_run"), "{answer:?}");
    }
    for answer in ended {
        assert!(!answer.done, "a stream ended as complete");
        assert_eq!(answer.code(), "key_withdrawn", "{:?}", answer.error);
    }
    let unaffected = fleet.caller("i1", &other).stream(&messages, 4).await;
    unaffected.assert_whole(&messages, 4);
}

/// Builds requests that carry the key in every place where callers put keys.
fn requests_with_key_in_every_place(caller: &Caller, key: &str) -> Vec<RequestBuilder> {
    let chat = chat_body(&user("hello"), 4, true);
    let with = |change: &dyn Fn(&mut Value)| {
        let mut body = chat.clone();
        change(&mut body);
        caller.chat_request(&body)
    };
    let plain = |path: &str| caller.request(Method::POST, path).body("sofa");
    vec![
        caller.chat_request(&chat).header("X-API-KEY", key),
        caller.chat_request(&chat).header("x-api-key", key).header("Api-Key", key),
        caller.chat_request(&chat).header("Proxy-Authorization", format!("Bearer {key}")),
        caller.chat_request(&chat).header("Cookie", format!("session={key}")),
        caller.chat_request(&chat).header("X-Forwarded-Authorization", key),
        caller.chat_request(&chat).header("Referer", format!("http://a/?key={key}")),
        caller.chat_request(&chat).header("X-Request-Id", key),
        caller.chat_request(&chat).header("Idempotency-Key", key),
        caller.chat_request(&chat).query(&[("api_key", key)]),
        with(&|body| body["user"] = key.into()),
        with(&|body| body["api_key"] = key.into()),
        with(&|body| body["metadata"] = serde_json::json!({ "k": key })),
        with(&|body| body["messages"][0]["content"] = format!("my key is {key}").into()),
        with(&|body| body["stop"] = key.into()),
        with(&|body| body["model"] = key.into()),
        plain("/slots/free").header("X-API-KEY", key).header("cookie", key),
        plain("/slots/free").query(&[("api_key", key), ("day", "mon")]),
        plain(&format!("/slots/{key}")),
        plain("/slots/free").header("Idempotency-Key", key),
        plain("/slots/free").header("User-Agent", key).header("Accept", key),
        caller.request(Method::POST, "/slots/free").body(format!("the key is {key}")),
        caller.request(Method::POST, "/slots/free").json(&serde_json::json!({ "k": key })),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn client_keys_never_reach_backend_servers_or_logs() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i1", "shobdo").await;

    for at in INSTANCES {
        let caller = fleet.caller(at, &key);
        let answers =
            join_all(requests_with_key_in_every_place(&caller, &key.key).into_iter().map(read))
                .await;
        assert!(answers.iter().all(|answer| !answer.broken), "{answers:?}");
        assert!(answers.iter().any(|answer| answer.looks_whole()), "{answers:?}");
    }

    let bytes = fleet.bytes_at_backend_servers();
    assert!(contains(&bytes, "x-request-id"), "the backend servers received nothing");
    assert!(!contains(&bytes, &key.key), "a key reached a backend server");
    let logs: String = fleet.instances.values().map(|instance| instance.log()).collect();
    assert!(!logs.contains(&key.key), "a key is in a log");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_grants_only_the_routes_of_its_organisation() {
    let settings = FleetSettings::default();
    let sheet = settings.sheet.clone().organisation("outsider", "lookup");
    let fleet = Fleet::start(FleetSettings { sheet, ..settings }).await;
    let key = fleet.issue("i1", "outsider").await;
    let caller = fleet.caller("i3", &key);

    let chat = caller.stream(&user("hello"), 4).await;
    let booking = caller.post("/bookings/1", Some("b1"), "sofa").await;
    let traversed = caller.post("/slots/../bookings/1", Some("b2"), "sofa").await;
    let lookup = caller.post("/slots/free", None, "today").await;

    for refused in [chat, booking, traversed] {
        assert!([403, 404].contains(&refused.status), "{refused:?}");
        assert_eq!(refused.ran(), "not_run", "{refused:?}");
    }
    assert_eq!(lookup.status, 200, "{lookup:?}");
    let received = fleet.plains["p1"].received();
    assert!(received.iter().all(|req| req.target.starts_with("/slots")), "{received:?}");
    assert!(fleet.engines.values().all(|engine| engine.received().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_two_different_keys_is_refused() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let [one, two] = [fleet.issue("i1", "shobdo").await, fleet.issue("i1", "marrowgate").await];
    let caller = fleet.caller("i2", &one);

    let req = caller.chat_request(&chat_body(&user("whose"), 4, true));
    let answer = read(req.header("x-api-key", &two.key)).await;

    assert_eq!(answer.ran(), "not_run", "{answer:?}");
    assert!(fleet.engines.values().all(|engine| engine.received().is_empty()));
}
