//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::{Body, dropped_response, full, serve};

/// Maximum number of objects in a page of a list.
const MAX_PAGE_ITEMS: usize = 500;
/// Size of the values in a page from which no further object is added.
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Default)]
struct State {
    /// Number of times that the store came back from a copy; `None` if its responses don't state it.
    era: Option<u64>,
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Arc<str>)>,
    /// Changes: revision, kind, name, and the text of the value unless it was deleted.
    events: Vec<(u64, String, String, Option<Arc<str>>)>,
    /// Whether calls to the faulty address are refused.
    is_unavailable: bool,
    /// Whether responses to calls to the faulty address are dropped.
    is_dropping_responses: bool,
    /// Revision up to which the history is compacted.
    compacted: u64,
    /// Paths of the refused calls.
    refused: Vec<String>,
    /// Methods and paths of all calls to the faulty address.
    calls: Vec<String>,
    /// Beginning of the call before which the store comes back from a copy.
    returns_before: Option<(&'static str, Arc<StoreCopy>)>,
}

/// A copy of the store's objects and history.
pub struct StoreCopy(State);

/// The store; clones share their objects.
#[derive(Clone)]
pub struct StandInStore {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    /// Address without faults.
    pub address: SocketAddr,
    /// Address that serves the same objects but is subject to faults.
    pub faulty_address: SocketAddr,
}

impl StandInStore {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(State { revision: 1, ..State::default() }));
        let changed = watch::Sender::new(1);
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut store = Self { state, changed, address: unset, faulty_address: unset };
        let handler = store.clone();
        store.address = serve(move |req| {
            let store = handler.clone();
            async move { store.respond(req).await }
        })
        .await;
        let faulty_handler = store.clone();
        store.faulty_address = serve(move |req| {
            let store = faulty_handler.clone();
            async move {
                if store.refuses(&req) {
                    return status(StatusCode::SERVICE_UNAVAILABLE);
                }
                let rsp = store.respond(req).await;
                if store.lock().is_dropping_responses { dropped_response() } else { rsp }
            }
        })
        .await;
        store
    }

    /// Sets whether calls to the faulty address are refused.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.lock().is_unavailable = is_unavailable;
        self.changed.send_modify(|count| *count += 1);
    }

    fn refuses(&self, req: &Request<Incoming>) -> bool {
        let mut state = self.lock();
        state.calls.push(format!("{} {}", req.method(), req.uri().path()));
        if state.is_unavailable {
            state.refused.push(req.uri().path().to_owned());
        }
        state.is_unavailable
    }

    /// Returns the methods and paths of the calls to the faulty address.
    pub fn calls(&self) -> Vec<String> {
        self.lock().calls.clone()
    }

    /// Returns the paths of the refused calls.
    pub fn refused(&self) -> Vec<String> {
        self.lock().refused.clone()
    }

    /// Sets whether calls to the faulty address take effect but get no response.
    pub fn set_dropping_responses(&self, is_dropping_responses: bool) {
        self.lock().is_dropping_responses = is_dropping_responses;
    }

    /// Compacts the history up to the current revision.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.compacted = state.revision;
    }

    /// States the era in all responses from now on.
    pub fn state_era(&self) {
        self.lock().era = Some(1);
    }

    /// Returns a copy of the current objects and history.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Comes back from a copy: later changes are lost, and their revisions are given out again.
    pub fn return_from(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        state.era = state.era.map(|era| era + 1);
        state.revision = copy.0.revision;
        state.objects = copy.0.objects.clone();
        state.events = copy.0.events.clone();
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Comes back from a copy just before the next call that begins with a method, kind and name takes
    /// effect.
    pub fn return_before(&self, call: &'static str, copy: StoreCopy) {
        self.lock().returns_before = Some((call, Arc::new(copy)));
    }

    /// Returns whether the store has not come back yet since [`Self::return_before`].
    pub fn is_to_return(&self) -> bool {
        self.lock().returns_before.is_some()
    }

    fn return_if_due(&self, called: &str) {
        let due = self.lock().returns_before.take_if(|(call, _)| called.starts_with(*call));
        if let Some((_, copy)) = due {
            self.return_from(&copy);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no lock holder panicked")
    }

    /// Writes an object unconditionally, as operators and backend servers do.
    pub fn put(&self, kind: &str, name: &str, value: Value) -> u64 {
        self.put_raw(kind, name, &value.to_string())
    }

    /// Writes an object whose value is the given JSON text, which may be one that can't be decoded.
    pub fn put_raw(&self, kind: &str, name: &str, text: &str) -> u64 {
        self.change(kind, name, |_| Ok(Some(text.into()))).expect("the change has no condition")
    }

    /// Returns whether an object exists.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        self.lock().objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    /// Returns the names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let of_kind = state.objects.keys().filter(|(of, _)| of == kind);
        of_kind.map(|(_, name)| name.clone()).collect()
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, |_| Ok(None)).expect("the change has no condition");
    }

    /// Changes or deletes an object as `decide` returns for its current revision; returns the new
    /// revision.
    fn change(
        &self,
        kind: &str,
        name: &str,
        decide: impl FnOnce(Option<u64>) -> Result<Option<Arc<str>>, StatusCode>,
    ) -> Result<u64, StatusCode> {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.lock();
        let value = decide(state.objects.get(&key).map(|(revision, _)| *revision))?;
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.0.clone(), key.1.clone(), value.clone()));
        match value {
            Some(value) => state.objects.insert(key, (revision, value)),
            None => state.objects.remove(&key),
        };
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        Ok(revision)
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Body> {
        let mut rsp = self.respond_to_call(req).await;
        if let Some(era) = self.lock().era {
            rsp.headers_mut().insert("store-era", era.into());
        }
        rsp
    }

    async fn respond_to_call(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().trim_start_matches("/laburnumvalve/objects/").to_owned();
        let (kind, name) = match path.split_once('/') {
            Some((_, name)) if name.contains('/') => return status(StatusCode::NOT_FOUND),
            Some((kind, name)) => (kind.to_owned(), Some(decode_name(name))),
            None => (path, None),
        };
        let query = req.uri().query().unwrap_or_default().to_owned();
        let method = req.method().clone();
        let body = req.into_body().collect().await.map(|all| all.to_bytes()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let called_name = name.as_deref().or(body["metadata"]["name"].as_str()).unwrap_or_default();
        self.return_if_due(&format!("{method} {kind}/{called_name}"));
        match (method, name) {
            (Method::GET, None) if query.contains("watch=") => self.watch(&kind, &query).await,
            (Method::GET, None) => self.list(&kind, query_value(&query, "after").as_deref()),
            (Method::GET, Some(name)) => self.get(&kind, &name),
            (Method::POST, None) => self.create(&kind, &body),
            (Method::PUT, Some(name)) => self.replace(&kind, &name, &body),
            (Method::DELETE, Some(name)) => {
                self.delete(&kind, &name);
                status(StatusCode::OK)
            }
            _ => status(StatusCode::BAD_REQUEST),
        }
    }

    /// Responds with a page of the objects after a name.
    fn list(&self, kind: &str, after: Option<&str>) -> Response<Body> {
        let state = self.lock();
        let mut of_kind = state.objects.iter().filter(|((of, name), _)| {
            of == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let (mut items, mut bytes) = (Vec::new(), 0);
        for ((_, name), (revision, value)) in of_kind.by_ref() {
            bytes += value.len();
            items.push(object(name, *revision, value));
            if items.len() >= MAX_PAGE_ITEMS || bytes >= MAX_PAGE_BYTES {
                break;
            }
        }
        let (items, at) = (items.join(","), state.revision);
        let has_more = of_kind.next().is_some();
        reply(format!(r#"{{"items":[{items}],"has-more":{has_more},"at":{at}}}"#))
    }

    async fn watch(&self, kind: &str, query: &str) -> Response<Body> {
        let field = |name: &str| -> u64 {
            let found = query.split('&').find_map(|pair| pair.strip_prefix(name));
            found.and_then(|value| value.parse().ok()).unwrap_or_default()
        };
        let (since, wait) = (field("watch="), Duration::from_millis(field("wait-ms=")));
        let is_known = {
            let state = self.lock();
            (state.compacted..=state.revision).contains(&since)
        };
        if !is_known {
            return status(StatusCode::GONE);
        }
        let mut changed = self.changed.subscribe();
        let started = tokio::time::Instant::now();
        loop {
            changed.mark_unchanged();
            let (events, at) = self.events_since(kind, since);
            let left = wait.saturating_sub(started.elapsed());
            if !events.is_empty() || left.is_zero() {
                return reply(format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            let _ = tokio::time::timeout(left, changed.changed()).await;
        }
    }

    fn events_since(&self, kind: &str, since: u64) -> (Vec<String>, u64) {
        let state = self.lock();
        let new = state.events.iter().filter(|(at, of, ..)| *at > since && of == kind);
        let events = new.map(|(at, _, name, value)| {
            let object = object(name, *at, value.as_deref().unwrap_or("null"));
            format!(r#"{{"deleted":{},"object":{object}}}"#, value.is_none())
        });
        (events.collect(), state.revision)
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        let state = self.lock();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, value)) => reply(object(name, *revision, value)),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn create(&self, kind: &str, body: &Value) -> Response<Body> {
        let name = body["metadata"]["name"].as_str().unwrap_or_default();
        let spec = body["spec"].to_string();
        let created = self.change(kind, name, |known| match known {
            Some(_) => Err(StatusCode::CONFLICT),
            None => Ok(Some(spec.as_str().into())),
        });
        created.map_or_else(status, |revision| reply(object(name, revision, &spec)))
    }

    fn replace(&self, kind: &str, name: &str, body: &Value) -> Response<Body> {
        let spec = body["spec"].to_string();
        let named = body["metadata"]["revision"].as_u64();
        let replaced = self.change(kind, name, |known| match known {
            None => Err(StatusCode::NOT_FOUND),
            Some(known) if named.is_some_and(|named| named != known) => Err(StatusCode::CONFLICT),
            Some(_) => Ok(Some(spec.as_str().into())),
        });
        replaced.map_or_else(status, |revision| reply(object(name, revision, &spec)))
    }
}

/// Decodes a name in the path of a URL.
fn decode_name(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Returns a value of a query, decoded as that of a form.
fn query_value(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.into_iter().find(|(found, _)| *found == name);
    found.map(|(_, value)| decode_name(&value.replace('+', " ")))
}

/// Returns the JSON text of an object with a value.
fn object(name: &str, revision: u64, value: &str) -> String {
    let metadata = json!({ "name": name, "revision": revision });
    format!(r#"{{"metadata":{metadata},"spec":{value}}}"#)
}

fn reply(body: String) -> Response<Body> {
    Response::new(full(body))
}

fn status(status: StatusCode) -> Response<Body> {
    let mut rsp = Response::new(full(""));
    *rsp.status_mut() = status;
    rsp
}
