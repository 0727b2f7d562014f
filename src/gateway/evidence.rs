//! Spreads evidence against prompt parts that crash backend servers between instances.
//!
//! Needs no store, so that it works during its outages: news is pushed to random instances at
//! once, and each of these pushes on what it did not know. What got lost on the way is found by
//! comparing hashes with a random instance now and then. Crashes of many servers make much news that
//! convicts nothing, so each instance sends the most telling first, and few bytes a second.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response};
use tokio::sync::Notify;

use super::attempt::AdmittedRequest;
use super::body::{ResponseBody, full_body};
use super::peers::random_seed_peer;
use super::shared::InstanceState;
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::names::InstanceName;
use crate::platform::http;
use crate::routing::byte_budget::ByteBudget;
use crate::routing::choose::PromptPart;
use crate::routing::members::Member;
use crate::routing::quarantine::{
    CrashEvidence, CrashKey, CrashReport, ServerProcess, Standing, Trial, may_try,
};
use crate::routing::rank::rank;
use crate::routing::sound_parts::SoundParts;
use crate::timer::Timer;

/// Path of the endpoint.
pub const EVIDENCE_PATH: &str = "/crash-evidence";
/// Number of instances that news is pushed to; with four, 98% of the instances get it.
const FAN_OUT: usize = 4;
/// Time for which news is collected before it is pushed.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Minimum time between two rounds of pushes.
const MIN_ROUND_TIME: Duration = Duration::from_millis(150);
/// Period of comparisons of an instance that starts, until another one has answered.
const START_COMPARE_PERIOD: Duration = Duration::from_millis(200);
/// Period of comparisons after the last news.
const COMPARE_PERIOD: Duration = Duration::from_secs(1);
/// Time after the last news for which comparisons are made each period.
const ACTIVE_TIME: Duration = Duration::from_secs(10);
/// Period of comparisons while there is evidence, but no news.
const QUIET_COMPARE_PERIOD: Duration = Duration::from_secs(10);
/// Timeout of a message to another instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that are pushed at once, of some 100 bytes each. Few, so that the most telling
/// ones don't wait for the others.
const MAX_PUSHED_REPORTS: usize = 16;
/// Maximum number of reports in the response to a message.
const MAX_COMPARED_REPORTS: usize = 64;
/// Maximum size of a message: instances of earlier versions send all their evidence.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Time after which a trial that has shown nothing may be followed by another one.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// Minimum `Retry-After` of a request with a convicted part: requests that come earlier would be
/// refused, as one instance makes one trial at a time.
const MIN_RETRY_AFTER: Duration = TRIAL_TIME;
/// Time within which a connection to a server that runs is opened.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

value! {
    /// Evidence that an instance sends to another one, and the response to it.
    pub struct EvidenceMessage {
        /// Hash of all evidence of the sender.
        pub digest: u64,
        /// Reports that the receiver may not know.
        pub reports: Vec<CrashReport>,
    }
}

/// Evidence of this instance, and what is to be pushed to others.
#[derive(Default)]
pub struct SharedEvidence {
    evidence: RefCell<CrashEvidence>,
    /// Parts that servers have answered here lately.
    sound: RefCell<SoundParts>,
    news: RefCell<BTreeSet<CrashKey>>,
    /// Bytes of evidence that this instance may send.
    budget: RefCell<ByteBudget>,
    has_news: Notify,
    /// When this instance last started a trial of a convicted part.
    trial_started_at: Cell<Option<Instant>>,
}

/// Whether a request may be sent in spite of the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartsCheck {
    /// The request may be sent.
    Passed,
    /// The request may be sent once, but not again if the server crashes.
    NoRetry,
    /// A part crashes servers; the caller may come back after this time.
    Refused(Duration),
}

impl SharedEvidence {
    /// Checks the parts of a request before it is sent.
    pub fn check(&self, cx: &InstanceState, request: &AdmittedRequest) -> PartsCheck {
        let standing = self.evidence.borrow().standing(BootTime::now(), parts(request));
        match standing {
            Standing::Sound => PartsCheck::Passed,
            Standing::Suspect => PartsCheck::NoRetry,
            Standing::Convicted(Some(trial)) if self.starts_trial(cx, trial) => {
                tracing::info!(part = hex(trial.part), "trying a quarantined prompt part again");
                PartsCheck::NoRetry
            }
            Standing::Convicted(trial) => {
                let due_in = trial.map_or(Duration::ZERO, |trial| trial.due_in);
                PartsCheck::Refused(due_in.max(MIN_RETRY_AFTER))
            }
        }
    }

    /// Starts a trial if it is due, this instance is the one to make it, and it has none in
    /// progress.
    fn starts_trial(&self, cx: &InstanceState, trial: Trial) -> bool {
        let is_busy = self.trial_started_at.get().is_some_and(|at| at.elapsed() < TRIAL_TIME);
        let rank = rank(&cx.cfg().instance, cx.members.borrow().names(), trial.part);
        let starts = trial.due_in.is_zero() && !is_busy && may_try(rank, trial.overdue);
        if starts {
            self.trial_started_at.set(Some(Instant::now()));
        }
        starts
    }

    /// Clears the parts of a request whose answer has shown that they are sound.
    pub fn record_sound_answer(&self, request: &AdmittedRequest) {
        self.sound.borrow_mut().record(BootTime::now(), parts(request));
        if self.evidence.borrow().is_empty() {
            return;
        }
        self.update(|evidence, _| evidence.clear(parts(request)));
    }

    /// Records that a server crashed when it began to answer a request. Parts that were answered a
    /// moment ago are not to blame.
    fn record_crash(&self, request: &AdmittedRequest, process: &ServerProcess) {
        let blamed = self.sound.borrow_mut().without_sound(BootTime::now(), parts(request));
        self.update(|evidence, now| evidence.record_crash(now, &blamed, process));
    }

    /// Returns the numbers of parts with evidence and of convicted parts.
    pub fn counts(&self) -> (usize, usize) {
        let evidence = self.evidence.borrow();
        (evidence.len(), evidence.convicted().count())
    }

    /// Drops expired evidence.
    pub fn sweep(&self) {
        self.update(|evidence, now| {
            evidence.purge(now);
            Vec::new()
        });
    }

    /// Returns the most telling news, and leaves the rest for the next round.
    fn take_news(&self) -> Vec<CrashReport> {
        let evidence = self.evidence.borrow();
        let mut news = self.news.borrow_mut();
        let chosen = evidence.most_telling(&news, MAX_PUSHED_REPORTS);
        news.retain(|key| !chosen.contains(key) && evidence.is_worth_telling(key));
        if !news.is_empty() {
            self.has_news.notify_one();
        }
        evidence.reports_of(BootTime::now(), &chosen)
    }

    /// Changes the evidence, logs which parts are convicted or released by that, and keeps the
    /// news to be pushed.
    fn update(&self, change: impl FnOnce(&mut CrashEvidence, BootTime) -> Vec<CrashKey>) {
        let mut evidence = self.evidence.borrow_mut();
        let former: Vec<u64> = evidence.convicted().collect();
        let news = change(&mut evidence, BootTime::now());
        let convicted: Vec<u64> = evidence.convicted().collect();
        for part in convicted.iter().filter(|part| !former.contains(part)) {
            tracing::warn!(
                part = hex(*part),
                "prompt part quarantined: backend servers crashed one after another on it"
            );
        }
        for part in former.iter().filter(|part| !convicted.contains(part)) {
            tracing::info!(part = hex(*part), "prompt part released from quarantine");
        }
        if !news.is_empty() {
            self.news.borrow_mut().extend(news);
            self.has_news.notify_one();
        }
    }
}

fn parts(request: &AdmittedRequest) -> &[PromptPart] {
    request.head.demand.shared_prefix()
}

fn hex(part: u64) -> String {
    format!("{part:x}")
}

/// Records evidence if the server of a lost request has crashed: its address refuses connections.
/// Returns whether it has.
pub async fn record_if_crashed(
    cx: &InstanceState,
    request: &AdmittedRequest,
    process: &ServerProcess,
    address: SocketAddr,
) -> bool {
    if parts(request).is_empty() {
        return false;
    }
    let connecting = tokio::net::TcpStream::connect(address);
    let has_crashed = match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        // A server that accepts connections has lost the request for another reason, and one that
        // is silent may be unreachable.
        Ok(Ok(_)) | Err(_) => false,
    };
    if !has_crashed {
        return false;
    }
    tracing::info!(
        id = request.head.attempt.as_ref().and_then(|id| id.to_str().ok()),
        %process,
        parts = parts(request).iter().map(|part| hex(part.id)).collect::<Vec<_>>().join(" "),
        "backend server crashed as it began to answer; the prompt parts are under suspicion"
    );
    cx.evidence.record_crash(request, process);
    true
}

/// Responds to evidence of another instance with what that one lacks.
///
/// # Errors
/// Describes why the message can't be read.
pub async fn respond(
    cx: &InstanceState,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, String> {
    let body = Limited::new(req.into_body(), MAX_MESSAGE_BYTES).collect();
    let body = tokio::time::timeout(MESSAGE_TIMEOUT, body).await;
    let body = body.map_err(|_| "the message was not complete in time".to_owned())?;
    let body: Bytes = body.map_err(|error| error.to_string())?.to_bytes();
    let message: EvidenceMessage =
        serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let shared = &cx.evidence;
    shared.update(|evidence, now| evidence.merge(now, &message.reports));
    let evidence = shared.evidence.borrow();
    let digest = evidence.digest();
    let now = BootTime::now();
    let may_send = shared.budget.borrow_mut().wait(now).is_zero();
    let reports = if digest == message.digest || !may_send {
        Vec::new()
    } else {
        evidence.strongest_reports(now, MAX_COMPARED_REPORTS)
    };
    let text = serde_json::to_vec(&EvidenceMessage { digest, reports })
        .map_err(|error| error.to_string())?;
    record_bytes(cx, text.len());
    Ok(Response::new(full_body(text)))
}

fn record_bytes(cx: &InstanceState, bytes: usize) {
    cx.metrics.add(Counter::PeerBytes, "crash-evidence", bytes as u64);
    cx.evidence.budget.borrow_mut().spend(BootTime::now(), bytes);
}

/// Exchanges evidence with other instances until the process exits.
pub async fn exchange(cx: Rc<InstanceState>, client: reqwest::Client, timer: Timer) {
    // An instance that starts knows nothing until another one has answered.
    let mut starting = timer.every(START_COMPARE_PERIOD);
    let mut has_compared = false;
    while !has_compared && starting.recv().await.is_some() {
        for (name, peer) in pick_peers(&cx, 1) {
            has_compared |= send(&cx, &client, name, peer, Vec::new()).await;
        }
    }
    drop(starting);
    let mut ticks = timer.every(COMPARE_PERIOD);
    let mut active_until = Instant::now();
    let mut compared_at = Instant::now();
    loop {
        tokio::select! {
            () = cx.evidence.has_news.notified() => {
                tokio::time::sleep(COLLECT_TIME).await;
                active_until = Instant::now() + ACTIVE_TIME;
                let news = cx.evidence.take_news();
                let pushes = pick_peers(&cx, FAN_OUT)
                    .into_iter()
                    .map(|(name, peer)| send(&cx, &client, name, peer, news.clone()));
                let (_, ()) = tokio::join!(
                    futures::future::join_all(pushes),
                    tokio::time::sleep(MIN_ROUND_TIME)
                );
                let wait = cx.evidence.budget.borrow_mut().wait(BootTime::now());
                tokio::time::sleep(wait).await;
            }
            tick = ticks.recv() => {
                if tick.is_none() {
                    return;
                }
                let is_active = Instant::now() < active_until;
                let is_due = is_active || compared_at.elapsed() >= QUIET_COMPARE_PERIOD;
                // Evidence of single crashes is not compared: there is much of it on a bad day, and it
                // forbids nothing.
                let has_evidence = cx.evidence.evidence.borrow().digest() != 0;
                if !(is_due && has_evidence) {
                    continue;
                }
                compared_at = Instant::now();
                for (name, peer) in pick_peers(&cx, 1) {
                    send(&cx, &client, name, peer, Vec::new()).await;
                }
            }
        }
    }
}

/// Returns random other instances, or a seed while none is known.
fn pick_peers(cx: &InstanceState, count: usize) -> Vec<(InstanceName, Member)> {
    let cfg = cx.cfg();
    let members = cx.members.borrow();
    let mut picked: Vec<(InstanceName, Member)> = Vec::new();
    for _ in 0..count {
        let found = members.random_peer(Instant::now(), &cfg.instance, rand::random());
        if let Some((name, member)) = found
            && picked.iter().all(|(other, _)| other != name)
        {
            picked.push((name.clone(), member.clone()));
        }
    }
    if picked.is_empty() {
        picked.extend(random_seed_peer(cx, &cfg.data_centre));
    }
    picked
}

/// Sends reports to another instance and merges its response; returns whether there was one.
async fn send(
    cx: &InstanceState,
    client: &reqwest::Client,
    name: InstanceName,
    peer: Member,
    reports: Vec<CrashReport>,
) -> bool {
    cx.metrics.add(Counter::PeerMessages, "crash-evidence", 1);
    let digest = cx.evidence.evidence.borrow().digest();
    let message = EvidenceMessage { digest, reports };
    let text = match serde_json::to_vec(&message) {
        Ok(text) => text,
        Err(error) => {
            tracing::error!(%error, "crash evidence can't be encoded");
            return false;
        }
    };
    record_bytes(cx, text.len());
    let url = format!("http://{}{EVIDENCE_PATH}", peer.address);
    let call = async {
        let req = client.post(url).timeout(MESSAGE_TIMEOUT);
        let req = req.header(CONTENT_TYPE, "application/json").body(text);
        let rsp = req.send().await.map_err(|error| http::error_chain(&error))?;
        let status = rsp.status();
        let body = http::read_limited(rsp, MAX_MESSAGE_BYTES).await;
        let body = body.map_err(|error| error.to_string())?;
        if !status.is_success() {
            return Err(format!("status {status}: {}", String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice::<EvidenceMessage>(&body).map_err(|error| error.to_string())
    };
    match call.await {
        Ok(response) => {
            cx.evidence.update(|evidence, now| evidence.merge(now, &response.reports));
            true
        }
        Err(why) => {
            tracing::debug!(peer = %name, why, "sending crash evidence failed");
            false
        }
    }
}
