//! Admission over real sockets: an admission client against the service of a home instance.

mod home_support;

use std::time::Duration;

use home_support::{class, config, context, members, organisation, server};
use laburnumvalve::home::{
    self, AdmissionClient, AdmitError, HomeQueues, RequestOutcome, RequestStats, SlotRequest,
};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;

/// Upper bound of every wait in these tests; none is expected to come near it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

fn serve(listener: TcpListener, queues: HomeQueues) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let incoming = TcpListenerStream::new(listener);
        let server = tonic::transport::Server::builder().add_service(home::service(queues));
        server.serve_with_incoming(incoming).await.unwrap();
    })
}

fn slot_request(server: &str) -> SlotRequest {
    SlotRequest {
        request: laburnumvalve::names::RequestId::random(),
        server: server.into(),
        organisation: "timers".into(),
        class: "gold".into(),
        prompt_tokens: 16,
        estimated_tokens: 10,
        time_left: None,
        wait_bound: None,
        repeatable: true,
        attempt: 0,
    }
}

fn one_server() -> laburnumvalve::config::Config {
    config(vec![class("gold", 0, 0)], vec![organisation("timers", 1)], vec![server("runner", 2, 2)])
}

async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, work).await.expect("the call must not hang")
}

async fn wait_until(mut check: impl FnMut() -> bool) {
    with_timeout(async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Returns the number of slots in use that the home publishes.
fn running(queues: &HomeQueues) -> Option<u32> {
    queues.queue("runner").map(|queue| queue.load.borrow().running)
}

#[tokio::test]
async fn slots_are_granted_up_to_the_limit_and_reused_after_release() {
    let (listener, address) = listen().await;
    let (cx, _views) = context("one", one_server(), members(&[("one", address)]));
    let queues = home::start(cx.clone());
    let _server = serve(listener, queues.clone());
    let client = AdmissionClient::new(cx);

    let first = with_timeout(client.admit(slot_request("runner"))).await.unwrap();
    let second = with_timeout(client.admit(slot_request("runner"))).await.unwrap();
    let third = tokio::spawn(async move { client.admit(slot_request("runner")).await });
    wait_until(|| queues.queue("runner").is_some_and(|queue| queue.load.borrow().waiting == 1))
        .await;

    first.finish(RequestOutcome::Complete, RequestStats::default());
    let third = with_timeout(third).await.unwrap().unwrap();
    assert_eq!(running(&queues), Some(2));
    drop(second);
    drop(third);
    wait_until(|| running(&queues) == Some(0)).await;
}

#[tokio::test]
async fn an_instance_that_is_not_home_refuses_the_request() {
    let (listener, address) = listen().await;
    let listed = members(&[("one", address.clone()), ("two", address)]);
    let (entry, _entry_views) = context("entry", one_server(), listed.clone());
    // The instance suspects all others and itself, so in its own view it is not home. The entry
    // instance suspects none, and reaches it at the address of whichever is home.
    let mut suspecting = listed;
    suspecting.suspected = suspecting.listed.keys().cloned().collect();
    let (cx, _views) = context("one", one_server(), suspecting);
    let _server = serve(listener, home::start(cx));

    let refusal = with_timeout(AdmissionClient::new(entry).admit(slot_request("runner"))).await;

    assert_eq!(refusal.unwrap_err(), AdmitError::NotHome);
}

#[tokio::test]
async fn a_stopped_home_is_unreachable_and_its_permits_detect_the_loss() {
    let (listener, address) = listen().await;
    let listed = members(&[("one", address)]);
    let home = tokio::runtime::Runtime::new().unwrap();
    let home_listed = listed.clone();
    let started = home.spawn(async move {
        let (cx, views) = context("one", one_server(), home_listed);
        serve(listener, home::start(cx));
        views
    });
    let _views = started.await.unwrap();
    let (entry, _entry_views) = context("entry", one_server(), listed);
    let client = AdmissionClient::new(entry);
    let mut permit = with_timeout(client.admit(slot_request("runner"))).await.unwrap();

    home.shutdown_background();

    with_timeout(permit.wait_for_home_loss()).await;
    let refusal = with_timeout(client.admit(slot_request("runner"))).await;
    assert_eq!(refusal.unwrap_err(), AdmitError::Unreachable);
}
