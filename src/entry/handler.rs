//! Takes each request: authenticates and classifies it, and starts to serve it.

use std::sync::Arc;

use salvo::http::header::CONTENT_LENGTH;
use salvo::http::{Method, ParseError};
use salvo::prelude::{Depot, FlowCtrl, Request, Response};
use salvo::{Handler, async_trait};
use tokio::time::{Instant, timeout};
use tracing::Instrument;

use super::Entry;
use super::auth::{self, Caller, Denial, Guard};
use super::chat::{ChatRequest, Kind};
use super::models;
use super::once::{self, Start};
use super::plain::PlainRequest;
use super::plain_relay::PlainRelay;
use super::relay::Relay;
use super::reply::Reply;
use super::sink;
use super::work::Work;
use crate::claim::StoredAnswer;
use crate::claim::record::content_hash;
use crate::config::{Config, Route};
use crate::context::Unready;
use crate::home::{OverLimit, RunningGuard};
use crate::names::RequestId;
use crate::outcome::{Refusal, RefusalCode, Unsent};

/// Header that names work which must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest idempotency key.
const MAX_IDEMPOTENCY_KEY: usize = 255;

#[async_trait]
impl Handler for Entry {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        rsp: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = RequestId::random();
        let span = tracing::info_span!("request", request = %id);
        let reply = self.answer(req, &id).instrument(span).await;
        reply.write(rsp, &id, *self.cx.draining.borrow());
    }
}

impl Entry {
    async fn answer(&self, req: &mut Request, id: &RequestId) -> Reply {
        let unsent = Unsent::new();
        match self.start(req, id).await {
            Ok(reply) => reply,
            Err(denial) => {
                let retry_after = denial.retry_after;
                let refusal = unsent.refuse(denial.code, denial.message);
                let refusal = match retry_after {
                    Some(delay) => refusal.with_retry_after(delay),
                    None => refusal,
                };
                let code = refusal.code().as_str();
                self.cx.metrics.add(crate::metrics::Counter::Refused, code, 1);
                tracing::info!(code, "request refused");
                Reply::Refused(refusal)
            }
        }
    }

    /// Starts to serve a request.
    ///
    /// # Errors
    /// If it is refused before anything was sent.
    async fn start(&self, req: &mut Request, id: &RequestId) -> Result<Reply, Denial> {
        if let Some(why) = self.cx.unready().filter(|why| *why != Unready::Draining) {
            return Err(Denial::new(RefusalCode::NotReady, why.message()));
        }
        let kind = match (req.uri().path(), req.method()) {
            ("/v1/models", &Method::GET) => return self.list_models(req),
            ("/v1/chat/completions", &Method::POST) => Kind::Chat,
            ("/v1/completions", &Method::POST) => Kind::Completion,
            _ => return self.start_plain(req, id).await,
        };
        self.start_chat(req, id, kind).await
    }

    fn list_models(&self, req: &Request) -> Result<Reply, Denial> {
        let key = auth::presented_key(req.headers())?;
        let in_force = self.cx.in_force.borrow().clone();
        models::list(&in_force, key.as_ref()).map(Reply::Json)
    }

    async fn start_chat(
        &self,
        req: &mut Request,
        id: &RequestId,
        kind: Kind,
    ) -> Result<Reply, Denial> {
        let received = Instant::now();
        let key = auth::presented_key(req.headers())?;
        if let Some(key) = &key {
            auth::organisation_of(&self.cx.in_force.borrow(), key)?;
        }
        let idempotency_key = idempotency_key(req)?;
        let body = self.read_body(req).await?;
        let chat = ChatRequest::parse(kind, &body)?;
        // What is in force may have changed while the body came in.
        let in_force = self.cx.in_force.borrow().clone();
        let route = in_force.config.model_route(&chat.model);
        let route = route.ok_or_else(|| Denial::new(RefusalCode::NotFound, "no such model"))?;
        let caller = auth::authorise(&in_force, key, route)?;
        let class = auth::choose_class(&in_force, &caller, route, req.headers())?;
        chat.check_no_key(&caller)?;
        check_idempotency_key(idempotency_key.as_deref(), &caller)?;
        let repeatable = auth::is_repeatable(&in_force.config, &class, route);
        let route = route.name.clone();
        let started = self.start_running(&caller)?;
        let id = id.clone();
        let work = Work { id, caller, class, route, repeatable, received, started };
        let content_hash = content_hash(req.method().as_str(), kind.path(), &body);
        Ok(self.serve_chat(work, chat, idempotency_key, content_hash).await)
    }

    async fn start_plain(&self, req: &mut Request, id: &RequestId) -> Result<Reply, Denial> {
        let received = Instant::now();
        let key = auth::presented_key(req.headers())?;
        let in_force = self.cx.in_force.borrow().clone();
        let route = plain_route(&in_force.config, req.uri().path())?;
        auth::authorise(&in_force, key.clone(), route)?;
        let idempotency_key = idempotency_key(req)?;
        let body = self.read_body(req).await?;
        // What is in force may have changed while the body came in.
        let in_force = self.cx.in_force.borrow().clone();
        let route = plain_route(&in_force.config, req.uri().path())?;
        let caller = auth::authorise(&in_force, key, route)?;
        let class = auth::choose_class(&in_force, &caller, route, req.headers())?;
        check_idempotency_key(idempotency_key.as_deref(), &caller)?;
        let request = PlainRequest::build(req.method(), req.uri(), req.headers(), body, &caller)?;
        let repeatable = auth::is_repeatable(&in_force.config, &class, route);
        let route = route.name.clone();
        let started = self.start_running(&caller)?;
        let id = id.clone();
        let work = Work { id, caller, class, route, repeatable, received, started };
        Ok(self.serve_plain(work, request, idempotency_key).await)
    }

    /// Counts a request as running for its organisation.
    ///
    /// # Errors
    /// If the organisation is over one of its limits.
    fn start_running(&self, caller: &Caller) -> Result<Arc<RunningGuard>, Denial> {
        let started = self.limits.try_start(&caller.organisation);
        started.map(Arc::new).map_err(|over| {
            let (what, delay) = match over {
                OverLimit::Running(delay) => ("too many requests run", delay),
                OverLimit::Tokens(delay) => ("the tokens of this minute are used", delay),
            };
            let message = format!("the organisation is over its limit: {what}");
            Denial::new(RefusalCode::OrganisationLimit, message).with_retry_after(delay)
        })
    }

    async fn serve_plain(&self, work: Work, request: PlainRequest, key: Option<String>) -> Reply {
        let claimed_key = key.as_deref().filter(|_| !work.repeatable);
        let hash = || content_hash(request.method.as_str(), &request.target, &request.body);
        let organisation = &work.caller.organisation;
        let start = once::claim(&self.claims, &work.id, organisation, claimed_key, hash).await;
        let once = match start {
            Start::Go(once) => once,
            Start::Replay(answer) => {
                let body = answer.body.bytes().unwrap_or_default();
                return Reply::Replay(answer.status, answer.headers, body);
            }
            Start::Refused(refusal) => return self.refused(&work, refusal),
        };
        let guard = Guard::new(self.cx.in_force.clone(), work.caller.clone(), work.route.clone());
        let (sink, source) = sink::channel(false, self.cx.options.progress_bound);
        let entry = self.clone();
        let idempotency_key = key;
        let relay = PlainRelay { entry, work, request, idempotency_key, once, sink, guard };
        tokio::spawn(relay.run().in_current_span());
        Reply::from_source(source).await
    }

    fn refused(&self, work: &Work, refusal: Refusal) -> Reply {
        work.note_refusal(&self.cx, &refusal);
        Reply::Refused(refusal)
    }

    async fn serve_chat(
        &self,
        work: Work,
        chat: ChatRequest,
        key: Option<String>,
        content_hash: String,
    ) -> Reply {
        let claimed_key = key.as_deref().filter(|_| !work.repeatable);
        let organisation = &work.caller.organisation;
        let hash = || content_hash;
        let start = once::claim(&self.claims, &work.id, organisation, claimed_key, hash).await;
        let once = match start {
            Start::Go(once) => once,
            Start::Replay(answer) => return replay_chat(&answer, &chat),
            Start::Refused(refusal) => return self.refused(&work, refusal),
        };
        let key = key.filter(|_| !work.repeatable);
        let (sink, source) = sink::channel(chat.streamed, self.cx.options.progress_bound);
        let relay = Relay::new(self.clone(), work, chat, key, once, sink);
        tokio::spawn(relay.run().in_current_span());
        Reply::from_source(source).await
    }

    /// Reads the request body, within the bounds on size and time.
    async fn read_body(&self, req: &mut Request) -> Result<bytes::Bytes, Denial> {
        let max = self.cx.options.max_body;
        let too_large =
            || Denial::new(RefusalCode::TooLarge, format!("the body is over {max} bytes"));
        let announced = req.header::<u64>(CONTENT_LENGTH);
        if announced.is_some_and(|length| length > max as u64) {
            return Err(too_large());
        }
        let read = timeout(self.cx.options.progress_bound, req.payload_with_max_size(max));
        match read.await {
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(ParseError::PayloadTooLarge)) => Err(too_large()),
            Ok(Err(_)) => Err(Denial::new(RefusalCode::BadRequest, "the body can't be read")),
            Err(_) => Err(Denial::new(RefusalCode::BadRequest, "the body came too slowly")),
        }
    }
}

/// Returns the stored answer to an earlier chat request, in the form that the caller asks for.
fn replay_chat(answer: &StoredAnswer, chat: &ChatRequest) -> Reply {
    let body = answer.body.bytes().unwrap_or_default();
    if !chat.streamed {
        return Reply::Replay(answer.status, answer.headers.clone(), body);
    }
    let headers = vec![("content-type".to_owned(), "text/event-stream".to_owned())];
    let events = once::stored_as_events(&body, chat.include_usage);
    Reply::Replay(answer.status, headers, events)
}

fn plain_route<'a>(config: &'a Config, path: &str) -> Result<&'a Route, Denial> {
    let route = config.path_route(path);
    route.ok_or_else(|| Denial::new(RefusalCode::NotFound, "no such path"))
}

/// Reads the idempotency key of a request.
fn idempotency_key(req: &Request) -> Result<Option<String>, Denial> {
    let bad = || Denial::new(RefusalCode::BadRequest, "\"Idempotency-Key\" is malformed");
    let mut values = req.headers().get_all(IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad())?;
    let valid = !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY;
    if valid && values.all(|other| other == value) { Ok(Some(text.to_owned())) } else { Err(bad()) }
}

/// Refuses an idempotency key that holds the caller's key, since it is forwarded and stored.
fn check_idempotency_key(idempotency_key: Option<&str>, caller: &Caller) -> Result<(), Denial> {
    let holds_key = idempotency_key.is_some_and(|text| caller.key_is_in(text.as_bytes()));
    if holds_key {
        let message = "\"Idempotency-Key\" holds the caller's key";
        return Err(Denial::new(RefusalCode::BadRequest, message));
    }
    Ok(())
}
