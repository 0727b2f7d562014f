//! Requests of the chat-completions protocol: reading them, and what is forwarded of them.

use serde_json::{Map, Value, json};

use super::auth::{Caller, Denial};
use crate::config::Tier;
use crate::outcome::RefusalCode;
use crate::peer::members::weight;

/// Body fields that are forwarded to a model engine; all others are dropped.
///
/// `user` and `metadata` are left out since callers put identities or keys there.
const FORWARDED: [&str; 21] = [
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
/// Output tokens expected of a request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;
/// Characters of prompt text that make about one token.
const CHARS_PER_TOKEN: u64 = 4;

/// Characters at the start of a prompt that count as its leading part.
const PREFIX_CHARS: usize = 1_024;

/// Which of the two forms a request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

impl Kind {
    /// Returns the path of the form.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completion => "/v1/completions",
        }
    }

    /// Returns how ids of its answers begin.
    pub fn id_prefix(self) -> &'static str {
        match self {
            Self::Chat => "chatcmpl-",
            Self::Completion => "cmpl-",
        }
    }

    /// Returns the object type of its chunks.
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

/// A request, reduced to what is forwarded.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Which form it has.
    pub kind: Kind,
    /// The model as the caller wrote it.
    pub model: String,
    /// Whether the caller wants a stream.
    pub streamed: bool,
    /// Whether the caller wants the usage chunk in its stream.
    pub include_usage: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Hash of the leading part of the prompt.
    pub prefix: u64,
    fields: Map<String, Value>,
}

/// The part of an answer that was received before a server failed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Received {
    /// The text.
    pub text: String,
    /// Its tokens.
    pub tokens: u64,
}

impl ChatRequest {
    /// Reads a request body.
    ///
    /// # Errors
    /// If it is malformed.
    pub fn parse(kind: Kind, body: &[u8]) -> Result<Self, Denial> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| bad(format!("the body is not JSON: {error}")))?;
        let Value::Object(mut fields) = value else { return Err(bad("the body is not an object")) };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.clone(),
            _ => return Err(bad("\"model\" must be a text")),
        };
        let streamed = read_flag(fields.get("stream"), "stream")?;
        let options = fields.get("stream_options").and_then(|options| options.get("include_usage"));
        let include_usage = read_flag(options, "stream_options.include_usage")?;
        check_input(kind, &fields)?;
        check_choices(&fields)?;
        let estimated_tokens = output_limit(&fields)?.unwrap_or(DEFAULT_OUTPUT_TOKENS);
        fields.retain(|name, _| FORWARDED.contains(&name.as_str()));
        let prompt_tokens = fields.get(kind.input_field()).map_or(0, text_length) / CHARS_PER_TOKEN;
        Ok(Self {
            kind,
            model,
            streamed,
            include_usage,
            prompt_tokens: prompt_tokens.max(1),
            estimated_tokens,
            prefix: prefix_hash(fields.get(kind.input_field())),
            fields,
        })
    }

    /// Refuses a request whose forwarded text holds the caller's key.
    ///
    /// # Errors
    /// If the key is in any forwarded field.
    pub fn check_no_key(&self, caller: &Caller) -> Result<(), Denial> {
        let found = self
            .fields
            .iter()
            .any(|(name, value)| caller.key_is_in(name.as_bytes()) || holds_key(value, caller));
        if found { Err(bad("the body holds the caller's key")) } else { Ok(()) }
    }

    /// Returns whether an engine can go on after a part of the answer.
    pub fn can_resume(&self, received: &Received) -> bool {
        let structured = ["tools", "response_format"];
        let limit = output_limit(&self.fields).ok().flatten();
        self.kind == Kind::Chat
            && !structured.iter().any(|field| self.fields.contains_key(*field))
            && limit.is_none_or(|limit| limit > received.tokens)
    }

    /// Returns the body for a model engine; with `received`, the engine goes on after that text.
    pub fn forward(&self, tier: Tier, received: &Received) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("priority".to_owned(), tier.0.into());
        fields.insert("stream".to_owned(), true.into());
        fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        if received.tokens > 0 {
            resume_after(&mut fields, received);
        }
        Value::Object(fields)
    }
}

fn bad(message: impl Into<String>) -> Denial {
    Denial::new(RefusalCode::BadRequest, message)
}

fn read_flag(value: Option<&Value>, name: &str) -> Result<bool, Denial> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(bad(format!("\"{name}\" must be true or false"))),
    }
}

fn check_input(kind: Kind, fields: &Map<String, Value>) -> Result<(), Denial> {
    let valid = match (kind, fields.get(kind.input_field())) {
        (Kind::Chat, Some(Value::Array(messages))) => {
            !messages.is_empty() && messages.iter().all(Value::is_object)
        }
        (Kind::Completion, Some(Value::String(_))) => true,
        _ => false,
    };
    let form = if kind == Kind::Chat { "a list of messages" } else { "a text" };
    if valid { Ok(()) } else { Err(bad(format!("\"{}\" must be {form}", kind.input_field()))) }
}

fn check_choices(fields: &Map<String, Value>) -> Result<(), Denial> {
    let single = |name| fields.get(name).is_none_or(|n| n.is_null() || n.as_u64() == Some(1));
    if single("n") && single("best_of") {
        Ok(())
    } else {
        Err(bad("\"n\" and \"best_of\" must be 1"))
    }
}

fn output_limit(fields: &Map<String, Value>) -> Result<Option<u64>, Denial> {
    let mut limit = None;
    for name in ["max_tokens", "max_completion_tokens"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) => match value.as_u64() {
                Some(tokens) if tokens > 0 => limit = Some(tokens),
                _ => return Err(bad(format!("\"{name}\" must be a whole number above 0"))),
            },
        }
    }
    Ok(limit)
}

/// Returns the length of all texts in a value.
fn text_length(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.chars().count() as u64,
        Value::Array(values) => values.iter().map(text_length).sum(),
        Value::Object(fields) => fields.values().map(text_length).sum(),
        _ => 0,
    }
}

/// Returns a hash of the first message, or of the start of the prompt.
fn prefix_hash(input: Option<&Value>) -> u64 {
    let text = match input {
        Some(Value::Array(messages)) => messages.first().map(Value::to_string),
        Some(Value::String(prompt)) => Some(prompt.chars().take(PREFIX_CHARS).collect()),
        _ => None,
    };
    weight("", &text.unwrap_or_default())
}

/// Returns whether a text within a value holds the caller's key.
pub fn holds_key(value: &Value, caller: &Caller) -> bool {
    match value {
        Value::String(text) => caller.key_is_in(text.as_bytes()),
        Value::Array(values) => values.iter().any(|value| holds_key(value, caller)),
        Value::Object(fields) => fields
            .iter()
            .any(|(name, value)| caller.key_is_in(name.as_bytes()) || holds_key(value, caller)),
        _ => false,
    }
}

fn resume_after(fields: &mut Map<String, Value>, received: &Received) {
    if let Some(Value::Array(messages)) = fields.get_mut("messages") {
        messages.push(json!({ "role": "assistant", "content": received.text }));
    }
    fields.insert("continue_final_message".to_owned(), true.into());
    fields.insert("add_generation_prompt".to_owned(), false.into());
    for name in ["max_tokens", "max_completion_tokens"] {
        if let Some(limit) = fields.get(name).and_then(Value::as_u64) {
            fields.insert(name.to_owned(), limit.saturating_sub(received.tokens).into());
        }
    }
}
