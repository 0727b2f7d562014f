//! Non-idempotent requests with idempotency keys, through instances that share the object API.

mod entry_support;

use entry_support::{
    Backends, Instance, chat_body, read_stream, send_refused, start_backends, within_timeout,
};
use rstest::rstest;
use serde_json::Value;
use standins::platform::{LostAnswer, Outage};
use standins::{PlainFaults, PlatformFaults};

/// Address without a listener.
const UNREACHABLE_ADDRESS: &str = "http://127.0.0.1:9";

fn runs(backends: &Backends, key: &str) -> usize {
    backends.plain.runs_by_idempotency_key().get(key).copied().unwrap_or_default()
}

fn outcome(status: u16, code: &str, ran: &str) -> (u16, String, String) {
    (status, code.to_owned(), ran.to_owned())
}

#[tokio::test]
async fn repeated_request_replays_the_stored_response_on_any_instance() {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let two = Instance::start("two", &backends).await;

    let first = within_timeout(one.booking("sofa").send()).await.unwrap();
    let first: Value = within_timeout(first.json()).await.unwrap();
    let again = within_timeout(two.booking("sofa").send()).await.unwrap();
    let replayed = again.headers().get("idempotent-replayed").cloned();
    let again: Value = within_timeout(again.json()).await.unwrap();
    let other = send_refused(two.booking("sofa").body("two sofas")).await;

    assert_eq!(first, again);
    assert_eq!("true", replayed.unwrap());
    assert_eq!(outcome(422, "claim_mismatch", "not_run"), other);
    assert_eq!(1, runs(&backends, "sofa"));
}

#[tokio::test]
async fn concurrent_requests_with_one_idempotency_key_run_once() {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let two = Instance::start("two", &backends).await;
    backends.plain.set_faults(PlainFaults { slow_ms: 200, ..PlainFaults::default() });

    for round in 0..5 {
        let key = format!("sofa-{round}");
        let (left, right) = within_timeout(async {
            tokio::join!(one.booking(&key).send(), two.booking(&key).send())
        })
        .await;

        let mut statuses = [left.unwrap().status().as_u16(), right.unwrap().status().as_u16()];
        statuses.sort_unstable();
        assert!([[200, 200], [200, 409]].contains(&statuses), "{statuses:?}");
        assert_eq!(1, runs(&backends, &key));
    }
}

/// Guards against a second run after a lost response, when it is unknown whether the request ran.
#[rstest]
#[case::reset_after(PlainFaults { reset_after: true, ..PlainFaults::default() }, 502, "backend_failed")]
#[case::reset_before(PlainFaults { reset_before: true, ..PlainFaults::default() }, 502, "backend_failed")]
#[case::silent_after(PlainFaults { silent_after: true, ..PlainFaults::default() }, 504, "backend_timeout")]
#[tokio::test]
async fn request_with_lost_response_is_never_run_again(
    #[case] faults: PlainFaults,
    #[case] status: u16,
    #[case] code: &str,
) {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let two = Instance::start("two", &backends).await;
    backends.plain.set_faults(faults);

    let first = send_refused(one.booking("sofa")).await;
    let without_key =
        send_refused(one.post("/bookings/today").bearer_auth(entry_support::KEY)).await;
    backends.plain.set_faults(PlainFaults::default());
    let again = send_refused(one.booking("sofa")).await;
    let elsewhere = send_refused(two.booking("sofa")).await;

    assert_eq!(outcome(status, code, "unknown"), first);
    assert_eq!(outcome(status, code, "unknown"), without_key);
    assert_eq!(outcome(409, "claim_unresolved", "unknown"), again);
    assert_eq!(outcome(409, "claim_unresolved", "unknown"), elsewhere);
    // One request with the idempotency key and one without.
    assert_eq!(2, backends.plain_requests().len());
}

#[rstest]
#[case(Outage::Unavailable)]
#[case(Outage::Reset)]
#[tokio::test]
async fn non_idempotent_requests_are_refused_while_the_object_api_is_unavailable(
    #[case] outage: Outage,
) {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let down = PlatformFaults { outage: Some(outage), ..PlatformFaults::default() };
    backends.platform.set_faults(down);

    let refused = send_refused(one.booking("sofa")).await;
    let chat = within_timeout(one.chat(&chat_body("model", true)).send()).await.unwrap();
    let chat = read_stream(chat).await;
    let runs_while_down = backends.plain_requests().len();
    backends.platform.set_faults(PlatformFaults::default());
    let later = within_timeout(one.booking("sofa").send()).await.unwrap();

    assert_eq!(outcome(503, "claim_unavailable", "not_run"), refused);
    assert!(chat.done, "requests without an idempotency key are still served");
    assert_eq!(0, runs_while_down);
    assert_eq!(200, later.status());
    assert_eq!(1, runs(&backends, "sofa"));
}

/// Guards against a second run when a claim is written but the response of the object API is lost.
#[rstest]
#[case("create claims")]
#[case("update claims")]
#[tokio::test]
async fn lost_object_api_response_does_not_run_the_request_twice(#[case] matching: &str) {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let lost = LostAnswer { matching: matching.to_owned(), count: 1, hang: false };
    let faults = PlatformFaults { lost_answers: vec![lost], ..PlatformFaults::default() };
    backends.platform.set_faults(faults);

    let first = within_timeout(one.booking("sofa").send()).await.unwrap();
    let again = within_timeout(one.booking("sofa").send()).await.unwrap();

    assert_eq!((200, 200), (first.status().as_u16(), again.status().as_u16()));
    assert_eq!(1, runs(&backends, "sofa"));
}

#[tokio::test]
async fn refused_connection_reports_not_run_and_releases_the_idempotency_key() {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let two = Instance::start("two", &backends).await;
    one.set_plain_address(UNREACHABLE_ADDRESS);

    let refused = send_refused(one.booking("sofa")).await;
    one.set_plain_address(&backends.plain.url());
    let later = within_timeout(two.booking("sofa").send()).await.unwrap();

    assert_eq!(outcome(503, "no_backend_server", "not_run"), refused);
    assert_eq!(200, later.status());
    assert_eq!(1, runs(&backends, "sofa"));
}

#[rstest]
#[case(307)]
#[case(308)]
#[tokio::test]
async fn redirects_are_not_followed(#[case] status: u16) {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    backends.plain.set_faults(PlainFaults { redirect: Some(status), ..PlainFaults::default() });

    let rsp = within_timeout(one.booking("sofa").send()).await.unwrap();

    assert_eq!(status, rsp.status().as_u16());
    assert_eq!(1, backends.plain_requests().len());
}

#[tokio::test]
async fn repeated_stream_request_replays_the_complete_stream() {
    let backends = start_backends(1).await;
    let one = Instance::start("one", &backends).await;
    let req = || one.chat(&chat_body("once-model", true)).header("idempotency-key", "cues");

    let first = read_stream(within_timeout(req().send()).await.unwrap()).await;
    let again = read_stream(within_timeout(req().send()).await.unwrap()).await;

    assert!(first.done && again.done);
    assert_eq!(first.text, again.text);
    assert_eq!(1, backends.engines[0].received().len());
}
