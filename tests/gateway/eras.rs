//! Returns of the store from an older copy, which lacks what was written since.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::instance::InstanceSettings;
use crate::support::{
    Instance, StandInBackend, StandInStore, config, full, serve, stand_ins, wait_until,
};

/// Number of changes that the copy lacks, so that the lost revisions are not soon given out again.
const LOST_CHANGES: usize = 300;

async fn wait_for_metric(instance: &Instance, line: &str) {
    wait_until(line, || async { instance.metrics().await.contains(line) }).await;
}

async fn wait_for_servers(instance: &Instance, count: usize) {
    wait_for_metric(instance, &format!("servers_usable{{name=\"engines\"}} {count}")).await;
}

/// Starts an instance that reads the store and one that pulls from it.
async fn two_instances(
    store: &StandInStore,
    extra_settings: &str,
    duties: Option<SocketAddr>,
) -> [Instance; 2] {
    let cfg = InstanceSettings {
        store: store.address,
        duties,
        extra_settings: extra_settings.to_owned(),
        ..Default::default()
    };
    let first = Instance::start(cfg.clone()).await;
    let seeds = format!("{extra_settings}seeds={}\n", first.peer_address);
    let name = "instance-2".to_owned();
    let second = Instance::start(InstanceSettings { name, extra_settings: seeds, ..cfg }).await;
    [first, second]
}

/// Guards against instances that ignore all news until the store has reached the revision that they
/// had, because its revisions went back.
#[tokio::test]
async fn news_after_a_return_from_a_copy_is_followed() {
    let (store, _first) = stand_ins(&["key"]).await;
    store.state_era();
    let instances = two_instances(&store, "", None).await;
    let copy = store.copy();
    let second = StandInBackend::start("runner-2").await;
    for _ in 0..LOST_CHANGES {
        store.put("servers", "runner-2", second.entry());
    }
    store.put("config", "main", config(2, &["key"]));
    for instance in &instances {
        wait_for_servers(instance, 2).await;
        wait_for_metric(instance, "configuration_version{name=\"instance\"} 2").await;
    }

    store.return_from(&copy);
    let third = StandInBackend::start("runner-3").await;
    store.put("servers", "runner-3", third.entry());
    store.put("config", "main", config(3, &["other-key"]));

    for instance in &instances {
        wait_for_metric(instance, "configuration_version{name=\"instance\"} 3").await;
        // What is not written again in time counts as gone.
        wait_for_servers(instance, 2).await;
    }
    store.put("servers", "runner-2", second.entry());
    for instance in &instances {
        wait_for_servers(instance, 3).await;
        let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
        assert_eq!(rsp.status(), 401, "a withdrawn key is accepted");
    }
}

/// Guards against a server that gets requests again after it has begun to drain, because the store came
/// back from a copy of before.
#[tokio::test]
async fn draining_server_is_not_used_again_after_a_return_from_a_copy() {
    let (store, first) = stand_ins(&["key"]).await;
    store.state_era();
    let second = StandInBackend::start("runner-2").await;
    store.put("servers", "runner-2", second.entry());
    let instances = two_instances(&store, "", None).await;
    for instance in &instances {
        wait_for_servers(instance, 2).await;
    }
    let copy = store.copy();
    let mut entry = first.entry();
    entry["state"] = "draining".into();
    store.put("servers", "runner-1", entry);
    for instance in &instances {
        wait_for_servers(instance, 1).await;
    }

    store.return_from(&copy);
    let third = StandInBackend::start("runner-3").await;
    store.put("servers", "runner-3", third.entry());

    for instance in &instances {
        wait_for_servers(instance, 2).await;
    }
}

/// Guards against requests to an evacuated data centre, as a copy of the store lacks the evacuation
/// until the operator writes it again.
#[tokio::test]
async fn evacuation_missing_from_a_copy_holds_for_a_while() {
    let (store, server) = stand_ins(&["key"]).await;
    store.state_era();
    let instances = two_instances(&store, "", None).await;
    let copy = store.copy();
    store.put("evacuations", "kolkata-a", json!({}));
    for instance in &instances {
        wait_for_servers(instance, 0).await;
    }

    store.return_from(&copy);
    store.put("config", "main", config(2, &["key"]));
    for instance in &instances {
        wait_for_metric(instance, "configuration_version{name=\"instance\"} 2").await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    for instance in &instances {
        let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
        assert_eq!((rsp.status().as_u16(), server.runs().len()), (503, 0));
    }
    for instance in &instances {
        wait_for_servers(instance, 1).await;
    }
}

/// A usage report: holder, fencing token, window and counts.
type Report = (String, u64, u64, Value);

/// Starts an interface for duties that keeps the reports.
async fn duties_desk() -> (SocketAddr, Arc<Mutex<Vec<Report>>>) {
    duties_desk_losing(Arc::default()).await
}

/// Starts an interface for duties that keeps the reports, and loses its answers while told so.
async fn duties_desk_losing(loses: Arc<AtomicBool>) -> (SocketAddr, Arc<Mutex<Vec<Report>>>) {
    let reports: Arc<Mutex<Vec<Report>>> = Arc::default();
    let received = reports.clone();
    let address = serve(move |req| {
        let (received, loses) = (received.clone(), loses.clone());
        async move {
            let (parts, body) = req.into_parts();
            let body = body.collect().await.expect("the request is complete").to_bytes();
            let text = |name: &str| parts.headers[name].to_str().expect("it is text").to_owned();
            let report: Value = serde_json::from_slice(&body).expect("the report is JSON");
            received.lock().expect("no lock holder panicked").push((
                text("x-laburnumvalve-duty-holder"),
                text("x-laburnumvalve-fencing-token").parse().expect("it is a number"),
                report["window-id"].as_u64().expect("it is a number"),
                report["counts"].clone(),
            ));
            if loses.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
            hyper::Response::new(full(""))
        }
    })
    .await;
    (address, reports)
}

/// Time within which a new holder has taken over the duties and reported a window.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a fencing token that two holders use, and against different reports of one window,
/// because the lease and the sealed counts are lost with the store's last changes.
#[tokio::test(flavor = "multi_thread")]
async fn duties_stay_consistent_over_a_return_from_a_copy() {
    let (store, _server) = stand_ins(&["key"]).await;
    store.state_era();
    let copy = store.copy();
    let (duties, reports) = duties_desk().await;
    let settings = "bounds.usage-window-s=1\nbounds.usage-late-s=8\nbounds.lease-ms=1000\n";
    let mut instances = two_instances(&store, settings, Some(duties)).await;
    let all = || reports.lock().expect("no lock holder panicked").clone();
    wait_until("windows are reported", || async {
        instances[0].request("/booking/1", "key").send().await.expect("there is a response");
        all().iter().filter(|(.., counts)| counts["timers"].as_u64() > Some(0)).count() > 1
    })
    .await;

    store.return_from(&copy);
    let former = all().pop().expect("windows were reported").0;
    let holder = usize::from(former == "instance-2");
    instances[holder].kill();

    let started = Instant::now();
    while all().iter().filter(|(holder, ..)| *holder != former).count() < 2 {
        assert!(started.elapsed() < TAKE_OVER_TIMEOUT, "the other instance reports nothing");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (mut holders, mut windows) = (BTreeMap::new(), BTreeMap::new());
    for (holder, token, window, counts) in all() {
        let known = holders.entry(token).or_insert_with(|| holder.clone());
        assert_eq!(*known, holder, "two holders use the token {token}");
        let known = windows.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(*known, counts, "two reports of the window {window}");
    }
}

/// Settings with short windows and leases.
const SHORT_WINDOWS: &str =
    "bounds.usage-window-s=1\nbounds.usage-late-s=8\nbounds.lease-ms=1000\n";
/// Number of reports after a return that are compared with those before it.
const LATER_REPORTS: usize = 8;

/// Guards against a second report of a window with other counts, by the same holder or its successor:
/// the answer to the first one was lost, and the store came back from a copy without its seal in the
/// midst of the next attempt. Counts that arrived after the first report make the difference.
#[rstest]
// The names of windows begin with a 1, unlike that of an era's mark.
#[case::counts_are_read_from_the_copy("GET valve-tallies", false)]
#[case::seal_is_created_beside_the_copy("POST valve-seals/1", false)]
#[case::successor_creates_the_seal_beside_the_copy("POST valve-seals/1", true)]
#[tokio::test(flavor = "multi_thread")]
async fn window_is_not_reported_again_with_counts_of_a_copy(
    #[case] call: &'static str,
    #[case] is_holder_killed: bool,
) {
    let (store, _server) = stand_ins(&["key"]).await;
    store.state_era();
    let copy = store.copy();
    let loses = Arc::new(AtomicBool::new(false));
    let (duties, reports) = duties_desk_losing(loses.clone()).await;
    let mut instances = two_instances(&store, SHORT_WINDOWS, Some(duties)).await;
    let all = || reports.lock().expect("no lock holder panicked").clone();
    let has_counts = |(.., counts): &Report| counts["timers"].as_u64() > Some(0);
    wait_until("windows are reported", || async {
        instances[0].request("/booking/1", "key").send().await.expect("there is a response");
        all().iter().filter(|report| has_counts(report)).count() > 1
    })
    .await;

    loses.store(true, Ordering::Relaxed);
    let count = all().len();
    wait_until("the answer to a report is lost", || async { all().len() > count }).await;
    let (holder, _, window, _) = all().pop().expect("windows were reported");
    let late: BTreeMap<u64, Value> =
        (window - 9..=window).map(|window| (window, json!({ "timers": 1_000 }))).collect();
    store.put("valve-tallies", "late", json!({ "processes": { "late": late } }));
    store.return_before(call, copy);
    if is_holder_killed {
        instances[usize::from(holder == "instance-2")].kill();
    }
    wait_until("the store has come back", || async { !store.is_to_return() }).await;
    let count = all().len();
    let started = Instant::now();
    while all().len() < count + LATER_REPORTS && started.elapsed() < TAKE_OVER_TIMEOUT {
        loses.store(started.elapsed() < Duration::from_secs(3), Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert!(all().len() >= count + LATER_REPORTS, "no windows are reported after the return");
    let mut windows = BTreeMap::new();
    for (holder, _, window, counts) in all() {
        let known = windows.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(*known, counts, "another report of the window {window} by {holder}");
    }
}

/// Highest revision that fits without an era.
const MAX_PLAIN_REVISION: u64 = (1 << 40) - 1;

/// Guards against an instance of an earlier version that takes revisions with an era for the store's own
/// and ignores what it then reads from the store.
#[tokio::test]
async fn peer_of_an_earlier_version_gets_revisions_without_era() {
    let (store, _server) = stand_ins(&["key"]).await;
    store.state_era();
    let instance =
        Instance::start(InstanceSettings { store: store.address, ..Default::default() }).await;
    let url = format!("http://{}/pull", instance.peer_address);
    let pull = async |known: Value| -> Value {
        let body = json!({ "known": known, "tallies": { "processes": {} }, "hold_ms": 0 });
        let client = reqwest::Client::builder().no_proxy().build().expect("the client is built");
        let rsp = client.post(&url).json(&body).send().await.expect("there is a response");
        rsp.json().await.expect("the response is JSON")
    };

    let first = pull(json!({})).await;
    let at = first["updates"]["servers"]["at"].as_u64().expect("the servers are listed");
    let next = pull(json!({ "servers": at })).await;

    let revision = first["updates"]["servers"]["items"][0]["revision"].as_u64();
    assert!(at <= MAX_PLAIN_REVISION && revision <= Some(MAX_PLAIN_REVISION), "{first}");
    assert!(next["updates"]["servers"].is_null(), "{next}");
}
