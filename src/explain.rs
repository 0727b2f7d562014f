//! The `explain` command: collects the log lines related to one request from the logs of several
//! instances.

use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use serde_json::{Map, Value};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::gateway::record::{REQUEST_LOG_TARGET, SEND_LOG_TARGET};

/// How long before the arrival of a request an event may affect it: failing backend servers are
/// ejected for up to 5 s, and the entries of dead ones lapse after some seconds.
const LOOKBACK: Duration = Duration::from_secs(10);
/// Fields that are not printed as `name=value`.
const STANDARD_FIELDS: [&str; 5] = ["timestamp", "level", "target", "message", "id"];

/// A parsed log line.
#[derive(Debug, Clone)]
struct Line {
    at: OffsetDateTime,
    /// Instance that wrote it, or the name of the log if the line names no instance.
    source: Arc<str>,
    /// Module path or named target of the log event.
    target: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it is not a JSON log line of this program.
    fn parse(source: &Arc<str>, text: &str) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at = OffsetDateTime::parse(fields.get("timestamp")?.as_str()?, &Rfc3339).ok()?;
        let target = fields.get("target")?.as_str()?.to_owned();
        // Logs collected from several instances have the instance name in front of the JSON object.
        let collected = prefix.split_whitespace().next_back().map(Arc::from);
        Some(Self { at, source: collected.unwrap_or_else(|| source.clone()), target, fields })
    }

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns whether it belongs to a request, as opposed to an event of the instance.
    fn is_request_line(&self) -> bool {
        [REQUEST_LOG_TARGET, SEND_LOG_TARGET].contains(&self.target.as_str())
    }

    /// Returns when the request or send of this line started; the time of the line if it has no
    /// duration.
    fn request_start(&self) -> OffsetDateTime {
        let took = self.fields.get("took_ms").and_then(Value::as_u64).unwrap_or_default();
        self.at - Duration::from_millis(took)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.format(&Rfc3339).map_err(|_| fmt::Error)?;
        let what = match self.text("message") {
            "" => self.target.as_str(),
            message => message,
        };
        write!(f, "{at} {} {what}", self.source)?;
        let rest = self.fields.iter().filter(|(name, _)| !STANDARD_FIELDS.contains(&name.as_str()));
        for (name, value) in rest.filter(|(_, value)| !value.is_null()) {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Searches logs for the lines related to one request.
#[derive(Debug)]
pub struct Search {
    id: String,
    request_lines: Vec<Line>,
    /// Lines that belong to no request, such as state changes of backend servers.
    instance_events: Vec<Line>,
    /// Number of non-empty lines read.
    pub lines_read: u64,
    /// Number of lines skipped because they could not be parsed.
    pub unreadable_lines: u64,
}

impl Search {
    /// Creates a search for the request with this identifier.
    pub fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            request_lines: Vec::new(),
            instance_events: Vec::new(),
            lines_read: 0,
            unreadable_lines: 0,
        }
    }

    /// Reads a log; lines that name no instance are attributed to `source`.
    ///
    /// # Errors
    /// If reading fails.
    pub fn read(&mut self, source: &str, mut log: impl BufRead) -> io::Result<()> {
        let source = Arc::from(source);
        let mut buf = Vec::new();
        while log.read_until(b'\n', &mut buf)? > 0 {
            self.add_line(&source, &String::from_utf8_lossy(&buf));
            buf.clear();
        }
        Ok(())
    }

    fn add_line(&mut self, source: &Arc<str>, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        self.lines_read += 1;
        match Line::parse(source, text) {
            None => self.unreadable_lines += 1,
            Some(line) if line.text("id") == self.id => self.request_lines.push(line),
            Some(line) if line.is_request_line() => {}
            Some(line) => self.instance_events.push(line),
        }
    }

    /// Returns the lines of the request, the events of the instances that handled it and, from all
    /// instances, the events of the backend servers that it was sent to; oldest first.
    ///
    /// Lines of different instances are ordered by the wall clocks of those instances.
    pub fn into_timeline(self) -> Vec<String> {
        let start = self.request_lines.iter().map(Line::request_start).min();
        let end = self.request_lines.iter().map(|line| line.at).max();
        let Some((start, end)) = start.zip(end) else { return Vec::new() };
        let window = start - LOOKBACK..=end;
        let is_related = |line: &Line| {
            let server = line.text("server");
            let is_involved =
                self.request_lines.iter().any(|request_line| was_sent_to(request_line, server));
            let is_same_source =
                self.request_lines.iter().any(|request_line| request_line.source == line.source);
            window.contains(&line.at) && (is_involved || (is_same_source && server.is_empty()))
        };
        let mut lines: Vec<Line> =
            self.instance_events.iter().filter(|l| is_related(l)).cloned().collect();
        lines.extend(self.request_lines);
        lines.sort_by_key(|line| line.at);
        lines.iter().map(Line::to_string).collect()
    }
}

/// Returns whether a line of a request records a send to this backend server.
fn was_sent_to(line: &Line, server: &str) -> bool {
    let sends = line.text("sends").split("; ");
    let mut names = sends.filter_map(|send| send.split_once('@')).map(|(name, _)| name);
    !server.is_empty() && (line.text("server") == server || names.any(|name| name == server))
}

/// Prints the lines related to a request from log files, or from standard input if there are none.
///
/// # Errors
/// If a file can't be read or no line belongs to the request.
pub fn run(id: &str, files: &[PathBuf]) -> eyre::Result<()> {
    let mut search = Search::new(id);
    if files.is_empty() {
        search.read("stdin", io::stdin().lock()).wrap_err("failed to read standard input")?;
    }
    for path in files {
        let file = File::open(path).wrap_err_with(|| path.display().to_string())?;
        let read = search.read(&source_name(path), BufReader::new(file));
        read.wrap_err_with(|| path.display().to_string())?;
    }
    let (lines_read, unreadable_lines) = (search.lines_read, search.unreadable_lines);
    let timeline = search.into_timeline();
    if timeline.is_empty() {
        eyre::bail!(
            "no line is about request {id}: {lines_read} lines read, {unreadable_lines} of them \
             unreadable"
        );
    }
    let mut out = io::stdout().lock();
    timeline.iter().try_for_each(|line| writeln!(out, "{line}"))?;
    writeln!(out, "{lines_read} lines read, {unreadable_lines} of them unreadable")?;
    Ok(())
}

fn source_name(path: &Path) -> String {
    path.file_stem().map_or_else(|| path.display().to_string(), |s| s.to_string_lossy().into())
}
