//! Holds what callers and backend servers saw against what the gateway promises.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::callers::{Asked, Outcome};
use super::faults::CALM_AFTER;
use super::history::History;
use super::world::{BUDGET_RATIO, BUDGET_SLACK, COLD_PER_S, REVOKE, World};
use crate::support::runner::Run;

/// Time within which a draining or removed backend server must get nothing more.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time within which a new configuration must be in force.
const APPLY: Duration = Duration::from_millis(2_000);
/// Time within which a data centre that is taken out must get nothing more.
const EVACUATE: Duration = Duration::from_millis(5_000);
/// Window of the retry budget, which is the gateway's default.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Time in which an instance may still show an older configuration than it has shown.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// The same for an instance in trouble.
const ROLLBACK_SLACK_IN_TROUBLE: Duration = Duration::from_millis(2_000);

/// Everything seen, ready for the checks.
struct Seen<'a> {
    history: &'a History,
    asked: HashMap<&'a str, &'a Asked>,
    /// Runs with the data centre of their backend server, by time.
    runs: Vec<(&'static str, &'a Run)>,
    by_attempt: HashMap<&'a str, Vec<&'a Run>>,
    broken: Vec<String>,
}

/// Describes what a run saw, to show that it had work to do.
pub fn sum_up(world: &World, requests: &[Asked]) -> String {
    let count = |is: fn(&Outcome) -> bool| requests.iter().filter(|a| is(&a.outcome)).count();
    let runs: usize = world.servers.iter().map(|server| server.runner.runs().len()).sum();
    let windows = world.reports.lock().expect("no writer panicked").len();
    format!(
        "{} requests, {} whole, {} refused, {} broken off; {runs} runs, {windows} reports",
        requests.len(),
        count(|outcome| *outcome == Outcome::Whole),
        count(|outcome| matches!(outcome, Outcome::Error(_))),
        count(|outcome| matches!(outcome, Outcome::Broken(_))),
    )
}

/// Returns each promise that was broken.
pub fn check(world: &World, requests: &[Asked]) -> Vec<String> {
    let runs: Vec<_> = world.servers.iter().map(|s| (s.data_centre, s.runner.runs())).collect();
    let runs = runs.iter().flat_map(|(centre, runs)| runs.iter().map(move |run| (*centre, run)));
    let mut runs: Vec<_> = runs.collect();
    runs.sort_by_key(|(_, run)| run.at);
    let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
    for (_, run) in &runs {
        by_attempt.entry(run.text("x-laburnumvalve-attempt-id")).or_default().push(run);
    }
    let history = world.book.open();
    let asked = requests.iter().map(|asked| (asked.attempt.as_str(), asked)).collect();
    let mut seen = Seen { history: &history, asked, runs, by_attempt, broken: Vec::new() };
    requests.iter().for_each(|asked| seen.check_request(asked));
    seen.check_runs();
    seen.check_versions();
    seen.check_budget(requests);
    seen.check_cold();
    seen.check_recovery(requests);
    let mut broken = seen.broken;
    broken.extend(check_reports(world));
    broken
}

impl Seen<'_> {
    fn check_request(&mut self, asked: &Asked) {
        let runs = self.by_attempt.get(asked.attempt.as_str()).map_or(0, Vec::len);
        if asked.kind.runs_once() && runs > 1 {
            self.broken.push(format!("ran {runs} times: {asked:?}"));
        }
        if let Outcome::Wrong(_) = asked.outcome {
            self.broken.push(format!("not its own whole answer: {asked:?}"));
        }
        let says_unrun = matches!(asked.outcome, Outcome::Error(401 | 404 | 408 | 421 | 429 | 503));
        if says_unrun && runs > 0 {
            self.broken.push(format!("ran, though the caller was told that it had not: {asked:?}"));
        }
        let is_answered = matches!(asked.outcome, Outcome::Whole | Outcome::Error(401 | 503));
        if !is_answered && self.history.is_calm(asked.sent, asked.ended) {
            self.broken.push(format!("not answered in calm times: {asked:?}"));
        }
    }

    fn check_runs(&mut self) {
        for (centre, run) in std::mem::take(&mut self.runs) {
            let attempt = run.text("x-laburnumvalve-attempt-id");
            let Some(asked) = self.asked.get(attempt).copied() else {
                self.broken.push(format!("nobody asked for it: {run:?}"));
                continue;
            };
            if run.headers.contains_key("x-laburnumvalve-key") {
                self.broken.push(format!("its key was passed on: {asked:?}"));
            }
            let late = |change: &super::history::Change, bound| {
                let is_over = change.until.is_some_and(|until| run.at > until);
                !is_over && asked.sent > change.at + bound
            };
            let history = self.history;
            let mut by_key = history.withdrawn.iter().filter(|change| change.name == asked.key);
            if by_key.any(|change| late(change, REVOKE)) {
                self.broken.push(format!("its key was withdrawn: {asked:?}"));
            }
            if !history.is_in_touch(asked.instance, asked.sent, run.at) {
                continue;
            }
            let server = run.text("x-laburnumvalve-expect-instance");
            let mut left = history.left.iter().filter(|change| change.name == server);
            if left.any(|change| late(change, DRAIN)) {
                self.broken.push(format!("{server} had left: {asked:?}"));
            }
            let mut out = history.out.iter().filter(|change| change.name == centre);
            if out.any(|change| late(change, EVACUATE)) {
                self.broken.push(format!("{centre} was taken out: {asked:?}"));
            }
        }
    }

    /// Checks that no process goes back to an older configuration, and that new ones are taken.
    fn check_versions(&mut self) {
        let mut shown: HashMap<(usize, Instant), Vec<(u64, Instant)>> = HashMap::new();
        let runs: Vec<(&Asked, &Run)> = self
            .by_attempt
            .iter()
            .filter_map(|(attempt, runs)| Some((*self.asked.get(attempt)?, runs)))
            .flat_map(|(asked, runs)| runs.iter().map(move |run| (asked, *run)))
            .collect();
        let version = |run: &Run| -> u64 {
            let name = run.text("x-laburnumvalve-tenant");
            name.strip_prefix("timers-").and_then(|text| text.parse().ok()).unwrap_or_default()
        };
        for (asked, run) in &runs {
            if let Some(process) = self.history.process_at(asked.instance, asked.sent) {
                let of_process = shown.entry((asked.instance, process)).or_default();
                of_process.push((version(run), run.at));
            }
        }
        for (asked, run) in &runs {
            let is_in_touch = self.history.is_in_touch(asked.instance, asked.sent, run.at);
            let slack = if is_in_touch { ROLLBACK_SLACK } else { ROLLBACK_SLACK_IN_TROUBLE };
            let process = self.history.process_at(asked.instance, asked.sent);
            let of_process = process.and_then(|process| shown.get(&(asked.instance, process)));
            let goes_back = of_process.is_some_and(|shown| {
                shown.iter().any(|(later, at)| *later > version(run) && asked.sent > *at + slack)
            });
            if goes_back {
                self.broken.push(format!("went back to {}: {asked:?}", version(run)));
            }
            let due = self.history.versions.iter().filter(|(_, at)| asked.sent > *at + APPLY);
            let due = due.map(|(version, _)| *version).max().unwrap_or_default();
            if is_in_touch && version(run) < due {
                self.broken.push(format!("ran by {} when {due} was due: {asked:?}", version(run)));
            }
        }
    }

    /// Checks the repeats of all instances together, in sliding windows.
    fn check_budget(&mut self, requests: &[Asked]) {
        let repeats = self.by_attempt.values().flat_map(|runs| runs.iter().skip(1));
        let mut repeats: Vec<Instant> = repeats.map(|run| run.at).collect();
        repeats.sort();
        for (first, from) in repeats.iter().enumerate() {
            let until = *from + BUDGET_WINDOW;
            let count = repeats[first..].iter().take_while(|at| **at <= until).count();
            // Requests of the window before it count as well, if there were more.
            let within = |from: Instant| {
                let until = from + BUDGET_WINDOW;
                requests.iter().filter(|asked| (from..until).contains(&asked.sent)).count()
            };
            let before = from.checked_sub(BUDGET_WINDOW).map_or(0, within);
            let allowed = BUDGET_RATIO * within(*from).max(before) as f64 + BUDGET_SLACK;
            if count as f64 > allowed {
                self.broken.push(format!("{count} repeats in a window, {allowed:.0} allowed"));
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
                    self.broken.push(format!("{count} requests in a second at cold {}", cold.name));
                    return;
                }
            }
        }
    }

    /// Checks that a quarter at least is served at the end, after all faults.
    fn check_recovery(&mut self, requests: &[Asked]) {
        let Some(end) = requests.iter().map(|asked| asked.sent).max() else {
            self.broken.push("nothing was asked for".to_owned());
            return;
        };
        let withdrawn: HashSet<&str> =
            self.history.withdrawn.iter().map(|key| key.name.as_str()).collect();
        let last = requests.iter().filter(|asked| {
            asked.sent + CALM_AFTER / 3 > end && !withdrawn.contains(asked.key.as_str())
        });
        let (mut all, mut served) = (0, 0);
        last.for_each(|asked| {
            all += 1;
            served += usize::from(asked.outcome == Outcome::Whole);
        });
        if served * 4 < all {
            self.broken.push(format!("{served} of {all} requests were served at the end"));
        }
    }
}

/// Checks that each window has one set of counts, and each fencing number one holder.
fn check_reports(world: &World) -> Vec<String> {
    let reports = world.reports.lock().expect("no writer panicked");
    let mut broken = Vec::new();
    for (number, report) in reports.iter().enumerate() {
        for other in &reports[..number] {
            if other.window == report.window && other.counts != report.counts {
                broken.push(format!("a window has two counts: {other:?} and {report:?}"));
            }
            if other.fence == report.fence && other.holder != report.holder {
                broken.push(format!("a fencing number has two holders: {other:?}, {report:?}"));
            }
        }
    }
    if reports.is_empty() {
        broken.push("no usage was reported".to_owned());
    }
    broken
}
