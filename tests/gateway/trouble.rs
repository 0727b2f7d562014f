//! Backend servers in trouble: bytes without end, stalled and slow streams, second copies of a
//! response.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::{EVENTS, event, full_stream, plain_body};
use crate::support::{
    Instance, RawConnection, RawServer, StandInBackend, StandInStore, config, wait_until,
};

/// Half of the memory of the smallest machine.
const MAX_MEMORY_BYTES: u64 = 80 << 20;
/// Time after a deadline within which a caller has its final response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);
/// Number of requests that are open at once while a server writes without end.
const CONCURRENT_REQUESTS: usize = 16;
/// Size of one write of a server that writes without end.
const FLOOD_BYTES: usize = 64 << 10;

/// Bytes that a backend server writes without end.
#[derive(Debug, Clone, Copy)]
enum Flood {
    /// Informational responses.
    InterimHeads,
    /// Header fields of a response.
    HeaderFields,
    /// The value of one header field.
    HeaderValue,
    /// Bytes that are no HTTP.
    NoHttp,
    /// A response body that ends with the connection.
    Body,
    /// A response body in chunks.
    ChunkedBody,
    /// Trailer fields after a response body in chunks.
    Trailers,
    /// Events.
    Events,
    /// Comment lines of an event stream.
    Comments,
    /// An event that does not end.
    EndlessEvent,
}

impl Flood {
    /// Returns the bytes written once and those repeated without end.
    fn bytes(self, attempt: &str) -> (String, Vec<u8>) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
             x-laburnumvalve-response-seal: seal\r\n"
        );
        let (head, unit) = match self {
            Self::InterimHeads => (String::new(), "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
            Self::HeaderFields => (head, "x-field: value\r\n"),
            Self::HeaderValue => (format!("{head}x-field: "), "value"),
            Self::NoHttp => (String::new(), "no http"),
            Self::Body => (format!("{head}connection: close\r\n\r\n"), "body"),
            Self::ChunkedBody => {
                (format!("{head}transfer-encoding: chunked\r\n\r\n"), "4\r\nbody\r\n")
            }
            Self::Trailers => {
                (format!("{head}transfer-encoding: chunked\r\n\r\n0\r\n"), "x-field: value\r\n")
            }
            Self::Events => (format!("{head}connection: close\r\n\r\n"), "id: 1\ndata: a\n\n"),
            Self::Comments => (format!("{head}connection: close\r\n\r\n"), ":\n\n"),
            Self::EndlessEvent => (format!("{head}connection: close\r\n\r\n"), "data: a\n"),
        };
        (head, unit.repeat(FLOOD_BYTES / unit.len()).into_bytes())
    }
}

/// Starts a server that responds to each request with bytes without end.
async fn flooding_server(flood: Flood) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let (head, repeated) = flood.bytes(&attempt);
        let mut is_open = connection.write(head.as_bytes()).await;
        while is_open {
            is_open = connection.write(&repeated).await;
        }
    })
    .await
}

struct Fixture {
    store: StandInStore,
    server: RawServer,
    instance: Instance,
}

/// Starts an instance before a store that lists one server.
async fn fixture(server: RawServer) -> Fixture {
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    store.put("servers", "raw", server.entry());
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    Fixture { store, server, instance }
}

impl Fixture {
    /// Adds a server without a fault.
    async fn add_sound_server(&self) -> StandInBackend {
        let sound = StandInBackend::start("sound").await;
        self.store.put("servers", "sound", sound.entry());
        wait_until("both servers are known", || async {
            self.instance.metrics().await.contains("servers_usable{name=\"engines\"} 2")
        })
        .await;
        sound
    }

    async fn wait_until_closed(&self) {
        wait_until("the instance closes its connections to the server", || async {
            self.server.open_connections() == 0
        })
        .await;
    }
}

/// Time after the deadline for which a caller waits, and the maximum size of a response that it
/// reads.
const CALLER_PATIENCE: Duration = Duration::from_secs(3);
const MAX_READ_BYTES: usize = 4 << 20;

/// Reads a response body; an error describes why it is incomplete.
async fn read_body(mut rsp: reqwest::Response) -> Result<String, String> {
    let mut body = Vec::new();
    while let Some(chunk) = rsp.chunk().await.map_err(|error| error.to_string())? {
        if body.len() < MAX_READ_BYTES {
            body.extend_from_slice(&chunk);
        }
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends requests at once and returns their statuses and bodies.
async fn send_at_once(
    instance: &Instance,
    path: &str,
    deadline: Duration,
    count: usize,
) -> Vec<(u16, Result<String, String>)> {
    let requests = (0..count).map(|_| {
        let req = instance.request(path, "key").timeout(deadline + CALLER_PATIENCE);
        let req = req.header("x-laburnumvalve-deadline-ms", deadline.as_millis().to_string());
        async move {
            let rsp = req.send().await.expect("there is a response");
            (rsp.status().as_u16(), read_body(rsp).await)
        }
    });
    futures::future::join_all(requests).await
}

#[rstest]
#[case::interim_heads(Flood::InterimHeads)]
#[case::header_fields(Flood::HeaderFields)]
#[case::header_value(Flood::HeaderValue)]
#[case::no_http(Flood::NoHttp)]
#[case::body(Flood::Body)]
#[case::chunked_body(Flood::ChunkedBody)]
#[case::trailers(Flood::Trailers)]
#[tokio::test]
async fn endless_response_is_reported_as_lost_within_bounded_memory(#[case] flood: Flood) {
    let fx = fixture(flooding_server(flood).await).await;
    let deadline = Duration::from_secs(5);
    let sent_at = Instant::now();

    let answers = send_at_once(&fx.instance, "/booking/1", deadline, CONCURRENT_REQUESTS).await;

    assert!(sent_at.elapsed() < deadline + DEADLINE_MARGIN, "took {:?}", sent_at.elapsed());
    for (status, body) in answers {
        // Requests after the ejection of the server are not sent.
        assert!([502, 503, 504].contains(&status), "status {status}, {body:?}");
    }
    fx.wait_until_closed().await;
    assert!(fx.instance.peak_memory() < MAX_MEMORY_BYTES, "{} bytes", fx.instance.peak_memory());
}

#[rstest]
#[case::interim_heads(Flood::InterimHeads)]
#[case::no_http(Flood::NoHttp)]
#[case::body(Flood::Body)]
#[tokio::test]
async fn idempotent_request_with_an_endless_response_is_retried(#[case] flood: Flood) {
    let fx = fixture(flooding_server(flood).await).await;
    let _sound = fx.add_sound_server().await;

    let answers = send_at_once(&fx.instance, "/lookup/1", Duration::from_secs(5), 8).await;

    for (status, body) in answers {
        assert_eq!((status, body.ok()), (200, Some(plain_body(ATTEMPT_ID))));
    }
}

#[rstest]
#[case::events(Flood::Events)]
#[case::comments(Flood::Comments)]
#[case::endless_event(Flood::EndlessEvent)]
#[tokio::test]
async fn endless_stream_ends_at_the_deadline_as_broken(#[case] flood: Flood) {
    let fx = fixture(flooding_server(flood).await).await;
    let deadline = Duration::from_millis(1_500);
    let sent_at = Instant::now();

    let answers = send_at_once(&fx.instance, "/stream/1", deadline, 2).await;

    assert!(sent_at.elapsed() < deadline + DEADLINE_MARGIN, "took {:?}", sent_at.elapsed());
    for (status, body) in answers {
        assert!(status != 200 || body.is_err(), "the stream looks complete");
    }
    fx.wait_until_closed().await;
    assert!(fx.instance.peak_memory() < MAX_MEMORY_BYTES, "{} bytes", fx.instance.peak_memory());
}

const STREAM_HEAD_FIELDS: &str = "x-laburnumvalve-response-seal: seal\r\nconnection: close\r\n\r\n";

fn stream_head(attempt: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n{STREAM_HEAD_FIELDS}")
}

/// Starts a server whose streams send one event, and then a byte of the next one now and then.
async fn trickling_server() -> RawServer {
    RawServer::start(|mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let start = format!("{}{}data: ", stream_head(&attempt), event(&attempt, 1));
        let mut is_open = connection.write(start.as_bytes()).await;
        while is_open {
            tokio::time::sleep(Duration::from_millis(100)).await;
            is_open = connection.write(b"a").await;
        }
    })
    .await
}

#[tokio::test]
async fn stalled_resumable_stream_with_single_bytes_resumes_at_another_server() {
    let fx = fixture(trickling_server().await).await;
    let _sound = fx.add_sound_server().await;

    let answers = send_at_once(&fx.instance, "/job/1", Duration::from_secs(5), 6).await;

    for (status, body) in answers {
        assert_eq!((status, body.ok()), (200, Some(full_stream(ATTEMPT_ID))));
    }
}

#[tokio::test]
async fn stalled_stream_with_single_bytes_ends_at_the_deadline() {
    let fx = fixture(trickling_server().await).await;
    let deadline = Duration::from_millis(1_500);
    let sent_at = Instant::now();

    let answers = send_at_once(&fx.instance, "/stream/1", deadline, 1).await;

    let took = sent_at.elapsed();
    assert!(answers[0].1.is_err(), "the stream looks complete");
    assert!(took > deadline - DEADLINE_MARGIN && took < deadline + DEADLINE_MARGIN, "{took:?}");
}

/// Starts a server whose streams pause once.
async fn pausing_server(pause: Duration) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let start = format!("{}{}", stream_head(&attempt), event(&attempt, 1));
        connection.write(start.as_bytes()).await;
        tokio::time::sleep(pause).await;
        let rest: String = (2..=EVENTS).map(|id| event(&attempt, id)).collect();
        connection.write(rest.as_bytes()).await;
    })
    .await
}

/// A server's silence is no reason to end a stream that can't go on elsewhere.
#[tokio::test]
async fn sound_stream_with_a_pause_of_most_of_its_time_is_complete() {
    let fx = fixture(pausing_server(Duration::from_millis(2_400)).await).await;

    let answers = send_at_once(&fx.instance, "/stream/1", Duration::from_secs(3), 1).await;

    assert_eq!(answers[0].1.as_ref().ok(), Some(&full_stream(ATTEMPT_ID)));
}

/// Starts a server that sends each response again when the next request arrives.
async fn duplicating_server() -> RawServer {
    RawServer::start(|mut connection: RawConnection| async move {
        let mut former = String::new();
        while let Some(attempt) = connection.read_request().await {
            let body = plain_body(&attempt);
            let rsp = format!(
                "HTTP/1.1 200 OK\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
                 x-laburnumvalve-response-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if !connection.write(format!("{former}{rsp}").as_bytes()).await {
                return;
            }
            former = rsp;
        }
    })
    .await
}

#[rstest]
#[case::non_idempotent("/booking/1")]
#[case::idempotent("/lookup/1")]
#[tokio::test]
async fn late_copy_of_a_response_reaches_no_other_caller(#[case] path: &str) {
    let fx = fixture(duplicating_server().await).await;

    for number in 0..8 {
        let attempt = format!("caller-{number}");
        let req = fx.instance.request(path, "key");
        let mut req = req.build().expect("the request is valid");
        let id = attempt.parse().expect("the ID is a valid header");
        req.headers_mut().insert("x-laburnumvalve-attempt-id", id);
        let rsp = fx.instance.execute(req).await.expect("there is a response");
        let status = rsp.status();
        let body = rsp.text().await.expect("the body is complete");
        assert!(status != 200 || body == plain_body(&attempt), "{attempt} received {body}");
        assert!(status == 200 || status == 502, "{attempt} received {status}");
    }
}

/// Starts a server whose streams have neither a length nor chunks and end with the connection, in
/// order, after the given events.
async fn server_closing_after(events: fn(&str) -> String) -> RawServer {
    RawServer::start(move |mut connection: RawConnection| async move {
        let Some(attempt) = connection.read_request().await else { return };
        let text = format!("{}{}", stream_head(&attempt), events(&attempt));
        connection.write(text.as_bytes()).await;
    })
    .await
}

fn events_and_a_part(attempt: &str) -> String {
    format!("{}{}id: 3\ndata: ha", event(attempt, 1), event(attempt, 2))
}

fn no_events(_: &str) -> String {
    String::new()
}

fn crlf_stream(attempt: &str) -> String {
    full_stream(attempt).replace('\n', "\r\n")
}

#[rstest]
#[case::lf(full_stream)]
#[case::crlf(crlf_stream)]
#[tokio::test]
async fn stream_that_ends_with_its_connection_after_an_event_is_complete(
    #[case] events: fn(&str) -> String,
) {
    let fx = fixture(server_closing_after(events).await).await;

    let answers = send_at_once(&fx.instance, "/stream/1", Duration::from_secs(3), 1).await;

    assert_eq!(answers[0].1.as_ref().ok(), Some(&events(ATTEMPT_ID)));
}

/// Guards against a stream that a server broke off and that looks complete to the caller.
#[rstest]
#[case::inside_an_event(events_and_a_part)]
#[case::before_the_first_event(no_events)]
#[tokio::test]
async fn stream_that_is_broken_off_with_its_connection_does_not_look_complete(
    #[case] events: fn(&str) -> String,
) {
    let fx = fixture(server_closing_after(events).await).await;

    let answers = send_at_once(&fx.instance, "/stream/1", Duration::from_secs(3), 1).await;

    let (status, body) = &answers[0];
    assert!(*status != 200 || body.is_err(), "the stream looks complete: {status}, {body:?}");
}

/// Guards against a resumable stream that a server broke off and that is not continued.
#[rstest]
#[case::inside_an_event(events_and_a_part)]
#[case::before_the_first_event(no_events)]
#[tokio::test]
async fn resumable_stream_that_is_broken_off_with_its_connection_is_continued(
    #[case] events: fn(&str) -> String,
) {
    let fx = fixture(server_closing_after(events).await).await;
    let _sound = fx.add_sound_server().await;

    let answers = send_at_once(&fx.instance, "/job/1", Duration::from_secs(5), 6).await;

    for (status, body) in answers {
        assert_eq!((status, body.ok()), (200, Some(full_stream(ATTEMPT_ID))));
    }
}
