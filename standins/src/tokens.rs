//! The text that engine stand-ins answer: it follows from the prompt alone, so that a test can
//! tell a whole answer from one that is cut, crossed or repeats a part.

use serde_json::Value;

/// Tokens of an answer whose request sets no limit.
pub const DEFAULT_TOKENS: u64 = 16;

/// FNV-1a offset basis for 32 bits.
const FNV_BASIS: u32 = 0x811c_9dc5;
/// FNV-1a prime for 32 bits.
const FNV_PRIME: u32 = 0x0100_0193;

/// Returns the FNV-1a hash of some bytes.
pub fn hash(bytes: &[u8]) -> u32 {
    bytes.iter().fold(FNV_BASIS, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the hash of a conversation: chat messages, or the prompt of a completion.
pub fn conversation_hash(conversation: &Value) -> u32 {
    hash(conversation.to_string().as_bytes())
}

/// Returns one token of the answer to a conversation.
pub fn token(conversation: u32, index: u64) -> String {
    format!("{conversation:08x}-{index} ")
}

/// Returns the first `count` tokens of the answer to a conversation.
pub fn answer(conversation: &Value, count: u64) -> String {
    let hash = conversation_hash(conversation);
    (0..count).map(|index| token(hash, index)).collect()
}

/// Returns the number of words in all texts of a conversation.
pub fn count_words(conversation: &Value) -> u64 {
    match conversation {
        Value::String(text) => text.split_whitespace().count() as u64,
        Value::Array(items) => items.iter().map(count_words).sum(),
        Value::Object(fields) => fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "role" | "type"))
            .map(|(_, value)| count_words(value))
            .sum(),
        _ => 0,
    }
}
