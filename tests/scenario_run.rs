//! Runs the scenario files against instances as processes.

mod common;

use rstest::rstest;
use standins::scenario::Scenario;

#[rstest]
#[case::engines_fail(include_str!("scenarios/engines_fail.scn"))]
#[case::booking_once(include_str!("scenarios/booking_once.scn"))]
#[case::instances_fail(include_str!("scenarios/instances_fail.scn"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_scenario_holds(#[case] text: &str) {
    let scenario = Scenario::read(text).expect("a line can't be used");

    let broken = common::scenario::run(&scenario).await;

    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
