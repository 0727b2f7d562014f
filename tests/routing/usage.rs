//! Counts of requests in windows of true time.

use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::routing::windows::{SentTallies, StepFilteredClock, Tallies, may_finalise};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

/// Seed of the drawn cases.
const SEED: u64 = 20_261_207;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Counts that arrive twice, late or on two ways add up to what was counted.
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

/// A process on the way from the counting instances to the one that publishes.
#[derive(Default)]
struct Rank {
    name: String,
    known: Tallies,
    told: SentTallies,
}

impl Rank {
    /// Tells the next rank what it lacks; the answer may be lost.
    fn tell(&mut self, next: &mut Rank, is_answered: bool) {
        let lacking = self.told.unsent(&self.known);
        next.known.merge(&lacking);
        if is_answered {
            self.told.record_acknowledged(next.name.clone(), &lacking);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// Pattern: an instance that passes counts on is killed between hearing and telling them.
    #[test]
    fn counts_told_over_ranks_are_exact_though_processes_on_the_way_are_replaced(
        steps in prop::collection::vec((0..4_usize, 0..5_usize, any::<bool>()), 1..200),
    ) {
        let mut ranks: [Rank; 4] = std::array::from_fn(|_| Rank::default());
        let mut counted = 0;
        for (number, (rank, what, is_answered)) in steps.into_iter().enumerate() {
            match what {
                // The counting instance itself stays, since it would take its counts with it.
                0 if rank > 0 => ranks[rank] = Rank { name: format!("new-{number}"), ..Rank::default() },
                1 => {
                    ranks[0].known.increment("process", 7, &"timers".into());
                    counted += 1;
                }
                _ if rank < 3 => {
                    let (before, after) = ranks.split_at_mut(rank + 1);
                    before[rank].tell(&mut after[0], is_answered);
                }
                _ => {}
            }
        }
        // A process that is replaced hears all in the second round at the latest.
        for rank in [0, 0, 1, 1, 2, 2] {
            let (before, after) = ranks.split_at_mut(rank + 1);
            before[rank].tell(&mut after[0], true);
        }

        prop_assert_eq!(ranks[3].known.sum(7).values().sum::<u64>(), counted);
    }
}

#[test]
fn what_was_told_is_not_told_again() {
    let mut first = Rank::default();
    let mut next = Rank { name: "next".to_owned(), ..Rank::default() };
    first.known.increment("process", 7, &"timers".into());
    first.tell(&mut next, true);

    first.known.increment("process", 7, &"aligners".into());

    let lacking = first.told.unsent(&first.known);
    assert_eq!(lacking.sum(7).into_iter().collect::<Vec<_>>(), [("aligners".into(), 1)]);
}

#[test]
fn a_restarted_process_counts_on_beside_its_former_counts() {
    let mut merged = Tallies::default();
    for process in ["instance/1", "instance/2"] {
        let mut own = Tallies::default();
        own.increment(process, 3, &"timers".into());
        merged.merge(&own);
    }

    assert_eq!(merged.sum(3).values().sum::<u64>(), 2);
}

/// Pattern: the store returns after an outage, and all instances publish what they held back.
#[rstest]
#[case::settled(2_800, None, true)]
#[case::too_early(2_700, None, false)]
#[case::just_returned(6_000, Some(200), false)]
#[case::returned_and_settled(6_000, Some(1_700), true)]
#[case::just_returned_and_due(9_200, Some(200), true)]
fn counts_of_a_window_are_fixed_when_those_of_all_instances_have_arrived(
    #[case] since_end_ms: u64,
    #[case] since_return_ms: Option<u64>,
    #[case] may: bool,
) {
    let since_return = since_return_ms.map(Duration::from_millis);

    let decided =
        may_finalise(Duration::from_millis(since_end_ms), Duration::from_secs(10), since_return);

    assert_eq!(decided, may);
}

#[test]
fn old_windows_are_forgotten() {
    let mut tallies = Tallies::default();
    tallies.increment("instance/1", 1, &"timers".into());

    tallies.increment("instance/1", 50, &"timers".into());

    assert!(tallies.sum(1).is_empty());
}

#[test]
fn true_time_follows_drift_and_ignores_steps() {
    let start = BootTime::from_start(Duration::from_secs(10));
    let mut time = StepFilteredClock::new(1_000_000, start);
    let later = start.after(Duration::from_secs(1));

    assert_eq!(time.synchronise(1_003_400, later), Some(2_400), "a step ahead");
    assert_eq!(time.unix_millis(later), 1_001_000);
    assert_eq!(time.synchronise(1_001_020, later), None, "drift");
    assert_eq!(time.unix_millis(later), 1_001_020);
}
