//! Spread of versions and marks between instances, under outages and silent connections.

mod config_support;

use std::sync::Arc;

use config_support::{Node, config_of_weight, eventually, introduce, start_node, start_platform};
use laburnumvalve::config::MarkTarget;
use laburnumvalve::config::spread::is_watcher;
use laburnumvalve::names::KeyId;
use standins::Platform;
use standins::platform::Outage;

fn set_outage(platform: &Platform, outage: Option<Outage>) {
    platform.change_faults(|faults| faults.outage = outage);
}

/// Starts nodes that know each other, with a first sheet and a key in force at all.
async fn start_nodes(platform: &Platform, names: &[&str]) -> (Vec<Node>, KeyId, String) {
    let mut nodes = Vec::new();
    for name in names {
        nodes.push(start_node(name, &platform.url(), &[]).await);
    }
    introduce(&nodes.iter().collect::<Vec<_>>());
    nodes[0].config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = nodes[0].issue().await;
    for node in &nodes {
        node.until_version(2).await;
    }
    (nodes, id, key)
}

#[tokio::test]
async fn a_key_withdrawn_during_an_outage_stops_everywhere_and_becomes_durable_after_it() {
    let platform = start_platform().await;
    let (nodes, id, key) = start_nodes(&platform, &["a", "b", "c", "d"]).await;
    set_outage(&platform, Some(Outage::Unavailable));

    let outcome = nodes[1].config.withdraw(&id).await.expect("the key is known");

    assert!(!outcome.durable);
    for node in &nodes {
        eventually("the key is refused", async || !node.accepts(&key)).await;
    }
    set_outage(&platform, None);
    eventually("the mark is stored", async || !platform.objects("marks").is_empty()).await;
    let fresh = start_node("e", &platform.url(), &[]).await;
    fresh.until_version(2).await;
    assert!(!fresh.accepts(&key));
}

#[tokio::test]
async fn another_instance_stores_the_mark_if_the_first_one_can_not() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let cut_off = start_node("a", &view.url(), &[]).await;
    let other = start_node("b", &platform.url(), &[]).await;
    introduce(&[&cut_off, &other]);
    other.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = other.issue().await;
    cut_off.until_version(2).await;
    drop(view);

    let outcome = cut_off.config.withdraw(&id).await.expect("the key is known");

    assert!(!outcome.durable);
    eventually("the mark is stored", async || !platform.objects("marks").is_empty()).await;
    assert!(!other.accepts(&key));
}

#[tokio::test]
async fn a_withdrawn_key_stays_withdrawn_once_its_mark_is_part_of_the_records() {
    let platform = start_platform().await;
    let (nodes, id, key) = start_nodes(&platform, &["a", "b"]).await;
    let outcome = nodes[0].config.withdraw(&id).await.expect("the key is known");
    assert!(outcome.durable);

    let accepted = nodes[1].config.apply(config_of_weight(2), 2).await.expect("accepted");

    for node in &nodes {
        node.until_version(accepted.version).await;
        assert!(!node.accepts(&key));
        assert_eq!(node.in_force().marks.withdrawn_count(), 0, "the mark is in the records");
    }
    // The next writer of marks drops those that the records contain; a fresh instance then
    // depends on the records alone.
    let target = MarkTarget::BackendServer("engine-1".into());
    assert!(nodes[0].config.set_service(target, false).await.durable);
    let fresh = start_node("c", &platform.url(), &[]).await;
    fresh.until_version(accepted.version).await;
    assert!(!fresh.accepts(&key));
    eventually("the order is known", async || {
        let in_force = fresh.in_force();
        !in_force.takes_work(&in_force.config.backend_servers["engine-1"])
    })
    .await;
}

#[tokio::test]
async fn an_instance_started_from_an_older_copy_moves_forward_and_never_back() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let stale = start_node("stale", &view.url(), &[]).await;
    let first = start_node("first", &platform.url(), &[]).await;
    first.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = first.issue().await;
    stale.until_version(2).await;
    drop(view);
    first.config.apply(config_of_weight(2), 2).await.expect("the second sheet is accepted");
    assert!(first.config.withdraw(&id).await.expect("the key is known").durable);
    set_outage(&platform, Some(Outage::Unavailable));

    let fresh = start_node("fresh", &platform.url(), &[&stale]).await;
    let seen = watch_versions(&fresh);
    fresh.until_version(2).await;
    introduce(&[&fresh, &stale, &first]);
    fresh.hear(&first);
    fresh.until_version(3).await;
    for _ in 0..20 {
        fresh.hear(&stale);
        stale.config.announce();
        tokio::task::yield_now().await;
    }
    stale.hear(&fresh);
    stale.until_version(3).await;

    for node in [&fresh, &stale] {
        eventually("the key is refused", async || !node.accepts(&key)).await;
        assert_eq!(node.in_force().config.organisations["shobdo"].weight, 2);
    }
    let seen = seen.lock().expect("the lock is sound").clone();
    assert!(seen.is_sorted(), "versions went back: {seen:?}");
}

/// Records the versions in force at a node from now on.
fn watch_versions(node: &Node) -> Arc<std::sync::Mutex<Vec<u64>>> {
    let seen = Arc::new(std::sync::Mutex::new(vec![node.version()]));
    let mut in_force = node.cx.in_force.clone();
    let recorded = seen.clone();
    tokio::spawn(async move {
        while in_force.changed().await.is_ok() {
            let version = in_force.borrow_and_update().config.version;
            recorded.lock().expect("the lock is sound").push(version);
        }
    });
    seen
}

#[tokio::test]
async fn a_watch_gone_silent_is_replaced() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let watcher = start_node("watcher", &view.url(), &[]).await;
    let operator = start_node("operator", &platform.url(), &[]).await;
    operator.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    watcher.until_version(1).await;

    view.relay().silence_open();
    operator.config.apply(config_of_weight(2), 1).await.expect("the second sheet is accepted");

    watcher.until_version(2).await;
}

#[tokio::test]
async fn few_instances_watch_and_the_others_hear_from_them() {
    let platform = start_platform().await;
    let (nodes, ..) = start_nodes(&platform, &["a", "b", "c", "d", "e", "f"]).await;
    let (watchers, others): (Vec<&Node>, Vec<&Node>) =
        nodes.iter().partition(|node| is_watcher(&node.cx));
    let before: Vec<u64> = others.iter().map(|node| node.platform_calls()).collect();

    watchers[0].config.apply(config_of_weight(2), 2).await.expect("the sheet is accepted");

    for node in &nodes {
        node.until_version(3).await;
    }
    let after: Vec<u64> = others.iter().map(|node| node.platform_calls()).collect();
    assert_eq!(watchers.len(), 2);
    assert_eq!(before, after, "calls of instances that don't watch");
}

#[tokio::test]
async fn a_sheet_overrules_older_orders_and_a_later_order_overrules_the_sheet() {
    let platform = start_platform().await;
    let (nodes, ..) = start_nodes(&platform, &["a", "b"]).await;
    let target = MarkTarget::DataCentre("kolkata-a".into());
    let takes_work = |node: &Node| {
        let in_force = node.in_force();
        in_force.takes_work(&in_force.config.backend_servers["engine-1"])
    };

    nodes[0].config.set_service(target.clone(), false).await;
    eventually("the order is in force", async || !takes_work(&nodes[1])).await;
    let accepted = nodes[1].config.apply(config_of_weight(1), 2).await.expect("accepted");
    assert!(accepted.changed);
    for node in &nodes {
        node.until_version(accepted.version).await;
        assert!(takes_work(node));
    }

    nodes[0].config.set_service(target, false).await;
    for node in &nodes {
        eventually("the order is in force", async || !takes_work(node)).await;
    }
}
