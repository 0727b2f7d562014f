//! Orders are issued by a single lease holder, and a retried order is executed once.

mod usage_support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use laburnumvalve::clock::BootClock;
use laburnumvalve::config::{
    Access, BackendServer, Class, Config, Repeatability, Route, RouteTarget, ServerKind, Tier,
};
use laburnumvalve::lease::{LeaseTask, LeaseWatch, Role};
use laburnumvalve::names::BackendServerName;
use laburnumvalve::options::Options;
use laburnumvalve::orders::plan::{Planner, pools};
use laburnumvalve::orders::{Action, OrderError, OrderOutcome, OrderSender};
use laburnumvalve::peer::generated::v1::ServerLoad;
use laburnumvalve::peer::{Loads, Member, Members};
use rstest::rstest;
use standins::platform::{LostAnswer, PlatformFaults};
use standins::{Direction, Platform, PlatformSettings, Relay};
use usage_support::{Controls, context, options, wait_until};

const TERM: Duration = Duration::from_secs(5);
const DATA_CENTRE: &str = "kolkata-a";

/// An instance that is a candidate for the lease on the orders of one data centre.
struct Candidate {
    sender: OrderSender,
    lease: LeaseWatch,
    clock: BootClock,
    controls: Controls,
}

impl Candidate {
    fn start(name: &str, platform: &Platform) -> Self {
        Self::start_at(name, platform, platform.url())
    }

    /// Starts a candidate that reaches the platform's object API at the given URL.
    fn start_at(name: &str, platform: &Platform, url: String) -> Self {
        Self::start_with(Options { platform_url: url, ..options(name, platform) })
    }

    fn start_with(options: Options) -> Self {
        let options = Options { lease_term: TERM, ..options };
        let (cx, controls) = context(options, 1);
        let clock = BootClock::default();
        let role = Role { name: format!("orders-{DATA_CENTRE}"), data_centre: None };
        let lease = LeaseTask::start_with_clock(cx.clone(), role, clock.clone());
        let sender = OrderSender::new(cx, lease.clone()).expect("sender");
        Self { sender, lease, clock, controls }
    }

    fn set_members(&self, names: &[&str]) {
        let member = |name: &str| Member {
            name: name.into(),
            data_centre: DATA_CENTRE.into(),
            peer_address: "127.0.0.1:1".into(),
            leaving: false,
        };
        let listed = names.iter().map(|name| ((*name).into(), member(name))).collect();
        self.controls.members.send_replace(Arc::new(Members { listed, ..Members::default() }));
    }

    async fn wait_for_lease(&self) {
        wait_until("the lease is acquired", || self.sender.holds_lease()).await;
    }
}

async fn platform() -> Platform {
    Platform::start(PlatformSettings::default()).await.expect("platform")
}

fn server(name: &str, data_centre: &str, kind: ServerKind, checks_fencing: bool) -> BackendServer {
    BackendServer {
        name: name.into(),
        data_centre: data_centre.into(),
        address: "http://127.0.0.1:1".to_owned(),
        routes: BTreeSet::from(["timing-model".into()]),
        kind,
        price: if kind == ServerKind::Standard { 100 } else { 30 },
        slots: 8,
        cold_limit: 1,
        checks_fencing,
        in_service: true,
    }
}

fn unfenced_server() -> BackendServer {
    server("s1", DATA_CENTRE, ServerKind::Standard, false)
}

#[tokio::test]
async fn an_unanswered_order_is_retried_with_the_same_id() {
    // Arrange: the order takes effect, but the responses to it and to the write of its outcome are
    // lost.
    let platform = platform().await;
    let a = Candidate::start("a", &platform);
    a.wait_for_lease().await;
    let lost = |words: &str| LostAnswer { matching: words.to_owned(), count: 1, hang: false };
    let lost_answers = ["send order", "create orders", "update orders"].map(lost).to_vec();
    platform.set_faults(PlatformFaults { lost_answers, ..PlatformFaults::default() });

    // Act
    let first = a.sender.issue(&unfenced_server(), Action::Start).await;
    let second = a.sender.issue(&unfenced_server(), Action::Start).await;

    // Assert
    assert!(matches!(first, Err(OrderError::Unknown(_))), "{first:?}");
    assert_eq!(second, Ok(OrderOutcome::Done));
    let ids: BTreeSet<String> = platform.orders().into_iter().map(|order| order.id).collect();
    assert_eq!((ids.len(), platform.orders().len()), (1, 2));
}

#[tokio::test]
async fn a_suspended_holder_sends_no_order_after_its_lease_expired() {
    let platform = platform().await;
    let a = Candidate::start("a", &platform);
    a.wait_for_lease().await;
    let lease = a.lease.live().expect("held");

    a.clock.advance(TERM);

    assert!(lease.permit().is_none());
    assert_eq!(a.sender.issue(&unfenced_server(), Action::Stop).await, Err(OrderError::NoLease));
    assert!(platform.orders().is_empty());
}

/// Lets instance `a` acquire the lease, disconnects it and waits until `b` holds the lease.
///
/// The relay restores the connection of `a`.
async fn start_successor(platform: &Platform) -> (Candidate, Candidate, Relay) {
    let relay = Relay::start(platform.address()).await.expect("relay");
    let a = Candidate::start_at("a", platform, format!("http://{}", relay.address()));
    a.wait_for_lease().await;
    relay.refuse(true);
    relay.cut();
    let b = Candidate::start("b", platform);
    b.set_members(&["a", "b"]);
    b.wait_for_lease().await;
    (a, b, relay)
}

fn former_holder_count(candidate: &Candidate) -> usize {
    candidate.lease.live().map_or(usize::MAX, |lease| lease.former_holders().len())
}

#[tokio::test]
async fn a_successor_sends_nothing_to_unfenced_servers_until_the_former_holder_stopped() {
    // Arrange
    let platform = platform().await;
    let (a, b, _relay) = start_successor(&platform).await;
    let fenced_server = server("s2", DATA_CENTRE, ServerKind::Standard, true);

    // Act: the former holder is first listed, then removed from the list.
    let by_former = a.sender.issue(&unfenced_server(), Action::Start).await;
    let unfenced = b.sender.issue(&unfenced_server(), Action::Start).await;
    let fenced = b.sender.issue(&fenced_server, Action::Start).await;
    b.set_members(&["b"]);
    let too_early = b.sender.issue(&unfenced_server(), Action::Start).await;
    wait_until("the former holder counts as stopped", || former_holder_count(&b) == 0).await;
    let after = b.sender.issue(&unfenced_server(), Action::Start).await;

    // Assert
    assert_eq!(by_former, Err(OrderError::NoLease));
    assert_eq!((unfenced, fenced), (Err(OrderError::FormerHolderActive), Ok(OrderOutcome::Done)));
    assert_eq!((too_early, after), (Err(OrderError::FormerHolderActive), Ok(OrderOutcome::Done)));
    assert!(platform.orders().iter().all(|order| order.holder == "b" && order.fencing == 2));
}

#[tokio::test]
async fn a_reconnected_former_holder_acknowledges_the_lost_lease() {
    let platform = platform().await;
    let (a, b, relay) = start_successor(&platform).await;
    let before = former_holder_count(&b);

    relay.refuse(false);

    wait_until("the former holder acknowledges the loss", || former_holder_count(&b) == 0).await;
    assert_eq!(before, 1);
    assert_eq!(b.sender.issue(&unfenced_server(), Action::Start).await, Ok(OrderOutcome::Done));
    assert_eq!(a.sender.issue(&unfenced_server(), Action::Stop).await, Err(OrderError::NoLease));
}

#[tokio::test]
async fn a_released_lease_leaves_no_former_holder() {
    let platform = platform().await;
    let a = Candidate::start("a", &platform);
    a.wait_for_lease().await;

    a.controls.draining.send_replace(true);
    let b = Candidate::start("b", &platform);
    b.wait_for_lease().await;

    assert!(a.lease.live().is_none());
    assert_eq!(b.sender.issue(&unfenced_server(), Action::Start).await, Ok(OrderOutcome::Done));
}

#[tokio::test]
async fn a_successor_first_completes_the_pending_order_of_the_former_holder() {
    // Arrange: the first holder stores an order that does not reach the interface.
    let platform = platform().await;
    platform.set_checks_fencing(DATA_CENTRE, "s2", true);
    let fenced_server = server("s2", DATA_CENTRE, ServerKind::Standard, true);
    let calls = Relay::start(platform.address()).await.expect("relay");
    let sends = Relay::start(platform.address()).await.expect("relay");
    let a = Candidate::start_with(Options {
        platform_url: format!("http://{}", calls.address()),
        orders_url: format!("http://{}", sends.address()),
        ..options("a", &platform)
    });
    a.wait_for_lease().await;
    sends.freeze(Direction::Both);
    let unanswered = a.sender.issue(&fenced_server, Action::Start).await;
    let unanswered_id = platform.objects("orders")["s2"]["id"].clone();

    // Act: a successor takes over and issues its own order.
    calls.refuse(true);
    calls.cut();
    let b = Candidate::start("b", &platform);
    b.wait_for_lease().await;
    let by_successor = b.sender.issue(&fenced_server, Action::Stop).await;

    // Assert
    assert!(matches!(unanswered, Err(OrderError::Unknown(_))), "{unanswered:?}");
    assert_eq!(by_successor, Ok(OrderOutcome::Done));
    let arrived: Vec<(String, u64)> =
        platform.orders().into_iter().map(|order| (order.order, order.fencing)).collect();
    assert_eq!(arrived, [("start".to_owned(), 2), ("stop".to_owned(), 2)]);
    assert_eq!(unanswered_id, platform.orders()[0].id);
}

/// Returns a configuration with one route of the given tier, served in two data centres by both
/// kinds of servers.
fn config(tier: u8) -> Config {
    let class = Class {
        name: "cues".into(),
        tier: Tier(tier),
        first_token_ms: 500,
        token_gap_ms: 50,
        promised_share: 0,
        repeatability: Repeatability::Idempotent,
    };
    let route = Route {
        name: "timing-model".into(),
        target: RouteTarget::Model("timing-model".into()),
        access: Access::Open,
        class: "cues".into(),
    };
    let servers = ["kolkata-a", "kolkata-b"].into_iter().flat_map(|centre| {
        [("std", ServerKind::Standard), ("rec", ServerKind::Reclaimable)].into_iter().flat_map(
            move |(word, kind)| {
                (0..3).map(move |n| server(&format!("{word}-{centre}-{n}"), centre, kind, true))
            },
        )
    });
    Config {
        classes: [(class.name.clone(), class)].into(),
        routes: [(route.name.clone(), route)].into(),
        backend_servers: servers.map(|server| (server.name.clone(), server)).collect(),
        ..Config::default()
    }
}

fn loads(running: u32) -> Loads {
    [("std-kolkata-a-0".into(), ServerLoad { running, ..ServerLoad::default() })].into()
}

#[rstest]
#[case::top_tier_idle(0, 0, &["std-kolkata-a-0", "std-kolkata-b-0"])]
#[case::top_tier_survives_a_lost_data_centre(0, 12, &[
    "std-kolkata-a-0", "std-kolkata-a-1", "std-kolkata-b-0", "std-kolkata-b-1",
])]
#[case::lower_tier_takes_the_cheapest(3, 12, &[
    "rec-kolkata-a-0", "rec-kolkata-a-1", "rec-kolkata-b-0",
])]
fn desired_servers_follow_the_demand(
    #[case] tier: u8,
    #[case] demand: u32,
    #[case] expected: &[&str],
) {
    let config = config(tier);
    let pools = pools(&config);

    let desired = Planner::default().desired_servers(&pools[0], &loads(demand), &BTreeSet::new());

    let expected: BTreeSet<BackendServerName> =
        expected.iter().map(|name| BackendServerName::from(*name)).collect();
    assert_eq!(desired, expected);
}

#[test]
fn a_server_is_stopped_only_after_many_rounds_of_low_demand() {
    let config = config(3);
    let pools = pools(&config);
    let mut planner = Planner::default();
    let running: BTreeSet<BackendServerName> =
        pools[0].servers.iter().map(|server| server.name.clone()).collect();

    let mut desired = || planner.desired_servers(&pools[0], &loads(4), &running).len();
    let rounds: Vec<usize> = (0..30).map(|_| desired()).collect();

    assert!(rounds[..29].iter().all(|count| *count == 12));
    assert_eq!(rounds[29], 1);
}
