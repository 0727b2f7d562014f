//! The `explain` command: collects the log lines related to a request from several instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use laburnumvalve::explain::Search;
use serde_json::{Value, json};

/// Returns a JSON log line with a timestamp `ms` milliseconds after noon.
fn line(ms: u64, target: &str, fields: Value) -> String {
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    let mut line = json!({
        "timestamp": format!("2026-12-04T12:00:{seconds:02}.{ms:03}000Z"),
        "level": "INFO", "target": target,
    });
    let all = line.as_object_mut().expect("an object");
    all.extend(fields.as_object().expect("an object").clone());
    line.to_string()
}

/// Log of the instance that handled request `a`, which failed after the connection to its backend
/// server was lost.
fn own_log() -> String {
    let event = |ms, message: &str, server: Option<&str>| {
        let mut fields = json!({ "message": message });
        if let Some(server) = server {
            fields["server"] = server.into();
        }
        line(ms, "laburnumvalve::gateway", fields)
    };
    let request = |id: &str| {
        json!({
            "id": id,
            "sends": "e1@2ms cost=40 load=3 (own count): connection lost; e4@9ms cost=60 load=0",
            "took_ms": 500,
            "status": 503,
            "outcome": "NotRun",
            "why": "no backend server is available",
        })
    };
    let lines = [
        event(1_000, "before the look-back period", None),
        event(14_000, "call to the platform's store failed; retrying", None),
        event(14_100, "backend server updated", Some("e1")),
        event(14_200, "backend server updated", Some("e7")),
        line(
            15_100,
            "send",
            json!({ "id": "a", "server": "e1", "took_ms": 6, "how": "connection lost" }),
        ),
        line(15_200, "request", request("b")),
        "a line that is not JSON".to_owned(),
        line(15_500, "request", request("a")),
        event(16_000, "after the request", None),
    ];
    lines.join("\n")
}

/// Log of an instance that did not handle the request.
fn other_log() -> String {
    let event = |ms, message: &str, server: &str| {
        line(ms, "laburnumvalve::gateway", json!({ "message": message, "server": server }))
    };
    let lines = [
        event(13_000, "backend server ejected after consecutive transport failures", "e4"),
        event(13_500, "backend server ejected after consecutive transport failures", "e9"),
        line(14_000, "laburnumvalve::gateway", json!({ "message": "started" })),
    ];
    lines.join("\n")
}

#[test]
fn timeline_has_request_lines_and_related_events_in_order() {
    let mut search = Search::new("a");
    search.read("own", own_log().as_bytes()).expect("readable log");
    search.read("other", other_log().as_bytes()).expect("readable log");
    let (read, bad) = (search.lines_read, search.unreadable_lines);

    let timeline = search.into_timeline();

    let seen: Vec<&str> = timeline.iter().map(|line| &line[17..]).collect();
    assert_eq!(
        seen,
        [
            "13Z other backend server ejected after consecutive transport failures server=\"e4\"",
            "14Z own call to the platform's store failed; retrying",
            "14.1Z own backend server updated server=\"e1\"",
            "15.1Z own send how=\"connection lost\" server=\"e1\" took_ms=6",
            "15.5Z own request outcome=\"NotRun\" sends=\"e1@2ms cost=40 load=3 (own count): \
             connection lost; e4@9ms cost=60 load=0\" status=503 took_ms=500 \
             why=\"no backend server is available\"",
        ]
    );
    assert_eq!((read, bad), (12, 1));
}

#[test]
fn collected_lines_name_their_instance_and_invalid_lines_are_skipped() {
    let request = line(0, "request", json!({ "id": "a" }));
    let mut log = format!("1.25 instance-3 {request}\n").into_bytes();
    log.extend(b"\xff\xfe{\n\n");

    let mut search = Search::new("a");
    search.read("own", log.as_slice()).expect("readable log");

    assert_eq!((search.lines_read, search.unreadable_lines), (2, 1));
    assert_eq!(search.into_timeline(), ["2026-12-04T12:00:00Z instance-3 request"]);
}

/// Runs `explain` with `log` as standard input.
fn explain(args: &[&str], log: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_laburnumvalve"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the binary");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    // Fails if the process has already exited because of an invalid command line.
    let _ = stdin.write_all(log.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("failed to wait for the binary")
}

#[test]
fn command_reads_standard_input_and_prints_line_counts() {
    let output = explain(&["a"], &own_log());

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        text.contains("no backend server is available")
            && text.ends_with("9 lines read, 1 of them unreadable\n"),
        "{text}"
    );
}

#[test]
fn unknown_request_missing_file_and_missing_id_are_errors() {
    let cases = [
        (vec!["z"], 1, "no line is about request z: 9 lines read"),
        (vec!["a", "no-such.log"], 1, "no-such.log"),
        (vec![], 2, "needs the ID"),
    ];

    for (args, code, expected) in cases {
        let output = explain(&args, &own_log());

        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{args:?}: {error}");
        assert!(error.contains(expected), "{args:?}: {error}");
    }
}
