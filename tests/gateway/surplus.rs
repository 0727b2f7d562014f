//! Bytes that belong to no request: refusals sent again, and errors in the middle of a stream.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;

use crate::support::instance::InstanceSettings;
use crate::support::runner::plain_body;
use crate::support::{Instance, RawConnection, RawServer, StandInStore, config, wait_until};

/// Returns an instance before a store that lists the given servers by name.
async fn instance(servers: &[(&str, serde_json::Value)]) -> Instance {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    for (name, entry) in servers {
        store.put("servers", name, entry.clone());
    }
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let usable = format!("servers_usable{{name=\"engines\"}} {}", servers.len());
    wait_until("the servers are known", || async { instance.metrics().await.contains(&usable) })
        .await;
    instance
}

/// Starts a server that answers each request, and begins the next response on the connection with
/// a refusal of the former request. Counts the requests that it runs.
async fn server_repeating_refusals(refusal: &'static str, runs: Arc<AtomicUsize>) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| {
        let runs = runs.clone();
        async move {
            let mut stale = String::new();
            while let Some(attempt) = connection.read_request().await {
                runs.fetch_add(1, Ordering::SeqCst);
                let body = plain_body(&attempt);
                let rsp = format!(
                    "HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
                     x-laburnumvalve-response-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if !connection.write(format!("{stale}{rsp}").as_bytes()).await {
                    return;
                }
                stale = refusal.replace("ID", &attempt);
            }
        }
    })
    .await
}

/// Guards against a request that runs twice, or is called unrun though it ran, because a refusal of
/// an earlier request on the connection was taken for its own.
#[rstest]
#[case::misdirected(
    "HTTP/1.1 421 Misdirected Request\r\nx-laburnumvalve-attempt-id: ID\r\ncontent-length: 0\r\n\r\n"
)]
#[case::full(
    "HTTP/1.1 503 Service Unavailable\r\nx-laburnumvalve-attempt-id: ID\r\n\
     x-laburnumvalve-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[case::misdirected_without_id("HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")]
#[case::full_without_id(
    "HTTP/1.1 503 Service Unavailable\r\nx-laburnumvalve-not-executed: 1\r\n\
     content-length: 0\r\n\r\n"
)]
#[tokio::test]
async fn refusal_of_an_earlier_request_says_nothing_about_the_next_one(
    #[case] refusal: &'static str,
) {
    let runs = Arc::new(AtomicUsize::new(0));
    let first = server_repeating_refusals(refusal, runs.clone()).await;
    let second = server_repeating_refusals(refusal, runs.clone()).await;
    let instance = instance(&[("one", first.entry()), ("two", second.entry())]).await;

    for number in 0..40 {
        let before = runs.load(Ordering::SeqCst);
        let attempt = format!("caller-{number}");
        let mut req = instance.request("/booking/1", "key").build().expect("the request is valid");
        let id = attempt.parse().expect("the ID is a valid header");
        req.headers_mut().insert("x-laburnumvalve-attempt-id", id);
        let rsp = instance.execute(req).await.expect("there is a response");
        let status = rsp.status().as_u16();
        assert_eq!(runs.load(Ordering::SeqCst), before + 1, "{attempt} did not run once");
        assert!([200, 502].contains(&status), "{attempt} ran and received {status}");
    }
}
