//! End-to-end requests: from the caller through an instance and the queue to the backend server.

mod common;

use common::caller::{chat_body, read, user};
use common::{Caller, Fleet, FleetSettings};

#[tokio::test(flavor = "multi_thread")]
async fn every_instance_returns_complete_chat_responses() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i1", "shobdo").await;

    for at in ["i1", "i2", "i3"] {
        let caller = fleet.caller(at, &key);
        let messages = user(&format!("align the cues of {at}"));
        let streamed = caller.stream(&messages, 12).await;
        let whole = caller.whole(&messages, 12).await;

        streamed.assert_whole(&messages, 12);
        whole.assert_whole(&messages, 12);
        assert_eq!(fleet.engine_runs(&streamed.request_id), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_service_requests_are_proxied_end_to_end() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i2", "marrowgate").await;

    let booked = fleet.caller("i3", &key).post("/bookings/7?day=mon", Some("b7"), "sofa").await;

    assert_eq!(booked.status, 200, "{booked:?}");
    assert!(booked.body.contains("sofa") && booked.body.contains("day=mon"));
    assert_eq!(fleet.plains["p1"].runs_by_idempotency_key().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_an_invalid_key_are_refused_before_execution() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let caller = Caller::new(fleet.instances["i1"].caller, "not-a-key");

    let answer = read(caller.chat_request(&chat_body(&user("hello"), 4, true))).await;

    assert_eq!((answer.status, answer.code(), answer.ran()), (401, "invalid_key", "not_run"));
    assert!(fleet.engines.values().all(|engine| engine.received().is_empty()));
}
