//! Migration of running streams from engines that leave.

use std::time::Duration;

use serde_json::{Value, json};

use crate::support::engine::{Engines, StandInEngine};
use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::full_stream;
use crate::support::{Instance, StandInStore, config};

/// Time from the notice that an engine leaves to its exit.
const NOTICE_TIME: Duration = Duration::from_millis(2_000);

/// Returns a configuration whose service runs on engines.
fn engine_config() -> Value {
    let mut config = config(1, &["key"]);
    config["services"][0]["engine"] = json!({});
    config
}

/// Starts a stream at an engine that then says that it leaves, and exits when its time is over;
/// returns the text that the caller received, or the error.
async fn stream_during_exit(
    store: &StandInStore,
    leaving: &StandInEngine,
    others: &[(&str, &StandInEngine, &str)],
) -> Result<String, String> {
    store.put("config", "main", engine_config());
    store.put("servers", "leaving", leaving.entry("kolkata-a", "ready"));
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let streaming = instance.request("/stream/1", "key").send().await.expect("there is a response");
    for (name, engine, data_centre) in others {
        store.put("servers", name, engine.entry(data_centre, "ready"));
    }
    store.put("servers", "leaving", leaving.entry("kolkata-a", "draining"));
    let exit = async {
        tokio::time::sleep(NOTICE_TIME).await;
        leaving.exit();
    };
    let (text, ()) = tokio::join!(streaming.text(), exit);
    text.map_err(|error| error.to_string())
}

#[tokio::test]
async fn stream_of_a_leaving_engine_continues_at_an_engine_with_room() {
    let (store, engines) = (StandInStore::start().await, Engines::default());
    let leaving = engines.start("leaving", true).await;
    let roomy = engines.start("roomy", true).await;

    let text = stream_during_exit(&store, &leaving, &[("roomy", &roomy, "kolkata-a")]).await;

    assert_eq!((text, roomy.runs()), (Ok(full_stream(ATTEMPT_ID)), 1));
}

/// Guards against urgent streams that are cut when their engine exits, because the first engine
/// that was to take them over had no room and no other one was asked.
#[tokio::test]
async fn stream_of_a_leaving_engine_survives_engines_without_room() {
    let (store, engines) = (StandInStore::start().await, Engines::default());
    let leaving = engines.start("leaving", true).await;
    let full = [engines.start("full-1", false).await, engines.start("full-2", false).await];
    let roomy = engines.start("roomy", true).await;
    let others = [
        ("full-1", &full[0], "kolkata-a"),
        ("full-2", &full[1], "kolkata-a"),
        ("roomy", &roomy, "howrah-c"),
    ];

    let text = stream_during_exit(&store, &leaving, &others).await;

    assert_eq!((text, roomy.runs()), (Ok(full_stream(ATTEMPT_ID)), 1));
}
