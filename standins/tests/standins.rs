//! The stand-ins behave as docs/INTERFACES.md says, so that tests against them mean something.

use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::{Value, json};
use standins::engine::RunEnd;
use standins::platform::{LostAnswer, Outage};
use standins::{
    Direction, Engine, EngineFaults, EngineSettings, Plain, PlainFaults, PlainSettings, Platform,
    PlatformFaults, PlatformSettings, tokens,
};

/// Path of the leases.
const LEASES: &str = "apis/laburnumvalve.dev/v1/namespaces/default/leases";
/// Longest time that a step of a test may take.
const BOUND: Duration = Duration::from_secs(10);

fn messages() -> Value {
    json!([{ "role": "user", "content": "align the first cue" }])
}

fn chat(tokens: u64) -> Value {
    json!({
        "model": "m", "messages": messages(), "max_tokens": tokens, "stream": true,
        "stream_options": { "include_usage": true },
    })
}

async fn ask(engine: &Engine, id: &str, body: &Value) -> reqwest::Result<Response> {
    let url = format!("{}/v1/chat/completions", engine.url());
    Client::new().post(url).header("x-request-id", id).json(body).send().await
}

/// Joins the text of a stream; fails if the stream was cut.
async fn stream_text(answer: Response) -> Option<String> {
    let body = answer.text().await.ok()?;
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let text = |chunk: Value| {
        chunk.pointer("/choices/0/delta/content").and_then(Value::as_str).map(str::to_owned)
    };
    Some(chunks.filter_map(text).collect())
}

async fn eventually(holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, wait).await.expect("the expected state was not reached");
}

#[tokio::test]
async fn engine_streams_its_tokens_and_resumes_after_them() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();

    let whole = stream_text(ask(&engine, "a", &chat(6)).await.unwrap()).await.unwrap();
    let mut resumed = chat(2);
    resumed["continue_final_message"] = true.into();
    let said = json!({ "role": "assistant", "content": tokens::answer(&messages(), 4) });
    resumed["messages"].as_array_mut().unwrap().push(said);
    let rest = stream_text(ask(&engine, "b", &resumed).await.unwrap()).await.unwrap();

    assert_eq!(whole, tokens::answer(&messages(), 6));
    assert!(whole.ends_with(&rest));
    assert_eq!(rest.split_whitespace().count(), 2);
}

#[tokio::test]
async fn engine_stops_a_run_whose_connection_closes() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();

    let mut answer = ask(&engine, "a", &chat(100_000)).await.unwrap();
    answer.chunk().await.unwrap();
    drop(answer);

    eventually(|| engine.runs()[0].end == RunEnd::Cancelled).await;
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn engine_over_its_cold_limit_drops_all_connections() {
    let settings = EngineSettings { cold_start: BOUND, cold_limit: 1, ..Default::default() };
    let engine = Engine::start(settings).await.unwrap();

    let first = ask(&engine, "a", &chat(100_000)).await.unwrap();
    let second = ask(&engine, "b", &chat(1)).await;

    assert!(second.is_err());
    assert!(stream_text(first).await.is_none());
    assert_eq!(engine.load().generation, 2);
    assert_eq!(engine.peaks(), (2, 2));
}

#[tokio::test]
async fn engine_gives_free_slots_by_priority() {
    let engine = Engine::start(EngineSettings { slots: 1, ..Default::default() }).await.unwrap();
    let with_priority = |priority: i64| {
        let mut body = chat(3);
        body["priority"] = priority.into();
        body
    };

    let busy = ask(&engine, "busy", &chat(30)).await.unwrap();
    let low = ask(&engine, "low", &with_priority(5)).await.unwrap();
    let high = ask(&engine, "high", &with_priority(0)).await.unwrap();
    for answer in [busy, low, high] {
        stream_text(answer).await.unwrap();
    }

    let order: Vec<u64> = engine.runs().iter().map(|run| run.started).collect();
    assert_eq!(order, [1, 3, 2]);
}

#[tokio::test]
async fn engine_cuts_and_crosses_answers_on_demand() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();

    engine.set_faults(EngineFaults { cut_after: Some(2), ..Default::default() });
    let cut = ask(&engine, "cut", &chat(6)).await.unwrap();
    let cut = stream_text(cut).await;
    engine.set_faults(EngineFaults { crossed: true, ..Default::default() });
    let crossed = ask(&engine, "mine", &chat(6)).await.unwrap().text().await.unwrap();

    assert_eq!(cut, None);
    assert!(crossed.contains("chatcmpl-cut"));
    assert!(!crossed.contains("chatcmpl-mine"));
}

#[tokio::test]
async fn platform_updates_only_the_named_version_and_wakes_watches() {
    let platform = Platform::start(PlatformSettings::default()).await.unwrap();
    let (http, url) = (Client::new(), format!("{}/{LEASES}", platform.url()));
    let named = |version: &str, holder: &str| json!({ "metadata": { "name": "a", "resourceVersion": version }, "spec": holder });

    let created: Value =
        http.post(&url).json(&named("", "x")).send().await.unwrap().json().await.unwrap();
    let again = http.post(&url).json(&named("", "y")).send().await.unwrap();
    let version = created["metadata"]["resourceVersion"].as_str().unwrap();
    let watch = format!(
        "{url}?watch=1&fieldSelector=metadata.name%3Da&resourceVersion={version}&maxEvents=1"
    );
    let watching = tokio::spawn(http.get(watch).send());
    let put = |holder: &str| http.put(format!("{url}/a")).json(&named(version, holder)).send();
    let won = put("y").await.unwrap();
    let lost = put("z").await.unwrap();
    let seen = watching.await.unwrap().unwrap().text().await.unwrap();

    assert_eq!([again.status(), won.status(), lost.status()].map(|s| s.as_u16()), [409, 200, 409]);
    assert_eq!(seen.lines().count(), 1);
    assert!(seen.contains("MODIFIED") && seen.contains("\"y\""));
    assert_eq!(platform.calls_matching("update leases"), 2);
}

#[tokio::test]
async fn platform_loses_answers_after_the_write_and_fails_in_an_outage() {
    let platform = Platform::start(PlatformSettings::default()).await.unwrap();
    let lost = LostAnswer { matching: "create leases".to_owned(), count: 1, hang: false };
    platform.set_faults(PlatformFaults { lost_answers: vec![lost], ..Default::default() });
    let (http, url) = (Client::new(), format!("{}/{LEASES}", platform.url()));
    let body = json!({ "metadata": { "name": "a" }, "spec": 1 });

    let unknown = http.post(&url).json(&body).send().await;
    platform.change_faults(|faults| faults.outage = Some(Outage::Unavailable));
    let away = http.get(format!("{url}/a")).send().await.unwrap();
    platform.set_faults(PlatformFaults::default());
    let kept = http.get(format!("{url}/a")).send().await.unwrap();

    assert!(unknown.is_err());
    assert_eq!(away.status(), 503);
    assert_eq!(kept.status(), 200);
}

#[tokio::test]
async fn plain_service_counts_a_run_whose_answer_was_lost() {
    let plain = Plain::start(PlainSettings::default()).await.unwrap();
    let post = || {
        Client::new().post(format!("{}/book", plain.url())).header("idempotency-key", "k").send()
    };

    plain.set_faults(PlainFaults { reset_before: true, ..Default::default() });
    let before = post().await;
    let runs_before = plain.runs().len();
    plain.set_faults(PlainFaults { reset_after: true, ..Default::default() });
    let after = post().await;

    assert!(before.is_err() && after.is_err());
    assert_eq!(runs_before, 0);
    assert_eq!(plain.runs_by_idempotency_key(), [("k".to_owned(), 1)].into());
    assert_eq!(plain.received().len(), 2);
}

#[tokio::test]
async fn relay_freezes_one_direction_without_closing() {
    let engine = Engine::start(EngineSettings::default()).await.unwrap();

    let mut answer = ask(&engine, "a", &chat(50)).await.unwrap();
    answer.chunk().await.unwrap();
    engine.relay().freeze(Direction::ToCaller);
    eventually(|| engine.runs()[0].end == RunEnd::Complete).await;
    engine.relay().thaw(Direction::ToCaller);
    let rest = tokio::time::timeout(BOUND, answer.text()).await.unwrap().unwrap();

    assert!(rest.trim_end().ends_with("data: [DONE]"));
}
