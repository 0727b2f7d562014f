//! A process that is told to stop.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::instance::{ATTEMPT, InstanceSettings};
use crate::support::runner::whole_stream;
use crate::support::{Instance, PATIENCE, stand_ins};

/// Opens a connection whose request does not end, so that the process waits for it.
async fn open_endless_request(instance: &Instance) -> TcpStream {
    let mut socket = TcpStream::connect(instance.callers).await.expect("it accepts");
    let head = "POST /booking/1 HTTP/1.1\r\nhost: valve.example\r\ncontent-length: 10\r\n\
                x-laburnumvalve-attempt-id: endless\r\nx-laburnumvalve-key: key\r\n\r\nhalf";
    socket.write_all(head.as_bytes()).await.expect("it reads");
    socket
}

/// Pattern: the balancer has too few instances left, and goes on to use one that stops.
#[tokio::test]
async fn a_process_that_stops_takes_only_what_it_can_finish() {
    let (store, runner) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let _endless = open_endless_request(&instance).await;

    instance.terminate();
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;

    let long = instance.request("/stream/1", "key").send().await.expect("it is answered");
    assert_eq!((long.status().as_u16(), runner.runs().len()), (503, 0));
    assert!(long.headers().contains_key("retry-after"));
    let req = instance.request("/booking/1", "key");
    let short = req.header("x-laburnumvalve-deadline-ms", "1000").send().await;
    assert_eq!(short.expect("it is answered").status(), 200);
}

#[tokio::test]
async fn a_process_told_to_stop_serves_what_it_has_and_ends() {
    let (store, _runner) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let mut instance = Instance::start(cfg).await;
    let streaming = instance.request("/stream/1", "key").send().await.expect("it has begun");

    instance.terminate();
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;

    assert!(!instance.is_ready().await);
    assert_eq!(streaming.text().await.expect("the stream is whole"), whole_stream(ATTEMPT));
    let late = instance.request("/booking/1", "key").send().await.expect("it is answered");
    assert_eq!(
        (late.status().as_u16(), late.headers()["connection"].as_bytes()),
        (200, &b"close"[..])
    );
    let told = std::time::Instant::now();
    while !instance.has_ended() {
        assert!(told.elapsed() < PATIENCE, "the process runs on");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
