//! Graceful shutdown of a process.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::full_stream;
use crate::support::{Instance, WAIT_TIMEOUT, stand_ins};

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
