//! Client of the platform's metadata store.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use reqwest::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Value, json};

use super::catalog::compact_server;
use super::headers::base_url;
use super::http::{encode_path_segment, encode_query_value};
use super::objects::{Object, PlatformError, check_status, send_request};
use crate::json_text::JsonText;
use crate::routing::revision::{era_of, in_era, number_of};

/// Header with the store's era, which rises each time that it comes back from a copy.
const ERA_HEADER: &str = "store-era";

/// Timeout of a call, after which its outcome is unknown.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a watch may take beyond its requested wait before it times out.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Maximum size of a response: a page of a list has 1 MiB and one more object, of 1 MiB at most.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of an instance's entry: some forty times that of the usual one.
const MAX_INSTANCE_ENTRY_BYTES: usize = 4 << 10;

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
        /// What began the streams of each process, while a service has several software versions.
        Origins,
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
            Self::Origins => "origins",
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
            Self::Origins => "valve-origins",
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
    /// Value of the object, with only the parts that this program uses; null if there are none.
    pub value: JsonText,
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

/// An object as stored. Its value is a part of the response's text, as entries are also written by
/// others, and a decoded tree of an odd one may exceed the memory of a small machine.
#[derive(Deserialize)]
struct WireObject<'a> {
    metadata: WireMetadata,
    #[serde(borrow)]
    spec: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct WireMetadata {
    name: String,
    #[serde(default)]
    revision: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireList<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    /// Revision of the store at which the list was read.
    at: u64,
}

#[derive(Deserialize)]
struct WireEvents<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    at: u64,
}

#[derive(Deserialize)]
struct WireEvent<'a> {
    #[serde(borrow)]
    object: WireObject<'a>,
    #[serde(default)]
    deleted: bool,
}

impl WireObject<'_> {
    /// Decodes the value.
    ///
    /// # Errors
    /// Returns the reason why there is none of this type.
    fn decode_value<T: DeserializeOwned>(&self) -> Result<T, String> {
        let text = self.spec.ok_or("the object has no value")?;
        serde_json::from_str(text.get()).map_err(|error| error.to_string())
    }

    /// Converts a deleted object.
    fn without_value(self, era: u64) -> StoredObject {
        let WireMetadata { name, revision } = self.metadata;
        StoredObject { name, revision: in_era(era, revision), value: JsonText::null() }
    }

    /// Converts the object; a value that can't be read becomes null, which no reader accepts.
    fn into_stored(self, collection: Collection, era: u64) -> StoredObject {
        let value = self.used_value(collection).unwrap_or_else(|error| {
            log_unreadable(collection, &self.metadata.name, &error);
            JsonText::null()
        });
        let revision = in_era(era, self.metadata.revision);
        StoredObject { name: self.metadata.name, revision, value }
    }

    /// Returns the parts of the value that are used. What another writer adds is not kept or sent to
    /// peers, whatever its size.
    fn used_value(&self, collection: Collection) -> Result<JsonText, String> {
        if collection == Collection::DataCentresOut {
            // Only the name of an evacuated data centre is used.
            return JsonText::encode(&json!({})).map_err(|error| error.to_string());
        }
        let text = self.spec.ok_or("the object has no value")?;
        let length = text.get().len();
        match collection {
            Collection::Servers => compact_server(text.get()),
            Collection::Configs if self.metadata.name != CONFIG_NAME => {
                Err(format!("only the configuration \"{CONFIG_NAME}\" is used"))
            }
            Collection::Instances if length > MAX_INSTANCE_ENTRY_BYTES => Err(format!(
                "the entry has {length} bytes instead of at most {MAX_INSTANCE_ENTRY_BYTES}"
            )),
            _ => Ok(text.into()),
        }
    }
}

fn log_unreadable(collection: Collection, name: &str, error: &str) {
    tracing::warn!(of = collection.label(), name, error, "stored object can't be read");
}

/// Client of the store; clones share its connections and what they know of its era.
///
/// All revisions and versions that it returns or takes hold the store's era (see
/// [`crate::routing::revision`]).
#[derive(Debug, Clone)]
pub struct Store {
    http: reqwest::Client,
    base: String,
    /// Latest era that a response stated.
    era: Arc<AtomicU64>,
}

/// A response of the store.
struct StoreResponse {
    status: StatusCode,
    /// Era of the store when it responded.
    era: u64,
    text: String,
}

impl Store {
    /// Creates a client for the store at an address.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(address: SocketAddr) -> eyre::Result<Self> {
        let base = format!("{}/laburnumvalve/objects", base_url(address));
        Ok(Self { http: super::http::client()?, base, era: Arc::default() })
    }

    /// Returns the latest era of the store that a response stated; 0 if none did.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
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
            .for_each_page(collection, |era, items| {
                let stored = |item: WireObject<'_>| item.into_stored(collection, era);
                found.extend(items.into_iter().map(stored));
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
        self.for_each_page(collection, |_, items| {
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
        mut visit: impl FnMut(u64, Vec<WireObject<'_>>),
    ) -> Result<u64, PlatformError> {
        let mut after: Option<String> = None;
        let mut continued_after = HashSet::new();
        let mut first_at = None;
        loop {
            let query = after.as_deref().map(encode_query_value);
            let query = query.map(|name| format!("?after={name}")).unwrap_or_default();
            let url = format!("{}/{}{query}", self.base, collection.as_str());
            let rsp = self.call(Method::GET, &url, None).await?;
            let page: WireList<'_> = decode(&rsp.text)?;
            // Changes while later pages are read may be missing from earlier pages, so the watch
            // must start from the revision of the first page.
            let at = *first_at.get_or_insert(in_era(rsp.era, page.at));
            if era_of(at) != rsp.era {
                let why = "the store came back from a copy between two pages of a list";
                return Err(PlatformError::Unknown(why.to_owned()));
            }
            let items: Vec<WireObject<'_>> = decode_each(collection, &page.items);
            let last = items.last().map(|last| last.metadata.name.clone());
            visit(rsp.era, items);
            if !page.has_more {
                return Ok(at);
            }
            let Some(last) = last else {
                let why = format!("the page after {after:?} names no object to continue after");
                return Err(PlatformError::Malformed(why));
            };
            if !continued_after.insert(last.clone()) {
                let why =
                    format!("the page after {after:?} ends at {last:?}, as an earlier one did");
                return Err(PlatformError::Malformed(why));
            }
            after = Some(last);
        }
    }

    /// Waits for changes of a collection after a revision, for at most `wait`.
    ///
    /// # Errors
    /// Returns the error of a failed call. After [`PlatformError::Malformed`], the same call is
    /// likely to fail again, so the collection should be listed.
    pub async fn watch(
        &self,
        collection: Collection,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, PlatformError> {
        if era_of(revision) != self.era() {
            return Ok(WatchResult::HistoryExpired);
        }
        let (number, wait_ms) = (number_of(revision), wait.as_millis());
        let url = format!("{}/{}?watch={number}&wait-ms={wait_ms}", self.base, collection.as_str());
        let rsp = self.send(Method::GET, &url, None, wait + WATCH_TIMEOUT_MARGIN).await?;
        // The store may have given out this revision again for other contents.
        if rsp.status == StatusCode::GONE || rsp.era != era_of(revision) {
            return Ok(WatchResult::HistoryExpired);
        }
        check_status(rsp.status)?;
        let events: WireEvents<'_> = decode(&rsp.text)?;
        let changes = decode_each(collection, &events.events).into_iter();
        let changes = changes.map(|event: WireEvent<'_>| Change {
            is_deleted: event.deleted,
            object: match event.deleted {
                true => event.object.without_value(rsp.era),
                false => event.object.into_stored(collection, rsp.era),
            },
        });
        Ok(WatchResult::Changes(changes.collect(), in_era(rsp.era, events.at)))
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
        let rsp = self.call(Method::GET, &self.url(collection, name)?, None).await?;
        let wire: WireObject<'_> = decode(&rsp.text)?;
        let spec = wire.decode_value().map_err(PlatformError::Malformed)?;
        let version = in_era(rsp.era, wire.metadata.revision).to_string();
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
        version(&self.call(Method::POST, &url, Some(body)).await?)
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
            if era_of(revision) != self.era() {
                return Err(PlatformError::Conflict);
            }
            metadata["revision"] = number_of(revision).into();
        }
        let body = json!({ "metadata": metadata, "spec": value });
        version(&self.call(Method::PUT, &self.url(collection, name)?, Some(body)).await?)
    }

    /// Deletes an object.
    ///
    /// # Errors
    /// Returns the error of a failed call.
    pub async fn delete(&self, collection: Collection, name: &str) -> Result<(), PlatformError> {
        let url = self.url(collection, name)?;
        check_status(self.send(Method::DELETE, &url, None, CALL_TIMEOUT).await?.status)
    }

    fn url(&self, collection: Collection, name: &str) -> Result<String, PlatformError> {
        let name = encode_path_segment(name)?;
        Ok(format!("{}/{}/{name}", self.base, collection.as_str()))
    }

    /// Makes a call and returns its response, if that is a success.
    async fn call(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
    ) -> Result<StoreResponse, PlatformError> {
        let rsp = self.send(method, url, body, CALL_TIMEOUT).await?;
        check_status(rsp.status).map(|()| rsp)
    }

    async fn send(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
        timeout: Duration,
    ) -> Result<StoreResponse, PlatformError> {
        let req = self.http.request(method, url).timeout(timeout);
        let rsp = send_request(req, body, MAX_RESPONSE_BYTES).await?;
        let stated = rsp.headers().get(ERA_HEADER).and_then(|era| era.to_str().ok()?.parse().ok());
        let era = stated.unwrap_or_default();
        let former = self.era.fetch_max(era, Ordering::Relaxed);
        if former < era {
            tracing::info!(former, era, "era of the platform's store");
        }
        Ok(StoreResponse { status: rsp.status(), era, text: to_text(rsp.into_body()) })
    }
}

/// Decodes each of the parts of a response by itself, and leaves out those that can't be read.
fn decode_each<'a, T: Deserialize<'a>>(collection: Collection, parts: &[&'a RawValue]) -> Vec<T> {
    let decoded = parts.iter().map(|part| serde_json::from_str(part.get()));
    let readable = decoded.filter_map(|decoded| {
        decoded.inspect_err(|error| log_unreadable(collection, "unknown", &error.to_string())).ok()
    });
    readable.collect()
}

/// Returns the text of a response. Bytes that are no UTF-8 are replaced, so that they spoil only the
/// object that holds them.
fn to_text(body: Bytes) -> String {
    String::from_utf8(body.into())
        .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned())
}

fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Returns the version of the object in the response to a write.
fn version(rsp: &StoreResponse) -> Result<String, PlatformError> {
    let written: WireObject<'_> = decode(&rsp.text)?;
    Ok(in_era(rsp.era, written.metadata.revision).to_string())
}
