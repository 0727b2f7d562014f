//! Limits that apply to all instances together, and freshness of the configuration.

use std::time::{Duration, Instant};

use laburnumvalve::clock::BootTime;
use laburnumvalve::gateway::links::max_idle_per_instance;
use laburnumvalve::names::InstanceName;
use laburnumvalve::routing::budget::{RetryBudget, RetryBudgetSettings};
use laburnumvalve::routing::cold::{COLD_SENDERS, ColdRateLimiter, ColdSettings, may_send_to_cold};
use laburnumvalve::routing::proof::FreshnessProof;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Seed of the generated cases.
const SEED: u64 = 20_261_205;

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| format!("instance-{index}").into()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// All instances together stay within the budget in every sliding window, however requests and
    /// retries are distributed among them.
    #[test]
    fn retries_of_all_instances_stay_within_the_budget(
        steps in prop::collection::vec((0..9_usize, any::<bool>(), 0..400_u64), 1..600),
    ) {
        let cfg = RetryBudgetSettings { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };
        let start = Instant::now();
        let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::default()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = start;
        for (instance, is_retry, wait_ms) in steps {
            now += Duration::from_millis(wait_ms);
            if !is_retry {
                budgets[instance].record_request(now, &cfg);
                requests.push(now);
            } else if budgets[instance].try_acquire(now, 9, &cfg) {
                retries.push(now);
                let within = |times: &[Instant]| {
                    times.iter().filter(|time| now.duration_since(**time) <= cfg.window).count()
                };
                let allowed = cfg.ratio * within(&requests) as f64 + cfg.slack;
                prop_assert!(within(&retries) as f64 <= allowed);
            }
        }
    }

    /// The instances that may send to a cold backend server stay within its limit, even while two
    /// groups of instances disagree on which ones may.
    #[test]
    fn sends_to_a_cold_server_stay_within_its_rate_and_slack(
        count in 1..80_usize,
        seen in 1..80_usize,
        per_s in 4..60_u32,
    ) {
        let all = instances(count);
        let partial = &all[..seen.min(count)];
        let server = "server".into();
        let now = Instant::now();
        let cfg = ColdSettings::default();
        let mut sent = 0;
        for (index, this_instance) in all.iter().enumerate() {
            let view = if index % 2 == 0 { &all[..] } else { partial };
            if may_send_to_cold(this_instance, view.iter(), &server) {
                let mut limiter = ColdRateLimiter::default();
                while limiter.allows(now, f64::from(per_s), &cfg) {
                    limiter.record_send(now);
                    sent += 1;
                }
            }
        }
        prop_assert!(f64::from(sent) <= f64::from(per_s) * cfg.overage + cfg.slack);
    }
}

#[test]
fn exactly_cold_senders_instances_may_send_to_a_cold_server() {
    let all = instances(83);

    let senders = all
        .iter()
        .filter(|this_instance| may_send_to_cold(this_instance, all.iter(), &"server".into()))
        .count();

    assert_eq!(senders, COLD_SENDERS);
}

#[test]
fn cold_rate_limit_holds_in_every_sliding_second() {
    let start = Instant::now();
    let mut limiter = ColdRateLimiter::default();

    let mut times = Vec::new();
    for ms in 0..5_000 {
        let now = start + Duration::from_millis(ms);
        if limiter.allows(now, 8.0, &ColdSettings::default()) {
            limiter.record_send(now);
            times.push(ms);
        }
    }

    let busiest = times
        .iter()
        .map(|from| times.iter().filter(|t| *t - from.min(t) < 1_000 && t >= &from).count());
    assert!(busiest.max() <= Some(8 / COLD_SENDERS), "{times:?}");
}

#[test]
fn freshness_proof_expires_before_its_maximum_age() {
    let max_age = Duration::from_secs(5);
    let start = BootTime::from_start(Duration::from_secs(100));
    let mut proof = FreshnessProof::default();
    assert!(!proof.is_fresh(start, max_age), "there is no proof yet");

    proof.record(start);

    assert!(proof.is_fresh(start.after(Duration::from_millis(4_600)), max_age));
    assert!(!proof.is_fresh(start.after(Duration::from_millis(4_800)), max_age));
}

#[test]
fn older_proof_does_not_replace_newer_one() {
    let start = BootTime::from_start(Duration::from_secs(100));
    let mut proof = FreshnessProof::default();
    proof.record(start);

    proof.record(start.before(Duration::from_secs(3)));

    assert_eq!(proof.age(start), Some(Duration::ZERO));
}

/// Guards against idle connections of many instances using up the connection limit of a backend
/// server, which is a few hundred.
#[rstest]
#[case::few_instances(370, 9, 16)]
#[case::many_instances(370, 83, 2)]
#[case::more_instances_than_connections(100, 340, 1)]
fn idle_connections_of_all_instances_leave_room_for_requests(
    #[case] max_connections: u32,
    #[case] instances: usize,
    #[case] max_idle: usize,
) {
    assert_eq!(max_idle_per_instance(max_connections, instances), max_idle);
}
