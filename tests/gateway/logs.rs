//! Log lines of requests, and the behaviour when nobody reads the log.

use std::time::{Duration, Instant};

use futures::future::join_all;
use serde_json::Value;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings, LogOutput};
use crate::support::{
    Fault, Instance, StandInBackend, StandInStore, WAIT_TIMEOUT, config, stand_ins, wait_until,
};

/// Number of requests whose log lines exceed the pipe (64 KiB) and the queue (4,096 lines) several
/// times over.
const REQUESTS: usize = 16_000;
/// Number of concurrent callers.
const CONCURRENT_CALLERS: usize = 16;
/// Latency target of the routes in the test configuration.
const LATENCY_TARGET: Duration = Duration::from_millis(200);

/// Sends requests for a path without a route, which write one log line each.
async fn send_unrouted_requests(instance: &Instance) {
    let caller = async |_: usize| {
        for _ in 0..REQUESTS / CONCURRENT_CALLERS {
            let rsp = instance.request("/none/1", "key").send().await.expect("there is a response");
            assert_eq!(rsp.status(), 404);
        }
    };
    join_all((0..CONCURRENT_CALLERS).map(caller)).await;
}

#[tokio::test]
async fn blocked_log_pipe_does_not_delay_requests() {
    let (store, _server) = stand_ins(&["key"]).await;
    let cfg =
        InstanceSettings { store: store.address, log: LogOutput::Unread, ..Default::default() };
    let mut instance = Instance::start(cfg).await;

    send_unrouted_requests(&instance).await;
    let mut slowest = Duration::ZERO;
    for _ in 0..50 {
        let sent_at = Instant::now();
        let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
        assert_eq!(rsp.status(), 200);
        slowest = slowest.max(sent_at.elapsed());
    }

    let metrics = instance.metrics().await;
    let mut lines = metrics.lines();
    let dropped = lines.find(|line| line.starts_with("laburnumvalve_log_lines_dropped"));
    let dropped = dropped.and_then(|line| line.split(' ').nth(1)).expect("the metric has a value");
    assert!(
        dropped.parse::<u64>().expect("the metric is a number") > 0,
        "no log lines were dropped"
    );
    assert!(slowest < LATENCY_TARGET, "{slowest:?}");
    instance.terminate();
    let signalled_at = Instant::now();
    while !instance.has_ended() {
        assert!(signalled_at.elapsed() < WAIT_TIMEOUT, "the process did not exit");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the log lines of the test's request.
fn lines_of_request(log: &std::path::Path) -> Vec<Value> {
    let text = std::fs::read_to_string(log).expect("the log file is readable");
    let lines = text.lines().map(|line| serde_json::from_str(line).expect("the line is JSON"));
    lines.filter(|line: &Value| line["id"] == ATTEMPT_ID).collect()
}

#[tokio::test]
async fn refused_request_logs_each_send_and_the_reason() {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let full = StandInBackend::start("full").await;
    full.set_fault(Fault::Full);
    store.put("servers", "full", full.entry());
    let log = tempfile::NamedTempFile::new().expect("a file can be created");
    let to = LogOutput::File(log.path().to_owned());
    let cfg = InstanceSettings { store: store.address, log: to, ..Default::default() };
    let instance = Instance::start(cfg).await;

    instance.request("/lookup/1", "key").send().await.expect("there is a response");

    wait_until("all log lines are written", || async { lines_of_request(log.path()).len() == 3 })
        .await;
    let [sent, ended, request] =
        lines_of_request(log.path()).try_into().expect("there are three lines");
    assert_eq!((&sent["message"], &sent["server"]), (&"sent".into(), &"full".into()));
    assert!(sent["cost_ms"].is_number() && sent["load"].is_number(), "{sent}");
    assert_eq!((&ended["server"], &ended["how"]), (&"full".into(), &"not run".into()));
    assert_eq!(request["why"], "no backend server is available");
    assert_eq!((&request["status"], &request["config"]), (&503.into(), &1.into()));
    let text = std::fs::read_to_string(log.path()).expect("the log file is readable");
    assert!(!text.contains("\"key\""), "the log contains a key");
}
