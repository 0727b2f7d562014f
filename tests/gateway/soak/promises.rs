//! Checks the observations of callers and backend servers against the guarantees of the gateway.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::callers::{Outcome, SentRequest};
use super::faults::COOL_DOWN;
use super::history::History;
use super::world::{BUDGET_RATIO, BUDGET_SLACK, COLD_PER_S, Cluster, WITHDRAWAL_BOUND};
use crate::support::runner::Run;

/// Time after which a draining or removed backend server must get no new requests.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Time after which a new configuration must be in force.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time after which an evacuated data centre must get no new requests.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);
/// Window of the retry budget: the gateway's default.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time for which requests may still run by an older configuration than one seen before.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// The same for an instance under a disturbance.
const ROLLBACK_SLACK_DISTURBED: Duration = Duration::from_millis(2_000);

/// Observations of callers and backend servers, with the violations found so far.
struct Observations<'a> {
    history: &'a History,
    requests: HashMap<&'a str, &'a SentRequest>,
    /// Runs with the data centre of their backend server, ordered by time.
    runs: Vec<(&'static str, &'a Run)>,
    by_attempt: HashMap<&'a str, Vec<&'a Run>>,
    violations: Vec<String>,
}

/// Summarises a soak run, to show that it exercised the gateway.
pub fn summarize(cluster: &Cluster, requests: &[SentRequest]) -> String {
    let count =
        |is: fn(&Outcome) -> bool| requests.iter().filter(|request| is(&request.outcome)).count();
    let runs: usize = cluster.servers.iter().map(|server| server.backend.runs().len()).sum();
    let windows = cluster.reports.lock().expect("no lock holder panicked").len();
    format!(
        "{} requests, {} whole, {} refused, {} broken off; {runs} runs, {windows} reports",
        requests.len(),
        count(|outcome| *outcome == Outcome::Whole),
        count(|outcome| matches!(outcome, Outcome::Error(_))),
        count(|outcome| matches!(outcome, Outcome::Broken(_))),
    )
}

/// Returns a description of each violated guarantee.
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
            self.violations.push(format!("non-idempotent request ran {runs} times: {request:?}"));
        }
        if let Outcome::Wrong(_) = request.outcome {
            self.violations.push(format!("response with the wrong content: {request:?}"));
        }
        let claims_not_run =
            matches!(request.outcome, Outcome::Error(401 | 404 | 408 | 421 | 429 | 503));
        if claims_not_run && runs > 0 {
            self.violations
                .push(format!("ran, although its status states that it did not: {request:?}"));
        }
        let is_answered = matches!(request.outcome, Outcome::Whole | Outcome::Error(401 | 503));
        if !is_answered && self.history.is_fault_free(request.sent_at, request.ended_at) {
            self.violations.push(format!("not answered in a fault-free period: {request:?}"));
        }
    }

    fn check_runs(&mut self) {
        for (centre, run) in std::mem::take(&mut self.runs) {
            let attempt = run.text("x-laburnumvalve-attempt-id");
            let Some(request) = self.requests.get(attempt).copied() else {
                self.violations.push(format!("run without a request: {run:?}"));
                continue;
            };
            if run.headers.contains_key("x-laburnumvalve-key") {
                self.violations.push(format!("key was forwarded: {request:?}"));
            }
            let is_late = |change: &super::history::Change, bound| {
                let is_over = change.until.is_some_and(|until| run.at > until);
                !is_over && request.sent_at > change.at + bound
            };
            let history = self.history;
            let mut by_key = history.withdrawn.iter().filter(|change| change.name == request.key);
            if by_key.any(|change| is_late(change, WITHDRAWAL_BOUND)) {
                self.violations.push(format!("ran with a withdrawn key: {request:?}"));
            }
            if !history.is_undisturbed(request.instance, request.sent_at, run.at) {
                continue;
            }
            let server = run.text("x-laburnumvalve-expect-instance");
            let mut departed = history.departed.iter().filter(|change| change.name == server);
            if departed.any(|change| is_late(change, DRAIN_BOUND)) {
                self.violations.push(format!("ran at draining or removed {server}: {request:?}"));
            }
            let mut evacuated = history.evacuated.iter().filter(|change| change.name == centre);
            if evacuated.any(|change| is_late(change, EVACUATION_BOUND)) {
                self.violations.push(format!("ran in evacuated {centre}: {request:?}"));
            }
        }
    }

    /// Checks that no process returns to an older configuration, and that new ones are in force in
    /// time.
    fn check_versions(&mut self) {
        let mut seen_versions: HashMap<(usize, Instant), Vec<(u64, Instant)>> = HashMap::new();
        let runs: Vec<(&SentRequest, &Run)> = self
            .by_attempt
            .iter()
            .filter_map(|(attempt, runs)| Some((*self.requests.get(attempt)?, runs)))
            .flat_map(|(request, runs)| runs.iter().map(move |run| (request, *run)))
            .collect();
        // The name of the organisation carries the version, see `Cluster::configure`.
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
                self.violations.push(format!("rollback to version {}: {request:?}", version(run)));
            }
            let due =
                self.history.versions.iter().filter(|(_, at)| request.sent_at > *at + APPLY_BOUND);
            let due = due.map(|(version, _)| *version).max().unwrap_or_default();
            if is_undisturbed && version(run) < due {
                self.violations.push(format!(
                    "ran by version {} when {due} was due: {request:?}",
                    version(run)
                ));
            }
        }
    }

    /// Checks the total retries of all instances in sliding windows.
    fn check_budget(&mut self, requests: &[SentRequest]) {
        let retries = self.by_attempt.values().flat_map(|runs| runs.iter().skip(1));
        let mut retries: Vec<Instant> = retries.map(|run| run.at).collect();
        retries.sort();
        for (first, from) in retries.iter().enumerate() {
            let until = *from + BUDGET_WINDOW;
            let count = retries[first..].iter().take_while(|at| **at <= until).count();
            // The window before counts instead if it has more requests.
            let within = |from: Instant| {
                let until = from + BUDGET_WINDOW;
                requests.iter().filter(|request| (from..until).contains(&request.sent_at)).count()
            };
            let before = from.checked_sub(BUDGET_WINDOW).map_or(0, within);
            let allowed = BUDGET_RATIO * within(*from).max(before) as f64 + BUDGET_SLACK;
            if count as f64 > allowed {
                self.violations.push(format!("{count} retries in a window, {allowed:.0} allowed"));
                return;
            }
        }
    }

    /// Checks the total request rate of all instances at cold backend servers.
    fn check_cold(&mut self) {
        // Defaults of the gateway: overage 1.5 and slack 5.
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
                        .push(format!("{count} requests in one second at cold {}", cold.name));
                    return;
                }
            }
        }
    }

    /// Checks that at least a quarter of the requests after the recovery is served.
    fn check_recovery(&mut self, requests: &[SentRequest]) {
        let Some(end) = requests.iter().map(|request| request.sent_at).max() else {
            self.violations.push("no requests were sent".to_owned());
            return;
        };
        let withdrawn: HashSet<&str> =
            self.history.withdrawn.iter().map(|key| key.name.as_str()).collect();
        let last = requests.iter().filter(|request| {
            request.sent_at + COOL_DOWN / 3 > end && !withdrawn.contains(request.key.as_str())
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

/// Checks that each window has one set of counts, and each fencing token one holder.
fn check_reports(cluster: &Cluster) -> Vec<String> {
    let reports = cluster.reports.lock().expect("no lock holder panicked");
    let mut violations = Vec::new();
    for (number, report) in reports.iter().enumerate() {
        for other in &reports[..number] {
            if other.window == report.window && other.counts != report.counts {
                violations.push(format!("different counts for a window: {other:?} and {report:?}"));
            }
            if other.fence == report.fence && other.holder != report.holder {
                violations.push(format!("two holders of a fencing token: {other:?}, {report:?}"));
            }
        }
    }
    if reports.is_empty() {
        violations.push("no usage was reported".to_owned());
    }
    violations
}
