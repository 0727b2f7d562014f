//! Evacuated data centres and backend servers, graceful shutdown, and configuration propagation.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::caller::{Answer, BETWEEN_REQUESTS, user};
use common::{Caller, Fleet, FleetSettings, IN_FORCE_BOUND, STEP_BOUND};
use futures::future::join_all;
use serde_json::Value;
use standins::PlatformSettings;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time within which a configuration reaches all instances after the accepting one was killed.
const PROPAGATION_TIMEOUT_AFTER_KILL: Duration = Duration::from_secs(6);
/// Duration of the observed traffic after a change must be in force.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(1);
/// Callers of an instance that does not know the newest configuration.
const OUTDATED_CALLERS: usize = 6;
/// Tokens of a response that takes about 2 s.
const LONG_RESPONSE_TOKENS: u64 = 400;

/// Sends consecutive requests to each instance until stopped.
fn send_continuously(
    callers: Vec<Caller>,
) -> (watch::Sender<bool>, JoinHandle<Vec<(Value, Answer)>>) {
    let (stop, rx) = watch::channel(false);
    let loops = callers.into_iter().map(move |caller| {
        let rx = rx.clone();
        async move {
            let mut answers = Vec::new();
            while !*rx.borrow() {
                // Prompts differ, so that prefix affinity does not send all requests to one server.
                let messages = user(&format!("question {}", answers.len()));
                let answer = caller.stream(&messages, 4).await;
                answers.push((messages, answer));
                tokio::time::sleep(BETWEEN_REQUESTS).await;
            }
            answers
        }
    });
    let traffic = join_all(loops);
    (stop, tokio::spawn(async move { traffic.await.into_iter().flatten().collect() }))
}

fn request_counts(fleet: &Fleet) -> BTreeMap<String, usize> {
    fleet.engines.iter().map(|(name, engine)| (name.clone(), engine.received().len())).collect()
}

/// Applies a change under traffic that uses the engines in `removed`.
///
/// Returns the number of requests that each engine received after the change must be in force.
async fn received_after_change(
    fleet: &Fleet,
    removed: &[&str],
    change: impl Future<Output = ()>,
) -> BTreeMap<String, usize> {
    let key = fleet.issue("i1", "shobdo").await;
    let callers = fleet.instances.keys().map(|at| fleet.caller(at, &key)).collect();
    let (stop, traffic) = send_continuously(callers);
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let used = request_counts(fleet);
    for name in removed {
        assert!(used[*name] > 0, "{name} received no requests before the change: {used:?}");
    }

    change.await;
    tokio::time::sleep(IN_FORCE_BOUND).await;
    let before = request_counts(fleet);
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let after = request_counts(fleet);

    stop.send_replace(true);
    let answers = traffic.await.expect("the traffic task panicked");
    answers.iter().for_each(|(messages, answer)| answer.assert_whole(messages, 4));
    after.into_iter().map(|(name, count)| (name.clone(), count - before[&name])).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuated_data_centre_receives_no_new_requests() {
    let fleet = Fleet::start(FleetSettings::default()).await;

    let received = received_after_change(
        &fleet,
        &["e1", "e2"],
        fleet.instances["i2"].set_data_centre("kolkata-a", false),
    );
    let received = received.await;

    assert_eq!((received["e1"], received["e2"]), (0, 0));
    assert!(received["e3"] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_evacuated_during_a_platform_outage_receives_no_new_requests() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let outage = async {
        fleet.platform.change_faults(|faults| {
            faults.outage = Some(standins::platform::Outage::Unavailable);
        });
        fleet.instances["i2"].set_data_centre("kolkata-a", false).await;
    };

    let received = received_after_change(&fleet, &["e1", "e2"], outage).await;

    assert_eq!((received["e1"], received["e2"]), (0, 0));
    assert!(received["e3"] > 0);
}

/// An entry instance may learn of an evacuation after the home instances. Both of its candidates are
/// then refused, although a server of another data centre is in service.
#[tokio::test(flavor = "multi_thread")]
async fn entry_with_an_outdated_configuration_uses_a_server_that_is_in_service() {
    let mut settings = FleetSettings::default();
    // All servers are equally far from an instance in a data centre of its own.
    settings.sheet = settings.sheet.data_centre("kolkata-c", "bengal-east");
    settings.instances.push(("i4".into(), "kolkata-c".into()));
    let fleet = Fleet::start(settings).await;
    let key = fleet.issue("i1", "shobdo").await;
    fleet.cut_from_platform("i4");
    fleet.cut_pushes_to("i4");
    let (stop, traffic) = send_continuously(vec![fleet.caller("i4", &key); OUTDATED_CALLERS]);

    fleet.instances["i2"].set_data_centre("kolkata-a", false).await;
    tokio::time::sleep(OBSERVATION_PERIOD).await;

    stop.send_replace(true);
    let answers = traffic.await.expect("the traffic task panicked");
    answers.iter().for_each(|(messages, answer)| answer.assert_whole(messages, 4));
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_marked_out_receives_no_new_requests() {
    let fleet = Fleet::start(FleetSettings::default()).await;

    let received = received_after_change(
        &fleet,
        &["e1"],
        fleet.instances["i3"].set_backend_server("e1", false),
    );
    let received = received.await;

    assert_eq!(received["e1"], 0);
    assert!(received["e2"] + received["e3"] > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_requests_in_flight() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    let key = fleet.issue("i1", "shobdo").await;
    let callers = ["i1", "i2", "i3", "i2"].map(|at| fleet.caller(at, &key));
    let long = callers.map(|caller| {
        tokio::spawn(async move { caller.stream(&user("long"), LONG_RESPONSE_TOKENS).await })
    });
    common::eventually("all streams run", || async {
        fleet.engines.values().flat_map(|engine| engine.runs()).filter(|run| run.tokens > 0).count()
            == long.len()
    })
    .await;
    let others = ["i1", "i3"].map(|at| fleet.caller(at, &key)).to_vec();
    let (stop, traffic) = send_continuously(others);

    let instance = fleet.instances.get_mut("i2").unwrap();
    instance.stop();
    let exited_cleanly = instance.ended().await;
    stop.send_replace(true);

    assert!(exited_cleanly);
    for answer in join_all(long).await {
        answer.unwrap().assert_whole(&user("long"), LONG_RESPONSE_TOKENS);
    }
    let meanwhile = traffic.await.unwrap();
    meanwhile.iter().for_each(|(messages, answer)| answer.assert_whole(messages, 4));
}

fn version(status: &Value) -> u64 {
    status["config_version"].as_u64().expect("a status has a version")
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_reaches_all_instances_when_the_accepting_instance_dies() {
    let mut fleet = Fleet::start(FleetSettings::default()).await;
    let sheet = fleet.sheet.clone().organisation("newcomer", "timing");

    let accepted = fleet.apply("i1", &sheet).await.expect("the sheet was refused");
    fleet.instances.get_mut("i1").unwrap().kill().await;
    tokio::time::sleep(PROPAGATION_TIMEOUT_AFTER_KILL).await;
    let accepted = accepted["version"].as_u64().expect("an accepted sheet has a version");
    let others = [fleet.instances["i2"].status().await, fleet.instances["i3"].status().await];
    fleet.instances.get_mut("i1").unwrap().restart();
    fleet.instances["i1"].wait_ready().await;
    let restarted = fleet.instances["i1"].status().await;

    assert_eq!(others.each_ref().map(version), [accepted, accepted]);
    assert_eq!(version(&restarted), accepted);
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_version_never_decreases_on_any_instance() {
    let fleet = Fleet::start(FleetSettings::default()).await;
    let (stop, rx) = watch::channel(false);
    let seen = fleet.instances.values().map(|instance| {
        let rx = rx.clone();
        async move {
            let mut seen = Vec::new();
            while !*rx.borrow() {
                seen.push(version(&instance.status().await));
                tokio::time::sleep(BETWEEN_REQUESTS).await;
            }
            seen
        }
    });
    let changes = async {
        let mut versions = Vec::new();
        for (number, at) in ["i1", "i2", "i3", "i1"].into_iter().enumerate() {
            let sheet = fleet.sheet.clone().organisation(&format!("new-{number}"), "timing");
            let lost = standins::platform::LostAnswer {
                matching: "update configs".to_owned(),
                count: 1,
                hang: false,
            };
            fleet.platform.change_faults(|faults| faults.lost_answers = vec![lost]);
            versions.push(fleet.apply(at, &sheet).await.expect("the sheet was refused"));
            tokio::time::sleep(IN_FORCE_BOUND).await;
        }
        stop.send_replace(true);
        versions.last().and_then(|accepted| accepted["version"].as_u64())
    };

    let both = async { tokio::join!(join_all(seen), changes) };
    let (seen, last) =
        tokio::time::timeout(STEP_BOUND, both).await.expect("the changes did not finish in time");

    for versions in seen {
        assert!(versions.is_sorted(), "a version decreased: {versions:?}");
        assert_eq!(versions.last().copied(), last);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ready_instance_knows_the_members_that_serve_requests() {
    let slow_list = PlatformSettings { list_lag: Duration::from_secs(5), ..Default::default() };
    let flags = vec![("beat-ms", "2000"), ("suspect-ms", "8000")];
    let settings = FleetSettings { platform: slow_list, flags, ..Default::default() };
    let fleet = Fleet::start(settings).await;
    let key = fleet.issue("i1", "shobdo").await;

    for at in fleet.instances.keys() {
        let answer = fleet.caller(at, &key).post("/bookings/north", Some(at), "sofa").await;

        assert_eq!(answer.status, 200, "{at}: {answer:?}");
    }
}
