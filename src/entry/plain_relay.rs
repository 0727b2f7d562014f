//! Serves one request to a plain service: admission, sending, and passing the answer on.

use std::time::Duration;

use bytes::Bytes;
use reqwest::Response;
use salvo::http::{HeaderMap, Method, StatusCode};
use tokio::time::{Instant, timeout};

use super::Entry;
use super::admit::{self, NoSlot, Wish};
use super::attempt::Failure;
use super::auth::{Denial, Guard};
use super::dispatch::Dispatch;
use super::once::Once;
use super::plain::{PlainRequest, RETURNED, filter};
use super::retry::{MAX_ATTEMPTS, backoff};
use super::sink::Sink;
use super::work::{Pace, Work};
use crate::claim::record::MAX_STORED_BODY;
use crate::claim::{StoredAnswer, StoredBody};
use crate::config::BackendServer;
use crate::event::EventKind;
use crate::home::client::{Permit, RequestOutcome, RequestStats};
use crate::metrics::Counter;
use crate::outcome::{ConnectFailed, RefusalCode};

/// Output tokens that a plain request counts as, so that fairness has a size to go by.
const ESTIMATED_TOKENS: u64 = 1;

/// State of one request while it is served.
pub struct PlainRelay {
    /// Shared parts of the entry.
    pub entry: Entry,
    /// The request.
    pub work: Work,
    /// What is forwarded of it.
    pub request: PlainRequest,
    /// The idempotency key to pass on, if there is one.
    pub idempotency_key: Option<String>,
    /// The claim of the request, if it has one.
    pub once: Once,
    /// The way to the caller.
    pub sink: Sink,
    /// Watches the caller's key.
    pub guard: Guard,
}

/// How an attempt ended.
enum End {
    /// The whole answer was received; these are its last bytes.
    Whole(Bytes),
    /// The caller went away.
    Gone,
    /// The caller's key was withdrawn.
    Revoked,
    /// The service did not answer; nothing was passed on.
    Failed(Failure),
    /// The answer broke off after a part was passed on.
    Cut(Failure),
}

/// What was received of an answer that may have to be stored.
#[derive(Default)]
struct Copy {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl PlainRelay {
    /// Serves the request to its end.
    pub async fn run(mut self) {
        self.entry.budget.earn();
        let mut dispatch = Dispatch::new();
        let mut wish = Wish { estimated_tokens: ESTIMATED_TOKENS, ..Wish::default() };
        loop {
            let slot = tokio::select! {
                biased;
                () = self.guard.revoked() => return self.revoked(dispatch).await,
                slot = admit::admit(&self.entry, &self.work, &wish) => slot,
                () = self.sink.idle() => return self.gone(dispatch).await,
            };
            let (permit, server) = match slot {
                Ok(granted) => granted,
                Err(NoSlot { denial, retry_after }) => {
                    return self.refuse(dispatch, denial, retry_after).await;
                }
            };
            match self.prepare_send(&server).await {
                Ok(true) => {}
                Ok(false) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    wish.avoid.insert(server.name.clone());
                    continue;
                }
                Err(denial) => {
                    permit.finish(RequestOutcome::NotSent, RequestStats::default());
                    return self.refuse(dispatch, denial, None).await;
                }
            }
            let mut copy = Copy::default();
            let mut pace = Pace::default();
            let (after, end) = self.attempt(dispatch, permit, &server, &mut copy, &mut pace).await;
            dispatch = after;
            match end {
                End::Whole(last) => return self.complete(&server, copy, &pace, last).await,
                End::Gone => return self.gone(dispatch).await,
                End::Revoked => return self.revoked(dispatch).await,
                End::Failed(failure) if self.may_retry(&dispatch, &wish) => {
                    self.entry.cx.metrics.add(Counter::Retried, failure.reason, 1);
                    let about = self.work.about(Some(&server.name));
                    self.entry.cx.recorder.record_about(EventKind::Retry, about, failure.reason);
                    wish.avoid.insert(server.name.clone());
                    tokio::time::sleep(backoff(wish.attempt)).await;
                    wish.attempt += 1;
                }
                End::Failed(failure) | End::Cut(failure) => {
                    return self.refuse(dispatch, failure.denial, None).await;
                }
            }
        }
    }

    async fn prepare_send(&mut self, server: &BackendServer) -> Result<bool, Denial> {
        self.once.before_send().await?;
        self.guard.check()?;
        if self.once.is_claimed() {
            // The caller may come back for the answer, which is stored.
            self.sink.outlive_caller();
        }
        Ok(self.entry.takes_work(server))
    }

    fn may_retry(&self, dispatch: &Dispatch, wish: &Wish) -> bool {
        let allowed = self.work.repeatable || !dispatch.is_sent();
        allowed && wish.attempt + 1 < MAX_ATTEMPTS && self.entry.budget.take()
    }

    async fn attempt(
        &mut self,
        dispatch: Dispatch,
        permit: Permit,
        server: &BackendServer,
        copy: &mut Copy,
        pace: &mut Pace,
    ) -> (Dispatch, End) {
        let sent = Instant::now();
        let dispatched = dispatch.send();
        let bound = self.entry.cx.options.progress_bound;
        let sending = self.outgoing(server).send();
        let answer = tokio::select! {
            biased;
            () = self.guard.revoked() => Err(End::Revoked),
            () = self.sink.idle() => Err(End::Gone),
            answer = timeout(bound, sending) => Ok(answer),
        };
        let (dispatch, end) = match answer {
            Err(end) => (dispatched.end(), end),
            Ok(Err(_)) => (dispatched.end(), End::Failed(Failure::silent())),
            Ok(Ok(Err(error))) => match ConnectFailed::from_error(&error) {
                Some(proof) => {
                    (dispatched.connect_failed(proof), End::Failed(Failure::not_connected()))
                }
                None => (dispatched.end(), End::Failed(Failure::broken())),
            },
            Ok(Ok(Ok(rsp))) => {
                pace.token();
                (dispatched.end(), self.pass_on(rsp, copy).await)
            }
        };
        permit.finish(ending(&end), pace.figures(sent, 0));
        (dispatch, end)
    }

    fn outgoing(&self, server: &BackendServer) -> reqwest::RequestBuilder {
        let url = format!("{}{}", server.address.trim_end_matches('/'), self.request.target);
        let client = self.entry.backends.client(self.work.repeatable);
        let mut req = client
            .request(self.request.method.clone(), url)
            .headers(self.request.headers.clone())
            .header("x-request-id", self.work.id.as_str());
        if !self.request.body.is_empty() {
            req = req.body(self.request.body.clone());
        }
        if let Some(key) = &self.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        req
    }

    /// Passes the head and all of the body but its last bytes to the caller.
    async fn pass_on(&mut self, mut rsp: Response, copy: &mut Copy) -> End {
        if !is_delimited(&rsp, &self.request.method) {
            return End::Failed(Failure::undelimited());
        }
        let status = rsp.status();
        if status == StatusCode::SERVICE_UNAVAILABLE && self.work.repeatable {
            return End::Failed(Failure::overloaded());
        }
        let headers = filter(rsp.headers(), &RETURNED);
        copy.begin(status, &headers);
        self.sink.start_plain(status, headers);
        let bound = self.entry.cx.options.progress_bound;
        let mut held = Bytes::new();
        loop {
            let next = tokio::select! {
                biased;
                () = self.guard.revoked() => return End::Revoked,
                next = timeout(bound, rsp.chunk()) => next,
                () = self.sink.idle() => return End::Gone,
            };
            let bytes = match next {
                Err(_) => return End::Cut(Failure::silent()),
                Ok(Err(_)) => return End::Cut(Failure::broken()),
                Ok(Ok(None)) => return End::Whole(held),
                Ok(Ok(Some(bytes))) => bytes,
            };
            copy.push(&bytes);
            let earlier = std::mem::replace(&mut held, bytes);
            if earlier.is_empty() {
                continue;
            }
            tokio::select! {
                biased;
                () = self.guard.revoked() => return End::Revoked,
                passed = self.sink.event(earlier) => if passed.is_err() { return End::Gone },
            }
        }
    }

    async fn complete(self, server: &BackendServer, copy: Copy, pace: &Pace, last: Bytes) {
        let answered = copy.status < StatusCode::INTERNAL_SERVER_ERROR.as_u16();
        if answered && self.work.caller.is_billed() {
            self.entry.ledger.record(self.work.served(0, 0)).await;
        }
        self.work.note_whole(&self.entry.cx, pace, &server.name, 0);
        self.once.finish(|| copy.stored()).await;
        self.sink.complete_plain(last);
    }

    async fn gone(self, dispatch: Dispatch) {
        self.work.note_waste(&self.entry.cx, "cancelled", 0);
        self.once.end_without_answer(&dispatch).await;
    }

    async fn revoked(self, dispatch: Dispatch) {
        let denial = Denial::new(RefusalCode::KeyWithdrawn, "the key was withdrawn");
        self.refuse(dispatch, denial, None).await;
    }

    async fn refuse(self, dispatch: Dispatch, denial: Denial, retry_after: Option<Duration>) {
        self.once.end_without_answer(&dispatch).await;
        let refusal = dispatch.refuse(denial, false, retry_after);
        self.work.note_refusal(&self.entry.cx, &refusal);
        self.sink.refuse_plain(refusal);
    }
}

impl Copy {
    fn begin(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.status = status.as_u16();
        self.headers = headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
    }

    /// Adds bytes; one more than can be stored shows that the body is too large.
    fn push(&mut self, bytes: &[u8]) {
        let room = (MAX_STORED_BODY + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn stored(self) -> StoredAnswer {
        let body = StoredBody::keep(&self.body);
        StoredAnswer { status: self.status, headers: self.headers, body }
    }
}

fn ending(end: &End) -> RequestOutcome {
    match end {
        End::Whole(_) => RequestOutcome::Complete,
        End::Gone | End::Revoked => RequestOutcome::Cancelled,
        End::Failed(failure) | End::Cut(failure) => failure.ending,
    }
}

/// Returns whether the end of an answer can be told from a connection that broke.
fn is_delimited(rsp: &Response, method: &Method) -> bool {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&rsp.status());
    let headers = rsp.headers();
    bodiless
        || *method == Method::HEAD
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}
