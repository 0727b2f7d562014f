//! Admission over real sockets: an entry's admitter against the service of a home instance.

mod home_support;

use std::time::Duration;

use home_support::{class, config, context, members, organisation, server};
use laburnumvalve::home::{self, AdmitError, Admitter, Ask, Ending, Figures, Homes};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;

/// Bound of every wait in these tests; none of them is expected to come near it.
const PATIENCE: Duration = Duration::from_secs(20);

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

fn serve(listener: TcpListener, homes: Homes) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let incoming = TcpListenerStream::new(listener);
        let server = tonic::transport::Server::builder().add_service(home::service(homes));
        server.serve_with_incoming(incoming).await.unwrap();
    })
}

fn ask(server: &str) -> Ask {
    Ask {
        request: laburnumvalve::names::RequestId::random(),
        server: server.into(),
        organisation: "timers".into(),
        class: "gold".into(),
        prompt_tokens: 16,
        estimated_tokens: 10,
        deadline: None,
        wait_bound: None,
        repeatable: true,
        attempt: 0,
    }
}

fn one_server() -> laburnumvalve::config::Config {
    config(vec![class("gold", 0, 0)], vec![organisation("timers", 1)], vec![server("runner", 2, 2)])
}

async fn in_time<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(PATIENCE, work).await.expect("the call must not hang")
}

async fn until(mut check: impl FnMut() -> bool) {
    in_time(async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// The slots in use at the home, as it reports them.
fn running(homes: &Homes) -> Option<u32> {
    homes.queue("runner").map(|queue| queue.load.borrow().running)
}

#[tokio::test]
async fn slots_are_granted_up_to_the_limit_and_come_back() {
    let (listener, address) = listen().await;
    let (cx, _views) = context("one", one_server(), members(&[("one", address)]));
    let homes = home::start(cx.clone());
    let _server = serve(listener, homes.clone());
    let admitter = Admitter::new(cx);

    let first = in_time(admitter.admit(ask("runner"))).await.unwrap();
    let second = in_time(admitter.admit(ask("runner"))).await.unwrap();
    let third = tokio::spawn(async move { admitter.admit(ask("runner")).await });
    until(|| homes.queue("runner").is_some_and(|queue| queue.load.borrow().waiting == 1)).await;

    first.finish(Ending::Complete, Figures::default());
    let third = in_time(third).await.unwrap().unwrap();
    assert_eq!(running(&homes), Some(2));
    drop(second);
    drop(third);
    until(|| running(&homes) == Some(0)).await;
}

#[tokio::test]
async fn an_instance_that_is_not_home_says_so() {
    let (listener, address) = listen().await;
    let listed = members(&[("one", address.clone()), ("two", address)]);
    let (entry, _entry_views) = context("entry", one_server(), listed.clone());
    let mut suspicious = listed;
    suspicious.suspected = suspicious.listed.keys().cloned().collect();
    let (cx, _views) = context("one", one_server(), suspicious);
    let _server = serve(listener, home::start(cx));

    let refusal = in_time(Admitter::new(entry).admit(ask("runner"))).await;

    assert_eq!(refusal.unwrap_err(), AdmitError::NotHome);
}

#[tokio::test]
async fn a_home_that_dies_is_unreachable_and_its_permits_notice() {
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
    let admitter = Admitter::new(entry);
    let mut permit = in_time(admitter.admit(ask("runner"))).await.unwrap();

    home.shutdown_background();

    in_time(permit.home_lost()).await;
    let refusal = in_time(admitter.admit(ask("runner"))).await;
    assert_eq!(refusal.unwrap_err(), AdmitError::Unreachable);
}
