//! Holds what callers and backend servers saw against what the gateway promises.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::callers::{Outcome, SentRequest};
use super::faults::RECOVERY_PERIOD;
use super::history::History;
use super::world::{BUDGET_RATIO, BUDGET_SLACK, COLD_PER_S, Cluster, REVOCATION_BOUND};
use crate::support::runner::Run;

/// Time within which a draining or removed backend server must get nothing more.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Time within which a new configuration must be in force.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time within which a data centre that is taken out must get nothing more.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);
/// Window of the retry budget, which is the gateway's default.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time in which an instance may still show an older configuration than it has shown.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// The same for an instance in trouble.
const ROLLBACK_SLACK_DISTURBED: Duration = Duration::from_millis(2_000);

/// Everything seen, ready for the checks.
struct Observations<'a> {
    history: &'a History,
    requests: HashMap<&'a str, &'a SentRequest>,
    /// Runs with the data centre of their backend server, by time.
    runs: Vec<(&'static str, &'a Run)>,
    by_attempt: HashMap<&'a str, Vec<&'a Run>>,
    violations: Vec<String>,
}

/// Describes what a run saw, to show that it had work to do.
pub fn summarize(cluster: &Cluster, requests: &[SentRequest]) -> String {
    let count = |is: fn(&Outcome) -> bool| requests.iter().filter(|a| is(&a.outcome)).count();
    let runs: usize = cluster.servers.iter().map(|server| server.backend.runs().len()).sum();
    let windows = cluster.reports.lock().expect("no writer panicked").len();
    format!(
        "{} requests, {} whole, {} refused, {} broken off; {runs} runs, {windows} reports",
        requests.len(),
        count(|outcome| *outcome == Outcome::Whole),
        count(|outcome| matches!(outcome, Outcome::Error(_))),
        count(|outcome| matches!(outcome, Outcome::Broken(_))),
    )
}

/// Returns each promise that was broken.
pub fn check(cluster: &Cluster, requests: &[SentRequest]) -> Vec<String> {
    let runs: Vec<_> = cluster.servers.iter().map(|s| (s.data_centre, s.backend.runs())).collect();
    let runs = runs.iter().flat_map(|(centre, runs)| runs.iter().map(move |run| (*centre, run)));
    let mut runs: Vec<_> = runs.collect();
    runs.sort_by_key(|(_, run)| run.at);
    let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
    for (_, run) in &runs {
        by_attempt.entry(run.text("x-laburnumvalve-attempt-id")).or_default().push(run);
    }
    let history = cluster.history.lock();
    let by_id = requests.iter().map(|request| (request.attempt.as_str(), request)).collect();
    let mut observations = Observations {
        history: &history,
        requests: by_id,
        runs,
        by_attempt,
        violations: Vec::new(),
    };
    requests.iter().for_each(|request| observations.check_request(request));
    observations.check_runs();
    observations.check_versions();
    observations.check_budget(requests);
    observations.check_cold();
    observations.check_recovery(requests);
    let mut violations = observations.violations;
    violations.extend(check_reports(cluster));
    violations
}

impl Observations<'_> {
    fn check_request(&mut self, request: &SentRequest) {
        let runs = self.by_attempt.get(request.attempt.as_str()).map_or(0, Vec::len);
        if request.kind.runs_once() && runs > 1 {
            self.violations.push(format!("ran {runs} times: {request:?}"));
        }
        if let Outcome::Wrong(_) = request.outcome {
            self.violations.push(format!("not its own whole answer: {request:?}"));
        }
        let says_unrun =
            matches!(request.outcome, Outcome::Error(401 | 404 | 408 | 421 | 429 | 503));
        if says_unrun && runs > 0 {
            self.violations
                .push(format!("ran, though the caller was told that it had not: {request:?}"));
        }
        let is_answered = matches!(request.outcome, Outcome::Whole | Outcome::Error(401 | 503));
        if !is_answered && self.history.is_fault_free(request.sent_at, request.ended_at) {
            self.violations.push(format!("not answered in calm times: {request:?}"));
        }
    }

    fn check_runs(&mut self) {
        for (centre, run) in std::mem::take(&mut self.runs) {
            let attempt = run.text("x-laburnumvalve-attempt-id");
            let Some(request) = self.requests.get(attempt).copied() else {
                self.violations.push(format!("nobody asked for it: {run:?}"));
                continue;
            };
            if run.headers.contains_key("x-laburnumvalve-key") {
                self.violations.push(format!("its key was passed on: {request:?}"));
            }
            let late = |change: &super::history::Change, bound| {
                let is_over = change.until.is_some_and(|until| run.at > until);
                !is_over && request.sent_at > change.at + bound
            };
            let history = self.history;
            let mut by_key = history.withdrawn.iter().filter(|change| change.name == request.key);
            if by_key.any(|change| late(change, REVOCATION_BOUND)) {
                self.violations.push(format!("its key was withdrawn: {request:?}"));
            }
            if !history.is_undisturbed(request.instance, request.sent_at, run.at) {
                continue;
            }
            let server = run.text("x-laburnumvalve-expect-instance");
            let mut departed = history.departed.iter().filter(|change| change.name == server);
            if departed.any(|change| late(change, DRAIN_BOUND)) {
                self.violations.push(format!("{server} had left: {request:?}"));
            }
            let mut evacuated = history.evacuated.iter().filter(|change| change.name == centre);
            if evacuated.any(|change| late(change, EVACUATION_BOUND)) {
                self.violations.push(format!("{centre} was taken out: {request:?}"));
            }
        }
    }

    /// Checks that no process goes back to an older configuration, and that new ones are taken.
    fn check_versions(&mut self) {
        let mut seen_versions: HashMap<(usize, Instant), Vec<(u64, Instant)>> = HashMap::new();
        let runs: Vec<(&SentRequest, &Run)> = self
            .by_attempt
            .iter()
            .filter_map(|(attempt, runs)| Some((*self.requests.get(attempt)?, runs)))
            .flat_map(|(request, runs)| runs.iter().map(move |run| (request, *run)))
            .collect();
        let version = |run: &Run| -> u64 {
            let name = run.text("x-laburnumvalve-tenant");
            name.strip_prefix("timers-").and_then(|text| text.parse().ok()).unwrap_or_default()
        };
        for (request, run) in &runs {
            if let Some(process) = self.history.process_at(request.instance, request.sent_at) {
                let of_process = seen_versions.entry((request.instance, process)).or_default();
                of_process.push((version(run), run.at));
            }
        }
        for (request, run) in &runs {
            let is_undisturbed =
                self.history.is_undisturbed(request.instance, request.sent_at, run.at);
            let slack = if is_undisturbed { ROLLBACK_SLACK } else { ROLLBACK_SLACK_DISTURBED };
            let process = self.history.process_at(request.instance, request.sent_at);
            let of_process =
                process.and_then(|process| seen_versions.get(&(request.instance, process)));
            let is_rollback = of_process.is_some_and(|seen_versions| {
                seen_versions
                    .iter()
                    .any(|(later, at)| *later > version(run) && request.sent_at > *at + slack)
            });
            if is_rollback {
                self.violations.push(format!("went back to {}: {request:?}", version(run)));
            }
            let due =
                self.history.versions.iter().filter(|(_, at)| request.sent_at > *at + APPLY_BOUND);
            let due = due.map(|(version, _)| *version).max().unwrap_or_default();
            if is_undisturbed && version(run) < due {
                self.violations
                    .push(format!("ran by {} when {due} was due: {request:?}", version(run)));
            }
        }
    }

    /// Checks the repeats of all instances together, in sliding windows.
    fn check_budget(&mut self, requests: &[SentRequest]) {
        let repeats = self.by_attempt.values().flat_map(|runs| runs.iter().skip(1));
        let mut repeats: Vec<Instant> = repeats.map(|run| run.at).collect();
        repeats.sort();
        for (first, from) in repeats.iter().enumerate() {
            let until = *from + BUDGET_WINDOW;
            let count = repeats[first..].iter().take_while(|at| **at <= until).count();
            // Requests of the window before it count as well, if there were more.
            let within = |from: Instant| {
                let until = from + BUDGET_WINDOW;
                requests.iter().filter(|request| (from..until).contains(&request.sent_at)).count()
            };
            let before = from.checked_sub(BUDGET_WINDOW).map_or(0, within);
            let allowed = BUDGET_RATIO * within(*from).max(before) as f64 + BUDGET_SLACK;
            if count as f64 > allowed {
                self.violations.push(format!("{count} repeats in a window, {allowed:.0} allowed"));
                return;
            }
        }
    }

    /// Checks the requests of all instances together at cold backend servers.
    fn check_cold(&mut self) {
        // The gateway's defaults of the bound.
        let bound = COLD_PER_S * 1.5 + 5.0;
        for cold in &self.history.cold {
            let until = cold.until.unwrap_or(cold.at);
            let runs = self.by_attempt.values().flatten();
            let mut times: Vec<Instant> = runs
                .filter(|run| run.text("x-laburnumvalve-expect-instance") == cold.name)
                .map(|run| run.at)
                .filter(|at| (cold.at..until).contains(at))
                .collect();
            times.sort();
            for (first, from) in times.iter().enumerate() {
                let until = *from + Duration::from_secs(1);
                let count = times[first..].iter().take_while(|at| **at < until).count();
                if count as f64 > bound {
                    self.violations
                        .push(format!("{count} requests in a second at cold {}", cold.name));
                    return;
                }
            }
        }
    }

    /// Checks that a quarter at least is served at the end, after all faults.
    fn check_recovery(&mut self, requests: &[SentRequest]) {
        let Some(end) = requests.iter().map(|request| request.sent_at).max() else {
            self.violations.push("nothing was asked for".to_owned());
            return;
        };
        let withdrawn: HashSet<&str> =
            self.history.withdrawn.iter().map(|key| key.name.as_str()).collect();
        let last = requests.iter().filter(|request| {
            request.sent_at + RECOVERY_PERIOD / 3 > end && !withdrawn.contains(request.key.as_str())
        });
        let (mut all, mut served) = (0, 0);
        last.for_each(|request| {
            all += 1;
            served += usize::from(request.outcome == Outcome::Whole);
        });
        if served * 4 < all {
            self.violations.push(format!("{served} of {all} requests were served at the end"));
        }
    }
}

/// Checks that each window has one set of counts, and each fencing number one holder.
fn check_reports(cluster: &Cluster) -> Vec<String> {
    let reports = cluster.reports.lock().expect("no writer panicked");
    let mut violations = Vec::new();
    for (number, report) in reports.iter().enumerate() {
        for other in &reports[..number] {
            if other.window == report.window && other.counts != report.counts {
                violations.push(format!("a window has two counts: {other:?} and {report:?}"));
            }
            if other.fence == report.fence && other.holder != report.holder {
                violations.push(format!("a fencing number has two holders: {other:?}, {report:?}"));
            }
        }
    }
    if reports.is_empty() {
        violations.push("no usage was reported".to_owned());
    }
    violations
}
