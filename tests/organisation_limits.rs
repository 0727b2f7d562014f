//! Limits of an organisation, between processes: more running requests than allowed are refused.

mod common;

use std::time::Duration;

use common::{Fleet, FleetSettings};
use futures::future::join_all;
use serde_json::json;

/// Requests that the organisation may have running.
const MAX_RUNNING: usize = 6;
/// Tokens of each answer, which takes longer than all requests need to arrive.
const TOKENS: u64 = 200;
/// Requests sent at once.
const SENT: usize = 60;

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

    let sent = (0..SENT).map(|_| limited.stream(&messages, TOKENS));
    let (limited, other) = tokio::join!(join_all(sent), other.stream(&messages, TOKENS));

    let refused: Vec<_> =
        limited.iter().filter(|answer| answer.code() == "organisation_limit").collect();
    // An allowance is out of date by at most one report, so twice the limit may run for a moment.
    assert!(refused.len() >= SENT - 2 * MAX_RUNNING, "only {} refused", refused.len());
    assert!(refused.len() < SENT, "nothing was served");
    assert!(refused.iter().all(|answer| answer.ran() == "not_run"));
    assert!(refused.iter().all(|answer| answer.retry_after.is_some()));
    other.assert_whole(&messages, TOKENS);
}
