//! Requests with a prompt part that crashes each engine which begins to answer them.

use std::time::{Duration, Instant};

use crate::support::crashing::{CrashTime, CrashingEngines, DEADLY_PART};
use crate::support::instance::InstanceSettings;
use crate::support::{Instance, StandInStore, config, wait_until};

const ENGINES: usize = 6;
/// Time after the fifth crash from which hardly any such request may reach an engine.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Number of such requests that may reach engines after that time.
const MAX_LATE_REQUESTS: usize = 3;
/// Part of a sound session that also sends requests with the deadly part.
const SESSION: &str = "5e55";

struct Fixture {
    engines: CrashingEngines,
    instances: Vec<Instance>,
}

/// Starts two instances in each of two data centres, before engines that restart after a crash.
async fn fixture() -> Fixture {
    fixture_of(CrashTime::BeforeFirstEvent).await
}

async fn fixture_of(crash_time: CrashTime) -> Fixture {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let engines = CrashingEngines::start(&store, ENGINES, crash_time).await;
    let mut instances = Vec::new();
    for (number, data_centre) in
        ["kolkata-a", "kolkata-a", "howrah-c", "howrah-c"].iter().enumerate()
    {
        let cfg = InstanceSettings {
            name: format!("instance-{number}"),
            data_centre,
            store: store.address,
            ..Default::default()
        };
        instances.push(Instance::start(cfg).await);
    }
    for instance in &instances {
        wait_until("all engines are known", || async {
            instance.metrics().await.contains("servers_usable{name=\"engines\"} 6")
        })
        .await;
    }
    Fixture { engines, instances }
}

/// Sends a resumable stream with a prompt of the given shared parts; returns the status, the
/// `Retry-After` header and whether the response is complete.
async fn send(instance: &Instance, parts: &str, number: usize) -> (u16, Option<f64>, bool) {
    let prefix = format!("{parts},f{number:x}:90");
    let req = instance
        .request("/job/1", "key")
        .header("x-laburnumvalve-deadline-ms", "4000")
        .header("x-laburnumvalve-token-counts", "300,40")
        .header("x-laburnumvalve-prompt-prefix", prefix);
    let rsp = req.send().await.expect("there is a response");
    let status = rsp.status().as_u16();
    let retry_after = rsp.headers().get("retry-after").and_then(|text| text.to_str().ok());
    let retry_after = retry_after.and_then(|text| text.parse().ok());
    (status, retry_after, rsp.bytes().await.is_ok())
}

/// Sends requests with the deadly part, another one every 300 ms at the next instance.
async fn send_deadly(fx: &Fixture, count: usize) -> Vec<(u16, Option<f64>, bool)> {
    let sends = (0..count).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(300) * number as u32).await;
        let parts = format!("1:100,{SESSION}:100,{DEADLY_PART}:100");
        send(&fx.instances[number % fx.instances.len()], &parts, number).await
    });
    futures::future::join_all(sends).await
}

/// Guards against a query of death that is sent to one engine after another.
#[tokio::test]
async fn prompt_part_that_crashes_engines_is_no_longer_sent_by_any_instance() {
    let fx = fixture().await;
    let sound_session = format!("1:100,{SESSION}:100");

    let mut answers = send_deadly(&fx, 24).await;

    let arrivals = fx.engines.deadly_arrivals();
    let counted_from = arrivals.get(4).map(|fifth| *fifth + CONTACT_TIME);
    let late = arrivals.iter().filter(|at| counted_from.is_some_and(|from| **at > from)).count();
    assert!(late <= MAX_LATE_REQUESTS && arrivals.len() <= 10, "{} arrivals", arrivals.len());
    let (status, retry_after, _) = answers.pop().expect("there are answers");
    assert_eq!(status, 503);
    assert!(retry_after.is_some_and(|seconds| seconds >= 1.0), "{retry_after:?}");
    // The part of the session was in all requests that crashed an engine, and is not to blame.
    for (number, instance) in fx.instances.iter().enumerate() {
        let (status, _, is_complete) = send(instance, &sound_session, 100 + number).await;
        assert_eq!((status, is_complete), (200, true), "at instance-{number}");
    }
}

/// Guards against an instance that crashes engines again after its restart.
#[tokio::test]
async fn restarted_instance_learns_of_a_quarantined_part_from_the_others() {
    let mut fx = fixture().await;
    send_deadly(&fx, 12).await;
    let before = fx.engines.deadly_arrivals().len();

    fx.instances[0].kill();
    fx.instances[0].restart();
    wait_until("the instance is ready", || fx.instances[0].is_ready()).await;
    wait_until("the instance knows the part", || async {
        !fx.instances[0].metrics().await.contains("prompt_parts_quarantined{name=\"instance\"} 0")
    })
    .await;
    let sent_at = Instant::now();
    let parts = format!("1:100,{SESSION}:100,{DEADLY_PART}:100");
    let (status, ..) = send(&fx.instances[0], &parts, 200).await;

    assert_eq!(status, 503);
    assert!(sent_at.elapsed() < Duration::from_secs(1));
    assert_eq!(fx.engines.deadly_arrivals().len(), before);
}

/// Guards against a query of death whose first event is taken for proof that its parts are sound: each
/// such stream goes on at the next engine and crashes that, too.
#[tokio::test]
async fn prompt_part_that_crashes_engines_after_the_first_event_is_no_longer_sent() {
    let fx = fixture_of(CrashTime::AfterFirstEvent(Duration::from_millis(10))).await;

    let answers = send_deadly(&fx, 24).await;

    let arrivals = fx.engines.deadly_arrivals();
    let counted_from = arrivals.get(4).map(|fifth| *fifth + CONTACT_TIME);
    let late = arrivals.iter().filter(|at| counted_from.is_some_and(|from| **at > from)).count();
    assert!(late <= MAX_LATE_REQUESTS && arrivals.len() <= 12, "{} arrivals", arrivals.len());
    assert_eq!(answers.last().map(|(status, ..)| *status), Some(503));
    // A stream that ends with a crash must not look complete.
    assert!(answers.iter().all(|(status, _, is_complete)| *status != 200 || !is_complete));
    for (number, instance) in fx.instances.iter().enumerate() {
        let (status, _, is_complete) =
            send(instance, &format!("1:100,{SESSION}:100"), 100 + number).await;
        assert_eq!((status, is_complete), (200, true), "at instance-{number}");
    }
}

/// Guards against blame for parts of streams that were well under way when their engine crashed.
#[tokio::test]
async fn crashes_in_the_midst_of_answers_convict_no_part() {
    let fx = fixture_of(CrashTime::AfterFirstEvent(Duration::from_millis(700))).await;
    let parts = format!("1:100,{SESSION}:100,{DEADLY_PART}:100");

    // One after another, as a crash ends all streams of an engine, also those that have just begun.
    for number in 0..4 {
        send(&fx.instances[number % fx.instances.len()], &parts, number).await;
    }

    assert!(fx.engines.deadly_arrivals().len() >= 8, "streams were not sent again");
    for instance in &fx.instances {
        let metrics = instance.metrics().await;
        let gauges: Vec<_> =
            metrics.lines().filter(|line| line.contains("prompt_parts_")).collect();
        let is_zero = |line: &&str| line.ends_with("} 0");
        assert!(gauges.len() == 2 && gauges.iter().all(is_zero), "{gauges:?}");
    }
}
