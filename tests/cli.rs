//! The command line of the real binary: help, exit codes, settings and secrets.

use std::process::{Command, Output};

use rstest::rstest;

const SECRET: &str = "a-long-enough-secret";

/// Runs the binary with a clean environment.
fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laburnumvalve"))
        .args(args)
        .env_clear()
        .envs(env.iter().copied())
        .output()
        .expect("the binary starts")
}

fn required_settings() -> Vec<&'static str> {
    vec![
        "serve",
        "--check",
        "--instance=valve-1",
        "--data-centre=kolkata-a",
        "--platform=http://127.0.0.1:9",
        "--orders=http://127.0.0.1:9",
        "--usage=http://127.0.0.1:9",
        "--fleet-secret=a-long-enough-secret",
        "--admin-secret=another-long-secret",
    ]
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::unknown_command(&["fly"], 2)]
#[case::unknown_flag(&["serve", "--wings"], 2)]
#[case::missing_settings(&["serve"], 2)]
#[case::no_instance_to_talk_to(&["status", "--admin", "http://127.0.0.1:9", "--admin-secret", SECRET], 1)]
fn exit_code_tells_how_the_command_ended(#[case] args: &[&str], #[case] code: i32) {
    let output = run(args, &[]);

    assert_eq!(output.status.code(), Some(code), "{}", text(&output.stderr));
}

#[test]
fn check_shows_every_setting_and_no_secret() {
    let output = run(&required_settings(), &[]);

    let shown = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(shown.contains("instance = valve-1"), "{shown}");
    assert!(shown.contains("fleet-secret = (hidden)"), "{shown}");
    assert!(!shown.contains("long"), "{shown}");
}

#[test]
fn a_flag_wins_over_its_environment_variable() {
    let mut args = required_settings();
    args.push("--beat-ms=900");

    let output =
        run(&args, &[("LABURNUMVALVE_BEAT_MS", "700"), ("LABURNUMVALVE_LEASE_MS", "8000")]);

    let shown = text(&output.stdout);
    assert!(shown.contains("beat-ms = 900"), "{shown}");
    assert!(shown.contains("lease-ms = 8000"), "{shown}");
}

#[test]
fn every_bad_setting_is_named_at_once_and_secrets_stay_hidden() {
    let args = [
        "serve",
        "--instance=has space",
        "--listen=nowhere",
        "--platform=ftp://x",
        "--fleet-secret=tooshort",
        "--beat-ms=0",
        "--log-format=xml",
    ];

    let output = run(&args, &[("LABURNUMVALVE_MAX_BODY", "many")]);

    let error = text(&output.stderr);
    for named in [
        "--instance (LABURNUMVALVE_INSTANCE): \"has space\"",
        "--data-centre (LABURNUMVALVE_DATA_CENTRE) is missing",
        "--listen (LABURNUMVALVE_LISTEN): \"nowhere\"",
        "--platform (LABURNUMVALVE_PLATFORM): \"ftp://x\"",
        "--orders (LABURNUMVALVE_ORDERS) is missing",
        "--fleet-secret (LABURNUMVALVE_FLEET_SECRET): \"(hidden)\"",
        "--beat-ms (LABURNUMVALVE_BEAT_MS): \"0\"",
        "--max-body (LABURNUMVALVE_MAX_BODY): \"many\"",
        "--log-format (LABURNUMVALVE_LOG_FORMAT): \"xml\"",
    ] {
        assert!(error.contains(named), "{named} is missing in:\n{error}");
    }
    assert!(!error.contains("tooshort"), "{error}");
    assert_eq!(output.status.code(), Some(2));
}
