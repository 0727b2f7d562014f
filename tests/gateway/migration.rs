//! Migration of running streams from engines that leave.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};

use crate::support::engine::{EVENT_PERIOD, Engines, StandInEngine};
use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::{EVENTS, event, full_stream};
use crate::support::{Instance, RawConnection, RawRequest, RawServer, StandInStore, config};

/// Time from the notice that an engine leaves to its exit.
const NOTICE_TIME: Duration = Duration::from_millis(2_000);
/// The same, long enough for an instance on a busy machine to read what all streams send.
const FLOOD_NOTICE_TIME: Duration = Duration::from_millis(6_000);
/// Number of streams that are migrated at the same time.
const CONCURRENT_STREAMS: usize = 16;
/// Half of the memory of the smallest machine, which has 88 MB.
const MAX_MEMORY_BYTES: u64 = 44 << 20;

/// Returns a configuration whose service runs on engines.
fn engine_config() -> Value {
    let mut config = config(1, &["key"]);
    config["services"][0]["engine"] = json!({});
    config
}

/// A leaving engine, and an instance that uses it.
struct Fixture {
    store: StandInStore,
    engines: Engines,
    leaving: StandInEngine,
    instance: Instance,
}

async fn fixture() -> Fixture {
    let engines = Engines::default();
    let leaving = engines.start("leaving", true).await;
    let entry = leaving.entry("kolkata-a", "ready");
    fixture_with(engines, leaving, entry).await
}

/// Returns a fixture whose store lists the given entry for the leaving engine.
async fn fixture_with(engines: Engines, leaving: StandInEngine, entry: Value) -> Fixture {
    let store = StandInStore::start().await;
    store.put("config", "main", engine_config());
    store.put("servers", "leaving", entry);
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    Fixture { store, engines, leaving, instance }
}

impl Fixture {
    /// Adds another engine to the store.
    async fn add(&self, name: &str, has_room: bool, data_centre: &str) -> StandInEngine {
        let engine = self.engines.start(name, has_room).await;
        self.store.put("servers", name, engine.entry(data_centre, "ready"));
        engine
    }

    /// Starts streams at the leaving engine, which says that it leaves once they have begun and
    /// exits after `notice`; returns the texts that the callers received, or the errors.
    async fn stream_during_exit(
        &self,
        attempts: &[String],
        others: &[(&str, bool, &str)],
        notice: Duration,
    ) -> (Vec<Result<String, String>>, Vec<StandInEngine>) {
        let streams = self.start_streams(attempts).await;
        let mut engines = Vec::new();
        for (name, has_room, data_centre) in others {
            engines.push(self.add(name, *has_room, data_centre).await);
        }
        self.store.put("servers", "leaving", self.leaving.entry("kolkata-a", "draining"));
        let exit = async {
            tokio::time::sleep(notice).await;
            self.leaving.exit();
        };
        let texts = streams
            .into_iter()
            .map(|rsp| async { rsp.text().await.map_err(|error| error.to_string()) });
        let (texts, ()) = tokio::join!(futures::future::join_all(texts), exit);
        (texts, engines)
    }

    async fn start_streams(&self, attempts: &[String]) -> Vec<reqwest::Response> {
        let streams = attempts.iter().map(|attempt| async move {
            let mut req = self.instance.request("/stream/1", "key").build().expect("it is valid");
            let id = attempt.parse().expect("the ID is a valid header");
            req.headers_mut().insert("x-laburnumvalve-attempt-id", id);
            self.instance.execute(req).await.expect("there is a response")
        });
        futures::future::join_all(streams).await
    }
}

/// Guards against a stream with events of two software versions: a run that is migrated to an engine of
/// another one.
#[rstest]
#[case::no_engine_of_the_version(&["v2"], 0)]
#[case::an_engine_of_the_version(&["v2", "v1", "v2"], 1)]
#[tokio::test]
async fn stream_is_migrated_only_to_its_version(#[case] versions: &[&str], #[case] moved: u32) {
    let fx = fixture().await;
    let streams = fx.start_streams(&[ATTEMPT_ID.to_owned()]).await;
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let name = format!("engine-{number}");
        let engine = fx.engines.start(&name, true).await;
        let mut entry = engine.entry("kolkata-a", "ready");
        entry["version"] = (*version).into();
        fx.store.put("servers", &name, entry);
        engines.push((*version, engine));
    }

    fx.store.put("servers", "leaving", fx.leaving.entry("kolkata-a", "draining"));
    tokio::time::sleep(NOTICE_TIME).await;
    fx.leaving.exit();
    for rsp in streams {
        let text = rsp.text().await;
        assert_eq!(text.is_ok_and(|text| text == full_stream(ATTEMPT_ID)), moved > 0);
    }

    for (version, engine) in engines {
        assert_eq!(engine.runs(), if version == "v1" { moved } else { 0 }, "at {version}");
    }
}

#[tokio::test]
async fn stream_of_a_leaving_engine_continues_at_an_engine_with_room() {
    let fx = fixture().await;

    let (texts, others) = fx
        .stream_during_exit(&[ATTEMPT_ID.to_owned()], &[("roomy", true, "kolkata-a")], NOTICE_TIME)
        .await;

    assert_eq!((texts, others[0].runs()), (vec![Ok(full_stream(ATTEMPT_ID))], 1));
}

/// Guards against urgent streams that are cut when their engine exits, because the first engine
/// that was to take them over had no room and no other one was asked.
#[tokio::test]
async fn stream_of_a_leaving_engine_survives_engines_without_room() {
    let fx = fixture().await;
    let others = [
        ("full-1", false, "kolkata-a"),
        ("full-2", false, "kolkata-a"),
        ("roomy", true, "howrah-c"),
    ];

    let (texts, others) =
        fx.stream_during_exit(&[ATTEMPT_ID.to_owned()], &others, NOTICE_TIME).await;

    assert_eq!((texts, others[2].runs()), (vec![Ok(full_stream(ATTEMPT_ID))], 1));
}

/// Returns the attempt IDs of streams that run at the same time.
fn attempts(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("caller-{number}")).collect()
}

/// Guards against an instance that exceeds its memory, so that all its requests are lost, because an
/// engine sends bytes without end where the streams of migrated runs should end.
#[rstest]
#[case::no_events("<p>worker failed</p>\n\n")]
#[case::no_empty_line("worker failed ")]
#[case::comments(":\n\n")]
#[tokio::test]
async fn endless_bytes_after_a_migration_take_no_memory(#[case] text: &'static str) {
    let mut fx = fixture().await;
    fx.leaving.flood_after_stop(text);
    let attempts = attempts(CONCURRENT_STREAMS);

    let others = [("roomy", true, "kolkata-a")];
    let (texts, _) = fx.stream_during_exit(&attempts, &others, FLOOD_NOTICE_TIME).await;

    assert!(!fx.instance.has_ended());
    let peak = fx.instance.peak_memory();
    assert!(peak < MAX_MEMORY_BYTES, "took {peak} bytes");
    for (attempt, received) in attempts.iter().zip(texts) {
        let events = received.map(|received| received.replace(":\n\n", ""));
        assert_eq!(events, Ok(full_stream(attempt)));
    }
}

/// Time that a copy of a run's memory takes.
const COPY_TIME: Duration = Duration::from_millis(60);

/// Number of further times that an engine sends a response: one for each copy of a run.
const REPEATED: usize = 2;

/// Starts an engine that sends the response to the first copy on a connection again, so that each
/// later response to a copy there is that of an earlier run.
async fn engine_repeating_a_copy() -> RawServer {
    let stopped: Arc<Mutex<HashSet<String>>> = Arc::default();
    RawServer::start(move |mut connection: RawConnection| {
        let stopped = stopped.clone();
        async move {
            let mut due = VecDeque::new();
            while let Some(req) = connection.read_any_request().await {
                if let Some(attempt) = &req.attempt {
                    return stream_until_stopped(&mut connection, attempt, &stopped).await;
                }
                tokio::time::sleep(COPY_TIME).await;
                let rsp = copy_response(&req, &stopped);
                if due.is_empty() {
                    due.extend(vec![rsp.clone(); REPEATED]);
                }
                due.push_back(rsp);
                let next = due.pop_front().expect("a response was added");
                if !connection.write(next.as_bytes()).await {
                    return;
                }
            }
        }
    })
    .await
}

/// Returns the response to a copy of a run's memory, whose handle names the run.
fn copy_response(req: &RawRequest, stopped: &Mutex<HashSet<String>>) -> String {
    let call: Value = serde_json::from_slice(&req.body).expect("the call is JSON");
    let id = call["id"].as_str().expect("the call names the run");
    if call["last"] == true {
        stopped.lock().expect("no lock holder panicked").insert(id.to_owned());
    }
    let body = json!({ "handle": id, "created": 1 }).to_string();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Sends events in chunks until the run is stopped, and then ends without a final chunk.
async fn stream_until_stopped(
    connection: &mut RawConnection,
    attempt: &str,
    stopped: &Mutex<HashSet<String>>,
) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
         x-laburnumvalve-response-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    connection.write(head.as_bytes()).await;
    for id in 1..=EVENTS {
        if stopped.lock().expect("no lock holder panicked").contains(attempt) {
            return;
        }
        let event = event(attempt, id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if !connection.write(chunk.as_bytes()).await {
            return;
        }
        tokio::time::sleep(EVENT_PERIOD).await;
    }
    connection.write(b"0\r\n\r\n").await;
}

/// Guards against a stream that goes on from the memory of another caller's run, because a late
/// second response of an engine was taken for that of the next call.
#[tokio::test]
async fn late_second_response_to_a_copy_is_not_taken_for_another_one() {
    let repeating = engine_repeating_a_copy().await;
    let mut entry = repeating.entry();
    let engines = Engines::default();
    let unused = engines.start("unused", true).await;
    let fx = fixture_with(engines, unused, entry.clone()).await;
    let attempts = attempts(CONCURRENT_STREAMS);
    let streams = fx.start_streams(&attempts).await;
    let roomy = fx.add("roomy", true, "kolkata-a").await;

    entry["state"] = "draining".into();
    fx.store.put("servers", "leaving", entry);
    let texts = streams
        .into_iter()
        .map(|rsp| async { rsp.text().await.map_err(|error| error.to_string()) });
    let texts = futures::future::join_all(texts).await;

    let continued = roomy.continued();
    assert!(!continued.is_empty(), "no run was moved");
    for (attempt, memory) in continued {
        let handle = memory.split('/').nth(1);
        assert_eq!(handle, Some(attempt.as_str()), "{attempt} went on from another run's memory");
    }
    for (attempt, text) in attempts.iter().zip(texts) {
        assert_eq!(text, Ok(full_stream(attempt)));
    }
}
