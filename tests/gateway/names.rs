//! Names in the store that have a meaning of their own in URLs.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Response;
use hyper::header::HeaderValue;
use laburnumvalve::platform::{Collection, ObjectClient, ObjectKind, PlatformError, Store};
use percent_encoding::percent_decode_str;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::instance::InstanceSettings;
use crate::support::{Instance, StandInBackend, StandInStore, config, full, serve, stand_ins};

/// Time within which a list is read or has failed.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a value of the maximum size of an object, after which no other object fits into a page.
fn value_of_a_whole_page() -> Value {
    json!({ "note": "x".repeat(1 << 20) })
}

/// Guards against instances that never become ready, as their list of a collection doesn't get past
/// a name that isn't encoded in the URL of the next page.
#[rstest]
#[case::escape("a00%21")]
#[case::escape_that_leads_two_pages_back("a%21")]
#[case::broken_escape("a01%zz")]
#[case::fragment("a01#e7ec4d")]
#[case::separator("a02&b=c")]
#[case::plus("a03+")]
#[case::escaped_letter("a04%C3%A9")]
#[case::letter_outside_ascii("a05\u{e9}")]
#[case::space("a06 b")]
#[case::slash("a07/b")]
#[case::query("a08?b=c")]
#[case::quote("a09\"b\\")]
#[tokio::test]
async fn name_that_ends_a_page_does_not_end_the_list(#[case] name: &str) {
    let (store, _server) = stand_ins(&["key"]).await;
    for kind in ["servers", "config", "evacuations", "valve-instances"] {
        store.put(kind, "a", value_of_a_whole_page());
        store.put(kind, "a$", value_of_a_whole_page());
        store.put(kind, name, value_of_a_whole_page());
    }

    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;

    let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
    assert_eq!(rsp.status(), 200);
}

/// Guards against a list that is read without end and fills the memory, as the store gives the same
/// pages again.
#[rstest]
#[case::one_page(1)]
#[case::two_pages(2)]
#[case::five_pages(5)]
#[tokio::test]
async fn list_whose_pages_come_again_ends_with_an_error(#[case] count: usize) {
    let calls = Arc::new(AtomicUsize::new(0));
    let address = serve(move |_| {
        let page = calls.fetch_add(1, Ordering::Relaxed) % count;
        let items =
            json!([{ "metadata": { "name": format!("a{page}"), "revision": 1 }, "spec": {} }]);
        let body = json!({ "items": items, "has-more": true, "at": 2 });
        async move { Response::new(full(body.to_string())) }
    })
    .await;
    let store = Store::new(address).expect("there is a client");

    let list = tokio::time::timeout(LIST_TIMEOUT, store.list(Collection::DataCentresOut)).await;

    let error = list.expect("the list ends").expect_err("the list has no end");
    assert!(matches!(&error, PlatformError::Malformed(why) if why.contains("\"a0\"")), "{error}");
}

/// Guards against calls for one object that reach another one, whose name is the part of the first
/// name that a URL leaves.
#[rstest]
#[case::fragment("instance-1#former")]
#[case::query("instance-1?former")]
#[case::escape("instance-%31")]
#[case::slash("instance-1/former")]
#[case::letter_outside_ascii("instance-1\u{e9}")]
#[tokio::test]
async fn call_for_an_object_reaches_no_other_one(#[case] name: &str) {
    let stand_in = StandInStore::start().await;
    let store = Store::new(stand_in.address).expect("there is a client");
    store.create(Collection::Instances, "instance-1", &"first").await.expect("it is created");
    store.create(Collection::Instances, name, &"second").await.expect("it is created");

    let updated = store.update(Collection::Instances, name, None, &"third").await;
    let found = store.get::<String>(Collection::Instances, name).await;
    let deleted = store.delete(Collection::Instances, name).await;

    updated.expect("it is updated");
    assert_eq!(found.expect("it is found").spec, "third");
    deleted.expect("it is deleted");
    assert!(!stand_in.has("valve-instances", name));
    let other = store.get::<String>(Collection::Instances, "instance-1").await;
    assert_eq!(other.expect("the other one is found").spec, "first");
}

/// Guards against calls for an object whose name no path can hold, which reach the collection or
/// another one.
#[rstest]
#[case::empty("")]
#[case::same_folder(".")]
#[case::parent_folder("..")]
#[tokio::test]
async fn name_that_no_path_can_hold_is_refused(#[case] name: &str) {
    let stand_in = StandInStore::start().await;
    let store = Store::new(stand_in.faulty_address).expect("there is a client");

    let deleted = store.delete(Collection::Instances, name).await;

    assert!(matches!(deleted, Err(PlatformError::Refused(_))), "{deleted:?}");
    assert_eq!(stand_in.calls(), Vec::<String>::new());
}

/// Guards against a list that leaves out objects, as the next page begins after another name that
/// sorts later.
#[tokio::test]
async fn list_of_many_pages_is_whole() {
    let stand_in = StandInStore::start().await;
    let names: HashSet<String> = (0..1_200).map(|number| format!("a%7A{number}")).collect();
    let server = StandInBackend::start("runner-1").await;
    for name in &names {
        stand_in.put("servers", name, server.entry());
    }
    let store = Store::new(stand_in.address).expect("there is a client");

    let (listed, _) = store.list(Collection::Servers).await.expect("the list is read");

    assert_eq!(listed.len(), names.len());
    assert_eq!(listed.into_iter().map(|object| object.name).collect::<HashSet<_>>(), names);
}

/// Guards against orders for a backend server that are read, replaced or deleted in place of those of
/// another one.
#[rstest]
#[case::fragment("engine-1#former")]
#[case::query("engine-1?former")]
#[case::escape("engine-%31")]
#[case::slash("engine-1/former")]
#[tokio::test]
async fn call_of_the_object_api_reaches_no_other_object(#[case] name: &str) {
    let asked = Arc::new(Mutex::new(Vec::new()));
    let seen = asked.clone();
    let address = serve(move |req| {
        seen.lock().expect("no holder panicked").push(req.uri().path().to_owned());
        async { Response::new(full("{}")) }
    })
    .await;
    let client = ObjectClient::new(&format!("http://{address}")).expect("there is a client");

    let deleted = client.delete(ObjectKind::Orders, name, "1").await;

    deleted.expect("the call has a response");
    let asked = asked.lock().expect("no holder panicked");
    let segment = asked[0].rsplit('/').next().expect("there is a path");
    assert_eq!(percent_decode_str(segment).decode_utf8().expect("it is text"), name);
}

/// Guards against requests that are sent without the names of their server and organisation, or whose
/// key is unknown, because of characters outside ASCII.
#[tokio::test]
async fn names_outside_ascii_are_sent_as_they_are() {
    const SERVER: &str = "runner-\u{e9}";
    const KEY: &str = "cl\u{e9}";
    let store = StandInStore::start().await;
    let mut config = config(1, &[KEY]);
    config["tenants"][0]["name"] = "\u{e9}quipe".into();
    store.put("config", "main", config);
    let server = StandInBackend::start(SERVER).await;
    store.put("servers", SERVER, server.entry());
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let mut req = instance.request("/booking/1", "key").build().expect("it is valid");
    let key = HeaderValue::from_bytes(KEY.as_bytes()).expect("a header can hold it");
    req.headers_mut().insert("x-laburnumvalve-key", key);

    let rsp = instance.execute(req).await.expect("there is a response");

    assert_eq!(rsp.status(), 200);
    let run = &server.runs()[0];
    let sent = |name: &str| run.headers.get(name).map(|value| value.as_bytes().to_vec());
    assert_eq!(sent("x-laburnumvalve-expect-instance"), Some(SERVER.as_bytes().to_vec()));
    assert_eq!(sent("x-laburnumvalve-tenant"), Some("\u{e9}quipe".as_bytes().to_vec()));
}
