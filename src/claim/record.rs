//! The stored form of claims.

use sha2::{Digest, Sha256};

use crate::names::{InstanceName, OrganisationName, RequestId};

/// Maximum size of a response body that is stored for replay, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

value! {
    /// A stored claim.
    pub struct ClaimRecord {
        /// The request that holds the claim; request ids are unique.
        pub request: RequestId,
        /// The instance that serves the request.
        pub instance: InstanceName,
        /// The incarnation of that instance.
        pub incarnation: u64,
        /// Hash of the method, path and body.
        pub content_hash: String,
        /// Creation time of the claim, in milliseconds since the Unix epoch.
        pub created_ms: u64,
        /// State of the request.
        pub state: ClaimState,
    }

    /// State of a claimed request.
    pub enum ClaimState {
        /// Nothing was sent to a backend server yet.
        Claimed,
        /// Bytes may have been sent to a backend server.
        Sent,
        /// Bytes were sent and no complete response was received.
        Unresolved,
        /// The complete response was received.
        Done(StoredResponse),
    }

    /// A response stored for replay.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Headers to replay.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: StoredBody,
    }

    /// The body of a stored response.
    pub enum StoredBody {
        /// A UTF-8 body.
        Text(String),
        /// Any other body, hex-encoded.
        Hex(String),
        /// The body exceeds the maximum size and is not stored.
        TooLarge,
    }
}

impl StoredBody {
    /// Converts a body to its stored form.
    pub fn from_bytes(body: &[u8]) -> Self {
        if body.len() > MAX_STORED_BODY_BYTES {
            return Self::TooLarge;
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(hex::encode(body)),
        }
    }

    /// Returns the body, unless it was too large or its encoding is invalid.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(text) => hex::decode(text).ok(),
            Self::TooLarge => None,
        }
    }
}

/// Returns the object name of the claim for an idempotency key.
pub fn object_name(organisation: &OrganisationName, key: &str) -> String {
    hash_parts(&[organisation.as_str().as_bytes(), key.as_bytes()])
}

/// Returns the hash that identifies the content of a request.
pub fn content_hash(method: &str, target: &str, body: &[u8]) -> String {
    hash_parts(&[method.as_bytes(), target.as_bytes(), body])
}

fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hex::encode(hasher.finalize())
}
