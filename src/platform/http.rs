//! HTTP client for the platform's interfaces.

use std::time::Duration;

use reqwest::redirect::Policy;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a client that ignores proxy settings of the environment and follows no redirects.
///
/// # Errors
/// Fails if the client can't be built.
pub fn client() -> eyre::Result<reqwest::Client> {
    let builder = reqwest::Client::builder().no_proxy().redirect(Policy::none());
    Ok(builder.connect_timeout(CONNECT_TIMEOUT).build()?)
}

/// Returns the message of a failed call with those of all its causes.
pub fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
