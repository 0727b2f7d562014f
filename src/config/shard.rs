//! Shards: parts of the configuration, stored as content-addressed objects.
//!
//! The root references the shards of a version by hash, so that an edit only writes the shards that
//! it changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::model::{BackendServer, Class, Config, DataCentre, Key, KeyHash, Organisation, Route};
use crate::names::{BackendServerName, ClassName, DataCentreName, OrganisationName, RouteName};

/// Number of shards each for organisations and for keys, which are assigned by a hash.
const BUCKETS: u8 = 64;
/// Number of shards for the backend servers of one data centre.
const SERVER_BUCKETS: u8 = 8;
/// Maximum size of a shard in bytes, as a JSON string within its object; the platform accepts
/// objects of up to 1 MB.
pub const MAX_SHARD_BYTES: usize = 960_000;

/// The records of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Records {
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    organisations: BTreeMap<OrganisationName, Organisation>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    classes: BTreeMap<ClassName, Class>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    routes: BTreeMap<RouteName, Route>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    data_centres: BTreeMap<DataCentreName, DataCentre>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    backend_servers: BTreeMap<BackendServerName, BackendServer>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    keys: BTreeMap<KeyHash, Key>,
}

/// A shard whose body matches its hash.
#[derive(Debug, Clone)]
pub struct Shard {
    hash: String,
    body: Arc<str>,
    records: Arc<Records>,
}

/// Shards by hash.
pub type Shards = BTreeMap<String, Shard>;

/// Why a shard can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardError {
    /// The body does not match the hash.
    WrongHash,
    /// The body can't be parsed.
    Malformed(String),
}

impl std::fmt::Display for ShardError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::WrongHash => f.write_str("the content of the shard does not match its hash"),
            Self::Malformed(why) => write!(f, "the content of the shard is malformed: {why}"),
        }
    }
}

impl std::error::Error for ShardError {}

impl Shard {
    /// Verifies and parses a shard that was received from the platform or a peer.
    ///
    /// # Errors
    /// If the body does not match the hash, or can't be parsed.
    pub fn parse(hash: &str, body: &str) -> Result<Self, ShardError> {
        if hash_of(body.as_bytes()) != hash {
            return Err(ShardError::WrongHash);
        }
        let records =
            serde_json::from_str(body).map_err(|error| ShardError::Malformed(error.to_string()))?;
        Ok(Self { hash: hash.to_owned(), body: body.into(), records: Arc::new(records) })
    }

    fn from_records(records: Records) -> Result<Self, ShardError> {
        let body = serde_json::to_string(&records)
            .map_err(|error| ShardError::Malformed(error.to_string()))?;
        Ok(Self { hash: hash_of(body.as_bytes()), body: body.into(), records: Arc::new(records) })
    }

    /// Returns the hash of the body.
    pub fn hash(&self) -> &str {
        &self.hash
    }

    /// Returns the body as it is stored and sent.
    pub fn body(&self) -> &str {
        &self.body
    }

    /// Returns the size of the body in bytes as a JSON string, including escapes.
    pub fn encoded_len(&self) -> usize {
        let escaped = self.body.bytes().filter(|byte| matches!(byte, b'"' | b'\\')).count();
        self.body.len() + escaped
    }
}

/// Splits a configuration into shards by shard name; equal records give equal shards.
///
/// # Errors
/// If a record can't be serialized.
pub fn split(config: &Config) -> Result<BTreeMap<String, Shard>, ShardError> {
    let mut records_by_shard: BTreeMap<String, Records> = BTreeMap::new();
    for (name, organisation) in &config.organisations {
        let records = records_by_shard
            .entry(bucketed_shard_name("organisations", name.as_str()))
            .or_default();
        records.organisations.insert(name.clone(), organisation.clone());
    }
    for (hash, key) in &config.keys {
        let records = records_by_shard.entry(bucketed_shard_name("keys", &hash.0)).or_default();
        records.keys.insert(hash.clone(), key.clone());
    }
    for (name, server) in &config.backend_servers {
        let bucket = bucket(name.as_str(), SERVER_BUCKETS);
        let shard_name = format!("backend-servers-{}-{bucket}", server.data_centre);
        let records = records_by_shard.entry(shard_name).or_default();
        records.backend_servers.insert(name.clone(), server.clone());
    }
    for (name, route) in &config.routes {
        let records = records_by_shard.entry(format!("route-{name}")).or_default();
        records.routes.insert(name.clone(), route.clone());
    }
    let base = records_by_shard.entry("base".to_owned()).or_default();
    base.classes = config.classes.clone();
    base.data_centres = config.data_centres.clone();
    records_by_shard
        .into_iter()
        .map(|(name, records)| Ok((name, Shard::from_records(records)?)))
        .collect()
}

/// Joins shards into a configuration of the given version.
pub fn join<'a>(version: u64, shards: impl Iterator<Item = &'a Shard>) -> Config {
    let mut config = Config { version, ..Config::default() };
    for shard in shards {
        let records = Records::clone(&shard.records);
        config.organisations.extend(records.organisations);
        config.classes.extend(records.classes);
        config.routes.extend(records.routes);
        config.data_centres.extend(records.data_centres);
        config.backend_servers.extend(records.backend_servers);
        config.keys.extend(records.keys);
    }
    config
}

/// Returns the SHA-256 hash of bytes in lower-case hexadecimal.
pub fn hash_of(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

fn bucket(name: &str, buckets: u8) -> u8 {
    Sha256::digest(name.as_bytes())[0] % buckets
}

fn bucketed_shard_name(kind: &str, name: &str) -> String {
    format!("{kind}-{:02}", bucket(name, BUCKETS))
}
