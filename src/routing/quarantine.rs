//! Quarantine of prompt parts that crash backend servers.
//!
//! Answers the query of death: a request that crashes the server which begins to answer it, and
//! then the next server when it is sent again. A crash also ends the requests that happen to begin
//! on the same server, so each part of all these requests is under suspicion. A part that a server
//! answers, beyond the beginning, is cleared, as a deadly part never is. Without that, crashes of
//! several servers, one after another, convict the part, and requests with it are no longer sent.
//!
//! The evidence of all instances is merged. It is a set of crashed processes for each part that
//! only grows until it expires, so reports may arrive late, repeatedly and in any order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::BootTime;
use crate::names::BackendServerName;
use crate::routing::choose::PromptPart;

/// Crashes of different servers without an answer in between that convict a part.
const CONVICTING_CRASHES: usize = 3;
/// Crashes from which a request is not sent again after it ended with a crash.
const SUSPECT_CRASHES: usize = 2;
/// Crashes within this time count once: servers that fail together have a common cause.
const SAME_CAUSE_TIME: Duration = Duration::from_millis(150);
/// Time after the last crash at which a convicted part is tried for the first time.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Growth of that time with each crash after the conviction.
const TRIAL_DELAY_FACTOR: u32 = 10;
/// Maximum time between trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Time for which a due trial is left to the instances that may make it before the number of these
/// doubles; the parts of most prompts arrive at each instance within it.
const TRIAL_DOUBLING_TIME: Duration = Duration::from_secs(10);
/// Time for which evidence that doesn't convict a part is kept.
const SUSPICION_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the evidence against a convicted part is kept after its last crash.
const CONVICTION_RETENTION: Duration = Duration::from_secs(1_800);
/// Maximum number of parts with evidence; those with the fewest crashes are dropped.
const MAX_PARTS: usize = 256;
/// Maximum number of crashes kept for each part.
const MAX_CRASHES_PER_PART: usize = 32;

crate::name! {
    /// One process of a backend server: the server's name with the time of its start.
    ServerProcess
}

impl ServerProcess {
    /// Returns the process of a server that started at a time, in ms since the Unix epoch.
    pub fn of(server: &BackendServerName, started_at_ms: Option<u64>) -> Self {
        format!("{server}/{}", started_at_ms.unwrap_or_default()).into()
    }
}

value! {
    /// A crash that ended a request with a part before or at the beginning of its answer.
    pub struct CrashReport {
        /// Identifier of the part.
        pub part: u64,
        /// The process that crashed.
        pub process: ServerProcess,
        /// Time since the crash, in ms.
        pub age_ms: u64,
        /// Whether a server has answered a request with the part since.
        pub is_cleared: bool,
    }
}

/// A part and a process that crashed on a request with it.
pub type CrashKey = (u64, ServerProcess);

/// What the evidence says about the parts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Requests are sent without restrictions.
    Sound,
    /// Requests are sent, but not again after they ended with a crash.
    Suspect,
    /// Requests are not sent. One with a single convicted part may serve as a trial of it.
    Convicted(Option<Trial>),
}

/// When a convicted part is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The convicted part.
    pub part: u64,
    /// Time until the trial is due.
    pub due_in: Duration,
    /// Time for which it has been due.
    pub overdue: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    at: BootTime,
    is_cleared: bool,
}

/// Crashes by process.
#[derive(Debug, Clone, Default)]
struct PartEvidence {
    crashes: BTreeMap<ServerProcess, Crash>,
}

impl PartEvidence {
    /// Returns the number of crashes since the last answer; those at the same time count once.
    fn count(&self) -> usize {
        let mut times: Vec<BootTime> = self.uncleared().map(|(_, crash)| crash.at).collect();
        times.sort_unstable();
        let mut counted: Option<BootTime> = None;
        let mut count = 0;
        for at in times {
            if counted.is_none_or(|former| at.since(former) >= SAME_CAUSE_TIME) {
                counted = Some(at);
                count += 1;
            }
        }
        count
    }

    /// Returns the crashes since the last answer.
    fn uncleared(&self) -> impl Iterator<Item = (&ServerProcess, &Crash)> {
        self.crashes.iter().filter(|(_, crash)| !crash.is_cleared)
    }

    fn has_uncleared(&self, process: &ServerProcess) -> bool {
        self.crashes.get(process).is_some_and(|crash| !crash.is_cleared)
    }

    fn is_convicted(&self) -> bool {
        self.count() >= CONVICTING_CRASHES
    }

    fn last_crash(&self) -> Option<BootTime> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    fn has_expired(&self, now: BootTime) -> bool {
        let retention =
            if self.is_convicted() { CONVICTION_RETENTION } else { SUSPICION_RETENTION };
        self.last_crash().is_none_or(|last| now.since(last) > retention)
    }

    /// Adds a crash; returns whether that changed anything.
    fn add(&mut self, process: &ServerProcess, crash: Crash) -> bool {
        if let Some(known) = self.crashes.get_mut(process) {
            // The first one to notice a crash is closest to its time.
            known.at = known.at.min(crash.at);
            let is_news = crash.is_cleared && !known.is_cleared;
            known.is_cleared |= crash.is_cleared;
            return is_news;
        }
        self.crashes.insert(process.clone(), crash);
        // All instances keep the same ones, so that their evidence converges.
        let is_over = self.crashes.len() > MAX_CRASHES_PER_PART;
        let dropped = if is_over { self.crashes.pop_last() } else { None };
        dropped.is_none_or(|(dropped, _)| dropped != *process)
    }
}

/// Evidence of all instances against parts of prompts.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    parts: BTreeMap<u64, PartEvidence>,
}

impl CrashEvidence {
    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of parts with evidence.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns the convicted parts.
    pub fn convicted(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().filter(|(_, evidence)| evidence.is_convicted()).map(|(part, _)| *part)
    }

    /// Records a crash that ended a request with the given parts; returns what is new. If parts
    /// are convicted already, the others are not to blame.
    pub fn record_crash(
        &mut self,
        now: BootTime,
        parts: &[PromptPart],
        process: &ServerProcess,
    ) -> Vec<CrashKey> {
        let is_convicted =
            |part: &PromptPart| self.parts.get(&part.id).is_some_and(PartEvidence::is_convicted);
        let is_known = parts.iter().any(is_convicted);
        let blamed = parts.iter().filter(|part| !is_known || is_convicted(part));
        let process = || process.clone();
        let report = |part: &PromptPart| CrashReport {
            part: part.id,
            process: process(),
            age_ms: 0,
            is_cleared: false,
        };
        let reports: Vec<CrashReport> = blamed.map(report).collect();
        self.merge(now, &reports)
    }

    /// Clears parts that a server has answered; returns what is new.
    pub fn clear(&mut self, parts: &[PromptPart]) -> Vec<CrashKey> {
        let mut cleared = Vec::new();
        for part in parts {
            let Some(evidence) = self.parts.get_mut(&part.id) else { continue };
            for (process, crash) in &mut evidence.crashes {
                if !std::mem::replace(&mut crash.is_cleared, true) {
                    cleared.push((part.id, process.clone()));
                }
            }
        }
        cleared
    }

    /// Adds reports, this instance's or another one's; returns what is new.
    pub fn merge(&mut self, now: BootTime, reports: &[CrashReport]) -> Vec<CrashKey> {
        let mut news = Vec::new();
        for report in reports {
            let at = now.before(Duration::from_millis(report.age_ms));
            let crash = Crash { at, is_cleared: report.is_cleared };
            if self.parts.entry(report.part).or_default().add(&report.process, crash) {
                news.push((report.part, report.process.clone()));
            }
        }
        self.clear_explained();
        self.purge(now);
        news.retain(|(part, _)| self.parts.contains_key(part));
        news
    }

    /// Drops expired evidence, and the weakest if there is too much.
    pub fn purge(&mut self, now: BootTime) {
        self.parts.retain(|_, evidence| !evidence.has_expired(now));
        while self.parts.len() > MAX_PARTS {
            let weakest = self.parts.iter().min_by_key(|(_, it)| (it.count(), it.last_crash()));
            let Some(part) = weakest.map(|(part, _)| *part) else { return };
            self.parts.remove(&part);
        }
    }

    /// Returns the reports with the given keys that are still known.
    pub fn reports_of(&self, now: BootTime, keys: &BTreeSet<CrashKey>) -> Vec<CrashReport> {
        let find = |(part, process): &CrashKey| {
            let crash = self.parts.get(part)?.crashes.get(process)?;
            Some(report(now, *part, process, crash))
        };
        keys.iter().filter_map(find).collect()
    }

    /// Returns all reports.
    pub fn reports(&self, now: BootTime) -> Vec<CrashReport> {
        let all = self.parts.iter().flat_map(|(part, evidence)| {
            evidence.crashes.iter().map(|(process, crash)| report(now, *part, process, crash))
        });
        all.collect()
    }

    /// Returns a hash that is equal for equal evidence against suspected and convicted parts; 0 if there
    /// is none.
    pub fn digest(&self) -> u64 {
        let mut suspected =
            self.parts.iter().filter(|(_, it)| it.count() >= SUSPECT_CRASHES).peekable();
        if suspected.peek().is_none() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for (part, evidence) in suspected {
            hasher.update(&part.to_le_bytes());
            for (process, _) in evidence.uncleared() {
                hasher.update(process.as_str().as_bytes());
                hasher.update(&[0]);
            }
        }
        hasher.digest()
    }

    /// Returns the reports that decide most, at most `limit`: all of the parts with the most crashes,
    /// and of parts that were suspected before they were cleared.
    pub fn strongest_reports(&self, now: BootTime, limit: usize) -> Vec<CrashReport> {
        let is_strong = |it: &PartEvidence| it.crashes.len() >= SUSPECT_CRASHES;
        let mut strong: Vec<_> = self.parts.iter().filter(|(_, it)| is_strong(it)).collect();
        strong.sort_by_key(|(_, it)| Reverse((it.count(), it.last_crash())));
        let reports = strong.into_iter().flat_map(|(part, evidence)| {
            evidence.crashes.iter().map(|(process, crash)| report(now, *part, process, crash))
        });
        reports.take(limit).collect()
    }

    /// Returns those of some crashes, at most `limit`, that decide most: of the parts with the most
    /// crashes, then the latest.
    pub fn most_telling(&self, keys: &BTreeSet<CrashKey>, limit: usize) -> BTreeSet<CrashKey> {
        let mut ranked: Vec<_> = keys
            .iter()
            .filter_map(|key| {
                let evidence = self.parts.get(&key.0)?;
                Some(((evidence.crashes.len(), evidence.crashes.get(&key.1)?.at), key))
            })
            .collect();
        ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        ranked.into_iter().take(limit).map(|(_, key)| key.clone()).collect()
    }

    /// Returns whether a crash is still worth telling after others were told first: if it isn't cleared,
    /// or others of its part may not be.
    pub fn is_worth_telling(&self, (part, process): &CrashKey) -> bool {
        self.parts
            .get(part)
            .is_some_and(|it| it.crashes.len() >= SUSPECT_CRASHES || it.has_uncleared(process))
    }

    /// Returns the standing of a request with the given parts.
    pub fn standing(&self, now: BootTime, parts: &[PromptPart]) -> Standing {
        let known = || {
            let evidence = |part: &PromptPart| Some((part.id, self.parts.get(&part.id)?));
            parts.iter().filter_map(evidence)
        };
        let convicted: Vec<_> = known().filter(|(_, evidence)| evidence.is_convicted()).collect();
        if convicted.is_empty() {
            let is_suspect = known().any(|(_, evidence)| evidence.count() >= SUSPECT_CRASHES);
            return if is_suspect { Standing::Suspect } else { Standing::Sound };
        }
        if convicted.iter().all(|(_, evidence)| self.is_explained_by_others(evidence, parts)) {
            return Standing::Suspect;
        }
        let [(part, evidence)] = convicted[..] else { return Standing::Convicted(None) };
        let trial_at = evidence.last_crash().unwrap_or(now).after(trial_delay(evidence.count()));
        let (due_in, overdue) = (trial_at.since(now), now.since(trial_at));
        Standing::Convicted(Some(Trial { part, due_in, overdue }))
    }

    /// Returns whether another convicted part, which the request doesn't have, was there at each
    /// crash of one of its parts.
    ///
    /// Requests that crash servers share parts with sound ones, so that these parts are convicted
    /// along. A sound request shows the difference.
    fn is_explained_by_others(&self, evidence: &PartEvidence, request: &[PromptPart]) -> bool {
        let mut others = self
            .parts
            .iter()
            .filter(|(other, _)| request.iter().all(|of_request| of_request.id != **other));
        others.any(|(_, other)| {
            other.is_convicted()
                && evidence.uncleared().all(|(process, _)| other.has_uncleared(process))
        })
    }

    /// Clears the other parts of crashes that a convicted part explains.
    fn clear_explained(&mut self) {
        let convicted: Vec<u64> = self.convicted().collect();
        for part in &convicted {
            let explained = self.parts[part].crashes.clone();
            let others = self.parts.iter_mut().filter(|(other, _)| !convicted.contains(other));
            for (_, other) in others {
                for (process, crash) in &mut other.crashes {
                    crash.is_cleared |= explained.get(process).is_some_and(|it| !it.is_cleared);
                }
            }
        }
    }
}

fn trial_delay(crashes: usize) -> Duration {
    let further = crashes.saturating_sub(CONVICTING_CRASHES) as u32;
    let factor = TRIAL_DELAY_FACTOR.saturating_pow(further);
    FIRST_TRIAL_DELAY.saturating_mul(factor).min(MAX_TRIAL_DELAY)
}

fn report(now: BootTime, part: u64, process: &ServerProcess, crash: &Crash) -> CrashReport {
    let age_ms = now.since(crash.at).as_millis() as u64;
    CrashReport { part, process: process.clone(), age_ms, is_cleared: crash.is_cleared }
}

/// Returns whether the instance of a rank may try a convicted part. First only one may, as each
/// trial may cost a server.
pub fn may_try(rank: usize, overdue: Duration) -> bool {
    let doublings = overdue.as_millis() / TRIAL_DOUBLING_TIME.as_millis();
    rank < 1_usize.checked_shl(doublings as u32).unwrap_or(usize::MAX)
}
