//! Tests of the spread of versions and marks between instances, also during platform outages.

mod config_support;

use std::sync::Arc;

use config_support::{
    TestInstance, config_of_weight, set_members, start_instance, start_platform, wait_until,
};
use laburnumvalve::config::MarkTarget;
use laburnumvalve::config::spread::is_watcher;
use laburnumvalve::names::KeyId;
use standins::Platform;
use standins::platform::Outage;

fn set_outage(platform: &Platform, outage: Option<Outage>) {
    platform.change_faults(|faults| faults.outage = outage);
}

/// Starts instances that know each other, and waits until a sheet and a key are in force on all.
async fn start_instances(
    platform: &Platform,
    names: &[&str],
) -> (Vec<TestInstance>, KeyId, String) {
    let mut instances = Vec::new();
    for name in names {
        instances.push(start_instance(name, &platform.url(), &[]).await);
    }
    set_members(&instances.iter().collect::<Vec<_>>());
    instances[0].config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = instances[0].issue_key().await;
    for instance in &instances {
        instance.wait_for_version(2).await;
    }
    (instances, id, key)
}

/// Guards against a withdrawn key that stays valid on some instance while the platform is
/// unavailable, or becomes valid again on instances started after the outage.
#[tokio::test]
async fn a_key_withdrawn_during_an_outage_is_refused_everywhere_and_becomes_durable_afterwards() {
    let platform = start_platform().await;
    let (instances, id, key) = start_instances(&platform, &["a", "b", "c", "d"]).await;
    set_outage(&platform, Some(Outage::Unavailable));

    let outcome = instances[1].config.withdraw(&id).await.expect("the key is known");

    assert!(!outcome.durable);
    for instance in &instances {
        wait_until("the key is refused", async || !instance.accepts(&key)).await;
    }
    set_outage(&platform, None);
    wait_until("the mark is stored", async || !platform.objects("marks").is_empty()).await;
    let fresh = start_instance("e", &platform.url(), &[]).await;
    fresh.wait_for_version(2).await;
    assert!(!fresh.accepts(&key));
}

/// Guards against a mark that is never stored because the instance that received it has lost its
/// connection to the platform.
#[tokio::test]
async fn another_instance_stores_a_mark_that_the_receiving_instance_cannot_store() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let cut_off = start_instance("a", &view.url(), &[]).await;
    let other = start_instance("b", &platform.url(), &[]).await;
    set_members(&[&cut_off, &other]);
    other.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = other.issue_key().await;
    cut_off.wait_for_version(2).await;
    drop(view);

    let outcome = cut_off.config.withdraw(&id).await.expect("the key is known");

    assert!(!outcome.durable);
    wait_until("the mark is stored", async || !platform.objects("marks").is_empty()).await;
    assert!(!other.accepts(&key));
}

/// Guards against a withdrawn key that becomes valid again when its mark is dropped, after an edit
/// has merged the mark into the records.
#[tokio::test]
async fn a_withdrawn_key_stays_withdrawn_after_its_mark_is_merged_into_the_records() {
    let platform = start_platform().await;
    let (instances, id, key) = start_instances(&platform, &["a", "b"]).await;
    let outcome = instances[0].config.withdraw(&id).await.expect("the key is known");
    assert!(outcome.durable);

    let accepted = instances[1].config.apply(config_of_weight(2), 2).await.expect("accepted");

    for instance in &instances {
        instance.wait_for_version(accepted.version).await;
        assert!(!instance.accepts(&key));
        assert_eq!(instance.in_force().marks.withdrawn_count(), 0, "the mark is in the records");
    }
    // The next write of the marks removes those that are in the records, so that a new instance
    // learns of the withdrawal from the records alone.
    let target = MarkTarget::BackendServer("engine-1".into());
    assert!(instances[0].config.set_in_service(target, false).await.durable);
    let fresh = start_instance("c", &platform.url(), &[]).await;
    fresh.wait_for_version(accepted.version).await;
    assert!(!fresh.accepts(&key));
    wait_until("the server is out of service", async || {
        let in_force = fresh.in_force();
        !in_force.takes_work(&in_force.config.backend_servers["engine-1"])
    })
    .await;
}

/// Guards against an instance that reverts to an older version: it starts during an outage from a
/// stale peer, then receives a newer version, while the stale peer keeps announcing its own.
#[tokio::test]
async fn an_instance_started_from_a_stale_copy_never_reverts_to_an_older_version() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let stale = start_instance("stale", &view.url(), &[]).await;
    let first = start_instance("first", &platform.url(), &[]).await;
    first.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let (id, key) = first.issue_key().await;
    stale.wait_for_version(2).await;
    drop(view);
    first.config.apply(config_of_weight(2), 2).await.expect("the second sheet is accepted");
    assert!(first.config.withdraw(&id).await.expect("the key is known").durable);
    set_outage(&platform, Some(Outage::Unavailable));

    let fresh = start_instance("fresh", &platform.url(), &[&stale]).await;
    let seen = watch_versions(&fresh);
    fresh.wait_for_version(2).await;
    set_members(&[&fresh, &stale, &first]);
    fresh.simulate_beat_from(&first);
    fresh.wait_for_version(3).await;
    for _ in 0..20 {
        fresh.simulate_beat_from(&stale);
        stale.config.announce();
        tokio::task::yield_now().await;
    }
    stale.simulate_beat_from(&fresh);
    stale.wait_for_version(3).await;

    for instance in [&fresh, &stale] {
        wait_until("the key is refused", async || !instance.accepts(&key)).await;
        assert_eq!(instance.in_force().config.organisations["shobdo"].weight, 2);
    }
    let seen = seen.lock().expect("the mutex is not poisoned").clone();
    assert!(seen.is_sorted(), "the version decreased: {seen:?}");
}

/// Records the versions that are in force on an instance from now on.
fn watch_versions(instance: &TestInstance) -> Arc<std::sync::Mutex<Vec<u64>>> {
    let seen = Arc::new(std::sync::Mutex::new(vec![instance.version()]));
    let mut in_force = instance.cx.in_force.clone();
    let recorded = seen.clone();
    tokio::spawn(async move {
        while in_force.changed().await.is_ok() {
            let version = in_force.borrow_and_update().config.version;
            recorded.lock().expect("the mutex is not poisoned").push(version);
        }
    });
    seen
}

/// Guards against a watcher that misses changes because its connection stays open but delivers no
/// data.
#[tokio::test]
async fn a_watch_that_stops_responding_is_replaced() {
    let platform = start_platform().await;
    let view = platform.view().await.expect("no port can be bound");
    let watcher = start_instance("watcher", &view.url(), &[]).await;
    let operator = start_instance("operator", &platform.url(), &[]).await;
    operator.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    watcher.wait_for_version(1).await;

    view.relay().silence_open();
    operator.config.apply(config_of_weight(2), 1).await.expect("the second sheet is accepted");

    watcher.wait_for_version(2).await;
}

/// Guards against load on the platform that grows with the number of instances.
#[tokio::test]
async fn only_watchers_call_the_platform_and_the_others_learn_from_them() {
    let platform = start_platform().await;
    let (instances, ..) = start_instances(&platform, &["a", "b", "c", "d", "e", "f"]).await;
    let (watchers, others): (Vec<&TestInstance>, Vec<&TestInstance>) =
        instances.iter().partition(|instance| is_watcher(&instance.cx));
    let before: Vec<u64> = others.iter().map(|instance| instance.platform_calls()).collect();

    watchers[0].config.apply(config_of_weight(2), 2).await.expect("the sheet is accepted");

    for instance in &instances {
        instance.wait_for_version(3).await;
    }
    let after: Vec<u64> = others.iter().map(|instance| instance.platform_calls()).collect();
    assert_eq!(watchers.len(), 2);
    assert_eq!(before, after, "platform calls of instances that are not watchers");
}

/// Guards against a data centre that stays out of service after a later sheet has put it back in,
/// or stays in service after a mark that is later than the sheet.
#[tokio::test]
async fn a_sheet_supersedes_older_marks_and_a_later_mark_overrides_the_sheet() {
    let platform = start_platform().await;
    let (instances, ..) = start_instances(&platform, &["a", "b"]).await;
    let target = MarkTarget::DataCentre("kolkata-a".into());
    let takes_work = |instance: &TestInstance| {
        let in_force = instance.in_force();
        in_force.takes_work(&in_force.config.backend_servers["engine-1"])
    };

    instances[0].config.set_in_service(target.clone(), false).await;
    wait_until("the mark is in force", async || !takes_work(&instances[1])).await;
    let accepted = instances[1].config.apply(config_of_weight(1), 2).await.expect("accepted");
    assert!(accepted.changed);
    for instance in &instances {
        instance.wait_for_version(accepted.version).await;
        assert!(takes_work(instance));
    }

    instances[0].config.set_in_service(target, false).await;
    for instance in &instances {
        wait_until("the mark is in force", async || !takes_work(instance)).await;
    }
}
