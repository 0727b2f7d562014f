//! JSON values that are kept as text.

use std::sync::Arc;

use serde_json::value::RawValue;

/// Text of a JSON value, shared by its clones.
///
/// It takes as much memory as the text has bytes, while a decoded tree of small values takes many
/// times as much.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct JsonText(Arc<RawValue>);

impl JsonText {
    /// Returns the text of `null`.
    pub fn null() -> Self {
        Self(RawValue::NULL.to_owned().into())
    }

    /// Encodes a value.
    ///
    /// # Errors
    /// Fails if the value can't be represented as JSON.
    pub fn encode(value: &impl serde::Serialize) -> serde_json::Result<Self> {
        serde_json::value::to_raw_value(value).map(|text| Self(text.into()))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        self.0.get()
    }
}

impl From<&RawValue> for JsonText {
    fn from(text: &RawValue) -> Self {
        Self(text.to_owned().into())
    }
}

impl PartialEq for JsonText {
    fn eq(&self, other: &Self) -> bool {
        self.as_str() == other.as_str()
    }
}

impl Eq for JsonText {}
