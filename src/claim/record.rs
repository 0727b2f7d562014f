//! What is stored about a claim.

use sha2::{Digest, Sha256};

use crate::names::{InstanceName, OrganisationName, RequestId};

/// Largest answer that is kept to be repeated, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

value! {
    /// A claim as stored.
    pub struct ClaimRecord {
        /// The request that holds the claim; no two requests have the same identifier.
        pub request: RequestId,
        /// The instance that serves it.
        pub instance: InstanceName,
        /// The incarnation of that instance.
        pub incarnation: u64,
        /// Hash of the method, the path and the body.
        pub content_hash: String,
        /// When the claim was made, in milliseconds since 1970.
        pub created_ms: u64,
        /// How far it is.
        pub state: ClaimState,
    }

    /// How far a claimed request is.
    pub enum ClaimState {
        /// Nothing was sent to a backend server.
        Claimed,
        /// Bytes may have been sent.
        Sent,
        /// Bytes were sent and no whole answer came.
        Unresolved,
        /// The whole answer was received.
        Done(StoredResponse),
    }

    /// An answer kept to be repeated.
    pub struct StoredResponse {
        /// HTTP status.
        pub status: u16,
        /// Headers to repeat.
        pub headers: Vec<(String, String)>,
        /// The body.
        pub body: StoredBody,
    }

    /// The body of a stored answer.
    pub enum StoredBody {
        /// A text.
        Text(String),
        /// Other bytes, in hexadecimal.
        Hex(String),
        /// It was too large to keep.
        TooLarge,
    }
}

impl StoredBody {
    /// Keeps a body if it is small enough.
    pub fn from_bytes(body: &[u8]) -> Self {
        if body.len() > MAX_STORED_BODY_BYTES {
            return Self::TooLarge;
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(hex::encode(body)),
        }
    }

    /// Returns the body, unless it was too large or is damaged.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(text) => hex::decode(text).ok(),
            Self::TooLarge => None,
        }
    }
}

/// Returns the name of the object for an idempotency key.
pub fn object_name(organisation: &OrganisationName, key: &str) -> String {
    hash_parts(&[organisation.as_str().as_bytes(), key.as_bytes()])
}

/// Returns the hash by which a repeated request is told from another one.
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
