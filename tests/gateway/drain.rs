//! Graceful shutdown of a process.

use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::full_stream;
use crate::support::{
    Instance, RawConnection, RawServer, StandInStore, WAIT_TIMEOUT, config, stand_ins,
};

/// Opens a connection with an incomplete request, which keeps the process from exiting early.
async fn open_unfinished_request(instance: &Instance) -> TcpStream {
    let mut socket = TcpStream::connect(instance.caller_address)
        .await
        .expect("the instance accepts connections");
    let head = "POST /booking/1 HTTP/1.1\r\nhost: valve.example\r\ncontent-length: 10\r\n\
                x-laburnumvalve-attempt-id: endless\r\nx-laburnumvalve-key: key\r\n\r\nhalf";
    socket.write_all(head.as_bytes()).await.expect("the instance reads the request");
    socket
}

/// Guards against requests that are cut off when the process exits: a load balancer with too few
/// healthy instances continues to use one that is shutting down.
#[tokio::test]
async fn draining_instance_rejects_requests_that_outlast_its_grace_period() {
    let (store, server) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let _unfinished = open_unfinished_request(&instance).await;

    instance.terminate();
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;

    let long = instance.request("/stream/1", "key").send().await.expect("there is a response");
    assert_eq!((long.status().as_u16(), server.runs().len()), (503, 0));
    assert!(long.headers().contains_key("retry-after"));
    let req = instance.request("/booking/1", "key");
    let short = req.header("x-laburnumvalve-deadline-ms", "1000").send().await;
    assert_eq!(short.expect("there is a response").status(), 200);
}

#[tokio::test]
async fn sigterm_finishes_open_requests_and_exits() {
    let (store, _server) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let mut instance = Instance::start(cfg).await;
    let streaming = instance.request("/stream/1", "key").send().await.expect("there is a response");

    instance.terminate();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;

    assert!(!instance.is_ready().await);
    assert_eq!(streaming.text().await.expect("the stream is complete"), full_stream(ATTEMPT_ID));
    let late = instance.request("/booking/1", "key").send().await.expect("there is a response");
    assert_eq!(
        (late.status().as_u16(), late.headers()["connection"].as_bytes()),
        (200, &b"close"[..])
    );
    let signalled_at = std::time::Instant::now();
    while !instance.has_ended() {
        assert!(signalled_at.elapsed() < WAIT_TIMEOUT, "the process did not exit");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

/// Starts a server that never answers, and an instance that uses it.
async fn silent_fixture() -> (RawServer, Instance) {
    let server = RawServer::start(|mut connection: RawConnection| async move {
        while connection.read_request().await.is_some() {}
    })
    .await;
    let store = StandInStore::start().await;
    let mut config = config(1, &["key"]);
    for route in config["routes"].as_array_mut().expect("there are routes") {
        route["timeout-ms"] = 20_000.into();
    }
    store.put("config", "main", config);
    store.put("servers", "silent", server.entry());
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    (server, instance)
}

/// Guards against requests that were sent to a server and whose connection is closed without a response
/// at the end of the grace period.
#[rstest]
#[case::non_idempotent("/booking/1")]
#[case::idempotent("/lookup/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn request_in_progress_at_the_exit_gets_a_final_response(#[case] path: &str) {
    let (_server, instance) = silent_fixture().await;
    let before = instance.request(path, "key").send();
    let after = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        instance.terminate();
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        instance.request(path, "key").send().await
    };

    let (before, after) = tokio::join!(before, after);

    for rsp in [before, after] {
        let status = rsp.expect("there is a response").status().as_u16();
        assert!([502, 504].contains(&status), "status {status}");
    }
}

/// Number of requests that come late in the grace period, and the difference of their deadlines.
const LATE_REQUESTS: u64 = 25;
const DEADLINE_STEP_MS: u64 = 20;

/// Guards against requests that are taken late in the grace period and are closed without a response,
/// as their deadline is that of the process.
#[tokio::test]
async fn late_request_is_rejected_or_gets_a_response_before_the_exit() {
    let (_server, instance) = silent_fixture().await;
    let _unfinished = open_unfinished_request(&instance).await;
    instance.terminate();
    tokio::time::sleep(Duration::from_secs(3)).await;

    let requests = (0..LATE_REQUESTS).map(|number| {
        let deadline_ms = 2_100 + number * DEADLINE_STEP_MS;
        let req = instance.request("/booking/1", "key");
        req.header("x-laburnumvalve-deadline-ms", deadline_ms.to_string()).send()
    });
    let answers = futures::future::join_all(requests).await;

    for rsp in answers {
        let status = rsp.expect("there is a response").status().as_u16();
        assert!([503, 504].contains(&status), "status {status}");
    }
}
