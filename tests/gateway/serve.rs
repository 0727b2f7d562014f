//! Requests without faults and with faulty backend servers.

use rstest::rstest;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::{full_stream, plain_body};
use crate::support::{Fault, Instance, StandInBackend, StandInStore, config, wait_until};

struct Fixture {
    store: StandInStore,
    servers: Vec<StandInBackend>,
    instance: Instance,
}

/// Starts a backend server for each of the given faults, and an instance.
async fn fixture(faults: &[Fault]) -> Fixture {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let mut servers = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        let server = StandInBackend::start(&format!("runner-{index}")).await;
        server.set_fault(*fault);
        store.put("servers", &server.name(), server.entry());
        servers.push(server);
    }
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    Fixture { store, servers, instance }
}

impl Fixture {
    fn runs(&self) -> usize {
        self.servers.iter().map(|server| server.runs().len()).sum()
    }
}

#[tokio::test]
async fn request_is_forwarded_with_its_organisation_and_without_its_key() {
    let fx = fixture(&[Fault::None]).await;

    let rsp =
        fx.instance.request("/booking/1?a=%2F", "key").send().await.expect("there is a response");

    assert_eq!(rsp.status(), 200);
    assert_eq!(rsp.headers()["x-laburnumvalve-response-seal"], "seal");
    assert_eq!(rsp.text().await.expect("the body is complete"), plain_body(ATTEMPT_ID));
    let run = &fx.servers[0].runs()[0];
    assert_eq!(run.text("x-laburnumvalve-tenant"), "timers");
    assert!(!run.headers.contains_key("x-laburnumvalve-key"));
}

#[rstest]
#[case::unknown_key("/booking/1", "other", 401)]
#[case::unknown_route("/none/1", "key", 404)]
#[tokio::test]
async fn request_with_unknown_key_or_route_is_refused(
    #[case] path: &str,
    #[case] key: &str,
    #[case] status: u16,
) {
    let fx = fixture(&[Fault::None]).await;

    let rsp = fx.instance.request(path, key).send().await.expect("there is a response");

    assert_eq!(rsp.status(), status);
    assert_eq!(fx.runs(), 0);
}

#[rstest]
#[case::response_lost(Fault::LoseAnswer)]
#[case::response_of_another_request(Fault::WrongAnswer)]
#[tokio::test]
async fn non_idempotent_request_with_a_lost_response_runs_once_and_gets_502(#[case] fault: Fault) {
    let fx = fixture(&[fault, fault]).await;

    let rsp = fx.instance.request("/booking/1", "key").send().await.expect("there is a response");

    assert_eq!(rsp.status(), 502);
    assert_eq!(fx.runs(), 1);
}

#[tokio::test]
async fn request_that_did_not_run_is_refused_with_retry_after() {
    let fx = fixture(&[Fault::Full]).await;

    let rsp = fx.instance.request("/booking/1", "key").send().await.expect("there is a response");

    assert_eq!(rsp.status(), 503);
    assert!(rsp.headers().contains_key("retry-after"));
    assert_eq!(fx.runs(), 0);
}

#[rstest]
#[case::response_lost(Fault::LoseAnswer)]
#[case::response_of_another_request(Fault::WrongAnswer)]
#[case::full(Fault::Full)]
#[tokio::test]
async fn idempotent_request_is_retried_on_another_server(#[case] fault: Fault) {
    let fx = fixture(&[fault, Fault::None]).await;

    for _ in 0..8 {
        let rsp =
            fx.instance.request("/lookup/1", "key").send().await.expect("there is a response");
        assert_eq!(rsp.status(), 200);
    }
}

/// The first attempt may have been executed, so that the response must not state the opposite.
#[tokio::test]
async fn idempotent_request_with_a_key_withdrawn_after_its_first_send_gets_502() {
    let fx = fixture(&[Fault::LoseAnswerLate, Fault::LoseAnswerLate]).await;
    let pending = tokio::spawn(fx.instance.request("/lookup/1", "key").send());
    wait_until("the first attempt runs", || async { fx.runs() == 1 }).await;

    fx.store.put("config", "main", config(2, &["other-key"]));

    let rsp = pending.await.expect("the task completes").expect("there is a response");
    assert_eq!((rsp.status().as_u16(), fx.runs()), (502, 1));
}

/// The address of a former server is used by a new one, which isn't registered yet.
#[tokio::test]
async fn misdirected_request_is_sent_to_another_server() {
    let fx = fixture(&[Fault::None]).await;
    let unregistered =
        [StandInBackend::start("unlisted-0").await, StandInBackend::start("unlisted-1").await];
    for (number, server) in unregistered.iter().enumerate() {
        fx.store.put("servers", &format!("former-{number}"), server.entry());
    }
    tokio::time::sleep(std::time::Duration::from_millis(900)).await;

    for _ in 0..8 {
        let rsp =
            fx.instance.request("/booking/1", "key").send().await.expect("there is a response");
        assert_eq!(rsp.status(), 200);
    }

    assert_eq!(fx.runs(), 8);
}

/// Registers unreachable servers in the instance's data centre and one live server in another.
async fn register_unreachable_data_centre(store: &StandInStore) -> StandInBackend {
    let remote = StandInBackend::start("far").await;
    let mut entry = remote.entry();
    entry["zone"] = "kolkata-b".into();
    store.put("servers", "far", entry.clone());
    for number in 0..5 {
        let address = standins::free_address().expect("a port is free");
        entry["zone"] = "kolkata-a".into();
        entry["address"] = address.to_string().into();
        store.put("servers", &format!("gone-{number}"), entry.clone());
    }
    remote
}

/// All servers of a data centre are down, but still registered.
#[tokio::test]
async fn request_fails_over_from_an_unreachable_data_centre() {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let remote = register_unreachable_data_centre(&store).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;

    let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");

    assert_eq!((rsp.status().as_u16(), remote.runs().len()), (200, 1));
}

/// Attempts that reach no server must not count against the maximum number of attempts.
#[tokio::test]
async fn broken_stream_fails_over_from_an_unreachable_data_centre() {
    let fx = fixture(&[Fault::CutStream]).await;
    let request = fx.instance.request("/job/1", "key");
    let rsp = request.send().await.expect("there is a response");
    assert!(rsp.text().await.is_err(), "there is no other server, so the stream must fail");
    register_unreachable_data_centre(&fx.store).await;
    tokio::time::sleep(std::time::Duration::from_millis(900)).await;

    let rsp = fx.instance.request("/job/1", "key").send().await.expect("there is a response");

    assert_eq!(rsp.text().await.expect("the stream is complete"), full_stream(ATTEMPT_ID));
}

#[tokio::test]
async fn stream_is_forwarded_unchanged() {
    let fx = fixture(&[Fault::None]).await;

    let rsp = fx.instance.request("/stream/1", "key").send().await.expect("there is a response");

    assert_eq!(rsp.text().await.expect("the stream is complete"), full_stream(ATTEMPT_ID));
}

#[tokio::test]
async fn broken_resumable_stream_resumes_after_its_last_complete_event() {
    let fx = fixture(&[Fault::CutStream, Fault::None]).await;

    for _ in 0..6 {
        let rsp = fx.instance.request("/job/1", "key").send().await.expect("there is a response");
        assert_eq!(rsp.text().await.expect("the stream is complete"), full_stream(ATTEMPT_ID));
    }
}

#[tokio::test]
async fn broken_non_resumable_stream_ends_with_an_error() {
    let fx = fixture(&[Fault::CutStream]).await;

    let rsp = fx.instance.request("/stream/1", "key").send().await.expect("there is a response");

    assert!(rsp.text().await.is_err(), "the truncated stream must not look complete");
    assert_eq!(fx.runs(), 1);
}

#[tokio::test]
async fn metrics_report_requests_and_instance_state() {
    let fx = fixture(&[Fault::None, Fault::None]).await;
    fx.instance
        .request("/job/1", "key")
        .send()
        .await
        .expect("there is a response")
        .text()
        .await
        .ok();
    fx.instance.request("/lookup/1", "other").send().await.expect("there is a response");

    // The instance lists itself and takes the lease only some time after its start.
    wait_until("the instance holds the lease", || async {
        fx.instance.metrics().await.contains("lease_epoch_held{name=\"duties\"} 1")
    })
    .await;
    let text = fx.instance.metrics().await;

    for line in [
        "refused_requests_total{code=\"401\"} 1",
        "configuration_version{name=\"instance\"} 1",
        "instances_listed{name=\"instance\"} 1",
        "servers_usable{name=\"engines\"} 2",
        "retry_budget_left{name=\"engines\"} 35",
        "log_lines_dropped{name=\"instance\"} 0",
        "lease_epoch_held{name=\"duties\"} 1",
        "token_gap_seconds_count{class=\"job\"}",
    ] {
        assert!(text.contains(line), "{line} is missing:\n{text}");
    }
}

#[tokio::test]
async fn draining_backend_server_gets_no_new_requests() {
    let fx = fixture(&[Fault::None]).await;
    let mut entry = fx.servers[0].entry();
    entry["state"] = "draining".into();

    fx.store.put("servers", &fx.servers[0].name(), entry);
    wait_until("the request is refused", || async {
        let rsp = fx.instance.request("/lookup/1", "key").send().await;
        rsp.is_ok_and(|rsp| rsp.status() == 503)
    })
    .await;
}
