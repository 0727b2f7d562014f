//! Passes the platform's state on between instances.
//!
//! An instance asks its source with what it knows; the source answers at once if it knows more or
//! the store turns it away, or when it has a newer proof, or else after a while. Counts of requests
//! travel the other way, those of instances that ask the asker included.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::body::{ReplyBody, whole};
use super::listen;
use super::shared::Shared;
use super::state::{FOLLOWED, apply};
use crate::clock::BootTime;
use crate::metrics::Counter;
use crate::names::{DataCentreName, InstanceName};
use crate::platform::{Collection, http};
use crate::routing::members::Member;
use crate::routing::mirror::Update;
use crate::routing::windows::{SentTallies, Tallies};

/// Path that peers ask.
const PATH: &str = "/pull";
/// How long a source holds a question if it learns nothing; longer than the time between two
/// proofs of an instance that reads the store, whose news so pass through all ranks at once.
const HOLD: Duration = Duration::from_millis(1_000);
/// How long an instance that others ask lets its own question be held: it passes their counts on,
/// which must reach the store through three ranks before those of a window are fixed.
const HOLD_WITH_ASKERS: Duration = Duration::from_millis(300);
/// Time since the last question for which an instance expects further ones; they come about once
/// a second.
const ASKERS_STAY: Duration = Duration::from_secs(3);
/// Time for which a question is held at least if there is only a newer proof.
const MIN_HOLD: Duration = Duration::from_millis(200);
/// Time besides the hold in which a source must answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Largest question, in bytes: counts of a few windows.
const MAX_QUESTION: usize = 1 << 20;
/// Age of the own proof at which a source counts as failed and the store is read directly.
const OLD_PROOF: Duration = Duration::from_millis(1_900);
/// Pause between looks whether another instance should be asked.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Pause after a source failed.
const SOURCE_PAUSE: Duration = Duration::from_millis(50);
/// Growth of that pause with each further source that fails: some ten are asked in two seconds.
const SOURCE_PAUSE_GROWTH: f64 = 1.25;
/// Failures that the growth counts; the longest pause is reached before.
const MAX_GROWTHS: i32 = 20;
/// Longest of these pauses; the proof of all sources is old then, so little is lost.
const MAX_SOURCE_PAUSE: Duration = Duration::from_millis(400);
/// Time for which the store is read directly after a source failed, unless another one serves.
const DIRECT_TIME: Duration = Duration::from_secs(3);

value! {
    /// A question to a source.
    pub struct Question {
        /// Revisions that the asker knows.
        pub known: BTreeMap<Collection, u64>,
        /// Counts that the asker knows and has not told this source yet.
        pub tallies: Tallies,
        /// Longest time to hold the question, in ms.
        pub hold_ms: u64,
    }

    /// A source's answer.
    pub struct Answer {
        /// What the asker lacks.
        pub updates: BTreeMap<Collection, Update>,
        /// Age of the proof that the configuration is the newest one, in ms.
        pub proof_age_ms: Option<u64>,
        /// How long the question was held, in ms.
        pub held_ms: u64,
        /// The process that answers; another one has not heard the counts that this one did.
        #[serde(default)]
        pub process: String,
        /// Whether the source reads the store itself, and the store turns it away.
        #[serde(default)]
        pub is_turned_away: bool,
    }
}

/// Answers the questions of peers until the process ends.
pub async fn serve(cx: Rc<Shared>, listener: TcpListener) {
    listen::serve(listener, "peers", move |req| answer(cx.clone(), req)).await;
}

async fn answer(cx: Rc<Shared>, req: Request<Incoming>) -> Response<ReplyBody> {
    let (status, body) = match read_question(req).await {
        Ok(question) => match serde_json::to_vec(&reply(&cx, &question).await) {
            Ok(bytes) => (StatusCode::OK, bytes),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
        },
        Err(why) => (StatusCode::BAD_REQUEST, why.into_bytes()),
    };
    let mut rsp = Response::new(whole(body));
    *rsp.status_mut() = status;
    rsp
}

async fn read_question(req: Request<Incoming>) -> Result<Question, String> {
    let body = Limited::new(req.into_body(), MAX_QUESTION).collect().await;
    let bytes = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}

/// Waits until there is more than the asker knows, or the hold ends.
async fn reply(cx: &Shared, question: &Question) -> Answer {
    let asked = Instant::now();
    cx.asked_at.set(Some(asked));
    cx.tallies.borrow_mut().merge(&question.tallies);
    let hold = Duration::from_millis(question.hold_ms).min(HOLD);
    let known_proof = *cx.proof.borrow();
    let mut changes = cx.changes.subscribe();
    loop {
        changes.mark_unchanged();
        let updates = lacking(cx, &question.known);
        let held = asked.elapsed();
        let left = hold.saturating_sub(held);
        let has_news = updates.values().any(|u| u.is_snapshot || !u.items.is_empty());
        let has_proof = held >= MIN_HOLD && *cx.proof.borrow() != known_proof;
        let is_turned_away = is_turned_away(cx);
        if has_news || has_proof || is_turned_away || left.is_zero() {
            let proof_age = cx.proof.borrow().age(BootTime::now());
            return Answer {
                updates,
                proof_age_ms: proof_age.map(|age| age.as_millis() as u64 + 1),
                held_ms: held.as_millis() as u64,
                process: cx.process.clone(),
                is_turned_away,
            };
        }
        // Both ends of the wait lead to another look.
        let _ = tokio::time::timeout(left, changes.changed()).await;
    }
}

fn is_turned_away(cx: &Shared) -> bool {
    *cx.reads_store.borrow() && *cx.store_failures.borrow() > 0
}

fn lacking(cx: &Shared, known: &BTreeMap<Collection, u64>) -> BTreeMap<Collection, Update> {
    let mirrors = cx.mirrors.borrow();
    let updates = FOLLOWED.into_iter().filter_map(|of| {
        let update = mirrors.get(&of)?.changes_since(known.get(&of).copied())?;
        Some((of, update))
    });
    updates.collect()
}

/// Keeps this instance up to date from its source, and decides when it reads the store itself.
pub async fn follow(cx: Rc<Shared>, client: reqwest::Client) {
    let me = cx.cfg().instance.clone();
    let data_centre = cx.cfg().data_centre.clone();
    let mut direct_until = Instant::now() + DIRECT_TIME;
    let mut failures = 0;
    let mut told = SentTallies::default();
    loop {
        let now = Instant::now();
        let age = cx.proof.borrow().age(BootTime::now());
        let is_old = age.is_none_or(|age| age > OLD_PROOF);
        if is_old {
            direct_until = now + DIRECT_TIME;
        }
        let source = owned(cx.members.borrow().upstream_peer(now, &me, &data_centre));
        set_reading(&cx, source.is_none() || now < direct_until);
        let needs_any = source.is_none() && (is_old || is_turned_away(&cx));
        let any = || owned(cx.members.borrow().random_peer(now, &me, rand::random()));
        let any = needs_any.then(|| any().or_else(|| any_seed(&cx, &data_centre))).flatten();
        let Some((name, member)) = source.or(any) else {
            tokio::time::sleep(LOOK_PERIOD).await;
            continue;
        };
        let has_askers = cx.asked_at.get().is_some_and(|at| at.elapsed() < ASKERS_STAY);
        let hold = match (is_old, has_askers) {
            (true, _) => Duration::ZERO,
            (false, true) => HOLD_WITH_ASKERS,
            (false, false) => HOLD,
        };
        match ask(&cx, &client, &member, hold, &mut told).await {
            Ok(()) => {
                failures = 0;
                direct_until = Instant::now();
                if is_old {
                    tokio::time::sleep(LOOK_PERIOD).await;
                }
            }
            Err(why) => {
                tracing::warn!(peer = %name, why, "peer does not tell the platform's state");
                cx.members.borrow_mut().skip(Instant::now(), &name);
                direct_until = Instant::now() + DIRECT_TIME;
                let pause = SOURCE_PAUSE.mul_f64(SOURCE_PAUSE_GROWTH.powi(failures));
                tokio::time::sleep(pause.min(MAX_SOURCE_PAUSE)).await;
                failures = (failures + 1).min(MAX_GROWTHS);
            }
        }
    }
}

fn owned(found: Option<(&InstanceName, &Member)>) -> Option<(InstanceName, Member)> {
    found.map(|(name, member)| (name.clone(), member.clone()))
}

/// Returns a peer that the settings name, for when no instance is known.
fn any_seed(cx: &Shared, data_centre: &DataCentreName) -> Option<(InstanceName, Member)> {
    let cfg = cx.cfg();
    let others: Vec<_> = cfg.seeds.iter().filter(|seed| **seed != cfg.peers).collect();
    let address = **others.get(rand::random_range(0..others.len().max(1)))?;
    let member = Member { data_centre: data_centre.clone(), address };
    Some((format!("seed {address}").as_str().into(), member))
}

/// Returns whether a peer answers at all.
pub async fn answers(client: &reqwest::Client, member: &Member) -> bool {
    // A question without content is refused, which is an answer as well.
    let url = format!("http://{}{PATH}", member.address);
    client.post(url).timeout(ANSWER_MARGIN).send().await.is_ok()
}

fn set_reading(cx: &Shared, reads_store: bool) {
    let changed = cx.reads_store.send_if_modified(|reads| {
        let changed = *reads != reads_store;
        *reads = reads_store;
        changed
    });
    if changed {
        tracing::info!(reads_store, "source of the platform's state changed");
    }
}

/// Asks a peer once, and hands it the counts that it has not heard from this instance.
///
/// # Errors
/// Says why the peer is no use: it does not answer, or its proof is old.
pub async fn ask(
    cx: &Shared,
    client: &reqwest::Client,
    member: &Member,
    hold: Duration,
    told: &mut SentTallies,
) -> Result<(), String> {
    cx.metrics.add(Counter::PeerMessages, "pull", 1);
    let sent_at = BootTime::now();
    let question = Question {
        known: known(cx),
        tallies: told.unsent(&cx.tallies.borrow()),
        hold_ms: hold.as_millis() as u64,
    };
    let url = format!("http://{}{PATH}", member.address);
    let req = client.post(url).timeout(hold + ANSWER_MARGIN).json(&question);
    let rsp = req.send().await.map_err(|error| http::explain(&error))?;
    let answer: Answer = rsp.json().await.map_err(|error| http::explain(&error))?;
    told.record_acknowledged(answer.process, &question.tallies);
    let proof_age = answer.proof_age_ms.map(Duration::from_millis);
    if proof_age.is_some_and(|age| age < OLD_PROOF) {
        cx.note_registry(true);
    }
    for (of, update) in &answer.updates {
        apply(cx, *of, update);
    }
    let age = proof_age.ok_or("it has no proof")?;
    // The peer's proof is as old as it said when it answered, which was after the hold.
    let proved_at = sent_at.after(Duration::from_millis(answer.held_ms)).before(age);
    cx.note_proof(proved_at);
    if age > OLD_PROOF {
        return Err(format!("its proof is {} ms old", age.as_millis()));
    }
    if answer.is_turned_away {
        return Err("the store turns it away".to_owned());
    }
    Ok(())
}

fn known(cx: &Shared) -> BTreeMap<Collection, u64> {
    let mirrors = cx.mirrors.borrow();
    let at = |of: Collection| Some((of, mirrors.get(&of)?.revision()?));
    FOLLOWED.into_iter().filter_map(at).collect()
}
