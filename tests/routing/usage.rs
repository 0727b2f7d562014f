//! Counts of requests in windows of true time.

use std::time::Duration;

use laburnumvalve::clock::BootTime;
use laburnumvalve::routing::windows::{Tallies, TrueTime, may_fix};
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
            processes[*process].count(&name, 7, &"timers".into());
            if *publishes {
                published[*publisher].merge(&processes[*process]);
            }
        }
        for (index, process) in processes.iter().enumerate() {
            published[index % 3].merge(process);
        }
        let mut merged = Tallies::default();
        published.iter().chain(&published).for_each(|tallies| merged.merge(tallies));

        let counts = merged.add_up(7);
        prop_assert_eq!(counts.values().sum::<u64>(), steps.len() as u64);
    }
}

#[test]
fn a_restarted_process_counts_on_beside_its_former_counts() {
    let mut merged = Tallies::default();
    for process in ["instance/1", "instance/2"] {
        let mut own = Tallies::default();
        own.count(process, 3, &"timers".into());
        merged.merge(&own);
    }

    assert_eq!(merged.add_up(3).values().sum::<u64>(), 2);
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
        may_fix(Duration::from_millis(since_end_ms), Duration::from_secs(10), since_return);

    assert_eq!(decided, may);
}

#[test]
fn old_windows_are_forgotten() {
    let mut tallies = Tallies::default();
    tallies.count("instance/1", 1, &"timers".into());

    tallies.count("instance/1", 50, &"timers".into());

    assert!(tallies.add_up(1).is_empty());
}

#[test]
fn true_time_follows_drift_and_ignores_steps() {
    let start = BootTime::from_start(Duration::from_secs(10));
    let mut time = TrueTime::new(1_000_000, start);
    let later = start.after(Duration::from_secs(1));

    assert_eq!(time.follow(1_003_400, later), Some(2_400), "a step ahead");
    assert_eq!(time.millis(later), 1_001_000);
    assert_eq!(time.follow(1_001_020, later), None, "drift");
    assert_eq!(time.millis(later), 1_001_020);
}
