//! The object API: versions, conditional updates and watches.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::watch::Watch;
use crate::host::{Call, Reply};
use crate::lock;

/// API group and version of the objects.
const API_VERSION: &str = "laburnumvalve.dev/v1";
/// Largest value in bytes.
const MAX_VALUE: usize = 1 << 20;
/// Changes of a watch that wait for a slow reader.
const BUFFERED_CHANGES: usize = 64;

/// One change of an object.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) revision: u64,
    pub(super) kind: String,
    pub(super) name: String,
    /// The line that a watch sends.
    pub(super) line: Value,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    changes: Vec<Change>,
}

/// All objects.
#[derive(Debug)]
pub(super) struct Store {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
}

impl Store {
    pub(super) fn new() -> Self {
        Self { state: Mutex::default(), revision: watch::Sender::new(0) }
    }

    pub(super) fn specs(&self, kind: &str) -> BTreeMap<String, Value> {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        of_kind.map(|((_, name), (_, spec))| (name.clone(), spec.clone())).collect()
    }

    /// Answers one call below the namespace.
    pub(super) fn answer(self: &Arc<Self>, call: &Call, path: &[&str]) -> Reply {
        let result = match (call.received.method.as_str(), path) {
            ("GET", [kind]) if call.query.contains_key("watch") => Ok(self.watch(call, kind)),
            ("GET", [kind]) => Ok(self.list(kind)),
            ("GET", [kind, name]) => self.get(kind, name),
            ("POST", [kind]) => self.create(kind, call),
            ("PUT", [kind, name]) => self.update(kind, name, call),
            ("DELETE", [kind, name]) => self.delete(kind, name, call),
            _ => Err(Reply::error(404, "no such object endpoint")),
        };
        result.unwrap_or_else(|refusal| refusal)
    }

    fn list(&self, kind: &str) -> Reply {
        let state = lock(&self.state);
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<Value> = of_kind
            .map(|((_, name), (version, spec))| envelope(kind, name, *version, spec))
            .collect();
        let metadata = json!({ "resourceVersion": state.revision.to_string() });
        Reply::Json(200, json!({ "kind": "List", "metadata": metadata, "items": items }))
    }

    fn get(&self, kind: &str, name: &str) -> Result<Reply, Reply> {
        let state = lock(&self.state);
        let key = (kind.to_owned(), name.to_owned());
        let (version, spec) =
            state.objects.get(&key).ok_or_else(|| Reply::error(404, "not found"))?;
        Ok(Reply::Json(200, envelope(kind, name, *version, spec)))
    }

    fn create(&self, kind: &str, call: &Call) -> Result<Reply, Reply> {
        let body = read_body(call)?;
        let name = body["metadata"]["name"].as_str().ok_or_else(|| Reply::error(422, "no name"))?;
        let mut state = lock(&self.state);
        if state.objects.contains_key(&(kind.to_owned(), name.to_owned())) {
            return Err(Reply::error(409, "the name exists"));
        }
        Ok(Reply::Json(201, self.put(&mut state, kind, name, &body["spec"], "ADDED")))
    }

    fn update(&self, kind: &str, name: &str, call: &Call) -> Result<Reply, Reply> {
        let body = read_body(call)?;
        let expected = &body["metadata"]["resourceVersion"];
        let mut state = lock(&self.state);
        check_version(&state, kind, name, expected)?;
        Ok(Reply::Json(200, self.put(&mut state, kind, name, &body["spec"], "MODIFIED")))
    }

    fn delete(&self, kind: &str, name: &str, call: &Call) -> Result<Reply, Reply> {
        let body = read_body(call)?;
        let expected = &body["preconditions"]["resourceVersion"];
        let mut state = lock(&self.state);
        check_version(&state, kind, name, expected)?;
        let removed = state.objects.remove(&(kind.to_owned(), name.to_owned()));
        let spec = removed.map(|(_, spec)| spec).unwrap_or_default();
        let object = self.append(&mut state, kind, name, &spec, "DELETED");
        Ok(Reply::Json(200, object))
    }

    fn put(&self, state: &mut State, kind: &str, name: &str, spec: &Value, change: &str) -> Value {
        let object = self.append(state, kind, name, spec, change);
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (state.revision, spec.clone()));
        object
    }

    /// Gives the next revision to a change and tells the watches.
    fn append(
        &self,
        state: &mut State,
        kind: &str,
        name: &str,
        spec: &Value,
        change: &str,
    ) -> Value {
        state.revision += 1;
        let object = envelope(kind, name, state.revision, spec);
        state.changes.push(Change {
            revision: state.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            line: json!({ "type": change, "object": object }),
        });
        self.revision.send_replace(state.revision);
        object
    }

    /// Answers with the changes after a revision as they come.
    fn watch(self: &Arc<Self>, call: &Call, kind: &str) -> Reply {
        let (tx, rx) = mpsc::channel(BUFFERED_CHANGES);
        tokio::spawn(Watch::read(call, kind).run(Arc::clone(self), tx));
        Reply::Stream("application/json", rx)
    }

    /// Returns the changes that a watch waits for.
    pub(super) fn changes(&self, wants: impl Fn(&Change) -> bool) -> Vec<Change> {
        lock(&self.state).changes.iter().filter(|change| wants(change)).cloned().collect()
    }

    /// Returns a receiver of the latest revision.
    pub(super) fn revisions(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}

fn envelope(kind: &str, name: &str, version: u64, spec: &Value) -> Value {
    json!({
        "apiVersion": API_VERSION,
        "kind": kind,
        "metadata": { "name": name, "resourceVersion": version.to_string() },
        "spec": spec,
    })
}

fn read_body(call: &Call) -> Result<Value, Reply> {
    if call.body.len() > MAX_VALUE {
        return Err(Reply::error(413, "the value is too large"));
    }
    call.json()
}

/// Refuses a conditional change if the object is missing or has another version.
fn check_version(state: &State, kind: &str, name: &str, expected: &Value) -> Result<(), Reply> {
    let key = (kind.to_owned(), name.to_owned());
    let (version, _) = state.objects.get(&key).ok_or_else(|| Reply::error(404, "not found"))?;
    let expected = expected.as_str().ok_or_else(|| Reply::error(422, "no resourceVersion"))?;
    if expected == version.to_string() {
        Ok(())
    } else {
        Err(Reply::error(409, "the object has another version"))
    }
}
