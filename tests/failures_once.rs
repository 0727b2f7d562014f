//! Faults of services and of the object API: a non-idempotent request runs at most once, and
//! `not_run` is reported only for requests that reached no service.

mod common;

use std::time::Duration;

use common::caller::Answer;
use common::fleet::IssuedKey;
use common::{Caller, Fleet, FleetSettings};
use rstest::rstest;
use standins::platform::{LostAnswer, Outage};
use standins::{PlainFaults, PlatformFaults};

/// Path of the non-idempotent route.
const BOOKING_PATH: &str = "/bookings/north";

async fn fleet() -> (Fleet, IssuedKey) {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i1", "marrowgate").await;
    (fleet, key)
}

async fn book(caller: &Caller, idempotency_key: &str) -> Answer {
    caller.post(BOOKING_PATH, Some(idempotency_key), "sofa").await
}

fn runs(fleet: &Fleet, idempotency_key: &str) -> usize {
    fleet.runs_by_idempotency_key().get(idempotency_key).copied().unwrap_or(0)
}

fn lost_responses(matching: &str, count: u32, hang: bool) -> PlatformFaults {
    let lost = LostAnswer { matching: matching.to_owned(), count, hang };
    PlatformFaults { lost_answers: vec![lost], ..Default::default() }
}

/// Checks that a response does not report `not_run` for a request that reached a service.
fn assert_not_run_is_truthful(fleet: &Fleet, answer: &Answer) {
    let received = fleet.plains.values().flat_map(|plain| plain.received());
    let id = answer.request_id.as_str();
    let reached = received.filter(|req| req.header("x-request-id") == Some(id)).count();
    assert!(
        answer.ran() != "not_run" || reached == 0,
        "reported as not_run but received: {answer:?}"
    );
}

#[rstest]
#[case::ran(PlainFaults { reset_after: true, ..Default::default() }, 1)]
#[case::not_run(PlainFaults { reset_before: true, ..Default::default() }, 0)]
#[case::silent(PlainFaults { silent_after: true, ..Default::default() }, 1)]
#[case::redirected(PlainFaults { redirect: Some(307), ..Default::default() }, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn request_with_lost_response_is_never_run_twice(
    #[case] faults: PlainFaults,
    #[case] expected_runs: usize,
) {
    let flags = vec![("progress-ms", "1500")];
    let fleet = Fleet::start(FleetSettings { flags, ..Default::default() }).await;
    let key = fleet.issue("i1", "marrowgate").await;
    fleet.plains["p1"].set_faults(PlainFaults { for_next: Some(1), ..faults });

    let lost = book(&fleet.caller("i1", &key), "b1").await;
    let again = book(&fleet.caller("i3", &key), "b1").await;

    assert_not_run_is_truthful(&fleet, &lost);
    assert_not_run_is_truthful(&fleet, &again);
    assert_ne!(lost.status, 200, "{lost:?}");
    assert_ne!(lost.ran(), "not_run", "{lost:?}");
    assert_eq!(runs(&fleet, "b1"), expected_runs, "{lost:?}, then {again:?}");
    assert_eq!(fleet.plains["p1"].received().len(), 1, "the request was sent more than once");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_an_idempotency_key_is_not_retried() {
    let (fleet, key) = fleet().await;
    let faults = PlainFaults { reset_after: true, for_next: Some(1), ..Default::default() };
    fleet.plains["p1"].set_faults(faults);

    let lost = fleet.caller("i2", &key).post(BOOKING_PATH, None, "sofa").await;

    assert_eq!(fleet.plains["p1"].received().len(), 1, "{lost:?}");
    assert_eq!(lost.ran(), "unknown", "{lost:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_with_one_idempotency_key_run_once() {
    let (fleet, key) = fleet().await;
    fleet.plains["p1"].set_faults(PlainFaults { slow_ms: 300, ..Default::default() });
    let callers = ["i1", "i2", "i3", "i1"].map(|at| fleet.caller(at, &key));

    for round in 0..5 {
        let id = format!("round-{round}");
        let [a, b, c, d] = callers.each_ref().map(|caller| book(caller, &id));
        let answers: [Answer; 4] = tokio::join!(a, b, c, d).into();

        assert_eq!(runs(&fleet, &id), 1, "{answers:?}");
        assert!(answers.iter().any(|answer| answer.status == 200), "{answers:?}");
        answers.iter().for_each(|answer| assert_not_run_is_truthful(&fleet, answer));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_stays_claimed_after_all_instances_restart() {
    let (mut fleet, key) = fleet().await;
    let first = book(&fleet.caller("i1", &key), "b1").await;

    for instance in fleet.instances.values_mut() {
        instance.kill().await;
        instance.restart();
    }
    for instance in fleet.instances.values() {
        instance.wait_ready().await;
    }
    let again = book(&fleet.caller("i2", &key), "b1").await;

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(runs(&fleet, "b1"), 1, "{again:?}");
    assert_not_run_is_truthful(&fleet, &again);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotency_key_stays_claimed_when_the_serving_instance_is_killed() {
    let (mut fleet, key) = fleet().await;
    fleet.plains["p1"].set_faults(PlainFaults { slow_ms: 1_000, ..Default::default() });
    let caller = fleet.caller("i1", &key);
    let first = tokio::spawn(async move { book(&caller, "b1").await });
    common::eventually("the service runs the request", || async { runs(&fleet, "b1") == 1 }).await;

    fleet.instances.get_mut("i1").unwrap().kill().await;
    let lost = first.await.unwrap();
    let again = book(&fleet.caller("i2", &key), "b1").await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let later = book(&fleet.caller("i3", &key), "b1").await;

    assert!(lost.broken, "{lost:?}");
    assert_eq!(runs(&fleet, "b1"), 1, "{again:?}, {later:?}");
    assert_not_run_is_truthful(&fleet, &again);
    assert_not_run_is_truthful(&fleet, &later);
}

#[rstest]
#[case(Outage::Unavailable)]
#[case(Outage::Hang)]
#[case(Outage::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn object_api_outage_is_reported_as_not_run(#[case] outage: Outage) {
    let (fleet, key) = fleet().await;
    fleet.platform.set_faults(PlatformFaults { outage: Some(outage), ..Default::default() });

    let refused = book(&fleet.caller("i1", &key), "b1").await;
    let messages = common::caller::user("meanwhile");
    let meanwhile = fleet.caller("i1", &key).stream(&messages, 4).await;
    fleet.platform.set_faults(PlatformFaults::default());
    let after = book(&fleet.caller("i1", &key), "b2").await;

    assert_eq!((refused.code(), refused.ran()), ("claim_unavailable", "not_run"), "{refused:?}");
    assert_not_run_is_truthful(&fleet, &refused);
    assert!(refused.retry_after.is_some(), "{refused:?}");
    meanwhile.assert_whole(&messages, 4);
    assert_eq!(after.status, 200, "{after:?}");
    assert_eq!((runs(&fleet, "b1"), runs(&fleet, "b2")), (0, 1));
}

#[rstest]
#[case::create(lost_responses("create claims", 1, false))]
#[case::update(lost_responses("update claims", 1, false))]
#[case::every_write(lost_responses("claims", 3, false))]
#[case::silent_create(lost_responses("create claims", 1, true))]
#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_write_response_causes_no_second_run_and_no_false_not_run(
    #[case] faults: PlatformFaults,
) {
    let (fleet, key) = fleet().await;
    fleet.platform.set_faults(faults);

    let first = book(&fleet.caller("i1", &key), "b1").await;
    let runs_after_first = runs(&fleet, "b1");
    fleet.platform.set_faults(PlatformFaults::default());
    let again = book(&fleet.caller("i2", &key), "b1").await;

    assert_not_run_is_truthful(&fleet, &first);
    assert_not_run_is_truthful(&fleet, &again);
    assert_eq!(first.status == 200, runs_after_first == 1, "{first:?}");
    assert!(runs(&fleet, "b1") <= 1, "{first:?}, then {again:?}");
}
