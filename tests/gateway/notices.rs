//! Backend servers that say in a response that they leave or want no requests for a while.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;

use crate::support::instance::{ATTEMPT_ID, InstanceSettings};
use crate::support::runner::{full_stream, plain_body};
use crate::support::{
    Instance, RawConnection, RawServer, StandInBackend, StandInStore, config, wait_until,
};

/// Time that a server wants no requests.
const PAUSE: Duration = Duration::from_secs(2);
/// Number of requests that show whether the server is used.
const REQUESTS: usize = 12;

/// Response of the server under test to a request.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// An answer of a server that leaves.
    Leaving,
    /// A stream of a server that leaves.
    LeavingStream,
    /// A rejection of a server that leaves.
    LeavingAndFull,
    /// A rejection that asks for a pause.
    Pausing,
}

impl Answer {
    fn text(self, attempt: &str) -> String {
        let (status, fields, body) = match self {
            Self::Leaving => ("200 OK", "server-leaving: 1", plain_body(attempt)),
            Self::LeavingStream => ("200 OK", "server-leaving: 1", full_stream(attempt)),
            Self::LeavingAndFull => (
                "503 Service Unavailable",
                "server-leaving: 1\r\nx-laburnumvalve-not-executed: 1",
                String::new(),
            ),
            Self::Pausing => (
                "503 Service Unavailable",
                "retry-after: 2\r\nx-laburnumvalve-not-executed: 1",
                String::new(),
            ),
        };
        format!(
            "HTTP/1.1 {status}\r\nx-laburnumvalve-attempt-id: {attempt}\r\n\
             x-laburnumvalve-response-seal: seal\r\n{fields}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

struct Fixture {
    store: StandInStore,
    server: RawServer,
    arrivals: Arc<AtomicUsize>,
    instance: Instance,
}

/// Starts an instance before a server that gives one kind of answer.
async fn fixture(answer: Answer) -> Fixture {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counter = arrivals.clone();
    let server = RawServer::start(move |mut connection: RawConnection| {
        let counter = counter.clone();
        async move {
            while let Some(attempt) = connection.read_request().await {
                counter.fetch_add(1, Ordering::SeqCst);
                if !connection.write(answer.text(&attempt).as_bytes()).await {
                    return;
                }
            }
        }
    })
    .await;
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    store.put("servers", "raw", server.entry());
    let cfg = InstanceSettings { store: store.address, ..Default::default() };
    let instance = Instance::start(cfg).await;
    Fixture { store, server, arrivals, instance }
}

impl Fixture {
    async fn status(&self, path: &str) -> u16 {
        let rsp = self.instance.request(path, "key").send().await.expect("there is a response");
        rsp.status().as_u16()
    }

    fn arrivals(&self) -> usize {
        self.arrivals.load(Ordering::SeqCst)
    }

    /// Adds a server without notices.
    async fn add_sound_server(&self) -> StandInBackend {
        let sound = StandInBackend::start("sound").await;
        self.store.put("servers", "sound", sound.entry());
        wait_until("the server is used", || async {
            self.status("/lookup/1").await == 200 && !sound.runs().is_empty()
        })
        .await;
        sound
    }
}

/// Guards against requests to a server that has said that it leaves, while its entry still says that
/// it is ready.
#[rstest]
#[case::answer(Answer::Leaving, "/lookup/1")]
#[case::stream(Answer::LeavingStream, "/stream/1")]
#[case::rejection(Answer::LeavingAndFull, "/booking/1")]
#[tokio::test]
async fn server_that_says_that_it_leaves_gets_no_more_requests(
    #[case] answer: Answer,
    #[case] path: &str,
) {
    let fx = fixture(answer).await;
    fx.status(path).await;
    assert_eq!(fx.arrivals(), 1);

    // Its entry is written again with every heartbeat, and its history may be listed anew.
    let mut entry = fx.server.entry();
    entry["sequence"] = 2.into();
    fx.store.put("servers", "raw", entry);
    let _sound = fx.add_sound_server().await;
    for _ in 0..REQUESTS {
        assert_eq!(fx.status("/lookup/1").await, 200);
    }

    assert_eq!(fx.arrivals(), 1);
}

/// Guards against requests to a server within the time for which it wants none.
#[tokio::test]
async fn server_gets_no_requests_for_as_long_as_its_retry_after_states() {
    let fx = fixture(Answer::Pausing).await;
    assert_eq!(fx.status("/booking/1").await, 503);

    let rsp = fx.instance.request("/booking/1", "key").send().await.expect("there is a response");
    let retry_after = rsp.headers().get("retry-after").and_then(|text| text.to_str().ok());
    let retry_after: Option<f64> = retry_after.and_then(|text| text.parse().ok());
    for _ in 0..REQUESTS {
        assert_eq!(fx.status("/lookup/1").await, 503);
    }
    let during_pause = fx.arrivals();
    tokio::time::sleep(PAUSE).await;
    fx.status("/booking/1").await;

    assert_eq!(during_pause, 1);
    assert!(retry_after.is_some_and(|seconds| seconds > 1.0), "{retry_after:?}");
    assert_eq!(fx.arrivals(), 2);
}

#[tokio::test]
async fn pause_of_one_server_leaves_the_requests_to_the_others() {
    let fx = fixture(Answer::Pausing).await;
    let sound = fx.add_sound_server().await;
    let before = fx.arrivals();

    for _ in 0..REQUESTS {
        assert_eq!(fx.status("/booking/1").await, 200);
    }

    assert!(before >= 1 && fx.arrivals() == before, "{before} and {}", fx.arrivals());
    assert!(sound.runs().iter().all(|run| run.text("x-laburnumvalve-attempt-id") == ATTEMPT_ID));
}
