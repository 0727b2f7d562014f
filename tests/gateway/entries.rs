//! Entries of other writers among those of the backend servers.

use std::time::Duration;

use rstest::rstest;

use crate::support::instance::InstanceSettings;
use crate::support::{
    Instance, StandInBackend, StandInStore, config, server_entry, stand_ins, wait_until,
};

/// Half of the memory of the smallest machine, which has 88 MB.
const MAX_MEMORY_BYTES: u64 = 44 << 20;
/// Maximum size of an object in the store.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Returns the JSON text of an object of the maximum size with many small members, none of them a
/// field of an entry.
fn many_samples() -> String {
    let samples = r#"{"t":1},"#.repeat(MAX_OBJECT_BYTES / 8 - 16);
    format!(r#"{{"samples":[{samples}{{"t":1}}]}}"#)
}

/// Returns the JSON text of a number in so many arrays.
fn nested(levels: usize) -> String {
    format!("{}1{}", "[".repeat(levels), "]".repeat(levels))
}

/// Returns the JSON text of a server's entry with the given port.
fn entry_with_port(port: &str) -> String {
    let entry = server_entry(([127, 0, 0, 1], 9).into()).to_string();
    entry.replace(":9\"", &format!(":{port}\""))
}

async fn wait_for_servers(instance: &Instance, count: usize) {
    let usable = format!("servers_usable{{name=\"engines\"}} {count}");
    wait_until("the servers are known", || async { instance.metrics().await.contains(&usable) })
        .await;
}

async fn assert_served(instance: &Instance) {
    let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
    assert_eq!(rsp.status(), 200);
}

/// Odd values, as JSON text.
///
/// Guards against instances that end, or learn nothing more about any backend server, because of
/// one entry that they can't read; before and after the entry appears, directly and by a peer.
#[rstest]
#[case::lone_surrogates(r#"{"note":"\udcff\udcfe\udc80"}"#.to_owned())]
#[case::number_too_large(r#"{"slots":1e400}"#.to_owned())]
#[case::nested_below_the_limit_of_the_parser(nested(120))]
#[case::nested_deeply(nested(200))]
#[case::nested_very_deeply(nested(100_000))]
#[case::port_out_of_range(entry_with_port("70000"))]
#[case::negative_port(entry_with_port("-1"))]
#[case::member_twice(r#"{"service":"engines","service":"engines"}"#.to_owned())]
#[tokio::test]
async fn unreadable_entry_does_not_hide_others(#[case] value: String) {
    let (store, _server) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let mut before = Instance::start(cfg.clone()).await;
    store.put_raw("servers", "odd", &value);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let second = StandInBackend::start("runner-2").await;
    store.put("servers", "runner-2", second.entry());

    wait_for_servers(&before, 2).await;
    let seeds = format!("seeds={}\n", before.peer_address);
    let name = "instance-2".to_owned();
    let cfg = InstanceSettings { name, extra_settings: seeds, ..cfg };
    let mut after = Instance::start(cfg).await;
    wait_for_servers(&after, 2).await;
    let third = StandInBackend::start("runner-3").await;
    store.put("servers", "runner-3", third.entry());

    for instance in [&mut before, &mut after] {
        wait_for_servers(instance, 3).await;
        assert_served(instance).await;
        assert!(!instance.has_ended());
    }
}

/// Guards against a server that stays in use although its entry became unreadable.
#[tokio::test]
async fn server_whose_entry_became_unreadable_is_not_used() {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    for name in ["runner-1", "runner-2"] {
        store.put("servers", name, StandInBackend::start(name).await.entry());
    }
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    wait_for_servers(&instance, 2).await;

    store.put_raw("servers", "runner-2", r#""\udc80""#);

    wait_for_servers(&instance, 1).await;
    assert_served(&instance).await;
}

/// Guards against instances that exceed their memory, at each start again, because another writer
/// put large values among the objects that they read; directly and by a peer.
#[rstest]
#[case::one_server("servers", 1)]
#[case::more_than_a_response_holds("servers", 8)]
#[case::data_centres("evacuations", 4)]
#[case::instances("valve-instances", 4)]
#[case::configurations("config", 4)]
#[tokio::test]
async fn large_values_of_other_writers_take_no_memory(#[case] kind: &str, #[case] count: usize) {
    let (store, _server) = stand_ins(&["key"]).await;
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let before = Instance::start(cfg.clone()).await;
    let value = many_samples();
    for number in 0..count {
        store.put_raw(kind, &format!("sampler-{number}"), &value);
    }
    let second = StandInBackend::start("runner-2").await;
    store.put("servers", "runner-2", second.entry());

    wait_for_servers(&before, 2).await;
    let seeds = format!("seeds={}\n", before.peer_address);
    let by_peer =
        InstanceSettings { name: "instance-2".to_owned(), extra_settings: seeds, ..cfg.clone() };
    let directly = InstanceSettings { name: "instance-3".to_owned(), ..cfg };
    let after = [Instance::start(by_peer).await, Instance::start(directly).await];

    for mut instance in [before].into_iter().chain(after) {
        wait_for_servers(&instance, 2).await;
        assert_served(&instance).await;
        assert!(!instance.has_ended());
        let peak = instance.peak_memory();
        assert!(peak < MAX_MEMORY_BYTES, "{} took {peak} bytes", instance.peer_address);
    }
}
