//! Request counts per time window.

use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::routing::windows::{SentTallies, StepFilteredClock, Tallies, may_finalise};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Seed of the generated cases.
const SEED: u64 = 20_261_207;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Counts that arrive repeatedly, late or over two paths add up to the requests counted.
    #[test]
    fn merged_counts_are_exact(
        steps in prop::collection::vec((0..4_usize, 0..3_usize, any::<bool>()), 1..200),
    ) {
        let mut processes = vec![Tallies::default(); 4];
        let mut published = vec![Tallies::default(); 3];
        for (process, publisher, publishes) in &steps {
            let name = format!("process-{process}");
            processes[*process].increment(&name, 7, &"timers".into());
            if *publishes {
                published[*publisher].merge(&processes[*process]);
            }
        }
        for (index, process) in processes.iter().enumerate() {
            published[index % 3].merge(process);
        }
        let mut merged = Tallies::default();
        published.iter().chain(&published).for_each(|tallies| merged.merge(tallies));

        let counts = merged.sum(7);
        prop_assert_eq!(counts.values().sum::<u64>(), steps.len() as u64);
    }
}

/// A process on the path from the counting instance to the publishing one.
#[derive(Default)]
struct Relay {
    name: String,
    known: Tallies,
    sent: SentTallies,
}

impl Relay {
    /// Sends unacknowledged counts to the next process; the acknowledgement may be lost.
    fn send_to(&mut self, next: &mut Relay, is_acknowledged: bool) {
        let peer = "peer".into();
        self.sent.record_response(&peer, true);
        let unsent = self.sent.unsent(&peer, &self.known);
        next.known.merge(&unsent);
        if is_acknowledged {
            self.sent.record_acknowledged(next.name.clone(), &unsent);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Guards against loss of counts when a relaying process is killed after receiving counts and
    /// before sending them on.
    #[test]
    fn relayed_counts_are_exact_when_relays_restart(
        steps in prop::collection::vec((0..4_usize, 0..5_usize, any::<bool>()), 1..200),
    ) {
        let mut relays: [Relay; 4] = std::array::from_fn(|_| Relay::default());
        let mut counted = 0;
        for (number, (relay, action, is_acknowledged)) in steps.into_iter().enumerate() {
            match action {
                // The counting instance is never replaced, as its counts would be lost with it.
                0 if relay > 0 => relays[relay] = Relay { name: format!("new-{number}"), ..Relay::default() },
                1 => {
                    relays[0].known.increment("process", 7, &"timers".into());
                    counted += 1;
                }
                _ if relay < 3 => {
                    let (before, after) = relays.split_at_mut(relay + 1);
                    before[relay].send_to(&mut after[0], is_acknowledged);
                }
                _ => {}
            }
        }
        // The second round delivers all counts to processes that were replaced.
        for relay in [0, 0, 1, 1, 2, 2] {
            let (before, after) = relays.split_at_mut(relay + 1);
            before[relay].send_to(&mut after[0], true);
        }

        prop_assert_eq!(relays[3].known.sum(7).values().sum::<u64>(), counted);
    }
}

#[test]
fn acknowledged_counts_are_not_sent_again() {
    let mut first = Relay::default();
    let mut next = Relay { name: "next".to_owned(), ..Relay::default() };
    first.known.increment("process", 7, &"timers".into());
    first.send_to(&mut next, true);

    first.known.increment("process", 7, &"aligners".into());

    let unsent = first.sent.unsent(&"peer".into(), &first.known);
    assert_eq!(unsent.sum(7).into_iter().collect::<Vec<_>>(), [("aligners".into(), 1)]);
}

/// In an outage of the store, instances try one peer after another. If each got all counts that the
/// instance knows, every instance would soon hold and publish the counts of the whole fleet.
#[test]
fn counts_are_not_sent_to_peers_without_current_state() {
    let mut known = Tallies::default();
    known.increment("process", 7, &"timers".into());
    let mut sent = SentTallies::default();

    for number in 0..3 {
        let peer = format!("peer-{number}").into();
        assert_eq!(sent.unsent(&peer, &known), Tallies::default());
        sent.record_response(&peer, false);
    }

    let peer = "peer-3".into();
    sent.record_response(&peer, true);
    assert_eq!(sent.unsent(&peer, &known), known);
}

#[test]
fn restarted_process_adds_to_its_earlier_counts() {
    let mut merged = Tallies::default();
    for process in ["instance/1", "instance/2"] {
        let mut own = Tallies::default();
        own.increment(process, 3, &"timers".into());
        merged.merge(&own);
    }

    assert_eq!(merged.sum(3).values().sum::<u64>(), 2);
}

/// Guards against finalising incomplete counts when the store recovers from an outage and all
/// instances publish their delayed counts.
#[rstest]
#[case::settled(2_800, None, true)]
#[case::too_early(2_700, None, false)]
#[case::just_recovered(6_000, Some(200), false)]
#[case::recovered_and_settled(6_000, Some(1_700), true)]
#[case::just_recovered_and_due(9_200, Some(200), true)]
fn window_is_finalised_after_all_counts_arrived(
    #[case] since_end_ms: u64,
    #[case] since_recovery_ms: Option<u64>,
    #[case] expected: bool,
) {
    let since_recovery = since_recovery_ms.map(Duration::from_millis);

    let is_final =
        may_finalise(Duration::from_millis(since_end_ms), Duration::from_secs(10), since_recovery);

    assert_eq!(is_final, expected);
}

#[test]
fn old_windows_are_dropped() {
    let mut tallies = Tallies::default();
    tallies.increment("instance/1", 1, &"timers".into());

    tallies.increment("instance/1", 50, &"timers".into());

    assert!(tallies.sum(1).is_empty());
}

#[test]
fn clock_follows_drift_and_ignores_steps() {
    let start = BootTime::from_start(Duration::from_secs(10));
    let mut clock = StepFilteredClock::new(1_000_000, start);
    let later = start.after(Duration::from_secs(1));

    assert_eq!(clock.synchronise(1_003_400, later), Some(2_400), "a step ahead");
    assert_eq!(clock.unix_millis(later), 1_001_000);
    assert_eq!(clock.synchronise(1_001_020, later), None, "drift");
    assert_eq!(clock.unix_millis(later), 1_001_020);
}
