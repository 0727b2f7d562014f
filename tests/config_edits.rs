//! Tests of edits: concurrent edits, lost responses, and the number of writes to the platform.

mod config_support;

use config_support::{
    config_of_weight, set_members, sheet_of_weight, start_instance, start_platform,
};
use laburnumvalve::config::{Accepted, ApplyError, Config, KeyHash};
use rstest::rstest;
use standins::platform::LostAnswer;
use standins::{Platform, PlatformSettings};

/// Guards against lost updates: two sheets based on the same version must not both be accepted.
#[tokio::test]
async fn of_two_concurrent_sheets_one_is_accepted_and_the_other_is_a_conflict() {
    let platform = start_platform().await;
    let (a, b) = (
        start_instance("a", &platform.url(), &[]).await,
        start_instance("b", &platform.url(), &[]).await,
    );
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
            both => panic!("exactly one sheet must be accepted: {both:?}"),
        };
        assert_eq!(winner, Accepted { version: next, changed: true });
        assert_eq!(loser, ApplyError::Conflict { current_version: next });
        for instance in [&a, &b] {
            instance.wait_for_version(next).await;
            assert_eq!(instance.in_force().config.organisations["shobdo"].weight, weight);
        }
    }
}

/// Guards against an edit that is applied twice or reported as failed, when the platform executes a
/// call but its response is lost or never arrives.
#[rstest]
#[case::shards_reset("create configs", 3, false)]
#[case::root_reset("update configs", 1, false)]
#[case::root_reset_twice("update configs", 2, false)]
#[case::root_hangs("update configs", 1, true)]
#[case::reads("get configs", 2, false)]
#[tokio::test]
async fn a_lost_response_neither_drops_nor_repeats_an_edit(
    #[case] matching: &str,
    #[case] count: u32,
    #[case] hang: bool,
) {
    let platform = start_platform().await;
    let instance = start_instance("a", &platform.url(), &[]).await;
    instance.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    let lost = LostAnswer { matching: matching.to_owned(), count, hang };
    platform.change_faults(|faults| faults.lost_answers.push(lost));

    let accepted = instance.config.apply(config_of_weight(2), 1).await;

    assert_eq!(accepted, Ok(Accepted { version: 2, changed: true }));
    assert_eq!(platform.objects("configs")["root"]["version"], 2);
    assert_eq!(instance.in_force().config.organisations["shobdo"].weight, 2);
}

/// Guards against edits that rewrite shards whose content did not change.
#[tokio::test]
async fn an_unchanged_sheet_creates_no_version_and_a_small_change_writes_one_shard() {
    let platform = start_platform().await;
    let instance = start_instance("a", &platform.url(), &[]).await;
    instance.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");

    platform.reset_calls();
    let unchanged = instance.config.apply(config_of_weight(1), 1).await;
    let writes = |words| platform.calls_matching(words);
    assert_eq!(unchanged, Ok(Accepted { version: 1, changed: false }));
    assert_eq!((writes("create configs"), writes("update configs")), (0, 0));

    instance.config.apply(config_of_weight(2), 1).await.expect("the second sheet is accepted");
    assert_eq!((writes("create configs"), writes("update configs")), (1, 1));
}

/// Guards against keys that are lost when edits race, or when a sheet based on an older version is
/// applied; also checks that only hashes of keys are stored.
#[tokio::test]
async fn keys_issued_concurrently_at_two_instances_are_valid_and_survive_a_sheet() {
    let platform = start_platform().await;
    let (a, b) = (
        start_instance("a", &platform.url(), &[]).await,
        start_instance("b", &platform.url(), &[]).await,
    );
    a.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");
    b.wait_for_version(1).await;

    let issue =
        |number: usize| if number.is_multiple_of(2) { a.issue_key() } else { b.issue_key() };
    let keys = futures::future::join_all((0..6).map(issue)).await;
    // Keys are not part of the sheet, so a sheet based on a version before them is no conflict.
    let accepted = b.config.apply(config_of_weight(2), 1).await.expect("the sheet is accepted");

    for instance in [&a, &b] {
        instance.wait_for_version(accepted.version).await;
        for (id, key) in &keys {
            assert!(instance.accepts(key), "{id}");
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
    let instance = start_instance("a", &platform.url(), &[]).await;
    instance.config.apply(config_of_weight(1), 0).await.expect("the first sheet is accepted");

    let nobody = instance.config.issue_key("nobody".into(), None, Vec::new()).await;
    let no_class =
        instance.config.issue_key("shobdo".into(), Some("gold".into()), Vec::new()).await;

    assert!(matches!(nobody, Err(ApplyError::UnknownName(_))));
    assert!(matches!(no_class, Err(ApplyError::UnknownName(_))));
    assert_eq!(platform.objects("configs")["root"]["version"], 1);
}

/// Returns a configuration of the maximum size that the system is designed for.
fn full_size_config(weight: u32) -> Config {
    let mut sheet = sheet_of_weight(weight);
    for model in 0..14 {
        sheet.push_str(&format!("route,m-{model},,,,,model-{model},granted,live,,,,,,,,\n"));
    }
    let routes: Vec<String> = (0..14).map(|model| format!("m-{model}")).collect();
    let routes = routes.join(" ");
    for number in 0..3_898 {
        sheet.push_str(&format!("organisation,org-{number},,,,,,,,{weight},,,,{routes},,,\n"));
    }
    for number in 0..1_499 {
        let address = format!("http://10.1.0.1:{}", 1_000 + number);
        sheet.push_str(&format!(
            "backend-server,s-{number},,,,,,,,,,kolkata-a,{address},{routes},8,2,yes\n"
        ));
    }
    laburnumvalve::sheet::parse(sheet.as_bytes()).expect("a valid sheet")
}

/// Guards against shards that exceed the platform's object size, and against edits that exceed its
/// rate limits.
#[tokio::test]
async fn a_full_size_sheet_stays_within_platform_limits_and_reaches_three_instances() {
    let limits = PlatformSettings {
        writes_per_second: Some(300),
        reads_per_second: Some(2_000),
        ..PlatformSettings::default()
    };
    let platform = Platform::start(limits).await.expect("the platform can't be started");
    let mut instances = Vec::new();
    for name in ["a", "b", "c"] {
        instances.push(start_instance(name, &platform.url(), &[]).await);
    }
    set_members(&instances.iter().collect::<Vec<_>>());
    let start = std::time::Instant::now();

    instances[0].config.apply(full_size_config(1), 0).await.expect("the first sheet is accepted");
    let first = start.elapsed();
    instances[1].wait_for_version(1).await;
    let changed = instances[1].config.apply(full_size_config(2), 1).await.expect("accepted");

    for instance in &instances {
        instance.wait_for_version(changed.version).await;
        assert_eq!(instance.in_force().config.organisations.len(), 3_900);
        assert_eq!(instance.in_force().config.backend_servers.len(), 1_500);
    }
    // The times depend on the machine, so they are printed and not checked.
    println!("first sheet accepted after {first:?}, all done after {:?}", start.elapsed());
    let writes =
        platform.calls_matching("create configs") + platform.calls_matching("update configs");
    assert!(writes <= 300, "{writes} writes for two sheets");
}
