//! Client of the platform's object API, which follows the conventions of the Kubernetes API:
//! `resourceVersion`, status 409 if a conditional update fails, and watches as JSON lines.

use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::http::{BodyError, encode_path_segment, encode_query_value, read_limited};

/// API group and version of the objects of this program.
const API_VERSION: &str = "laburnumvalve.dev/v1";

/// Timeout of a call, after which its outcome is unknown.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response: several times the largest list or object.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

choice! {
    /// Kinds of objects that this program stores, each in its own collection.
    pub enum ObjectKind {
        /// Configuration shards and the root that names them.
        Configs,
        /// Marks that are not yet merged into the configuration.
        Marks,
        /// Leases of roles that one instance holds at a time.
        Leases,
        /// Claims of idempotency keys.
        Claims,
        /// Usage tallies of instances.
        Tallies,
        /// Sealed usage windows.
        Seals,
        /// Orders to backend servers, with their outcomes.
        Orders,
    }
}

impl ObjectKind {
    /// Returns the collection name in URLs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configs => "configs",
            Self::Marks => "marks",
            Self::Leases => "leases",
            Self::Claims => "claims",
            Self::Tallies => "tallies",
            Self::Seals => "seals",
            Self::Orders => "orders",
        }
    }
}

/// A stored value with the version that a conditional update must state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object<T> {
    /// Name within its collection.
    pub name: String,
    /// Version that the platform assigned; it is opaque and only compared for equality.
    pub version: String,
    /// Value of the object.
    pub spec: T,
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The object does not exist; nothing was written.
    NotFound,
    /// The object exists already or has another version; nothing was written.
    Conflict,
    /// The platform rejected the call, as by a rate limit, or was unreachable in an outage; nothing
    /// was written.
    Refused(String),
    /// No conclusive response arrived; a write may or may not have taken effect.
    Unknown(String),
    /// The response could not be decoded.
    Malformed(String),
}

impl std::fmt::Display for PlatformError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotFound => f.write_str("the object does not exist"),
            Self::Conflict => f.write_str("the object has another version"),
            Self::Refused(why) => write!(f, "the platform refused the call: {why}"),
            Self::Unknown(why) => write!(f, "the platform did not answer: {why}"),
            Self::Malformed(why) => write!(f, "the platform's answer is malformed: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Wire format of an object.
#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Debug, Serialize, Deserialize)]
struct Metadata {
    name: String,
    #[serde(rename = "resourceVersion", default)]
    resource_version: String,
}

#[derive(Debug, Deserialize)]
struct EnvelopeList {
    items: Vec<Envelope>,
    metadata: ListMetadata,
}

#[derive(Debug, Deserialize)]
struct ListMetadata {
    #[serde(rename = "resourceVersion")]
    resource_version: String,
}

/// A change that a watch received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The object was created or updated.
    Put(Object<Value>),
    /// The object with this name was deleted.
    Deleted(String),
}

/// Client of the object API; clones share its connections.
#[derive(Debug, Clone)]
pub struct ObjectClient {
    http: reqwest::Client,
    base: String,
}

impl ObjectClient {
    /// Creates a client for the platform at `base`, its base URL.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(base: &str) -> eyre::Result<Self> {
        let http = super::http::client()?;
        Ok(Self { http, base: base.trim_end_matches('/').to_owned() })
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`PlatformError::NotFound`] if it does not exist; others if the call failed.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Object<T>, PlatformError> {
        let body = self.call(Method::GET, &self.url(kind, name)?, None).await?;
        decode_object(body)
    }

    /// Reads all objects of a kind, with the version of the list from which a watch can start.
    ///
    /// # Errors
    /// Returns the error of a failed call.
    pub async fn list<T: DeserializeOwned>(
        &self,
        kind: ObjectKind,
    ) -> Result<(Vec<Object<T>>, String), PlatformError> {
        let body = self.call(Method::GET, &self.collection_url(kind), None).await?;
        let list: EnvelopeList = from_value(body)?;
        let objects = list.items.into_iter().map(decode_envelope).collect::<Result<Vec<_>, _>>()?;
        Ok((objects, list.metadata.resource_version))
    }

    /// Creates an object if its name is unused, and returns its version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if it exists; others if the call failed.
    pub async fn create<T: Serialize>(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = envelope(kind, name, None, spec)?;
        let response = self.call(Method::POST, &self.collection_url(kind), Some(body)).await?;
        Ok(from_value::<Envelope>(response)?.metadata.resource_version)
    }

    /// Replaces an object if it still has the given version, and returns its new version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if it has another version; others if the call failed.
    pub async fn update<T: Serialize>(
        &self,
        kind: ObjectKind,
        name: &str,
        version: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = envelope(kind, name, Some(version), spec)?;
        let response = self.call(Method::PUT, &self.url(kind, name)?, Some(body)).await?;
        Ok(from_value::<Envelope>(response)?.metadata.resource_version)
    }

    /// Deletes an object if it still has the given version.
    ///
    /// # Errors
    /// [`PlatformError::Conflict`] if it has another version; others if the call failed.
    pub async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        version: &str,
    ) -> Result<(), PlatformError> {
        let body = json!({ "preconditions": { "resourceVersion": version } });
        self.call(Method::DELETE, &self.url(kind, name)?, Some(body)).await.map(drop)
    }

    /// Waits for changes of one object after a version, for at most `wait`.
    ///
    /// Returns an empty list if nothing changed. A watch counts as one call, however long it waits.
    ///
    /// # Errors
    /// [`PlatformError::Refused`] also if the version is too old, so that the object must be read
    /// again; others if the call failed.
    pub async fn watch(
        &self,
        kind: ObjectKind,
        name: &str,
        after: &str,
        wait: Duration,
    ) -> Result<Vec<Change>, PlatformError> {
        let selector = encode_query_value(&format!("metadata.name={name}"));
        let url = format!(
            "{}?watch=1&fieldSelector={selector}&resourceVersion={}&timeoutSeconds={}&maxEvents=1",
            self.collection_url(kind),
            encode_query_value(after),
            wait.as_secs(),
        );
        let timeout = wait + CALL_TIMEOUT;
        let text =
            tokio::time::timeout(timeout, self.request_text(Method::GET, &url, None, timeout))
                .await
                .map_err(|_| PlatformError::Unknown("the watch timed out".to_owned()))??;
        text.lines().filter(|line| !line.trim().is_empty()).map(decode_change).collect()
    }

    fn collection_url(&self, kind: ObjectKind) -> String {
        format!("{}/apis/{API_VERSION}/namespaces/default/{}", self.base, kind.as_str())
    }

    fn url(&self, kind: ObjectKind, name: &str) -> Result<String, PlatformError> {
        Ok(format!("{}/{}", self.collection_url(kind), encode_path_segment(name)?))
    }

    async fn call(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
    ) -> Result<Value, PlatformError> {
        let text = self.request_text(method, url, body, CALL_TIMEOUT).await?;
        serde_json::from_str(&text).map_err(|error| PlatformError::Malformed(error.to_string()))
    }

    async fn request_text(
        &self,
        method: Method,
        url: &str,
        body: Option<Value>,
        timeout: Duration,
    ) -> Result<String, PlatformError> {
        let req = self.http.request(method, url).timeout(timeout);
        let rsp = send_request(req, body, MAX_RESPONSE_BYTES).await?;
        check_status(rsp.status()).map(|()| String::from_utf8_lossy(rsp.body()).into_owned())
    }
}

/// Sends a request and reads its response of at most `max` bytes, whatever the status.
pub(super) async fn send_request(
    mut req: RequestBuilder,
    body: Option<Value>,
    max: usize,
) -> Result<Response<Bytes>, PlatformError> {
    if let Some(body) = body {
        req = req.json(&body);
    }
    let rsp = req.send().await.map_err(|error| call_error(&error))?;
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = rsp.status();
    *response.headers_mut() = rsp.headers().clone();
    let body = read_limited(rsp, max).await.map_err(|error| match error {
        BodyError::Broken(why) => PlatformError::Unknown(why),
        BodyError::TooLong(_) => PlatformError::Malformed(error.to_string()),
    });
    let body = body?;
    Ok(response.map(|_| body))
}

/// Maps the status of a response to the outcome of the call.
pub(super) fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        StatusCode::CONFLICT => Err(PlatformError::Conflict),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Refused(status.to_string()))
        }
        status => Err(PlatformError::Unknown(status.to_string())),
    }
}

/// Distinguishes a call that could not connect, so that nothing was sent, from one without a
/// response, whose outcome is unknown.
pub(super) fn call_error(error: &reqwest::Error) -> PlatformError {
    if error.is_connect() {
        PlatformError::Refused("connection refused".to_owned())
    } else {
        PlatformError::Unknown(error.to_string())
    }
}

fn envelope<T: Serialize>(
    kind: ObjectKind,
    name: &str,
    version: Option<&str>,
    spec: &T,
) -> Result<Value, PlatformError> {
    let spec =
        serde_json::to_value(spec).map_err(|error| PlatformError::Malformed(error.to_string()))?;
    let mut metadata = json!({ "name": name });
    if let Some(version) = version {
        metadata["resourceVersion"] = version.into();
    }
    Ok(
        json!({ "apiVersion": API_VERSION, "kind": kind.as_str(), "metadata": metadata, "spec": spec }),
    )
}

pub(super) fn from_value<T: DeserializeOwned>(value: Value) -> Result<T, PlatformError> {
    serde_json::from_value(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn decode_object<T: DeserializeOwned>(body: Value) -> Result<Object<T>, PlatformError> {
    decode_envelope(from_value(body)?)
}

fn decode_envelope<T: DeserializeOwned>(envelope: Envelope) -> Result<Object<T>, PlatformError> {
    let spec = from_value(envelope.spec)?;
    let Metadata { name, resource_version } = envelope.metadata;
    Ok(Object { name, version: resource_version, spec })
}

/// Decodes one line of a watch, such as `{"type":"MODIFIED","object":{...}}`.
fn decode_change(line: &str) -> Result<Change, PlatformError> {
    #[derive(Deserialize)]
    struct Line {
        r#type: String,
        object: Value,
    }
    let line: Line =
        serde_json::from_str(line).map_err(|error| PlatformError::Malformed(error.to_string()))?;
    match line.r#type.as_str() {
        "ADDED" | "MODIFIED" => Ok(Change::Put(decode_object(line.object)?)),
        "DELETED" => Ok(Change::Deleted(from_value::<Envelope>(line.object)?.metadata.name)),
        other => Err(PlatformError::Refused(format!("watch ended with {other}"))),
    }
}
