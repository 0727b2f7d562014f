//! Streams of services whose backend servers run several versions of their software.

use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::support::instance::InstanceSettings;
use crate::support::runner::full_stream;
use crate::support::{Fault, Instance, StandInBackend, StandInStore, config, wait_until};

/// Number of streams of a test.
const STREAMS: usize = 16;
/// Maximum number of streams that are started until one begins at a certain server.
const MAX_STREAMS: usize = 100;

/// A backend server with a version of its software.
struct Versioned {
    version: &'static str,
    server: StandInBackend,
}

/// A store, and backend servers of one service.
struct Fixture {
    store: StandInStore,
    servers: Vec<Versioned>,
}

/// Starts backend servers with the given versions and faults.
async fn fixture(servers: &[(&'static str, Fault)]) -> Fixture {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    let mut fx = Fixture { store, servers: Vec::new() };
    for (version, fault) in servers {
        fx.add(version, *fault).await;
    }
    fx
}

/// A run of a stream: the version that it ran at, and the last event that its caller had.
type RunAt = (&'static str, Option<u64>);

impl Fixture {
    async fn add(&mut self, version: &'static str, fault: Fault) {
        let server = StandInBackend::start(&format!("runner-{}", self.servers.len())).await;
        server.set_fault(fault);
        let mut entry = server.entry();
        entry["version"] = version.into();
        self.store.put("servers", &server.name(), entry);
        self.servers.push(Versioned { version, server });
    }

    fn settings(&self, number: usize) -> InstanceSettings {
        let name = format!("instance-{number}");
        InstanceSettings { name, store: self.store.address, ..Default::default() }
    }

    /// Starts an instance, which knows that it is one of so many.
    async fn start_instance(&self, number: usize) -> Instance {
        let instance = Instance::start(self.settings(number)).await;
        let listed = format!("instances_listed{{name=\"instance\"}} {number}\n");
        wait_until("the instances know each other", || async {
            instance.metrics().await.contains(&listed)
        })
        .await;
        instance
    }

    /// Returns the runs of an attempt in the order of their start.
    fn runs(&self, attempt: &str) -> Vec<RunAt> {
        let all = self
            .servers
            .iter()
            .flat_map(|at| at.server.runs().into_iter().map(move |run| (run.at, at.version, run)));
        let mut of_attempt: Vec<_> =
            all.filter(|(.., run)| run.text("x-laburnumvalve-attempt-id") == attempt).collect();
        of_attempt.sort_by_key(|(at, ..)| *at);
        let runs = of_attempt.into_iter();
        runs.map(|(_, version, run)| (version, run.text("last-event-id").parse().ok())).collect()
    }
}

fn attempt(number: usize) -> String {
    format!("attempt-{number}")
}

/// Starts a resumable stream.
async fn start_stream(instance: &Instance, id: &str) -> reqwest::Response {
    let mut req = instance.request("/job/1", "key").build().expect("it is valid");
    let id = id.parse().expect("the ID is a valid header");
    req.headers_mut().insert("x-laburnumvalve-attempt-id", id);
    instance.execute(req).await.expect("there is a response")
}

/// Takes a stream up again after its second event.
async fn resume_stream(instance: &Instance, id: &str, began_by: Option<&str>) -> reqwest::Response {
    let mut req = instance.request("/job/1", "key").header("last-event-id", "2");
    if let Some(began_by) = began_by {
        req = req.header("resumes", began_by);
    }
    let mut req = req.build().expect("it is valid");
    let id = id.parse().expect("the ID is a valid header");
    req.headers_mut().insert("x-laburnumvalve-attempt-id", id);
    instance.execute(req).await.expect("there is a response")
}

/// Starts streams, and reads the first event of each.
async fn start_streams(instance: &Instance) -> Vec<reqwest::Response> {
    let started = (0..STREAMS).map(|number| async move {
        let mut rsp = start_stream(instance, &attempt(number)).await;
        rsp.chunk().await.expect("the stream has begun").expect("it has an event");
        rsp
    });
    futures::future::join_all(started).await
}

/// Guards against a stream with events of two software versions: an instance that goes on, in the same
/// answer, with a stream which broke off.
#[rstest]
#[case::no_other_server_of_the_version(&[("v1", Fault::CutStream), ("v2", Fault::None)], false)]
#[case::another_server_of_the_version(
    &[("v1", Fault::CutStream), ("v1", Fault::None), ("v2", Fault::None), ("v2", Fault::None)],
    true
)]
#[tokio::test]
async fn broken_stream_goes_on_only_at_its_version(
    #[case] servers: &[(&'static str, Fault)],
    #[case] is_whole: bool,
) {
    let fx = fixture(servers).await;
    let instance = Instance::start(fx.settings(1)).await;

    let mut broken = 0;
    for number in 0..MAX_STREAMS {
        if broken > 0 && number >= STREAMS {
            break;
        }
        let id = attempt(number);
        let text = start_stream(&instance, &id).await.text().await;

        let runs = fx.runs(&id);
        assert!(runs.iter().all(|(version, _)| *version == runs[0].0), "{id}: {runs:?}");
        let ran_whole = text.is_ok_and(|text| text == full_stream(&id));
        let was_cut = runs.len() > 1 || !ran_whole;
        assert!(ran_whole || !is_whole, "{id}: {runs:?}");
        broken += usize::from(was_cut);
    }
    assert!(broken > 0, "no stream began at the server that cuts it");
}

/// How an instance learns what began a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Taker {
    /// It served the stream itself.
    Same,
    /// It was told when the stream began.
    Other,
    /// It started later, and asks.
    Later,
    /// It started after all others were killed.
    Last,
}

/// Time within which the origins of streams are stored: two periods and a call.
const STORE_TIME: Duration = Duration::from_millis(1_300);

/// Guards against a stream with events of two software versions: a caller that takes a stream up again,
/// at the same instance or another one, also after the one that served it was killed. The last case guards
/// against streams that are lost with all instances that knew them.
#[rstest]
#[case::same(Taker::Same)]
#[case::other(Taker::Other)]
#[case::later(Taker::Later)]
#[case::last(Taker::Last)]
#[tokio::test]
async fn stream_that_is_taken_up_goes_on_at_its_version(#[case] taker: Taker) {
    let fx = fixture(&[("v1", Fault::None), ("v2", Fault::None), ("v2", Fault::None)]).await;
    let mut first = fx.start_instance(1).await;
    let mut second = fx.start_instance(2).await;
    let known = "instances_listed{name=\"instance\"} 2\n";
    wait_until("the first one knows both", || async { first.metrics().await.contains(known) })
        .await;

    let started = start_streams(&first).await;
    drop(started);
    let third;
    let instance = match taker {
        Taker::Same => &first,
        Taker::Other => {
            first.kill();
            &second
        }
        Taker::Later => {
            first.kill();
            third = fx.start_instance(3).await;
            &third
        }
        Taker::Last => {
            tokio::time::sleep(STORE_TIME).await;
            first.kill();
            second.kill();
            third = fx.start_instance(3).await;
            &third
        }
    };

    let mut versions: HashMap<&str, usize> = HashMap::new();
    for number in 0..STREAMS {
        let (id, began_by) = (format!("again-{number}"), attempt(number));
        let rsp = resume_stream(instance, &id, Some(&began_by)).await;
        assert_eq!(rsp.status(), 200, "{id}");
        let (began, went_on) = (fx.runs(&began_by), fx.runs(&id));
        assert_eq!(went_on, [(began[0].0, Some(2))], "{id} after {began:?}");
        *versions.entry(began[0].0).or_default() += 1;
    }
    assert_eq!(versions.len(), 2, "all streams began at one version: {versions:?}");
}

/// Guards against a stream that goes on at any version, as nobody knows what began it: it is refused,
/// and has not run.
#[rstest]
#[case::of_an_unknown_attempt(Some("attempt-unknown"))]
#[case::without_an_attempt(None)]
#[tokio::test]
async fn stream_of_unknown_origin_is_refused(#[case] began_by: Option<&str>) {
    let fx = fixture(&[("v1", Fault::None), ("v2", Fault::None)]).await;
    let instance = fx.start_instance(1).await;

    let rsp = resume_stream(&instance, "again", began_by).await;

    assert_eq!(rsp.status(), 503);
    assert!(fx.runs("again").is_empty());
}

/// Guards against a stream that goes on at the version that has replaced its own.
#[tokio::test]
async fn stream_whose_version_is_gone_is_refused() {
    let mut fx = fixture(&[("v1", Fault::None)]).await;
    let instance = fx.start_instance(1).await;
    drop(start_streams(&instance).await);
    fx.add("v2", Fault::None).await;
    fx.store.delete("servers", &fx.servers[0].server.name());
    let usable = "servers_usable{name=\"engines\"} 1\n";
    wait_until("the new version is used", || async {
        let is_served = start_stream(&instance, "new").await.status() == 200;
        is_served
            && fx.runs("new").iter().any(|(version, _)| *version == "v2")
            && instance.metrics().await.contains(usable)
    })
    .await;

    let rsp = resume_stream(&instance, "again", Some(&attempt(0))).await;

    assert_eq!(rsp.status(), 503);
    assert!(fx.runs("again").is_empty());
}

/// Guards against a stream whose chain of resumptions forgets the version that began it.
#[tokio::test]
async fn stream_that_is_taken_up_twice_stays_at_its_version() {
    let fx = fixture(&[("v1", Fault::None), ("v2", Fault::None), ("v2", Fault::None)]).await;
    let instance = fx.start_instance(1).await;
    drop(start_streams(&instance).await);

    for number in 0..STREAMS {
        let began_by = attempt(number);
        for id in [format!("second-{number}"), format!("third-{number}")] {
            let mut rsp = resume_stream(&instance, &id, Some(&began_by)).await;
            rsp.chunk().await.expect("the stream goes on").expect("it has an event");
            assert_eq!(fx.runs(&id)[0].0, fx.runs(&began_by)[0].0, "{id}");
        }
    }
}

/// Guards against a stream with events of two services, where a route is split between them.
#[tokio::test]
async fn stream_of_a_split_route_goes_on_at_its_service() {
    let mut fx = fixture(&[("v1", Fault::None)]).await;
    let mut config = config(2, &["key"]);
    let other = json!({"name": "others", "health-path": "/healthz", "max-connections": 100});
    config["services"].as_array_mut().expect("there are services").push(other);
    for route in config["routes"].as_array_mut().expect("there are routes") {
        let share = |service: &str| json!({"service": service, "weight": 50});
        route["traffic-split"] = json!([share("engines"), share("others")]);
    }
    fx.store.put("config", "main", config);
    // The version tells the service here.
    fx.add("of-others", Fault::None).await;
    let mut entry = fx.servers[1].server.entry();
    entry["service"] = "others".into();
    entry["version"] = "v1".into();
    fx.store.put("servers", &fx.servers[1].server.name(), entry);
    let instance = fx.start_instance(1).await;
    drop(start_streams(&instance).await);

    let mut services: HashMap<&str, usize> = HashMap::new();
    for number in 0..STREAMS {
        let (id, began_by) = (format!("again-{number}"), attempt(number));
        let rsp = resume_stream(&instance, &id, Some(&began_by)).await;
        assert_eq!(rsp.status(), 200, "{id}");
        let began = fx.runs(&began_by);
        assert_eq!(fx.runs(&id), [(began[0].0, Some(2))], "{id} after {began:?}");
        *services.entry(began[0].0).or_default() += 1;
    }
    assert_eq!(services.len(), 2, "all streams began at one service: {services:?}");
}

/// Guards against calls to the store for each stream of a service that has one version.
#[tokio::test]
async fn streams_of_the_only_version_are_not_stored() {
    let fx = fixture(&[("v1", Fault::None), ("v1", Fault::None)]).await;
    let instance = fx.start_instance(1).await;

    drop(start_streams(&instance).await);
    tokio::time::sleep(STORE_TIME).await;

    assert_eq!(fx.store.names("valve-origins"), Vec::<String>::new());
}

/// Guards against streams that are lost though they were stored, as the store came back from a copy, or the
/// second version came after they had begun.
#[rstest]
#[case::store_came_back_from_a_copy(true)]
#[case::second_version_came_later(false)]
#[tokio::test]
async fn streams_are_stored_again_when_they_must_be(#[case] is_store_back: bool) {
    let versions = if is_store_back { ["v1", "v2"] } else { ["v1", "v1"] };
    let mut fx = fixture(&versions.map(|version| (version, Fault::None))).await;
    fx.store.state_era();
    let mut first = fx.start_instance(1).await;
    let copy = fx.store.copy();
    drop(start_streams(&first).await);
    tokio::time::sleep(STORE_TIME).await;

    if is_store_back {
        fx.store.return_from(&copy);
    } else {
        fx.add("v2", Fault::None).await;
    }
    wait_until("the streams are stored", || async { !fx.store.names("valve-origins").is_empty() })
        .await;
    first.kill();
    let second = fx.start_instance(2).await;

    for number in 0..STREAMS {
        let (id, began_by) = (format!("again-{number}"), attempt(number));
        let rsp = resume_stream(&second, &id, Some(&began_by)).await;
        assert_eq!(rsp.status(), 200, "{id}");
        assert_eq!(fx.runs(&id)[0].0, fx.runs(&began_by)[0].0, "{id}");
    }
}
