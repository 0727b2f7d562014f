//! From the identifier of a request to what happened to it, by log lines of several instances.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use laburnumvalve::explain::Search;
use serde_json::{Value, json};

/// Returns a line of a log, some ms after noon.
fn line(ms: u64, target: &str, fields: Value) -> String {
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    let mut line = json!({
        "timestamp": format!("2026-12-04T12:00:{seconds:02}.{ms:03}000Z"),
        "level": "INFO", "target": target,
    });
    let all = line.as_object_mut().expect("it is an object");
    all.extend(fields.as_object().expect("they are an object").clone());
    line.to_string()
}

/// Log of the instance that had the request: refused after a send to a server that broke.
fn own_log() -> String {
    let belief = |ms, message: &str, server: Option<&str>| {
        let mut fields = json!({ "message": message });
        if let Some(server) = server {
            fields["server"] = server.into();
        }
        line(ms, "laburnumvalve::gateway", fields)
    };
    let request = |id: &str| {
        json!({ "id": id, "sends": "e1@2ms cost=40 load=3 (own count): broke; e4@9ms cost=60 load=0",
            "took_ms": 500, "status": 503, "outcome": "NotRun", "why": "no server is left" })
    };
    let lines = [
        belief(1_000, "long before", None),
        belief(14_000, "the platform's store does not serve this instance", None),
        belief(14_100, "server changed", Some("e1")),
        belief(14_200, "server changed", Some("e7")),
        line(15_100, "send", json!({ "id": "a", "server": "e1", "took_ms": 6, "how": "broke" })),
        line(15_200, "request", request("b")),
        "a line of something else".to_owned(),
        line(15_500, "request", request("a")),
        belief(16_000, "later", None),
    ];
    lines.join("\n")
}

/// Log of another instance, to which the request did not come.
fn other_log() -> String {
    let belief = |ms, message: &str, server: &str| {
        line(ms, "laburnumvalve::gateway", json!({ "message": message, "server": server }))
    };
    let lines = [
        belief(13_000, "backend server is left out for a while", "e4"),
        belief(13_500, "backend server is left out for a while", "e9"),
        line(14_000, "laburnumvalve::gateway", json!({ "message": "started" })),
    ];
    lines.join("\n")
}

#[test]
fn a_story_has_the_requests_lines_and_what_may_have_caused_them_in_order() {
    let mut search = Search::new("a");
    search.read("own", own_log().as_bytes()).expect("it can be read");
    search.read("other", other_log().as_bytes()).expect("it can be read");
    let (read, bad) = (search.lines_read, search.unreadable_lines);

    let timeline = search.into_timeline();

    let seen: Vec<&str> = timeline.iter().map(|line| &line[17..]).collect();
    assert_eq!(
        seen,
        [
            "13Z other backend server is left out for a while server=\"e4\"",
            "14Z own the platform's store does not serve this instance",
            "14.1Z own server changed server=\"e1\"",
            "15.1Z own send how=\"broke\" server=\"e1\" took_ms=6",
            "15.5Z own request outcome=\"NotRun\" sends=\"e1@2ms cost=40 load=3 (own count): broke; \
             e4@9ms cost=60 load=0\" status=503 took_ms=500 why=\"no server is left\"",
        ]
    );
    assert_eq!((read, bad), (12, 1));
}

#[test]
fn a_collected_line_names_its_instance_and_broken_bytes_harm_only_their_line() {
    let request = line(0, "request", json!({ "id": "a" }));
    let mut log = format!("1.25 instance-3 {request}\n").into_bytes();
    log.extend(b"\xff\xfe{\n\n");

    let mut search = Search::new("a");
    search.read("own", log.as_slice()).expect("it can be read");

    assert_eq!((search.lines_read, search.unreadable_lines), (2, 1));
    assert_eq!(search.into_timeline(), ["2026-12-04T12:00:00Z instance-3 request"]);
}

/// Runs `explain` with a log on its standard input.
fn explain(args: &[&str], log: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_laburnumvalve"))
        .arg("explain")
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("it has a standard input");
    // A wrong command line ends the program before it reads.
    let _ = stdin.write_all(log.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

#[test]
fn the_command_reads_standard_input_and_says_how_much_it_read() {
    let output = explain(&["a"], &own_log());

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        text.contains("no server is left")
            && text.ends_with("9 lines read, 1 of them unreadable\n"),
        "{text}"
    );
}

#[test]
fn an_unknown_request_a_missing_file_and_a_missing_id_are_errors() {
    let cases = [
        (vec!["z"], 1, "no line is about request z: 9 lines read"),
        (vec!["a", "no-such.log"], 1, "no-such.log"),
        (vec![], 2, "needs the ID"),
    ];

    for (args, code, says) in cases {
        let output = explain(&args, &own_log());

        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{args:?}: {error}");
        assert!(error.contains(says), "{args:?}: {error}");
    }
}
