//! Order of the queue: tiers, promised shares, fairness between organisations and the drop policy.

mod home_support;

use std::collections::BTreeMap;

use home_support::class;
use laburnumvalve::home::fair::WaitingRequest;
use laburnumvalve::home::queue::{DropReason, MIN_SHARE_PER_MILLE, Queue, QueueSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

/// Seed of the generated cases.
const SEED: u64 = 20_261_204;

fn queue(max_waiting: usize, shares: [u16; 3]) -> Queue {
    let classes =
        [class("gold", 0, shares[0]), class("silver", 1, shares[1]), class("bronze", 2, shares[2])];
    let mut queue = Queue::new(QueueSettings { max_waiting });
    queue.set_classes(classes.iter());
    queue
}

fn waiting(id: u64, class: &str, organisation: &str, cost: u64) -> WaitingRequest {
    WaitingRequest {
        id,
        class: class.into(),
        organisation: organisation.into(),
        cost,
        queued_at: Instant::now(),
        deadline: None,
    }
}

const CLASSES: [&str; 3] = ["gold", "silver", "bronze"];

/// Generates the same cases on every run.
fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(SEED);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// A lower class is served ahead of a waiting higher class only within its share.
    #[test]
    fn a_lower_class_takes_no_more_than_its_share(
        shares in prop::array::uniform3(0_u16..300),
        arrivals in prop::collection::vec((0_usize..3, 0_usize..3, 1_u64..500), 1..200),
        pops in prop::collection::vec(0_usize..4, 1..200),
    ) {
        let mut queue = queue(10_000, shares);
        let mut arrivals = arrivals.into_iter().enumerate();
        let mut served = 0;
        let mut served_early: BTreeMap<String, u64> = BTreeMap::new();
        for pops in pops {
            if let Some((id, (class, org, cost))) = arrivals.next() {
                queue.push(waiting(id as u64, CLASSES[class], ["x", "y", "z"][org], cost), 1);
            }
            for _ in 0..pops.saturating_sub(1) {
                let Some(request) = queue.pop() else { break };
                served += request.cost;
                let tier = queue.tier(&request.class).0 as usize;
                let overtook =
                    CLASSES[..tier].iter().any(|c| queue.waiting_in_class(&(*c).into()) > 0);
                if overtook {
                    *served_early.entry(request.class.to_string()).or_default() += request.cost;
                }
            }
            for (class, cost) in &served_early {
                let index = CLASSES.iter().position(|c| c == class).unwrap();
                let share = u64::from(shares[index]).max(MIN_SHARE_PER_MILLE);
                prop_assert!(*cost <= share * served / 1_000 + 1, "{class}: {cost} of {served}");
            }
        }
    }

    /// A full queue drops the newest request of the lowest class that exceeds its reserved places.
    #[test]
    fn a_full_queue_drops_the_latest_request_of_the_lowest_class(
        arrivals in prop::collection::vec(0_usize..3, 1..100),
    ) {
        let mut queue = queue(8, [0, 0, 0]);
        let mut held: Vec<(usize, u64)> = Vec::new();
        for (id, class) in arrivals.into_iter().enumerate() {
            held.push((class, id as u64));
            let dropped = queue.push(waiting(id as u64, CLASSES[class], "x", 10), 1);
            let expected = (held.len() > 8).then(|| {
                let above_reserve =
                    |class: usize| held.iter().filter(|(c, _)| *c == class).count() > 1;
                *held.iter().filter(|(class, _)| above_reserve(*class)).max().unwrap()
            });
            prop_assert_eq!(dropped.as_ref().map(|(request, _)| request.id), expected.map(|e| e.1));
            if let (Some((request, reason)), Some(expected)) = (dropped, expected) {
                let displaced = request.id != id as u64 && class < expected.0;
                prop_assert_eq!(reason == DropReason::Displaced, displaced);
                held.retain(|entry| *entry != expected);
            }
        }
    }
}

/// Under full load from a higher tier, each class must still be served at the rate of its share.
#[rstest]
#[case::without_a_promised_share(0, 36)]
#[case::with_a_promised_share(50, 180)]
fn a_class_with_one_waiting_request_does_not_starve(#[case] share: u16, #[case] expected: usize) {
    const ROUNDS: u64 = 3_600;
    let mut queue = queue(1_000, [0, share, 0]);
    let mut served = 0;
    queue.push(waiting(0, "silver", "x", 100), 1);
    for id in 1..=ROUNDS {
        queue.push(waiting(id * 2, "gold", "y", 100), 1);
        queue.push(waiting(id * 2 + 1, "gold", "y", 100), 1);
        if queue.pop().unwrap().class.as_str() == "silver" {
            served += 1;
            queue.push(waiting(ROUNDS * 10 + id, "silver", "x", 100), 1);
        }
    }
    assert!((expected - 2..=expected).contains(&served), "{served}");
}

/// Credit accrued by requests that leave before they are served must serve a later one at once.
#[test]
fn credit_is_kept_when_the_waiting_requests_are_removed() {
    let mut queue = queue(1_000, [0, 0, 0]);
    for id in 0..400 {
        queue.push(waiting(id, "gold", "y", 100), 1);
    }
    for id in 1_000..1_100 {
        queue.push(waiting(id, "bronze", "x", 100), 1);
        queue.pop();
        queue.remove(id);
    }

    queue.push(waiting(2_000, "bronze", "x", 100), 1);

    assert_eq!(queue.pop().unwrap().id, 2_000);
}

/// An organisation with ten times the requests gets no more tokens than its weight permits.
#[rstest]
#[case::equal_weights(1, 1.0)]
#[case::triple_weight(3, 3.0)]
fn tokens_are_shared_by_weight(#[case] weight: u32, #[case] ratio: f64) {
    let mut queue = queue(10_000, [0, 0, 0]);
    for id in 0..3_000 {
        queue.push(waiting(id, "gold", "heavy", 10), 1);
    }
    for id in 10_000..10_300 {
        queue.push(waiting(id, "gold", "light", 10), weight);
    }
    let mut used: BTreeMap<String, u64> = BTreeMap::new();
    for _ in 0..300 {
        let request = queue.pop().unwrap();
        // Responses of the light organisation are twice as long as estimated.
        let actual = if request.organisation.as_str() == "light" { 20 } else { 10 };
        queue.correct_charge(&request.class, &request.organisation, request.cost, actual);
        *used.entry(request.organisation.to_string()).or_default() += actual;
    }
    let measured = used["light"] as f64 / used["heavy"] as f64;
    assert!((measured / ratio - 1.0).abs() < 0.05, "{measured}");
}
