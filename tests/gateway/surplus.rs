//! Bytes that belong to no request: refusals sent again, and errors in the middle of a stream.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::{EVENTS, event, full_stream, plain_body};
use crate::support::{
    Instance, RawConnection, RawServer, StandInBackend, StandInStore, config, wait_until,
};

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

fn stream_head(attempt: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
         x-laburnumvalve-response-seal: seal\r\ncontent-type: {content_type}\r\n\
         connection: close\r\n\r\n"
    )
}

/// Starts a server whose streams break off inside the third event, after `rest`.
async fn breaking_server(rest: &'static str) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let head = stream_head(&attempt, "text/event-stream");
        let events: String = (1..=2).map(|id| event(&attempt, id)).collect();
        connection.write(format!("{head}{events}{rest}").as_bytes()).await;
    })
    .await
}

/// Starts a server that answers each request with the given response.
async fn answering_server(rsp: fn(&str) -> String) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        connection.write(rsp(&attempt).as_bytes()).await;
    })
    .await
}

fn error_status(attempt: &str) -> String {
    let body = "event: error\ndata: out of memory\n\n";
    format!(
        "HTTP/1.1 500 Internal Server Error\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
         x-laburnumvalve-response-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn error_as_success(attempt: &str) -> String {
    let body = "{\"error\":\"out of memory\"}\n\n";
    format!("{}{body}", stream_head(attempt, "application/json"))
}

fn error_text_as_events(attempt: &str) -> String {
    format!("{}Internal Server Error\n\n", stream_head(attempt, "text/event-stream"))
}

fn error_head_as_events(attempt: &str) -> String {
    format!("{}{}", stream_head(attempt, "text/event-stream"), error_status(attempt))
}

fn empty_success(attempt: &str) -> String {
    format!(
        "HTTP/1.1 204 No Content\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
         x-laburnumvalve-response-seal: seal\r\n\r\n"
    )
}

/// Guards against the text or the head of an error in the middle of a caller's stream, and against
/// a stream that ends there as if it were complete.
#[rstest]
#[case::error_status(error_status)]
#[case::error_as_success(error_as_success)]
#[case::error_text_as_events(error_text_as_events)]
#[case::error_head_as_events(error_head_as_events)]
#[case::empty_success(empty_success)]
#[tokio::test]
async fn error_of_the_server_that_resumes_a_stream_is_not_a_part_of_it(
    #[case] rsp: fn(&str) -> String,
) {
    let broken = breaking_server("id: 3\ndata: ha").await;
    let failing = answering_server(rsp).await;
    let instance = instance(&[("broken", broken.entry()), ("failing", failing.entry())]).await;
    let whole = full_stream(ATTEMPT_ID);

    for _ in 0..12 {
        let rsp = instance.request("/job/1", "key").send().await.expect("there is a response");
        if rsp.status() != 200 {
            continue;
        }
        let mut received = String::new();
        let mut rsp = rsp;
        let end = loop {
            match rsp.chunk().await {
                Ok(Some(bytes)) => received.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        assert!(whole.starts_with(&received), "the caller received {received:?}");
        assert!(end.is_err(), "the stream looks complete: {received:?}");
    }
}

/// Guards against a second response that follows the events of a stream without framing and reaches
/// the caller as one of them.
#[tokio::test]
async fn response_after_the_events_of_a_stream_is_not_a_part_of_it() {
    let rest = "HTTP/1.1 503 Service Unavailable\r\nx-laburnumvalve-attempt-id: other\r\n\
                content-length: 0\r\n\r\n";
    let broken = breaking_server(rest).await;
    let sound = StandInBackend::start("sound").await;
    let instance = instance(&[("broken", broken.entry()), ("sound", sound.entry())]).await;

    for _ in 0..6 {
        let rsp = instance.request("/job/1", "key").send().await.expect("there is a response");
        let text = rsp.text().await.expect("the stream is continued");
        assert_eq!(text, full_stream(ATTEMPT_ID), "of {EVENTS} events");
    }
}
