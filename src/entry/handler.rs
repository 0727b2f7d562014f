//! Request handler: authenticates, classifies and routes each request, then starts serving it.

use std::sync::Arc;

use salvo::http::header::CONTENT_LENGTH;
use salvo::http::{Method, ParseError};
use salvo::prelude::{Depot, FlowCtrl, Request, Response};
use salvo::{Handler, async_trait};
use tokio::time::{Instant, timeout};
use tracing::Instrument;

use super::Entry;
use super::auth::{self, AuthWatch, Caller, RequestError};
use super::chat::{ChatRequest, Endpoint};
use super::models;
use super::once::{self, ClaimDecision};
use super::plain::PlainRequest;
use super::plain_relay::PlainRelay;
use super::relay::ChatRelay;
use super::reply::Reply;
use super::sink;
use super::work::RequestInfo;
use crate::claim::StoredResponse;
use crate::claim::record::content_hash;
use crate::config::{Config, Route};
use crate::context::NotReadyReason;
use crate::home::{OverLimit, RunningGuard};
use crate::names::RequestId;
use crate::outcome::{Refusal, RefusalCode, Unsent};

/// Header with the idempotency key of a request.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

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
        let reply = self.handle_request(req, &id).instrument(span).await;
        reply.write(rsp, &id, *self.cx.draining.borrow());
    }
}

impl Entry {
    async fn handle_request(&self, req: &mut Request, id: &RequestId) -> Reply {
        let unsent = Unsent::new();
        match self.route_request(req, id).await {
            Ok(reply) => reply,
            Err(error) => {
                let retry_after = error.retry_after;
                let refusal = unsent.refuse(error.code, error.message);
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

    /// Routes a request by its path and method and starts serving it.
    ///
    /// # Errors
    /// If the request is refused before anything is sent to a backend server.
    async fn route_request(
        &self,
        req: &mut Request,
        id: &RequestId,
    ) -> Result<Reply, RequestError> {
        if let Some(why) = self.cx.not_ready_reason().filter(|why| *why != NotReadyReason::Draining)
        {
            return Err(RequestError::new(RefusalCode::NotReady, why.message()));
        }
        let endpoint = match (req.uri().path(), req.method()) {
            ("/v1/models", &Method::GET) => return self.list_models(req),
            ("/v1/chat/completions", &Method::POST) => Endpoint::Chat,
            ("/v1/completions", &Method::POST) => Endpoint::Completion,
            _ => return self.handle_plain(req, id).await,
        };
        self.handle_chat(req, id, endpoint).await
    }

    fn list_models(&self, req: &Request) -> Result<Reply, RequestError> {
        let key = auth::extract_key(req.headers())?;
        let in_force = self.cx.in_force.borrow().clone();
        models::list(&in_force, key.as_ref()).map(Reply::Json)
    }

    async fn handle_chat(
        &self,
        req: &mut Request,
        id: &RequestId,
        endpoint: Endpoint,
    ) -> Result<Reply, RequestError> {
        let received_at = Instant::now();
        let key = auth::extract_key(req.headers())?;
        if let Some(key) = &key {
            auth::key_organisation(&self.cx.in_force.borrow(), key)?;
        }
        let idempotency_key = idempotency_key(req)?;
        let body = self.read_body(req).await?;
        let chat = ChatRequest::parse(endpoint, &body)?;
        // The configuration may have changed while the body was received.
        let in_force = self.cx.in_force.borrow().clone();
        let route = in_force.config.model_route(&chat.model);
        let route =
            route.ok_or_else(|| RequestError::new(RefusalCode::NotFound, "no such model"))?;
        let caller = auth::authorise(&in_force, key, route)?;
        let class = auth::choose_class(&in_force, &caller, route, req.headers())?;
        chat.check_no_key(&caller)?;
        check_idempotency_key(idempotency_key.as_deref(), &caller)?;
        let repeatable = auth::is_repeatable(&in_force.config, &class, route);
        let route = route.name.clone();
        let running_guard = self.register_running(&caller)?;
        let id = id.clone();
        let info = RequestInfo { id, caller, class, route, repeatable, received_at, running_guard };
        let content_hash = content_hash(req.method().as_str(), endpoint.path(), &body);
        Ok(self.serve_chat(info, chat, idempotency_key, content_hash).await)
    }

    async fn handle_plain(&self, req: &mut Request, id: &RequestId) -> Result<Reply, RequestError> {
        let received_at = Instant::now();
        let key = auth::extract_key(req.headers())?;
        let in_force = self.cx.in_force.borrow().clone();
        let route = plain_route(&in_force.config, req.uri().path())?;
        auth::authorise(&in_force, key.clone(), route)?;
        let idempotency_key = idempotency_key(req)?;
        let body = self.read_body(req).await?;
        // The configuration may have changed while the body was received.
        let in_force = self.cx.in_force.borrow().clone();
        let route = plain_route(&in_force.config, req.uri().path())?;
        let caller = auth::authorise(&in_force, key, route)?;
        let class = auth::choose_class(&in_force, &caller, route, req.headers())?;
        check_idempotency_key(idempotency_key.as_deref(), &caller)?;
        let request =
            PlainRequest::from_parts(req.method(), req.uri(), req.headers(), body, &caller)?;
        let repeatable = auth::is_repeatable(&in_force.config, &class, route);
        let route = route.name.clone();
        let running_guard = self.register_running(&caller)?;
        let id = id.clone();
        let info = RequestInfo { id, caller, class, route, repeatable, received_at, running_guard };
        Ok(self.serve_plain(info, request, idempotency_key).await)
    }

    /// Counts a request against the limits of its organisation.
    ///
    /// # Errors
    /// If one of the limits is exceeded.
    fn register_running(&self, caller: &Caller) -> Result<Arc<RunningGuard>, RequestError> {
        let running_guard = self.limits.try_start(&caller.organisation);
        running_guard.map(Arc::new).map_err(|over| {
            let (what, delay) = match over {
                OverLimit::Running(delay) => ("too many requests run", delay),
                OverLimit::Tokens(delay) => ("the tokens of this minute are used", delay),
            };
            let message = format!("the organisation is over its limit: {what}");
            RequestError::new(RefusalCode::OrganisationLimit, message).with_retry_after(delay)
        })
    }

    async fn serve_plain(
        &self,
        info: RequestInfo,
        request: PlainRequest,
        idempotency_key: Option<String>,
    ) -> Reply {
        let key_to_claim = idempotency_key.as_deref().filter(|_| !info.repeatable);
        let hash = || content_hash(request.method.as_str(), &request.target, &request.body);
        let organisation = &info.caller.organisation;
        let outcome = once::claim(&self.claims, &info.id, organisation, key_to_claim, hash).await;
        let claim = match outcome {
            ClaimDecision::Proceed(claim) => claim,
            ClaimDecision::Replay(response) => {
                let body = response.body.to_bytes().unwrap_or_default();
                return Reply::Replay(response.status, response.headers, body);
            }
            ClaimDecision::Refused(refusal) => return self.refuse(&info, refusal),
        };
        let auth_watch =
            AuthWatch::new(self.cx.in_force.clone(), info.caller.clone(), info.route.clone());
        let (sink, source) = sink::channel(false, self.cx.options.progress_timeout);
        let entry = self.clone();
        let relay = PlainRelay { entry, info, request, idempotency_key, claim, sink, auth_watch };
        tokio::spawn(relay.run().in_current_span());
        Reply::from_source(source).await
    }

    fn refuse(&self, info: &RequestInfo, refusal: Refusal) -> Reply {
        info.record_refusal(&self.cx, &refusal);
        Reply::Refused(refusal)
    }

    async fn serve_chat(
        &self,
        info: RequestInfo,
        chat: ChatRequest,
        idempotency_key: Option<String>,
        content_hash: String,
    ) -> Reply {
        let key_to_claim = idempotency_key.as_deref().filter(|_| !info.repeatable);
        let organisation = &info.caller.organisation;
        let hash = || content_hash;
        let outcome = once::claim(&self.claims, &info.id, organisation, key_to_claim, hash).await;
        let claim = match outcome {
            ClaimDecision::Proceed(claim) => claim,
            ClaimDecision::Replay(response) => return replay_chat(&response, &chat),
            ClaimDecision::Refused(refusal) => return self.refuse(&info, refusal),
        };
        let idempotency_key = idempotency_key.filter(|_| !info.repeatable);
        let (sink, source) = sink::channel(chat.streamed, self.cx.options.progress_timeout);
        let relay = ChatRelay::new(self.clone(), info, chat, idempotency_key, claim, sink);
        tokio::spawn(relay.run().in_current_span());
        Reply::from_source(source).await
    }

    /// Reads the request body, which must not exceed the size limit and must be complete within the
    /// progress timeout.
    async fn read_body(&self, req: &mut Request) -> Result<bytes::Bytes, RequestError> {
        let max = self.cx.options.max_body_bytes;
        let too_large =
            || RequestError::new(RefusalCode::TooLarge, format!("the body is over {max} bytes"));
        let announced = req.header::<u64>(CONTENT_LENGTH);
        if announced.is_some_and(|length| length > max as u64) {
            return Err(too_large());
        }
        let read = timeout(self.cx.options.progress_timeout, req.payload_with_max_size(max));
        match read.await {
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(ParseError::PayloadTooLarge)) => Err(too_large()),
            Ok(Err(_)) => Err(RequestError::new(RefusalCode::BadRequest, "the body can't be read")),
            Err(_) => Err(RequestError::new(RefusalCode::BadRequest, "the body came too slowly")),
        }
    }
}

/// Replays the stored response to an earlier chat request, as a stream if the caller requested one.
fn replay_chat(response: &StoredResponse, chat: &ChatRequest) -> Reply {
    let body = response.body.to_bytes().unwrap_or_default();
    if !chat.streamed {
        return Reply::Replay(response.status, response.headers.clone(), body);
    }
    let headers = vec![("content-type".to_owned(), "text/event-stream".to_owned())];
    let events = once::replay_as_events(&body, chat.include_usage);
    Reply::Replay(response.status, headers, events)
}

fn plain_route<'a>(config: &'a Config, path: &str) -> Result<&'a Route, RequestError> {
    let route = config.path_route(path);
    route.ok_or_else(|| RequestError::new(RefusalCode::NotFound, "no such path"))
}

/// Returns the idempotency key of a request, if any.
fn idempotency_key(req: &Request) -> Result<Option<String>, RequestError> {
    let bad = || RequestError::new(RefusalCode::BadRequest, "\"Idempotency-Key\" is malformed");
    let mut values = req.headers().get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad())?;
    let valid = !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES;
    if valid && values.all(|other| other == value) { Ok(Some(text.to_owned())) } else { Err(bad()) }
}

/// Rejects an idempotency key that contains the caller's key, since it is forwarded to backend
/// servers.
fn check_idempotency_key(
    idempotency_key: Option<&str>,
    caller: &Caller,
) -> Result<(), RequestError> {
    let holds_key = idempotency_key.is_some_and(|text| caller.key_occurs_in(text.as_bytes()));
    if holds_key {
        let message = "\"Idempotency-Key\" holds the caller's key";
        return Err(RequestError::new(RefusalCode::BadRequest, message));
    }
    Ok(())
}
