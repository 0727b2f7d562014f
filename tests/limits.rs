//! Limits of organisations across instances, within their documented error bound.

mod home_support;

use std::collections::BTreeMap;
use std::time::Duration;

use home_support::organisation;
use laburnumvalve::config::Organisation;
use laburnumvalve::home::limits::{
    ALLOWANCE_VALIDITY, LimitAllocator, LocalLimiter, OverLimit, REPORT_PERIOD, equal_share,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

/// Seed of the generated cases.
const SEED: u64 = 20_261_204;

fn limited(max_running: u32) -> Organisation {
    Organisation { max_running: Some(max_running), ..organisation("timers", 1) }
}

/// One step of a simulated fleet; a number is the index of an instance where nothing else is said.
#[derive(Debug, Clone)]
enum Step {
    StartRequest(usize),
    FinishRequest(usize),
    Report(usize),
    /// Stops an instance and all requests that it runs.
    RemoveInstance(usize),
    /// Loses the state of the allocator, as when another instance takes over.
    ReplaceAllocator,
    /// Advances time by a number of milliseconds.
    AdvanceMs(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_usize).prop_map(Step::StartRequest),
        3 => (0..4_usize).prop_map(Step::FinishRequest),
        4 => (0..4_usize).prop_map(Step::Report),
        1 => (0..4_usize).prop_map(Step::RemoveInstance),
        1 => Just(Step::ReplaceAllocator),
        3 => (1..3_000_u64).prop_map(Step::AdvanceMs),
    ]
}

/// Four instances that share an organisation's limit of running requests.
struct Fleet {
    org: Organisation,
    now: Instant,
    allocator: LimitAllocator,
    limiters: BTreeMap<usize, (LocalLimiter, u32)>,
    allocator_changes: u32,
}

impl Fleet {
    fn new(limit: u32) -> Self {
        Self {
            org: limited(limit),
            now: Instant::now() + Duration::from_secs(100),
            allocator: LimitAllocator::default(),
            limiters: BTreeMap::new(),
            allocator_changes: 0,
        }
    }

    fn run(&mut self, step: &Step) {
        let fallback = equal_share(&self.org, 4);
        let now = self.now;
        match step {
            Step::StartRequest(index) => {
                let (limiter, running) =
                    self.limiters.entry(*index).or_insert_with(|| (LocalLimiter::new(now), 0));
                *running += u32::from(limiter.try_start(now, fallback).is_ok());
            }
            Step::FinishRequest(index) => {
                if let Some((limiter, running)) = self.limiters.get_mut(index)
                    && *running > 0
                {
                    limiter.finish_request();
                    *running -= 1;
                }
            }
            Step::Report(index) => {
                let Some((limiter, _)) = self.limiters.get_mut(index) else { return };
                let name = format!("instance-{index}").as_str().into();
                let allowance =
                    self.allocator.allocate(now, &self.org, &name, limiter.take_usage(), 4);
                limiter.set_allowance(now, now, allowance, fallback);
            }
            Step::RemoveInstance(index) => {
                self.limiters.remove(index);
            }
            Step::ReplaceAllocator => {
                self.allocator = LimitAllocator::default();
                self.allocator_changes += 1;
            }
            Step::AdvanceMs(ms) => self.now += Duration::from_millis(*ms),
        }
    }

    fn running(&self) -> u32 {
        self.limiters.values().map(|(_, running)| running).sum()
    }
}

/// Generates the same cases on every run.
fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn running_requests_stay_within_twice_the_limit(
        limit in 4_u32..40,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut fleet = Fleet::new(limit);
        for step in &steps {
            fleet.run(step);
            prop_assert!(fleet.running() <= 2 * limit, "{} of {limit}", fleet.running());
        }
    }
}

/// With one allocator and regular reports, one instance can use most of the limit, and the fleet
/// never exceeds it.
#[test]
fn one_instance_with_all_requests_gets_the_whole_limit() {
    let mut fleet = Fleet::new(20);
    let mut max_running = 0;
    for _ in 0..10 {
        for _ in 0..30 {
            fleet.run(&Step::StartRequest(0));
        }
        max_running = max_running.max(fleet.running());
        fleet.run(&Step::StartRequest(1));
        fleet.run(&Step::Report(0));
        fleet.run(&Step::Report(1));
        fleet.run(&Step::AdvanceMs(REPORT_PERIOD.as_millis() as u64));
        assert!(fleet.running() <= 20);
    }
    assert!(max_running >= 15, "{max_running}");
}

/// Without an allocator, an instance must fall back to its equal share when its allowance expires.
#[test]
fn an_instance_without_an_allocator_falls_back_to_an_equal_share() {
    let mut fleet = Fleet::new(20);
    fleet.run(&Step::StartRequest(0));
    for _ in 0..8 {
        fleet.run(&Step::Report(0));
        fleet.run(&Step::AdvanceMs(1_000));
    }
    fleet.run(&Step::AdvanceMs(ALLOWANCE_VALIDITY.as_millis() as u64));
    for _ in 0..30 {
        fleet.run(&Step::StartRequest(0));
    }
    assert_eq!(fleet.running(), 5);
}

#[test]
fn an_overdrawn_token_bucket_delays_later_requests() {
    let org = Organisation { tokens_per_minute: Some(600), ..organisation("timers", 1) };
    let fallback = equal_share(&org, 1);
    let start = Instant::now() + Duration::from_secs(100);
    let mut limiter = LocalLimiter::new(start);

    limiter.try_start(start, fallback).unwrap();
    limiter.charge_tokens(start, 400, fallback);

    // The bucket held 100 tokens; the overdraft of 300 takes 30 s at 10 tokens per second.
    let refusal = limiter.try_start(start, fallback);
    assert_eq!(refusal, Err(OverLimit::Tokens(Duration::from_secs(30))));
    assert!(limiter.try_start(start + Duration::from_secs(29), fallback).is_err());
    assert!(limiter.try_start(start + Duration::from_secs(30), fallback).is_ok());
}
