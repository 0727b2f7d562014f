//! Chat requests through one instance, in front of engines with injected faults.

mod entry_support;

use std::time::Duration;

use entry_support::{
    Instance, KEY, OTHER_KEY, chat_body, expected_text, read_stream, send_refused, start_backends,
    wait_until, within_timeout,
};
use rstest::rstest;
use serde_json::{Value, json};
use standins::EngineFaults;

fn connection_cut() -> EngineFaults {
    EngineFaults { cut_after: Some(4), ..EngineFaults::default() }
}

fn missing_end_marker() -> EngineFaults {
    EngineFaults { stop_after: Some(4), ..EngineFaults::default() }
}

fn stalled() -> EngineFaults {
    EngineFaults { silent_after: Some(4), ..EngineFaults::default() }
}

fn wrong_request() -> EngineFaults {
    EngineFaults { crossed: true, ..EngineFaults::default() }
}

fn malformed() -> EngineFaults {
    EngineFaults { nonsense: true, ..EngineFaults::default() }
}

#[tokio::test]
async fn streamed_and_json_responses_are_complete() {
    let backends = start_backends(2).await;
    let instance = Instance::start("one", &backends).await;

    let streamed = instance.chat(&chat_body("model", true)).send().await.unwrap();
    let streamed = read_stream(streamed).await;
    let non_streamed = instance.chat(&chat_body("model", false)).send().await.unwrap();
    let non_streamed: Value = within_timeout(non_streamed.json()).await.unwrap();

    assert!(streamed.done && streamed.error.is_none());
    assert_eq!(expected_text(), streamed.text);
    assert_eq!(["length"], *streamed.finish_reasons);
    assert_eq!(expected_text(), non_streamed["choices"][0]["message"]["content"].as_str().unwrap());
    assert_eq!(12, non_streamed["usage"]["completion_tokens"]);
}

#[tokio::test]
async fn invalid_requests_are_refused_without_contacting_a_backend_server() {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    let body = chat_body("model", false);
    let path = "/v1/chat/completions";
    let post = || instance.post(path);
    let cases = [
        (post().json(&body), 401, "invalid_key"),
        (post().bearer_auth("no-such-key").json(&body), 401, "invalid_key"),
        (post().basic_auth(KEY, Some("")).json(&body), 401, "invalid_key"),
        (post().bearer_auth(OTHER_KEY).json(&body), 403, "not_allowed"),
        (post().bearer_auth(KEY).header("x-api-key", OTHER_KEY).json(&body), 400, "bad_request"),
        (instance.chat(&body).header("x-request-class", "booking"), 403, "not_allowed"),
        (instance.chat(&chat_body("no-such-model", false)), 404, "not_found"),
        (instance.chat(&json!({ "messages": [] })), 400, "bad_request"),
        (post().bearer_auth(KEY).body("{\"model\": "), 400, "bad_request"),
        (instance.post("/slots/1").bearer_auth(OTHER_KEY), 403, "not_allowed"),
        (instance.post("/slots/..%2Fbookings").bearer_auth(KEY), 400, "bad_request"),
        (instance.post("/no-such-path").bearer_auth(KEY), 404, "not_found"),
    ];

    for (req, status, code) in cases {
        let expected = (status, code.to_owned(), "not_run".to_owned());
        assert_eq!(expected, send_refused(req).await);
    }

    assert!(backends.engines[0].runs().is_empty());
    assert!(backends.plain_requests().is_empty());
}

#[tokio::test]
async fn client_key_is_never_forwarded_to_a_backend_server() {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    let with_key = |body: Value| {
        instance
            .post(&format!("/v1/chat/completions?api_key={KEY}"))
            .bearer_auth(KEY)
            .header("X-Api-Key", KEY)
            .header("Cookie", format!("session={KEY}"))
            .header("X-Anything", KEY)
            .json(&body)
    };
    let mut body = chat_body("model", false);
    body["user"] = KEY.into();
    body["metadata"] = json!({ KEY: KEY });
    let mut hidden = chat_body("model", false);
    hidden["messages"][0]["content"] = format!("my key is {KEY}").into();
    let slots = |query: &str| {
        let req = instance.http.get(format!("{}/slots/1?day=2&{query}", instance.url));
        req.bearer_auth(KEY).header("Cookie", KEY).header("X-Anything", KEY)
    };

    let dropped = within_timeout(with_key(body).send()).await.unwrap();
    let refused = send_refused(with_key(hidden)).await;
    let filtered = within_timeout(slots(&format!("API%5Fkey={KEY}")).send()).await.unwrap();
    let in_query = send_refused(slots(&format!("q={}", KEY.replace('-', "%2D")))).await;
    let in_body =
        send_refused(instance.booking("k").body(format!("{{\"a\":\"\\u006b{}\"}}", &KEY[1..])))
            .await;

    assert_eq!((200, 200), (dropped.status().as_u16(), filtered.status().as_u16()));
    for refused in [refused, in_query, in_body] {
        assert_eq!((400, "bad_request".to_owned(), "not_run".to_owned()), refused);
    }
    let received = [backends.engines[0].received(), backends.plain_requests()].concat();
    assert_eq!(2, received.len());
    assert!(!format!("{received:?}").contains(KEY));
}

/// Guards against invalid streams that end as complete responses, and against retries of
/// non-idempotent requests.
#[rstest]
#[case::connection_cut(connection_cut(), "backend_failed")]
#[case::missing_end_marker(missing_end_marker(), "backend_failed")]
#[case::stalled(stalled(), "backend_timeout")]
#[case::wrong_request(wrong_request(), "backend_failed")]
#[case::malformed(malformed(), "backend_failed")]
#[tokio::test]
async fn invalid_response_is_never_reported_as_complete(
    #[case] faults: EngineFaults,
    #[case] code: &str,
) {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    backends.engines[0].set_faults(faults);

    let streamed =
        within_timeout(instance.chat(&chat_body("once-model", true)).send()).await.unwrap();
    let refused_at_once = streamed.status() != 200;
    let error = if refused_at_once {
        within_timeout(streamed.json::<Value>()).await.unwrap()["error"].clone()
    } else {
        let streamed = read_stream(streamed).await;
        assert!(!streamed.done);
        streamed.error.expect("the stream ends with an error event")
    };
    let (_, non_streamed_code, non_streamed_ran) =
        send_refused(instance.chat(&chat_body("once-model", false))).await;

    assert_eq!(code, error["code"]);
    assert_eq!(code, non_streamed_code);
    assert!(error["ran"] != "not_run" && non_streamed_ran != "not_run");
    assert_eq!(2, backends.engines[0].received().len());
}

/// Guards against lost or duplicated text when another engine resumes an interrupted response.
#[rstest]
#[case::connection_cut(connection_cut())]
#[case::missing_end_marker(missing_end_marker())]
#[case::stalled(stalled())]
#[case::wrong_request(wrong_request())]
#[case::malformed(malformed())]
#[case::overloaded(EngineFaults { unavailable: true, ..EngineFaults::default() })]
#[case::reset(EngineFaults { reset_before: true, ..EngineFaults::default() })]
#[tokio::test]
async fn interrupted_repeatable_request_completes_on_another_backend_server(
    #[case] faults: EngineFaults,
    #[values(true, false)] streamed: bool,
) {
    let backends = start_backends(2).await;
    let instance = Instance::start("one", &backends).await;
    // The engine that serves the first request fails all later ones.
    let first = instance.chat(&chat_body("model", false)).send().await.unwrap();
    assert_eq!(200, first.status());
    let picked = backends.engines.iter().position(|engine| !engine.runs().is_empty()).unwrap();
    backends.engines[picked].set_faults(faults);

    let rsp = within_timeout(instance.chat(&chat_body("model", streamed)).send()).await.unwrap();

    assert_eq!(200, rsp.status());
    if streamed {
        let streamed = read_stream(rsp).await;
        assert!(streamed.done, "{:?}", streamed.error);
        assert_eq!(expected_text(), streamed.text);
        assert_eq!(1, streamed.ids.len());
    } else {
        let non_streamed: Value = within_timeout(rsp.json()).await.unwrap();
        assert_eq!(
            expected_text(),
            non_streamed["choices"][0]["message"]["content"].as_str().unwrap()
        );
        assert_eq!(12, non_streamed["usage"]["completion_tokens"]);
    }
}

#[tokio::test]
async fn withdrawing_a_key_ends_open_streams_and_refuses_new_requests() {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    let slow = EngineFaults { slow: 100, ..EngineFaults::default() };
    backends.engines[0].set_faults(slow);
    let stream = within_timeout(instance.chat(&chat_body("model", true)).send()).await.unwrap();

    instance.withdraw(KEY);
    let streamed = read_stream(stream).await;
    let later = send_refused(instance.chat(&chat_body("model", false))).await;
    let plain = send_refused(instance.booking("k")).await;

    assert!(!streamed.done);
    assert_eq!("key_withdrawn", streamed.error.unwrap()["code"]);
    for refused in [later, plain] {
        assert_eq!((401, "invalid_key".to_owned(), "not_run".to_owned()), refused);
    }
    wait_until(|| backends.engines[0].load().running == 0).await;
    assert_eq!(1, backends.engines[0].received().len());
}

/// Requests the list of models while the instance drains: it is the home of its own engine, so its
/// queue accepts no new chat requests by then.
#[tokio::test]
async fn draining_completes_requests_in_flight() {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    backends.engines[0].set_faults(EngineFaults { slow: 100, ..EngineFaults::default() });
    let stream = within_timeout(instance.chat(&chat_body("model", true)).send()).await.unwrap();

    instance.views.draining.send_replace(true);
    let models = instance.http.get(format!("{}/v1/models", instance.url)).bearer_auth(KEY);
    let during = within_timeout(models.send()).await.unwrap();
    let streamed = read_stream(stream).await;
    let ended = within_timeout(instance.serving).await.unwrap();

    assert!(ended.is_ok());
    assert_eq!(
        (200, "close"),
        (during.status().as_u16(), during.headers()["connection"].to_str().unwrap())
    );
    assert!(streamed.done, "{:?}", streamed.error);
    assert_eq!(expected_text(), streamed.text);
}

#[tokio::test]
async fn caller_disconnect_releases_the_slot() {
    let backends = start_backends(1).await;
    let instance = Instance::start("one", &backends).await;
    backends.engines[0].set_faults(EngineFaults { slow: 1_000, ..EngineFaults::default() });
    let req = instance.chat(&chat_body("model", false)).timeout(Duration::from_millis(300));

    let left = req.send().await;

    assert!(left.is_err());
    wait_until(|| backends.engines[0].runs().len() == 1 && backends.engines[0].load().running == 0)
        .await;
}
