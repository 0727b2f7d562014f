//! Command line of the binary: help, exit codes, settings and secrets.

use std::process::{Command, Output};

use rstest::rstest;

const SECRET: &str = "a-long-enough-secret";

/// Runs the binary with only the given environment variables.
fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_laburnumvalve"))
        .args(args)
        .env_clear()
        .envs(env.iter().copied())
        .output()
        .expect("failed to start the binary")
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
#[case::unreachable_instance(&["status", "--admin", "http://127.0.0.1:9", "--admin-secret", SECRET], 1)]
fn exit_code_reflects_the_command_outcome(#[case] args: &[&str], #[case] code: i32) {
    let output = run(args, &[]);

    assert_eq!(output.status.code(), Some(code), "{}", text(&output.stderr));
}

#[test]
fn check_prints_settings_and_hides_secrets() {
    let output = run(&required_settings(), &[]);

    let stdout = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(stdout.contains("instance = valve-1"), "{stdout}");
    assert!(stdout.contains("fleet-secret = (hidden)"), "{stdout}");
    assert!(!stdout.contains("long"), "{stdout}");
}

#[test]
fn flags_override_environment_variables() {
    let mut args = required_settings();
    args.push("--beat-ms=900");

    let output =
        run(&args, &[("LABURNUMVALVE_BEAT_MS", "700"), ("LABURNUMVALVE_LEASE_MS", "8000")]);

    let stdout = text(&output.stdout);
    assert!(stdout.contains("beat-ms = 900"), "{stdout}");
    assert!(stdout.contains("lease-ms = 8000"), "{stdout}");
}

#[test]
fn all_invalid_settings_are_reported_and_secrets_hidden() {
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

    let stderr = text(&output.stderr);
    for expected in [
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
        assert!(stderr.contains(expected), "{expected} is missing in:\n{stderr}");
    }
    assert!(!stderr.contains("tooshort"), "{stderr}");
    assert_eq!(output.status.code(), Some(2));
}
