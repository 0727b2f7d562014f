//! Admission to one server under failures: cold starts, lost entry instances, slow tokens and
//! ejection.

mod home_support;

use std::sync::Arc;
use std::time::Duration;

use home_support::{class, config, organisation, server};
use laburnumvalve::home::admission::{Admission, Arrival, Decision};
use laburnumvalve::home::health::RouteHealth;
use laburnumvalve::home::report::{EngineLoad, LoadReport};
use laburnumvalve::home::tenure::HomeRank;
use laburnumvalve::home::{RequestOutcome, RequestStats};
use laburnumvalve::peer::generated::v1::refused::Reason;
use rstest::rstest;
use tokio::time::Instant;

/// A server with eight slots and a cold limit of two.
struct Fixture {
    now: Instant,
    admission: Admission,
    next_id: u64,
}

impl Fixture {
    fn new() -> Self {
        let server = server("runner", 8, 2);
        let classes = vec![class("gold", 0, 0), class("bulk", 4, 0)];
        let config = config(classes, vec![organisation("org", 1)], vec![server.clone()]);
        let now = Instant::now() + Duration::from_secs(100);
        let certain = HomeRank { rank: 0, uncertain: false };
        let mut admission = Admission::new(server, Arc::new(config), certain, now);
        admission.confirm_sole_home(now, now, 0);
        Self { now, admission, next_id: 1 }
    }

    /// Advances time in steps of 100 ms, refreshing the home rank as the supervisor does.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += Duration::from_millis(100);
            self.admission.set_home_rank(self.now, HomeRank { rank: 0, uncertain: false });
        }
    }

    fn report(&mut self, load: EngineLoad) -> Vec<Decision> {
        self.admission.record_report(self.now, &LoadReport::new(self.now, load))
    }

    /// Reports a warm engine with a long uptime.
    fn warm_up(&mut self) {
        self.advance(100);
        self.report(warm_load(self.admission.running_count()));
    }

    fn enqueue(&mut self, class: &str) -> Vec<Decision> {
        let id = self.next_id;
        self.next_id += 1;
        let arrival = Arrival {
            id,
            class: class.into(),
            organisation: "org".into(),
            prompt_tokens: 16,
            estimated_tokens: 100,
            time_left: None,
            wait_bound: None,
            repeatable: true,
        };
        self.admission.enqueue(self.now, arrival)
    }

    /// Enqueues many requests and returns the number of running ones.
    fn fill(&mut self) -> u32 {
        (0..20).for_each(|_| drop(self.enqueue("gold")));
        self.admission.running_count()
    }

    fn finish(&mut self, id: u64, outcome: RequestOutcome) -> Vec<Decision> {
        self.admission.finish(self.now, id, outcome, RequestStats::default())
    }
}

fn warm_load(running: u32) -> EngineLoad {
    EngineLoad {
        generation: 1,
        uptime_ms: 100_000,
        warm: true,
        running,
        slots: 8,
        ..EngineLoad::default()
    }
}

#[test]
fn a_server_is_cold_until_a_report_shows_it_warm() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    fixture.warm_up();
    assert_eq!(fixture.admission.running_count(), 8);
}

#[rstest]
#[case::cold(EngineLoad { generation: 2, uptime_ms: 50, ..EngineLoad::default() }, 2)]
#[case::uptime_went_back(EngineLoad { uptime_ms: 50, warm: false, ..warm_load(0) }, 2)]
fn a_report_of_a_restart_lowers_the_limit(#[case] load: EngineLoad, #[case] limit: u32) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.advance(500);
    fixture.report(load);
    assert_eq!(fixture.fill(), limit);
}

/// After a crash the first failed request must lower the limit, and a report measured before it
/// must not restore it. A later report of the same engine start does.
#[test]
fn a_failure_makes_the_server_cold_until_a_later_report() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    assert_eq!(fixture.fill(), 8);
    fixture.advance(500);
    (1..=8).for_each(|id| drop(fixture.finish(id, RequestOutcome::ServerFailed)));
    assert_eq!(fixture.admission.running_count(), 2);

    fixture.advance(500);
    fixture.report(EngineLoad { age_ms: 900, ..warm_load(8) });
    assert_eq!(fixture.admission.running_count(), 2);

    fixture.advance(500);
    fixture.report(EngineLoad { uptime_ms: 101_000, ..warm_load(2) });
    assert_eq!(fixture.admission.running_count(), 8, "the engine did not restart");
}

/// A request whose entry instance was lost may still run; its slot is freed only by a later report.
#[test]
fn a_request_with_a_lost_entry_instance_keeps_its_slot_until_a_later_report() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    fixture.advance(1_000);
    fixture.admission.record_entry_loss(fixture.now, 1);
    assert_eq!(fixture.admission.running_count(), 1);

    fixture.advance(2_000);
    let cold = EngineLoad { generation: 1, uptime_ms: 9_000, running: 1, ..EngineLoad::default() };
    fixture.report(cold);
    assert_eq!(fixture.admission.running_count(), 2);
}

#[test]
fn long_token_gaps_lower_the_limit_and_short_ones_raise_it() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.fill();
    let gap =
        |ms| RequestStats { token_gap: Some(Duration::from_millis(ms)), ..RequestStats::default() };
    let measure = |fixture: &mut Fixture, ms, times| {
        for _ in 0..times {
            fixture.advance(600);
            fixture.admission.record_progress(fixture.now, 1, gap(ms));
        }
        fixture.admission.allowed(fixture.now)
    };
    let slow = measure(&mut fixture, 100, 10);
    assert!(slow <= 3, "{slow}");
    let fast = measure(&mut fixture, 10, 30);
    assert_eq!(fast, 8);
}

#[test]
fn a_failing_server_is_ejected_and_recovers_after_successful_probes() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_route_health(RouteHealth { servers: 3, ..RouteHealth::default() });
    for _ in 0..3 {
        fixture.enqueue("gold");
        let id = fixture.next_id - 1;
        fixture.finish(id, RequestOutcome::ServerFailed);
    }
    let refused = fixture.enqueue("gold");
    assert!(matches!(refused[..], [Decision::Refused { reason: Reason::Ejected, .. }]));

    for _ in 0..2 {
        fixture.advance(2_500);
        let probe = fixture.enqueue("gold");
        assert!(matches!(probe[..], [Decision::Granted { .. }]));
        let second = fixture.enqueue("gold");
        assert!(matches!(second[..], [Decision::Refused { reason: Reason::Ejected, .. }]));
        let id = fixture.next_id - 2;
        fixture.finish(id, RequestOutcome::Complete);
    }
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// A fault shared by all servers must not eject more of them than the cap permits.
#[rstest]
#[case::the_only_server(RouteHealth { servers: 1, ..RouteHealth::default() })]
#[case::another_is_ejected(
    RouteHealth { servers: 3, ejected: 1, ejected_before: 1, ..RouteHealth::default() }
)]
fn ejections_do_not_exceed_the_cap(#[case] route_health: RouteHealth) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_route_health(route_health);
    for _ in 0..10 {
        fixture.enqueue("gold");
        let id = fixture.next_id - 1;
        fixture.finish(id, RequestOutcome::ServerFailed);
    }
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// Two servers may be ejected at the same time, before each sees the load of the other; then only
/// the first by name stays ejected.
#[test]
fn an_ejection_above_the_cap_is_ended() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_route_health(RouteHealth { servers: 3, ..RouteHealth::default() });
    for _ in 0..3 {
        fixture.enqueue("gold");
        let id = fixture.next_id - 1;
        fixture.finish(id, RequestOutcome::ServerFailed);
    }
    assert!(fixture.admission.load(fixture.now).ejected);
    let both = RouteHealth { servers: 3, ejected: 1, ejected_before: 1, ..RouteHealth::default() };
    fixture.admission.set_route_health(both);
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// Before a request has completed, the estimated wait rests on defaults and must not refuse any.
#[test]
fn no_request_is_refused_as_too_late_before_the_pace_is_measured() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    let with_time_left = Arrival {
        id: 100,
        class: "gold".into(),
        organisation: "org".into(),
        prompt_tokens: 16,
        estimated_tokens: 100,
        time_left: Some(Duration::from_millis(760)),
        wait_bound: None,
        repeatable: true,
    };

    let decisions = fixture.admission.enqueue(fixture.now, with_time_left);

    let refused = decisions.iter().any(|decision| matches!(decision, Decision::Refused { .. }));
    assert!(!refused, "{decisions:?}");
}
