//! Client of the platform's metadata store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::headers::base_url;
use super::objects::{Object, PlatformError, check_status, send_request};

/// Timeout of a call, after which its outcome is unknown.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a watch may take beyond its requested wait before it times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum nesting of a value that is passed on to peers, in levels; the JSON parser of the receiver
/// allows 128 for a whole message.
const MAX_VALUE_DEPTH: usize = 64;

choice! {
    /// Collections of objects in the store.
    pub enum Collection {
        /// The operator's configuration.
        Configs,
        /// Entries of backend servers.
        Servers,
        /// Evacuated data centres.
        DataCentresOut,
        /// Instances of this program.
        Instances,
        /// Leases of duties, which one instance has at a time.
        Leases,
        /// Request counts of each instance.
        Tallies,
        /// Counts of ended usage windows, finalised before they are reported.
        Seals,
    }
}

impl Collection {
    /// Returns the name that logs and metrics use.
    pub fn label(self) -> &'static str {
        match self {
            Self::Configs => "configuration",
            Self::Servers => "servers",
            Self::DataCentresOut => "data-centres-out",
            Self::Instances => "instances",
            Self::Leases => "leases",
            Self::Tallies => "tallies",
            Self::Seals => "seals",
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Configs => "config",
            Self::Servers => "servers",
            Self::DataCentresOut => "evacuations",
            Self::Instances => "valve-instances",
            Self::Leases => "valve-leases",
            Self::Tallies => "valve-tallies",
            Self::Seals => "valve-seals",
        }
    }
}

/// Name of the object that holds the configuration.
pub const CONFIG_NAME: &str = "main";

/// An object in the store.
#[derive(Debug, Clone)]
pub struct StoredObject {
    /// Name within its collection.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value of the object.
    pub value: Value,
}

/// A change of an object.
#[derive(Debug, Clone)]
pub struct Change {
    /// The object; its value is null if the object was deleted.
    pub object: StoredObject,
    /// Whether the object was deleted.
    pub is_deleted: bool,
}

/// Result of a watch.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// Changes up to a revision, from which the next watch continues.
    Changes(Vec<Change>, u64),
    /// The store no longer has the history since the given revision; the collection must be listed
    /// again.
    HistoryExpired,
}

/// An object as stored. Its value is decoded by itself, as entries are also written by others.
#[derive(Deserialize)]
struct WireObject {
    metadata: WireMetadata,
    spec: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct WireMetadata {
    name: String,
    #[serde(default)]
    revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireList {
    items: Vec<Box<RawValue>>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store at which the list was read.
    at: u64,
}

#[derive(Deserialize)]
struct WireEvents {
    events: Vec<Box<RawValue>>,
    at: u64,
}

#[derive(Deserialize)]
struct WireEvent {
    object: WireObject,
    #[serde(default)]
    deleted: bool,
}

impl WireObject {
    /// Decodes the value.
    ///
    /// # Errors
    /// Returns the reason why there is none of this type.
    fn decode_value<T: DeserializeOwned>(&self) -> Result<T, String> {
        let text = self.spec.as_ref().ok_or("the object has no value")?;
        serde_json::from_str(text.get()).map_err(|error| error.to_string())
    }

    /// Converts a deleted object.
    fn without_value(self) -> StoredObject {
        let WireMetadata { name, revision } = self.metadata;
        StoredObject { name, revision, value: Value::Null }
    }

    /// Converts the object; a value that can't be read becomes null, which no reader accepts.
    fn into_stored(self, collection: Collection) -> StoredObject {
        let value = self.decode_value().and_then(check_depth).unwrap_or_else(|error| {
            log_unreadable(collection, &self.metadata.name, &error);
            Value::Null
        });
        StoredObject { name: self.metadata.name, revision: self.metadata.revision, value }
    }
}

/// Checks that a value can be sent to peers, whose messages nest it a few levels deeper.
fn check_depth(value: Value) -> Result<Value, String> {
    if is_nested_deeper(&value, MAX_VALUE_DEPTH) {
        return Err(format!("the value is nested more than {MAX_VALUE_DEPTH} levels deep"));
    }
    Ok(value)
}

fn is_nested_deeper(value: &Value, levels: usize) -> bool {
    match (value, levels.checked_sub(1)) {
        (Value::Array(_) | Value::Object(_), None) => true,
        (Value::Array(items), Some(left)) => items.iter().any(|item| is_nested_deeper(item, left)),
        (Value::Object(members), Some(left)) => {
            members.values().any(|member| is_nested_deeper(member, left))
        }
        _ => false,
    }
}

fn log_unreadable(collection: Collection, name: &str, error: &str) {
    tracing::warn!(of = collection.label(), name, error, "stored object can't be read");
}

/// Client of the store; clones share its connections.
#[derive(Debug, Clone)]
pub struct Store {
    http: reqwest::Client,
    base: String,
}

impl Store {
    /// Creates a client for the store at an address.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> eyre::Result<Self> {
        let base = format!("{}/laburnumvalve/objects", base_url(address));
        Ok(Self { http: super::http::client()?, base })
    }

    /// Reads a whole collection, with the revision from which a watch can start.
    ///
    /// # Errors
    /// Returns the error of a failed call.
    pub async fn list(
        &self,
        collection: Collection,
    ) -> Result<(Vec<StoredObject>, u64), PlatformError> {
        let mut found: Vec<StoredObject> = Vec::new();
        let at = self
            .for_each_page(collection, |items| {
                found.extend(items.into_iter().map(|item| item.into_stored(collection)));
            })
            .await?;
        Ok((found, at))
    }

    /// Reads a collection without keeping more than one page of it, and returns the revision from
    /// which a watch can start.
    ///
    /// `visit` gets the name of each object with its value, or the reason why it can't be decoded.
    ///
    /// # Errors
    /// Returns the error of a failed call; a part of the objects may have been visited by then.
    pub async fn for_each<T: DeserializeOwned>(
        &self,
        collection: Collection,
        mut visit: impl FnMut(&str, Result<T, PlatformError>),
    ) -> Result<u64, PlatformError> {
        self.for_each_page(collection, |items| {
            for item in items {
                let value = item.decode_value().map_err(PlatformError::Malformed);
                visit(&item.metadata.name, value);
            }
        })
        .await
    }

    /// Reads a collection page by page. Objects without a readable name are left out.
    async fn for_each_page(
        &self,
        collection: Collection,
        mut visit: impl FnMut(Vec<WireObject>),
    ) -> Result<u64, PlatformError> {
        let mut after: Option<String> = None;
        let mut first_at = None;
        loop {
            let query = after.as_ref().map(|name| format!("?after={name}")).unwrap_or_default();
            let url = format!("{}/{}{query}", self.base, collection.as_str());
            let page: WireList = self.call(Method::GET, &url, None).await?;
            // Changes while later pages are read may be missing from earlier pages, so the watch
            // must start from the revision of the first page.
            let at = *first_at.get_or_insert(page.at);
            let items: Vec<WireObject> = decode_each(collection, &page.items);
            let last = items.last().map(|last| last.metadata.name.clone());
            visit(items);
            if !page.has_more {
                return Ok(at);
            }
            if last.is_none() || last == after {
                let why = "a page has no readable object from which the list could continue";
                return Err(PlatformError::Malformed(why.to_owned()));
            }
            after = last;
        }
    }

    /// Waits for changes of a collection after a revision, for at most `wait`.
    ///
    /// # Errors
    /// Returns the error of a failed call.
    pub async fn watch(
        &self,
        collection: Collection,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        let wait_ms = wait.as_millis();
        let url =
            format!("{}/{}?watch={revision}&wait-ms={wait_ms}", self.base, collection.as_str());
        let (status, body) =
            self.send(Method::GET, &url, None, wait + WATCH_TIMEOUT_MARGIN).await?;
        if status == StatusCode::GONE {
            return Ok(WatchResult::HistoryExpired);
        }
        check_status(status)?;
        let events: WireEvents = decode(&body)?;
        let changes = decode_each(collection, &events.events).into_iter();
        let changes = changes.map(|event: WireEvent| Change {
            is_deleted: event.deleted,
            object: match event.deleted {
                true => event.object.without_value(),
                false => event.object.into_stored(collection),
            },
        });
        Ok(WatchResult::Changes(changes.collect(), events.at))
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::NotFound`] if it does not exist; others if the call failed.
    pub async fn get<T: DeserializeOwned>(
        &self,
        collection: Collection,
        name: &str,
    ) -> Result<Object<T>, PlatformError> {
        let wire: WireObject = self.call(Method::GET, &self.url(collection, name), None).await?;
        let spec = wire.decode_value().map_err(PlatformError::Malformed)?;
        let version = wire.metadata.revision.to_string();
        Ok(Object { name: wire.metadata.name, version, spec })
    }

    /// Creates an object if its name is unused, and returns its version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if it exists; others if the call failed.
    pub async fn create<T: Serialize>(
        &self,
        collection: Collection,
        name: &str,
        value: &T,
    ) -> Result<String, PlatformError> {
        let url = format!("{}/{}", self.base, collection.as_str());
        let body = json!({ "metadata": { "name": name }, "spec": value });
        self.call(Method::POST, &url, Some(body)).await.map(version)
    }

    /// Replaces an object if it has the expected version, or unconditionally if that is `None`.
    ///
    /// Returns the new version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if it has another version; others if the call failed.
    pub async fn update<T: Serialize>(
        &self,
        collection: Collection,
        name: &str,
        expected_version: Option<&str>,
        value: &T,
    ) -> Result<String, PlatformError> {
        let mut metadata = json!({ "name": name });
        if let Some(expected) = expected_version {
            // Without a revision, the store replaces the object unconditionally.
            let revision = expected.parse::<u64>().map_err(|error| {
                PlatformError::Malformed(format!("version \"{expected}\" of {name}: {error}"))
            })?;
            metadata["revision"] = revision.into();
        }
        let body = json!({ "metadata": metadata, "spec": value });
        self.call(Method::PUT, &self.url(collection, name), Some(body)).await.map(version)
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// Returns the error of a failed call.
    pub async fn delete(&self, collection: Collection, name: &str) -> Result<(), PlatformError> {
        let url = self.url(collection, name);
        let (status, _) = self.send(Method::DELETE, &url, None, CALL_TIMEOUT).await?;
        check_status(status)
    }

    fn url(&self, collection: Collection, name: &str) -> String {
        format!("{}/{}/{name}", self.base, collection.as_str())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
    ) -> Result<T, PlatformError> {
        let (status, body) = self.send(method, url, body, CALL_TIMEOUT).await?;
        check_status(status)?;
        decode(&body)
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let req = self.http.request(method, url).timeout(timeout);
        send_request(req, body).await
    }
}

/// Decodes each of the parts of a response by itself, and leaves out those that can't be read.
fn decode_each<T: DeserializeOwned>(collection: Collection, parts: &[Box<RawValue>]) -> Vec<T> {
    let decoded = parts.iter().map(|part| serde_json::from_str(part.get()));
    let readable = decoded.filter_map(|decoded| {
        decoded.inspect_err(|error| log_unreadable(collection, "unknown", &error.to_string())).ok()
    });
    readable.collect()
}

/// Decodes a response. Bytes that are no UTF-8 are replaced, so that they spoil only the object that
/// holds them.
fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    let text = String::from_utf8_lossy(body);
    serde_json::from_str(&text).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn version(written: WireObject) -> String {
    written.metadata.revision.to_string()
}
