//! A process that is told to stop.

use crate::support::instance::{ATTEMPT, InstanceSettings};
use crate::support::runner::whole_stream;
use crate::support::{Instance, PATIENCE, Runner, StandInStore, config};

#[tokio::test]
async fn a_process_told_to_stop_serves_what_it_has_and_ends() {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let runner = Runner::start("runner-1").await;
    store.put("servers", &runner.name(), runner.entry());
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
