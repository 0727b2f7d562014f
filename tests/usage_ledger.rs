//! Usage records survive killed, suspended and disconnected instances and are counted once.

mod usage_support;

use laburnumvalve::usage::tally::UsageTotals;
use standins::platform::{LostAnswer, Outage, PlatformFaults};
use standins::{Platform, PlatformSettings};
use usage_support::{Fleet, served, tallied, wait_until};

const NAMES: [(&str, &str); 4] =
    [("a", "kolkata-a"), ("b", "kolkata-a"), ("c", "kolkata-b"), ("d", "howrah-c")];

async fn fleet() -> (Platform, Fleet) {
    let platform = Platform::start(PlatformSettings::default()).await.expect("platform");
    let fleet = Fleet::start(&platform, &NAMES).await;
    (platform, fleet)
}

async fn record(fleet: &Fleet, name: &str, count: u64) {
    for _ in 0..count {
        fleet.ledger(name).record(served("weavers", 5)).await;
    }
}

fn totals(requests: u64) -> UsageTotals {
    UsageTotals { requests, prompt_tokens: requests * 10, output_tokens: requests * 5 }
}

#[tokio::test]
async fn records_of_a_killed_instance_are_written_by_its_replicas() {
    let (platform, mut fleet) = fleet().await;
    record(&fleet, "a", 40).await;

    fleet.kill("a");

    wait_until("the replicas write", || tallied(&platform) == totals(40)).await;
    assert_eq!(platform.objects("tallies").len(), 1);
}

#[tokio::test]
async fn records_survive_when_the_instance_and_one_replica_are_killed() {
    let (platform, mut fleet) = fleet().await;
    record(&fleet, "a", 40).await;

    // `b` holds the replica in the same data centre.
    fleet.kill("b");
    fleet.kill("a");

    wait_until("the other replica writes", || tallied(&platform) == totals(40)).await;
}

#[tokio::test]
async fn a_resumed_instance_does_not_recount_records_that_its_replicas_wrote() {
    // Arrange: the instance wrote 10 records and knows that version; 30 more are only replicated.
    let (platform, fleet) = fleet().await;
    record(&fleet, "a", 10).await;
    assert!(fleet.ledger("a").flush().await);
    record(&fleet, "a", 30).await;

    // Act: the others suspect the instance and write for it; it resumes with 5 more records.
    fleet.set_suspected(&["a"]);
    wait_until("the replicas write", || tallied(&platform) == totals(40)).await;
    fleet.set_suspected(&[]);
    record(&fleet, "a", 5).await;
    let flushed = fleet.ledger("a").flush().await;

    // Assert
    assert!(flushed);
    assert_eq!(tallied(&platform), totals(45));
}

#[tokio::test]
async fn unanswered_writes_count_once() {
    let (platform, fleet) = fleet().await;
    let lost = |words: &str| LostAnswer { matching: words.to_owned(), count: 2, hang: false };
    let lost_answers = vec![lost("create tallies"), lost("update tallies")];
    platform.set_faults(PlatformFaults { lost_answers, ..PlatformFaults::default() });

    for _ in 0..4 {
        record(&fleet, "a", 10).await;
        assert!(fleet.ledger("a").flush().await);
    }

    assert_eq!(tallied(&platform), totals(40));
}

#[tokio::test]
async fn an_outage_delays_no_request_and_loses_no_record() {
    // Arrange: the platform accepts connections but never responds.
    let (platform, fleet) = fleet().await;
    let outage = Some(Outage::Hang);
    platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    // Act: a flush waits for the platform, requests do not.
    let ledger = fleet.ledger("a");
    record(&fleet, "a", 1).await;
    let flush = tokio::spawn(async move { ledger.flush().await });
    record(&fleet, "a", 30).await;
    let flush_waited = !flush.is_finished();
    platform.set_faults(PlatformFaults::default());

    // Assert
    assert!(flush_waited);
    assert!(flush.await.expect("flush"));
    assert!(fleet.ledger("a").flush().await);
    assert_eq!(tallied(&platform), totals(31));
}

#[tokio::test]
async fn records_are_accepted_without_replicas() {
    let (platform, mut fleet) = fleet().await;
    for name in ["b", "c", "d"] {
        fleet.kill(name);
    }

    record(&fleet, "a", 5).await;

    assert!(fleet.ledger("a").flush().await);
    assert_eq!(tallied(&platform), totals(5));
}
