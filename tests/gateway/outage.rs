//! Outages of the store, for one instance or for all of them.

use crate::support::instance::InstanceSettings;
use crate::support::{
    Instance, StandInBackend, StandInStore, config, full, serve, stand_ins, wait_until,
};
use serde_json::json;

/// Keys of the configuration.
const KEYS: [&str; 2] = ["key", "other-key"];
/// Time within which an instance detects that the store is unavailable: a configuration call in
/// progress (0.8 s) and a retry after a delay (0.25 s), with a margin for a busy host.
const DETECTION_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_500);

/// Starts an instance with permanent access to the store.
async fn start_with_store(store: &StandInStore) -> Instance {
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    Instance::start(cfg).await
}

/// Returns the settings of another instance, whose access to the store can be cut.
fn second_instance(store: &StandInStore) -> InstanceSettings {
    InstanceSettings {
        name: "instance-2".to_owned(),
        store: store.faulty_address,
        ..Default::default()
    }
}

/// Removes a backend server and checks that an instance stops using it at once.
async fn assert_removed_at_once(
    store: &StandInStore,
    server: &StandInBackend,
    instance: &Instance,
) {
    store.delete("servers", &server.name());
    let removed_at = std::time::Instant::now();
    wait_until("the removed server gets no requests", || async {
        status(instance, "key").await == 503
    })
    .await;
    let took = removed_at.elapsed();
    assert!(took < std::time::Duration::from_millis(1_400), "{took:?}");
}

async fn status(instance: &Instance, key: &str) -> u16 {
    let rsp = instance.request("/booking/1", key).send().await;
    rsp.map_or(0, |rsp| rsp.status().as_u16())
}

#[tokio::test]
async fn keys_are_refused_after_the_configuration_proof_expires() {
    let (store, server) = stand_ins(&KEYS).await;
    let cfg =
        InstanceSettings { store: store.faulty_address, revoke_ms: 3_000, ..Default::default() };
    let instance = Instance::start(cfg).await;
    assert_eq!(status(&instance, "key").await, 200);

    store.set_unavailable(true);
    tokio::time::sleep(std::time::Duration::from_millis(3_000)).await;

    let runs = server.runs().len();
    assert_eq!(status(&instance, "key").await, 503);
    assert_eq!(server.runs().len(), runs);
    assert!(!instance.is_ready().await);
    store.set_unavailable(false);
    wait_until("keys work again", || async { status(&instance, "key").await == 200 }).await;
}

/// Guards against a retry storm, in which all instances keep an overloaded store from recovering.
#[tokio::test]
async fn unavailable_store_is_polled_for_the_configuration_only() {
    let (store, _server) = stand_ins(&KEYS).await;
    let cfg = InstanceSettings { store: store.faulty_address, ..Default::default() };
    let instance = Instance::start(cfg).await;

    store.set_unavailable(true);
    let unavailable_since = std::time::Instant::now();
    wait_until("the instance detects the outage", || async {
        instance.metrics().await.contains("store_away{name=\"instance\"} 1")
    })
    .await;
    assert!(unavailable_since.elapsed() < DETECTION_TIMEOUT, "{:?}", unavailable_since.elapsed());
    // Calls already in progress are refused at once; they don't count below.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let refused_before = store.refused().len();
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;

    let refused = store.refused().split_off(refused_before);
    let is_needed = |path: &String| path.ends_with("/config") || path.contains("/valve-leases/");
    assert!(!refused.is_empty() && refused.iter().all(is_needed), "{refused:?}");
    store.set_unavailable(false);
    wait_until("keys work", || async { status(&instance, "key").await == 200 }).await;
}

#[tokio::test]
async fn withdrawn_key_reaches_an_instance_without_store_access_through_a_peer() {
    let (store, _server) = stand_ins(&KEYS).await;
    let _peer = start_with_store(&store).await;
    let instance = Instance::start(second_instance(&store)).await;
    assert_eq!(status(&instance, "other-key").await, 200);

    store.set_unavailable(true);
    store.put("config", "main", config(2, &["key"]));

    wait_until("the withdrawn key is refused", || async {
        status(&instance, "other-key").await == 401
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_secs(6)).await;
    assert_eq!(
        status(&instance, "key").await,
        200,
        "the peer proves that the configuration is current"
    );
}

/// An instance that starts during a partial outage must not depend on the store.
#[tokio::test]
async fn new_instance_without_store_access_starts_from_a_seed() {
    let (store, _server) = stand_ins(&KEYS).await;
    let peer = start_with_store(&store).await;
    store.set_unavailable(true);

    let seeds = format!("seeds={}\n", peer.peer_address);
    let cfg = InstanceSettings { extra_settings: seeds, ..second_instance(&store) };
    let instance = Instance::start(cfg).await;

    assert_eq!(status(&instance, "key").await, 200);
}

#[tokio::test]
async fn deregistered_instance_registers_again() {
    let (store, _server) = stand_ins(&KEYS).await;
    let _instance = start_with_store(&store).await;
    let is_registered = || async { store.has("valve-instances", "instance-1") };
    wait_until("it is registered", is_registered).await;

    store.delete("valve-instances", "instance-1");

    // With another entry, the list isn't empty; an empty list would count as not received yet.
    let member = json!({ "data_centre": "kolkata-a", "address": "127.0.0.1:9" });
    store.put("valve-instances", "other", member);
    wait_until("it is registered again", is_registered).await;
}

/// Registers peers that respond with a stale proof; with eight of them, some rank above the
/// instance and become its upstream peers.
async fn register_stale_peers(store: &StandInStore) {
    let address = serve(|_| async {
        let response = json!({ "updates": {}, "proof_age_ms": 2_500, "held_ms": 0 });
        hyper::Response::new(full(response.to_string()))
    })
    .await;
    for number in 0..8 {
        let member = json!({ "data_centre": "kolkata-a", "address": address });
        store.put("valve-instances", &format!("stale-{number}"), member);
    }
}

/// While the store is unavailable, removed entries stay in use, as they may have expired without a
/// cause. A pull from a stale peer must not count as such an outage.
#[tokio::test]
async fn removed_server_is_dropped_at_once_after_a_stale_peer_response() {
    let (store, server) = stand_ins(&KEYS).await;
    register_stale_peers(&store).await;
    let instance = start_with_store(&store).await;

    for _round in 0..4 {
        tokio::time::sleep(std::time::Duration::from_millis(900)).await;
        assert_removed_at_once(&store, &server, &instance).await;
        store.put("servers", &server.name(), server.entry());
    }
}

/// Guards against a removed server coming back into use: when one watch response contains the
/// change and the removal of an entry, the change must not be applied last.
#[tokio::test]
async fn server_changed_and_removed_in_one_watch_response_stays_removed() {
    let (store, server) = stand_ins(&KEYS).await;
    let instance = start_with_store(&store).await;
    let mut entry = server.entry();
    // The first change ends the watch in progress; the next watch starts half a second later.
    for sequence in 2..4 {
        entry["sequence"] = sequence.into();
        store.put("servers", &server.name(), entry.clone());
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }

    store.delete("servers", &server.name());

    tokio::time::sleep(std::time::Duration::from_millis(900)).await;
    assert_eq!(status(&instance, "key").await, 503);
}

/// While the store is unavailable, removed entries stay in use, as they may have expired without a
/// cause. If only this instance has no access to the store, that must not count as an outage.
#[tokio::test]
async fn removed_server_is_dropped_at_once_by_an_instance_without_store_access() {
    let (store, server) = stand_ins(&KEYS).await;
    let _peer = start_with_store(&store).await;
    let instance = Instance::start(second_instance(&store)).await;
    store.set_unavailable(true);
    tokio::time::sleep(std::time::Duration::from_secs(6)).await;

    assert_removed_at_once(&store, &server, &instance).await;
}
