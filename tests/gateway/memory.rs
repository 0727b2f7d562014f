//! Memory of an instance under many connections and large bodies of callers.

use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::instance::InstanceSettings;
use crate::support::{Instance, config, stand_ins, wait_until};

/// Memory of the machine.
const MEMORY_MB: u64 = 110;
/// Number of connections, nearly as many as the machine has descriptors.
const CONNECTIONS: usize = 3_800;
/// Size of a request's body.
const BODY_BYTES: usize = 8 << 10;
/// Time within which a connection is made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn settings(store: std::net::SocketAddr) -> InstanceSettings {
    InstanceSettings {
        store,
        extra_settings: format!("limits.memory-mb={MEMORY_MB}\n"),
        ..Default::default()
    }
}

/// Opens a connection and sends a request on it, if it is accepted in time.
async fn send_and_keep(instance: &Instance) -> Option<TcpStream> {
    let connecting = TcpStream::connect(instance.caller_address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let mut connection = connected.ok()?.expect("the instance listens");
    let head = format!(
        "POST /booking/1 HTTP/1.1\r\nhost: valve.example\r\nx-laburnumvalve-attempt-id: a\r\n\
         x-laburnumvalve-key: key\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.ok()?;
    connection.write_all(&[b'a'; BODY_BYTES]).await.ok()?;
    Some(connection)
}

/// Guards against an instance that exceeds its memory, so that all its requests are lost, because of
/// the number of connections that callers keep open.
#[tokio::test]
async fn open_connections_take_a_part_of_the_memory() {
    let (store, _server) = stand_ins(&["key"]).await;
    let mut instance = Instance::start(settings(store.address)).await;

    let sending: FuturesUnordered<_> = (0..CONNECTIONS).map(|_| send_and_keep(&instance)).collect();
    let kept: Vec<Option<TcpStream>> = sending.collect().await;

    let answered = kept.into_iter().flatten().map(|mut connection| async move {
        let mut buf = [0; 12];
        connection.read_exact(&mut buf).await.is_ok_and(|_| buf.ends_with(b"200"))
    });
    let answered = tokio::time::timeout(CONNECT_TIMEOUT * 5, futures::future::join_all(answered));
    // Requests in the queue of the listener are answered when connections end.
    let _ = answered.await;
    assert!(!instance.has_ended());
    let peak = instance.peak_memory();
    assert!(peak < MEMORY_MB << 20, "took {peak} bytes");
    wait_until("new connections are served", || async {
        let rsp = instance.request("/booking/1", "key").send().await;
        rsp.is_ok_and(|rsp| rsp.status() == 200)
    })
    .await;
}

/// Size of a large body, and number of requests with one that are sent at once.
const LARGE_BODY_BYTES: usize = 4 << 20;
const LARGE_REQUESTS: usize = 24;

/// Sends a large body with a length, or in chunks.
fn large_request(instance: &Instance, is_chunked: bool) -> reqwest::RequestBuilder {
    let body = vec![b'a'; LARGE_BODY_BYTES];
    let req = instance.request("/booking/1", "key").header("x-laburnumvalve-deadline-ms", "10000");
    if is_chunked {
        let parts = body.chunks(64 << 10).map(|part| Ok::<_, std::io::Error>(part.to_vec()));
        let parts: Vec<_> = parts.collect();
        req.body(reqwest::Body::wrap_stream(futures::stream::iter(parts)))
    } else {
        req.body(body)
    }
}

/// Guards against an instance that exceeds its memory, so that all its requests are lost, because
/// callers send large bodies at the same time.
#[rstest]
#[case::with_a_length(false)]
#[case::in_chunks(true)]
#[tokio::test]
async fn large_bodies_at_once_take_a_part_of_the_memory(#[case] is_chunked: bool) {
    let (store, _server) = stand_ins(&["key"]).await;
    let mut config = config(1, &["key"]);
    config["limits"]["max-body-bytes"] = LARGE_BODY_BYTES.into();
    store.put("config", "main", config);
    let mut instance = Instance::start(settings(store.address)).await;

    let sent = (0..LARGE_REQUESTS).map(|_| large_request(&instance, is_chunked).send());
    let answers = futures::future::join_all(sent).await;

    assert!(!instance.has_ended());
    let peak = instance.peak_memory();
    assert!(peak < MEMORY_MB << 20, "took {peak} bytes");
    for rsp in answers {
        // A caller that still sends its body may miss the refusal.
        assert!(rsp.is_err() || [200, 503].contains(&rsp.expect("checked").status().as_u16()));
    }
    let rsp = instance.request("/booking/1", "key").send().await.expect("there is a response");
    assert_eq!(rsp.status(), 200);
}
