//! What a stand-in received, for tests to check.

use serde::{Deserialize, Serialize};

/// One request as it was received.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
}

impl Received {
    /// Returns the first value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// Returns whether some bytes contain a text.
pub fn contains(bytes: &[u8], text: &str) -> bool {
    !text.is_empty() && bytes.windows(text.len()).any(|window| window == text.as_bytes())
}
