//! Faults of engines: a caller gets the complete response to its own request or an explicit error.

mod common;

use common::caller::{Answer, user};
use common::{Fleet, FleetSettings};
use rstest::rstest;
use standins::EngineFaults;

/// Number of tokens per response.
const RESPONSE_TOKENS: u64 = 12;
/// Number of requests sent concurrently.
const CONCURRENT_REQUESTS: usize = 12;

fn settings() -> FleetSettings {
    FleetSettings { flags: vec![("progress-ms", "1500")], ..Default::default() }
}

/// Sends streamed and non-streamed requests to all instances; checks and returns the responses.
async fn send_all(fleet: &Fleet) -> Vec<Answer> {
    let key = fleet.issue("i1", "shobdo").await;
    let requests = (0..CONCURRENT_REQUESTS).map(|number| {
        let caller = fleet.caller(["i1", "i2", "i3"][number % 3], &key);
        async move {
            let messages = user(&format!("question {number}"));
            let answer = match number % 2 {
                0 => caller.stream(&messages, RESPONSE_TOKENS).await,
                _ => caller.whole(&messages, RESPONSE_TOKENS).await,
            };
            answer.assert_whole_or_error(&messages, RESPONSE_TOKENS);
            answer
        }
    });
    futures::future::join_all(requests).await
}

/// Checks that no request refused as `not_run` reached a backend server.
fn assert_not_run_is_truthful(fleet: &Fleet, answers: &[Answer]) {
    let runs = fleet.runs_by_request();
    for answer in answers.iter().filter(|answer| answer.ran() == "not_run") {
        assert!(
            !runs.contains_key(&answer.request_id),
            "refused as not_run but executed: {answer:?}"
        );
    }
}

#[rstest]
#[case::connection_cut(EngineFaults { cut_after: Some(3), ..Default::default() })]
#[case::missing_end_marker(EngineFaults { stop_after: Some(3), ..Default::default() })]
#[case::wrong_request(EngineFaults { crossed: true, ..Default::default() })]
#[case::malformed(EngineFaults { nonsense: true, ..Default::default() })]
#[case::stalled(EngineFaults { silent_after: Some(3), ..Default::default() })]
#[case::stalled_before_first_token(EngineFaults { silent_after: Some(0), ..Default::default() })]
#[case::reset(EngineFaults { reset_before: true, ..Default::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn fault_of_all_engines_is_never_reported_as_a_complete_response(
    #[case] faults: EngineFaults,
) {
    let fleet = Fleet::start(settings()).await;
    fleet.engines.values().for_each(|engine| engine.set_faults(faults.clone()));

    let answers = send_all(&fleet).await;

    assert_not_run_is_truthful(&fleet, &answers);
    let complete = answers.iter().filter(|answer| answer.looks_whole()).count();
    assert_eq!(complete, 0, "{answers:?}");
}

#[rstest]
#[case::connection_cut(EngineFaults { cut_after: Some(3), ..Default::default() })]
#[case::missing_end_marker(EngineFaults { stop_after: Some(3), ..Default::default() })]
#[case::wrong_request(EngineFaults { crossed: true, ..Default::default() })]
#[case::stalled(EngineFaults { silent_after: Some(3), ..Default::default() })]
#[case::reset(EngineFaults { reset_before: true, ..Default::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn fault_of_one_engine_is_masked_by_retries(#[case] faults: EngineFaults) {
    let fleet = Fleet::start(settings()).await;
    fleet.engines["e2"].set_faults(EngineFaults { for_next: Some(2), ..faults });

    let answers = send_all(&fleet).await;

    assert_not_run_is_truthful(&fleet, &answers);
    let complete = answers.iter().filter(|answer| answer.looks_whole()).count();
    assert_eq!(complete, CONCURRENT_REQUESTS, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_never_delivered_to_another_request() {
    let fleet = Fleet::start(settings()).await;
    let late = EngineFaults { late_ms: 2_500, for_next: Some(2), ..Default::default() };
    fleet.engines.values().for_each(|engine| engine.set_faults(late.clone()));

    let first = send_all(&fleet).await;
    let second = send_all(&fleet).await;

    assert_not_run_is_truthful(&fleet, &first);
    assert!(second.iter().any(Answer::looks_whole), "{second:?}");
}
