//! Admission to one server under failures: cold starts, lost entries, slow tokens, ejection.

mod home_support;

use std::sync::Arc;
use std::time::Duration;

use home_support::{class, config, organisation, server};
use laburnumvalve::home::admission::{Admission, Arrival, Decision};
use laburnumvalve::home::health::Peers;
use laburnumvalve::home::report::{EngineLoad, Report};
use laburnumvalve::home::tenure::Standing;
use laburnumvalve::home::{Ending, Figures};
use laburnumvalve::peer::generated::v1::refused::Reason;
use rstest::rstest;
use tokio::time::Instant;

/// One server with eight slots that bears two requests while it is cold.
struct Fixture {
    now: Instant,
    admission: Admission,
    next: u64,
}

impl Fixture {
    fn new() -> Self {
        let server = server("runner", 8, 2);
        let classes = vec![class("gold", 0, 0), class("bulk", 4, 0)];
        let config = config(classes, vec![organisation("org", 1)], vec![server.clone()]);
        let now = Instant::now() + Duration::from_secs(100);
        let sole = Standing { rank: 0, doubt: false };
        let mut admission = Admission::new(server, Arc::new(config), sole, now);
        admission.previous_gave_up(now, now, 0);
        Self { now, admission, next: 1 }
    }

    /// Lets time pass, in which the standing is renewed as the supervisor does.
    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += Duration::from_millis(100);
            self.admission.set_standing(self.now, Standing { rank: 0, doubt: false });
        }
    }

    fn report(&mut self, load: EngineLoad) -> Vec<Decision> {
        self.admission.report(self.now, &Report::new(self.now, load))
    }

    /// Reports a warm engine that started long ago.
    fn warm_up(&mut self) {
        self.pass(100);
        self.report(warm(self.admission.running_count()));
    }

    fn ask(&mut self, class: &str) -> Vec<Decision> {
        let id = self.next;
        self.next += 1;
        let arrival = Arrival {
            id,
            class: class.into(),
            organisation: "org".into(),
            prompt_tokens: 16,
            estimated_tokens: 100,
            deadline: None,
            wait_bound: None,
            repeatable: true,
        };
        self.admission.enqueue(self.now, arrival)
    }

    /// Asks for many slots and returns how many requests run then.
    fn fill(&mut self) -> u32 {
        (0..20).for_each(|_| drop(self.ask("gold")));
        self.admission.running_count()
    }

    fn finish(&mut self, id: u64, ending: Ending) -> Vec<Decision> {
        self.admission.finish(self.now, id, ending, Figures::default())
    }
}

fn warm(running: u32) -> EngineLoad {
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
fn a_server_is_cold_until_a_report_says_otherwise() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    fixture.warm_up();
    assert_eq!(fixture.admission.running_count(), 8);
}

#[rstest]
#[case::cold(EngineLoad { generation: 2, uptime_ms: 50, ..EngineLoad::default() }, 2)]
#[case::uptime_went_back(EngineLoad { uptime_ms: 50, warm: false, ..warm(0) }, 2)]
fn a_restart_seen_in_a_report_lowers_the_limit(#[case] load: EngineLoad, #[case] limit: u32) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.pass(500);
    fixture.report(load);
    assert_eq!(fixture.fill(), limit);
}

/// A crash is noticed by its first failed request, before any report; an old report that still
/// says "warm" changes nothing.
#[test]
fn a_failure_makes_the_server_cold_until_a_later_report() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    assert_eq!(fixture.fill(), 8);
    fixture.pass(500);
    (1..=8).for_each(|id| drop(fixture.finish(id, Ending::ServerFailed)));
    assert_eq!(fixture.admission.running_count(), 2);

    fixture.pass(500);
    fixture.report(EngineLoad { age_ms: 900, ..warm(8) });
    assert_eq!(fixture.admission.running_count(), 2);

    fixture.pass(500);
    fixture.report(EngineLoad { uptime_ms: 101_000, ..warm(2) });
    assert_eq!(fixture.admission.running_count(), 8, "it had not restarted");
}

/// A request whose entry is lost may still run; its slot is free only when a report shows so.
#[test]
fn a_lost_entry_keeps_its_slot_until_a_later_report() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    fixture.pass(1_000);
    fixture.admission.lose(fixture.now, 1);
    assert_eq!(fixture.admission.running_count(), 1);

    fixture.pass(2_000);
    let cold = EngineLoad { generation: 1, uptime_ms: 9_000, running: 1, ..EngineLoad::default() };
    fixture.report(cold);
    assert_eq!(fixture.admission.running_count(), 2);
}

#[test]
fn slow_tokens_lower_the_limit_and_tokens_in_time_raise_it() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.fill();
    let gap = |ms| Figures { token_gap: Some(Duration::from_millis(ms)), ..Figures::default() };
    let measure = |fixture: &mut Fixture, ms, times| {
        for _ in 0..times {
            fixture.pass(600);
            fixture.admission.progress(fixture.now, 1, gap(ms));
        }
        fixture.admission.allowed(fixture.now)
    };
    let slow = measure(&mut fixture, 100, 10);
    assert!(slow <= 3, "{slow}");
    let fast = measure(&mut fixture, 10, 30);
    assert_eq!(fast, 8);
}

#[test]
fn a_failing_server_is_ejected_and_comes_back_by_probes() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_peers(Peers { servers: 3, ..Peers::default() });
    for _ in 0..3 {
        fixture.ask("gold");
        let id = fixture.next - 1;
        fixture.finish(id, Ending::ServerFailed);
    }
    let refused = fixture.ask("gold");
    assert!(matches!(refused[..], [Decision::Refused { reason: Reason::Ejected, .. }]));

    for _ in 0..2 {
        fixture.pass(2_500);
        let probe = fixture.ask("gold");
        assert!(matches!(probe[..], [Decision::Granted { .. }]));
        let second = fixture.ask("gold");
        assert!(matches!(second[..], [Decision::Refused { reason: Reason::Ejected, .. }]));
        let id = fixture.next - 2;
        fixture.finish(id, Ending::Complete);
    }
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// A fault that all servers share ejects no more than the cap, whatever the reports' lag.
#[rstest]
#[case::the_only_server(Peers { servers: 1, ..Peers::default() })]
#[case::another_is_ejected(Peers { servers: 3, ejected: 1, ejected_first: 1, ..Peers::default() })]
fn no_more_servers_are_ejected_than_the_cap(#[case] peers: Peers) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_peers(peers);
    for _ in 0..10 {
        fixture.ask("gold");
        let id = fixture.next - 1;
        fixture.finish(id, Ending::ServerFailed);
    }
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// Two servers that were ejected at the same time: only the first by name stays ejected.
#[test]
fn an_ejection_above_the_cap_is_taken_back() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    fixture.admission.set_peers(Peers { servers: 3, ..Peers::default() });
    for _ in 0..3 {
        fixture.ask("gold");
        let id = fixture.next - 1;
        fixture.finish(id, Ending::ServerFailed);
    }
    assert!(fixture.admission.load(fixture.now).ejected);
    let both = Peers { servers: 3, ejected: 1, ejected_first: 1, ..Peers::default() };
    fixture.admission.set_peers(both);
    assert!(!fixture.admission.load(fixture.now).ejected);
}

/// Before any request ended, the pace of a server is a guess, by which nothing is refused.
#[test]
fn no_request_is_refused_as_late_by_a_guess() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.fill(), 2);
    let bounded = Arrival {
        id: 100,
        class: "gold".into(),
        organisation: "org".into(),
        prompt_tokens: 16,
        estimated_tokens: 100,
        deadline: Some(Duration::from_millis(760)),
        wait_bound: None,
        repeatable: true,
    };

    let decisions = fixture.admission.enqueue(fixture.now, bounded);

    let refused = decisions.iter().any(|decision| matches!(decision, Decision::Refused { .. }));
    assert!(!refused, "{decisions:?}");
}
