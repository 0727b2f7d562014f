//! Parses JSON request bodies, ignoring the content type.

use salvo::Request;
use serde::de::DeserializeOwned;

/// Maximum size of a JSON request body.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Reads and deserializes the request body.
///
/// # Errors
/// Returns a message if the body is too large, can't be read or does not deserialize to `T`.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let bytes =
        req.payload_with_max_size(MAX_BODY_BYTES).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
