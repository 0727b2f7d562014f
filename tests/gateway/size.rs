//! Start, memory and store calls in a large fleet.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::join_all;
use http_body_util::BodyExt;
use laburnumvalve::gateway::peers::PullHead;
use serde_json::{Value, json};

use crate::support::instance::InstanceSettings;
use crate::support::{Instance, StandInStore, config, full, serve, stand_ins, wait_until};

/// Half of the memory of the smallest machine.
const MAX_MEMORY_BYTES: u64 = 80 << 20;
/// Instances and backend servers of the largest fleet.
const INSTANCES: usize = 340;
const SERVERS: usize = 1_500;
/// Instances that published counts, each those of 50 processes: 10 MB in all.
const PUBLISHERS: usize = 100;
/// Routes of a configuration of about 0.5 MB.
const ROUTES: usize = 1_500;

/// Returns the configuration of a large fleet.
fn large_config() -> Value {
    let mut config = config(1, &["key"]);
    let route = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("there are routes");
    for number in 0..ROUTES {
        let mut route = route.clone();
        route["name"] = format!("route-{number}").into();
        route["path-prefix"] = format!("/route-{number}/").into();
        routes.push(route);
    }
    config
}

fn put_servers(store: &StandInStore) {
    for number in 0..SERVERS {
        let address = format!("127.9.{}.{}:9", number / 250, number % 250);
        let entry = json!({
            "service": "engines", "address": address, "zone": "kolkata-a", "version": "v1",
            "slots": 8, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
        });
        store.put("servers", &format!("server-{number}"), entry);
    }
}

/// Pulls the whole state from an instance, again while the instance is busy.
async fn pull_all(client: reqwest::Client, instance: std::net::SocketAddr) -> PullHead {
    let request = json!({
        "known": {}, "tallies": { "processes": {} }, "hold_ms": 1_000,
        "accepts_separate_updates": true,
    });
    loop {
        let rsp = client.post(format!("http://{instance}/pull")).json(&request).send().await;
        let rsp = rsp.expect("the instance responds");
        let is_busy = rsp.status() == 503;
        let body = rsp.bytes().await.expect("the response is complete");
        if !is_busy {
            return PullHead::decode(&body).expect("the response is valid");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// All instances of a large fleet start at once and ask the same seed.
#[tokio::test(flavor = "multi_thread")]
async fn seed_serves_all_instances_of_a_large_fleet_within_bounded_memory() {
    let store = StandInStore::start().await;
    store.put("config", "main", large_config());
    put_servers(&store);
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let seed = Instance::start(cfg).await;
    let client = reqwest::Client::builder().no_proxy().build().expect("the client is built");

    let pulls = (0..INSTANCES).map(|_| pull_all(client.clone(), seed.peer_address));
    let responses = join_all(pulls).await;

    for response in responses {
        let items: usize = response.updates.values().map(|update| update.items.len()).sum();
        assert!(items > SERVERS, "{items} objects");
    }
    assert!(seed.peak_memory() < MAX_MEMORY_BYTES, "{} bytes", seed.peak_memory());
}

/// Starts an interface for duties that keeps the reported windows.
async fn duties_desk() -> (std::net::SocketAddr, Arc<Mutex<Vec<Value>>>) {
    let reports = Arc::new(Mutex::new(Vec::new()));
    let received = reports.clone();
    let address = serve(move |req| {
        let received = received.clone();
        async move {
            let is_usage = req.uri().path().ends_with("/usage");
            let body = req.into_body().collect().await.expect("the request is complete").to_bytes();
            if is_usage && let Ok(report) = serde_json::from_slice(&body) {
                received.lock().expect("no lock holder panicked").push(report);
            }
            hyper::Response::new(full(""))
        }
    })
    .await;
    (address, reports)
}

/// After an outage of the store, each instance may have published the counts of many others.
#[tokio::test(flavor = "multi_thread")]
async fn usage_of_a_large_fleet_is_reported_within_bounded_memory() {
    let (store, _server) = stand_ins(&["key"]).await;
    let counts: serde_json::Map<String, Value> =
        (0..40).map(|number| (format!("organisation-{number}"), json!(number))).collect();
    // Windows far ahead, so that the objects do not count as outdated.
    let windows = json!({ "4000000000": counts, "4000000001": counts });
    let processes: serde_json::Map<String, Value> =
        (0..50).map(|number| (format!("instance-{number}/1"), windows.clone())).collect();
    let tallies = json!({ "processes": processes });
    for number in 0..PUBLISHERS {
        store.put("valve-tallies", &format!("instance-{number}.1"), tallies.clone());
    }
    let (duties, reports) = duties_desk().await;
    let cfg = InstanceSettings { store: store.address, duties: Some(duties), ..Default::default() };
    let instance = Instance::start(cfg).await;

    wait_until("a window is reported", || async {
        !reports.lock().expect("no lock holder panicked").is_empty()
    })
    .await;

    assert!(instance.peak_memory() < MAX_MEMORY_BYTES, "{} bytes", instance.peak_memory());
}

/// A fleet whose processes restart at once must not load everything from the store again.
#[tokio::test]
async fn instance_that_restarts_beside_a_seed_makes_few_store_calls() {
    let (store, _server) = stand_ins(&["key"]).await;
    let seed =
        Instance::start(InstanceSettings { store: store.address, ..Default::default() }).await;
    let cfg = InstanceSettings {
        name: "instance-2".to_owned(),
        store: store.faulty_address,
        extra_settings: format!("seeds={}\n", seed.peer_address),
        ..Default::default()
    };
    let mut instance = Instance::start(cfg).await;
    wait_until("the seed knows the instance", || async {
        seed.metrics().await.contains("instances_listed{name=\"instance\"} 2")
    })
    .await;
    instance.kill();
    let before = store.calls().len();

    instance.restart();
    wait_until("the instance is ready", || instance.is_ready()).await;

    let calls = store.calls().split_off(before);
    assert!(calls.is_empty(), "{calls:?}");
}

/// The first requests may arrive just before the configuration.
#[tokio::test]
async fn request_that_arrives_before_the_configuration_is_served() {
    let (configured, server) = stand_ins(&["key"]).await;
    let store = StandInStore::start().await;
    store.put("servers", &server.name(), server.entry());
    drop(configured);
    let instance =
        Instance::launch(InstanceSettings { store: store.address, ..Default::default() });
    wait_until("the instance accepts connections", || async {
        tokio::net::TcpStream::connect(instance.caller_address).await.is_ok()
    })
    .await;

    let pending = tokio::spawn(instance.request("/booking/1", "key").send());
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.put("config", "main", config(1, &["key"]));

    let rsp = pending.await.expect("the task completes").expect("there is a response");
    assert_eq!((rsp.status().as_u16(), server.runs().len()), (200, 1));
}
