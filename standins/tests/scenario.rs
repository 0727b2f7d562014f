//! The scenario language: what it reads, and how it refuses a bad line.

use std::time::Duration;

use rstest::rstest;
use standins::scenario::{Action, Expectation, Scenario, Statement};

const GOOD: &str = "\
# Two data centres.
instance i1 in north-a
class standard tier 2 share 20
class booking tier 0 share 10 non-idempotent
route timing model timing-model class standard
route booking prefix /bookings class booking
organisation shobdo
engine e1 in north-a serves timing slots 4 gap 5ms cold 3s limit 2
plain p1 in north-b serves booking

traffic cues for shobdo to timing at i1 every 20ms count 50 tokens 8  # a comment
at 500ms engine e1 cut-after 3 for-next 2
at 1s platform loses 2 of update leases
at 2s data-centre north-b out at i1
expect cues whole at-least 40
expect p1 idle from 6s
expect never doubled
";

#[test]
fn a_scenario_is_read_with_its_line_numbers() {
    let scenario = Scenario::read(GOOD).unwrap();

    let find = |line: usize| &scenario.statements.iter().find(|(at, _)| *at == line).unwrap().1;
    let at_two = (Duration::from_secs(2), ("north-b".to_owned(), false, "i1".to_owned()));
    let (at, (name, on, instance)) = at_two;
    assert_eq!(*find(14), Statement::At(at, Action::DataCentre(name, on, instance)));
    assert_eq!(*find(15), Statement::Expect(Expectation::WholeAtLeast("cues".into(), 40)));
    assert_eq!(scenario.statements.len(), 15);
}

#[rstest]
#[case("instance i1", "column 12: expected `in`")]
#[case("explode i1", "column 1: expected instance, class, route")]
#[case("at soon kill i1", "expected a time in ms or s")]
#[case("at 1s kill i1 twice", "the line should end here")]
#[case("at 1s kill ghost", "there is no instance \"ghost\"")]
#[case("instance i1 in north-b", "the instance \"i1\" exists already")]
#[case("expect cues whole at-least many", "expected a whole number")]
#[case("at 1s engine e1 melt", "expected a fault of an engine")]
fn a_bad_line_is_refused_with_its_number_and_reason(#[case] line: &str, #[case] reason: &str) {
    let bad = Scenario::read(&format!("{GOOD}{line}\n")).unwrap_err();

    assert_eq!(bad.len(), 1, "{bad:?}");
    assert_eq!(bad[0].line, GOOD.lines().count() + 1);
    assert!(bad[0].reason.contains(reason), "{}", bad[0].reason);
}
