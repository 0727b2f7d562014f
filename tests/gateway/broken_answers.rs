//! Answers of backend servers that are cut or malformed.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rstest::rstest;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::plain_body;
use crate::support::{
    Instance, RawConnection, RawServer, StandInBackend, StandInStore, config, wait_until,
};

/// Size of an upload that doesn't fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 12 << 20;
/// Maximum size of a request body that the configuration allows.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Time between a part of an answer and the end of its connection.
const CUT_DELAY: Duration = Duration::from_millis(30);
/// Difference between two of the times after which an answer is cut by a reset, and their number.
const RESET_DELAY_STEP: Duration = Duration::from_millis(5);
const RESET_DELAYS: u32 = 6;
/// Number of requests of each kind, as the order of events at a connection differs.
const REQUESTS: usize = 12;

/// Starts an instance before a store that lists the given servers by name.
async fn instance(servers: &[(&str, serde_json::Value)]) -> Instance {
    let store = StandInStore::start().await;
    let mut config = config(1, &["key"]);
    config["limits"]["max-body-bytes"] = MAX_BODY_BYTES.into();
    store.put("config", "main", config);
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

fn head(attempt: &str, status: &str, fields: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
         x-laburnumvalve-response-seal: seal\r\n{fields}\r\n"
    )
}

/// Sends a request; returns the status and the body, or the error.
async fn send(instance: &Instance, path: &str, body: Vec<u8>) -> (u16, Result<String, String>) {
    let req = instance.request(path, "key").body(body);
    let rsp = req.send().await.expect("there is a response");
    (rsp.status().as_u16(), rsp.text().await.map_err(|error| error.to_string()))
}

/// Starts a server that answers before it has read a request's body, sends a part of its answer,
/// which has no length, and resets the connection.
async fn server_resetting_uploads(part: &'static str) -> RawServer {
    let count = AtomicU32::new(0);
    RawServer::start(move |mut connection: RawConnection| {
        let delay = RESET_DELAY_STEP * (count.fetch_add(1, Ordering::Relaxed) % RESET_DELAYS);
        async move {
            let Some(attempt) = connection.read_request_head().await else { return };
            let text = format!("{}{part}", head(&attempt, "200 OK", "connection: close\r\n"));
            connection.write_unread(text.as_bytes()).await;
            tokio::time::sleep(delay).await;
            connection.reset();
        }
    })
    .await
}

/// Guards against a part of an answer that looks complete to the caller, because the reset of the
/// connection was noticed by the upload and not by the reader of the answer.
#[rstest]
#[case::non_idempotent("/booking/1", "served")]
#[case::idempotent("/lookup/1", "served")]
#[case::stream("/stream/1", "id: 1\ndata: a\n\n")]
#[case::resumable_stream("/job/1", "id: 1\ndata: a\n\n")]
#[tokio::test]
async fn answer_cut_by_a_reset_during_the_upload_does_not_look_complete(
    #[case] path: &str,
    #[case] part: &'static str,
) {
    let server = server_resetting_uploads(part).await;
    let instance = instance(&[("raw", server.entry())]).await;

    for _ in 0..REQUESTS {
        let (status, body) = send(&instance, path, vec![b'a'; UPLOAD_BYTES]).await;
        assert!(status != 200 || body.is_err(), "the answer looks complete: {body:?}");
    }
}

/// Starts a server that answers with the given status.
async fn server_with_status(status: &'static str) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        while let Some(attempt) = connection.read_request().await {
            let text = head(&attempt, status, "content-length: 2\r\n");
            if !connection.write(format!("{text}no").as_bytes()).await {
                return;
            }
        }
    })
    .await
}

/// Guards against a status that HTTP doesn't have and that reaches a caller as an answer.
#[rstest]
#[case::zero("000 None")]
#[case::below_all_classes("099 None")]
#[case::above_all_classes("600 None")]
#[case::highest("999 None")]
#[case::too_long("2000 OK")]
#[case::negative("-20 OK")]
#[case::no_number("two OK")]
#[case::switching_protocols("101 Switching Protocols")]
#[tokio::test]
async fn answer_with_an_impossible_status_counts_as_lost(#[case] status: &'static str) {
    let server = server_with_status(status).await;
    let instance = instance(&[("raw", server.entry())]).await;

    for path in ["/booking/1", "/stream/1"] {
        let (status, body) = send(&instance, path, b"body".to_vec()).await;
        assert_eq!((status, body), (502, Ok(String::new())));
    }
}

/// Starts a server that closes the connection within the head of its answer, before the given text.
async fn server_cutting_heads(before: &'static str) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let text = head(&attempt, "200 OK", "content-length: 2\r\nx-end: yes\r\n");
        let end = text.find(before).expect("the head has the text");
        connection.write(&text.as_bytes()[..end]).await;
        tokio::time::sleep(CUT_DELAY).await;
    })
    .await
}

/// Guards against the part of a head that reaches a caller as an answer with an empty body.
#[rstest]
#[case::in_the_status_line("OK")]
#[case::after_the_status_line("x-laburnumvalve-attempt-id")]
#[case::in_a_field("seal: seal")]
#[case::in_a_value("eal\r\n")]
#[case::before_the_empty_line("x-end")]
#[case::in_the_empty_line("\n\r\n")]
#[tokio::test]
async fn answer_cut_within_its_head_is_lost(#[case] before: &'static str) {
    let server = server_cutting_heads(before).await;
    let cut = instance(&[("raw", server.entry())]).await;
    let sound = StandInBackend::start("sound").await;
    let both = instance(&[("raw", server.entry()), ("sound", sound.entry())]).await;

    for path in ["/booking/1", "/stream/1", "/lookup/1"] {
        let (status, body) = send(&cut, path, b"body".to_vec()).await;
        assert_ne!(status, 200, "{path}: {body:?}");
    }
    for _ in 0..REQUESTS {
        let answer = send(&both, "/lookup/1", b"body".to_vec()).await;
        assert_eq!(answer, (200, Ok(plain_body(ATTEMPT_ID))));
    }
}

/// Number of streams that are reset beside each other, and one after the other. The order of events
/// that matters is rare.
const RESETS_AT_ONCE: usize = 4;
const RESETS_IN_TURN: usize = 60;

/// Guards against a connection that closes without a response, as the reset of the stream is noticed
/// before its head and first event are written to the caller.
#[rstest]
#[case::stream("/stream/1")]
#[case::resumable_stream("/job/1")]
#[tokio::test(flavor = "multi_thread")]
async fn reset_of_a_stream_during_the_upload_gets_a_response(#[case] path: &str) {
    let server = server_resetting_uploads("id: 1\ndata: a\n\n").await;
    let instance = instance(&[("raw", server.entry())]).await;

    let callers = (0..RESETS_AT_ONCE).map(|_| async {
        let mut lost = 0;
        for _ in 0..RESETS_IN_TURN {
            let req = instance.request(path, "key").body(vec![b'a'; UPLOAD_BYTES]);
            lost += usize::from(req.send().await.is_err());
        }
        lost
    });

    assert_eq!(futures::future::join_all(callers).await, [0; RESETS_AT_ONCE]);
}
