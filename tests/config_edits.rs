//! Edits of the stored configuration: races, lost answers, and what is written.

mod config_support;

use config_support::{config_of_weight, start_node, start_platform};
use laburnumvalve::config::{Accepted, ApplyError, KeyHash};
use rstest::rstest;
use standins::platform::LostAnswer;

#[tokio::test]
async fn of_two_operators_at_once_one_wins_and_the_other_is_told() {
    let platform = start_platform().await;
    let (a, b) =
        (start_node("a", &platform.url(), &[]).await, start_node("b", &platform.url(), &[]).await);
    a.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");

    for round in 1..=8 {
        let (ours, theirs) = (config_of_weight(round * 10), config_of_weight(round * 10 + 1));
        let (ours, theirs) = tokio::join!(
            a.config.apply(ours, u64::from(round)),
            b.config.apply(theirs, u64::from(round))
        );

        let next = u64::from(round) + 1;
        let (winner, loser, weight) = match (ours, theirs) {
            (Ok(won), Err(lost)) => (won, lost, round * 10),
            (Err(lost), Ok(won)) => (won, lost, round * 10 + 1),
            both => panic!("exactly one has to win: {both:?}"),
        };
        assert_eq!(winner, Accepted { version: next, changed: true });
        assert_eq!(loser, ApplyError::Conflict { in_force: next });
        for node in [&a, &b] {
            node.until_version(next).await;
            assert_eq!(node.in_force().config.organisations["shobdo"].weight, weight);
        }
    }
}

#[rstest]
#[case::shards_reset("create configs", 3, false)]
#[case::root_reset("update configs", 1, false)]
#[case::root_reset_twice("update configs", 2, false)]
#[case::root_silent("update configs", 1, true)]
#[case::reads("get configs", 2, false)]
#[tokio::test]
async fn a_lost_answer_neither_loses_nor_doubles_an_edit(
    #[case] matching: &str,
    #[case] count: u32,
    #[case] hang: bool,
) {
    let platform = start_platform().await;
    let node = start_node("a", &platform.url(), &[]).await;
    node.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let lost = LostAnswer { matching: matching.to_owned(), count, hang };
    platform.change_faults(|faults| faults.lost_answers.push(lost));

    let accepted = node.config.apply(config_of_weight(2), 1).await;

    assert_eq!(accepted, Ok(Accepted { version: 2, changed: true }));
    assert_eq!(platform.objects("configs")["root"]["version"], 2);
    assert_eq!(node.in_force().config.organisations["shobdo"].weight, 2);
}

#[tokio::test]
async fn an_unchanged_sheet_makes_no_version_and_a_small_change_writes_one_shard() {
    let platform = start_platform().await;
    let node = start_node("a", &platform.url(), &[]).await;
    node.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");

    platform.reset_calls();
    let unchanged = node.config.apply(config_of_weight(1), 1).await;
    let writes = |words| platform.calls_matching(words);
    assert_eq!(unchanged, Ok(Accepted { version: 1, changed: false }));
    assert_eq!((writes("create configs"), writes("update configs")), (0, 0));

    node.config.apply(config_of_weight(2), 1).await.expect("the second sheet is accepted");
    assert_eq!((writes("create configs"), writes("update configs")), (1, 1));
}

#[tokio::test]
async fn keys_issued_at_once_at_two_instances_all_work_and_survive_a_sheet() {
    let platform = start_platform().await;
    let (a, b) =
        (start_node("a", &platform.url(), &[]).await, start_node("b", &platform.url(), &[]).await);
    a.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    b.until_version(1).await;

    let issue = |number: usize| if number.is_multiple_of(2) { a.issue() } else { b.issue() };
    let keys = futures::future::join_all((0..6).map(issue)).await;
    // Keys are no part of the sheet, so a sheet from before them is no conflict.
    let accepted = b.config.apply(config_of_weight(2), 1).await.expect("the sheet is accepted");

    for node in [&a, &b] {
        node.until_version(accepted.version).await;
        for (id, key) in &keys {
            assert!(node.accepts(key), "{id}");
        }
    }
    let stored = serde_json::to_string(&platform.objects("configs")).expect("JSON");
    for (_, key) in &keys {
        assert!(!stored.contains(key.as_str()) && stored.contains(&KeyHash::of(key).0));
    }
}

#[tokio::test]
async fn a_key_for_an_unknown_organisation_or_class_is_refused() {
    let platform = start_platform().await;
    let node = start_node("a", &platform.url(), &[]).await;
    node.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");

    let nobody = node.config.issue_key("nobody".into(), None, Vec::new()).await;
    let no_class = node.config.issue_key("shobdo".into(), Some("gold".into()), Vec::new()).await;

    assert!(matches!(nobody, Err(ApplyError::UnknownName(_))));
    assert!(matches!(no_class, Err(ApplyError::UnknownName(_))));
    assert_eq!(platform.objects("configs")["root"]["version"], 1);
}
