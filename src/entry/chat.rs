//! Parsing of chat-completions requests, and the body that is forwarded to a model engine.

use serde_json::{Map, Value, json};

use super::auth::{Caller, RequestError};
use crate::config::Tier;
use crate::outcome::RefusalCode;
use crate::peer::members::rendezvous_weight;

/// Body fields that are forwarded to a model engine; all others are dropped.
///
/// `user` and `metadata` are not forwarded, since callers put identities or keys there.
const FORWARDED_FIELDS: [&str; 21] = [
    "model",
    "messages",
    "prompt",
    "suffix",
    "max_tokens",
    "max_completion_tokens",
    "temperature",
    "top_p",
    "top_k",
    "min_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "repetition_penalty",
    "logit_bias",
    "response_format",
    "tools",
    "tool_choice",
    "parallel_tool_calls",
    "reasoning_effort",
];
/// Expected output tokens of a request without a token limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Approximate number of prompt characters per token.
const CHARS_PER_TOKEN: u64 = 4;

/// Number of leading prompt characters covered by the prefix hash.
const PREFIX_CHARS: usize = 1_024;

/// The endpoint that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl Endpoint {
    /// Returns the URL path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }

    /// Returns the prefix of response ids.
    pub fn id_prefix(self) -> &'static str {
        match self {
            Self::Chat => "chatcmpl-",
            Self::Completion => "cmpl-",
        }
    }

    /// Returns the `object` field of response chunks.
    pub fn chunk_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Completion => "text_completion",
        }
    }

    fn input_field(self) -> &'static str {
        match self {
            Self::Chat => "messages",
            Self::Completion => "prompt",
        }
    }
}

/// A parsed request, reduced to the forwarded fields.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The model name as sent by the caller.
    pub model: String,
    /// Whether the caller requested a stream.
    pub streamed: bool,
    /// Whether the caller requested a usage chunk at the end of the stream.
    pub include_usage: bool,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Expected number of output tokens.
    pub estimated_tokens: u64,
    /// Hash of the start of the prompt.
    pub prefix_hash: u64,
    fields: Map<String, Value>,
}

/// The part of a response that was received before a backend server failed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialResponse {
    /// The received text.
    pub text: String,
    /// Number of received tokens.
    pub tokens: u64,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    /// If the body is malformed.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is not JSON: {error}")))?;
        let Value::Object(mut fields) = value else {
            return Err(bad_request("the body is not an object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(bad_request("\"model\" must be a text")),
        };
        let streamed = read_flag(fields.get("stream"), "stream")?;
        let options = fields.get("stream_options").and_then(|options| options.get("include_usage"));
        let include_usage = read_flag(options, "stream_options.include_usage")?;
        check_input(endpoint, &fields)?;
        check_choices(&fields)?;
        let estimated_tokens = output_limit(&fields)?.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        fields.retain(|name, _| FORWARDED_FIELDS.contains(&name.as_str()));
        let prompt_tokens =
            fields.get(endpoint.input_field()).map_or(0, text_length) / CHARS_PER_TOKEN;
        Ok(Self {
            endpoint,
            model,
            streamed,
            include_usage,
            prompt_tokens: prompt_tokens.max(1),
            estimated_tokens,
            prefix_hash: prefix_hash(fields.get(endpoint.input_field())),
            fields,
        })
    }

    /// Checks that the caller's key would not be forwarded to a backend server.
    ///
    /// # Errors
    /// If the key occurs in a forwarded field.
    pub fn check_no_key(&self, caller: &Caller) -> Result<(), RequestError> {
        let found = self.fields.iter().any(|(name, value)| {
            caller.key_occurs_in(name.as_bytes()) || value_contains_key(value, caller)
        });
        if found { Err(bad_request("the body holds the caller's key")) } else { Ok(()) }
    }

    /// Returns whether an engine can resume the response after `partial`.
    pub fn can_resume(&self, partial: &PartialResponse) -> bool {
        let structured = ["tools", "response_format"];
        let limit = output_limit(&self.fields).ok().flatten();
        self.endpoint == Endpoint::Chat
            && !structured.iter().any(|field| self.fields.contains_key(*field))
            && limit.is_none_or(|limit| limit > partial.tokens)
    }

    /// Returns the body for a model engine; a non-empty `partial` makes the engine resume after it.
    pub fn engine_body(&self, tier: Tier, partial: &PartialResponse) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("priority".to_owned(), tier.0.into());
        fields.insert("stream".to_owned(), true.into());
        fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        if partial.tokens > 0 {
            resume_after(&mut fields, partial);
        }
        Value::Object(fields)
    }
}

fn bad_request(message: impl Into<String>) -> RequestError {
    RequestError::new(RefusalCode::BadRequest, message)
}

fn read_flag(value: Option<&Value>, name: &str) -> Result<bool, RequestError> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(bad_request(format!("\"{name}\" must be true or false"))),
    }
}

fn check_input(endpoint: Endpoint, fields: &Map<String, Value>) -> Result<(), RequestError> {
    let valid = match (endpoint, fields.get(endpoint.input_field())) {
        (Endpoint::Chat, Some(Value::Array(messages))) => {
            !messages.is_empty() && messages.iter().all(Value::is_object)
        }
        (Endpoint::Completion, Some(Value::String(_))) => true,
        _ => false,
    };
    let form = if endpoint == Endpoint::Chat { "a list of messages" } else { "a text" };
    if valid {
        Ok(())
    } else {
        Err(bad_request(format!("\"{}\" must be {form}", endpoint.input_field())))
    }
}

fn check_choices(fields: &Map<String, Value>) -> Result<(), RequestError> {
    let single = |name| fields.get(name).is_none_or(|n| n.is_null() || n.as_u64() == Some(1));
    if single("n") && single("best_of") {
        Ok(())
    } else {
        Err(bad_request("\"n\" and \"best_of\" must be 1"))
    }
}

fn output_limit(fields: &Map<String, Value>) -> Result<Option<u64>, RequestError> {
    let mut limit = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => match value.as_u64() {
                Some(tokens) if tokens > 0 => limit = Some(tokens),
                _ => return Err(bad_request(format!("\"{name}\" must be a whole number above 0"))),
            },
        }
    }
    Ok(limit)
}

/// Returns the number of characters in all strings of a JSON value.
fn text_length(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.chars().count() as u64,
        Value::Array(values) => values.iter().map(text_length).sum(),
        Value::Object(fields) => fields.values().map(text_length).sum(),
        _ => 0,
    }
}

/// Returns a hash of the first message, or of the start of the prompt.
///
/// The rendezvous weight of the text serves as its hash.
fn prefix_hash(input: Option<&Value>) -> u64 {
    let text = match input {
        Some(Value::Array(messages)) => messages.first().map(Value::to_string),
        Some(Value::String(prompt)) => Some(prompt.chars().take(PREFIX_CHARS).collect()),
        _ => None,
    };
    rendezvous_weight("", &text.unwrap_or_default())
}

/// Returns whether the caller's key occurs in any string or field name of a JSON value.
pub fn value_contains_key(value: &Value, caller: &Caller) -> bool {
    match value {
        Value::String(text) => caller.key_occurs_in(text.as_bytes()),
        Value::Array(values) => values.iter().any(|value| value_contains_key(value, caller)),
        Value::Object(fields) => fields.iter().any(|(name, value)| {
            caller.key_occurs_in(name.as_bytes()) || value_contains_key(value, caller)
        }),
        _ => false,
    }
}

fn resume_after(fields: &mut Map<String, Value>, partial: &PartialResponse) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(json!({ "role": "assistant", "content": partial.text }));
    }
    fields.insert("continue_final_message".to_owned(), true.into());
    fields.insert("add_generation_prompt".to_owned(), false.into());
    for name in ["max_tokens", "max_completion_tokens"] {
        if let Some(limit) = fields.get(name).and_then(Value::as_u64) {
            fields.insert(name.to_owned(), limit.saturating_sub(partial.tokens).into());
        }
    }
}
