//! Limits of an organisation across processes: running requests above the limit are refused.

mod common;

use std::time::Duration;

use common::{Fleet, FleetSettings};
use futures::future::join_all;
use serde_json::json;

/// Maximum number of running requests of the organisation.
const MAX_RUNNING: usize = 6;
/// Tokens of each response, enough for it to run until all requests have arrived.
const TOKENS: u64 = 200;
/// Number of concurrent requests.
const REQUESTS: usize = 60;

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_over_its_limit_is_refused_and_others_are_served() {
    let settings = FleetSettings::default();
    let sheet = settings.sheet.clone().limited_organisation("skiffs", "timing", MAX_RUNNING);
    let fleet = Fleet::start(FleetSettings { sheet, ..settings }).await;
    let limited = fleet.issue("i1", "skiffs").await;
    let other = fleet.issue("i1", "shobdo").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (limited, other) = (fleet.caller("i1", &limited), fleet.caller("i1", &other));

    let messages = json!([{ "role": "user", "content": "align the cues" }]);

    let calls = (0..REQUESTS).map(|_| limited.stream(&messages, TOKENS));
    let (limited, other) = tokio::join!(join_all(calls), other.stream(&messages, TOKENS));

    let refused: Vec<_> =
        limited.iter().filter(|response| response.code() == "organisation_limit").collect();
    // An allowance may be stale by one report, so up to twice the limit may run for a moment.
    assert!(
        refused.len() >= REQUESTS - 2 * MAX_RUNNING,
        "only {} requests were refused",
        refused.len()
    );
    assert!(refused.len() < REQUESTS, "no request was served");
    assert!(refused.iter().all(|response| response.ran() == "not_run"));
    assert!(refused.iter().all(|response| response.retry_after.is_some()));
    other.assert_whole(&messages, TOKENS);
}
