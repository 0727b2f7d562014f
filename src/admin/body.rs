//! Reads request bodies in JSON, whatever content type they claim.

use salvo::Request;
use serde::de::DeserializeOwned;

/// Largest JSON body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Reads the body.
///
/// # Errors
/// Says why it can't be used.
pub async fn read_json<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    let bytes =
        req.payload_with_max_size(MAX_BODY_BYTES).await.map_err(|error| error.to_string())?;
    serde_json::from_slice(bytes).map_err(|error| error.to_string())
}
