//! Assembles the chunks of a stream into a single JSON response.

use serde_json::{Map, Value, json};

use super::chat::Endpoint;
use super::chunk::Usage;

/// Collects the chunks of a response.
#[derive(Debug, Default)]
pub struct ResponseAssembler {
    created: Value,
    model: Value,
    text: String,
    tool_calls: Vec<Map<String, Value>>,
}

impl ResponseAssembler {
    /// Appends a text token.
    pub fn push_text(&mut self, text: &str) {
        self.text.push_str(text);
    }

    /// Records the metadata and tool calls of a chunk.
    pub fn push_chunk(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else { return };
        self.created = chunk["created"].clone();
        self.model = chunk["model"].clone();
        if let Value::Array(calls) = &chunk["choices"][0]["delta"]["tool_calls"] {
            calls.iter().for_each(|call| self.push_tool_call(call));
        }
    }

    /// Discards the collected content before the response is generated again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the assembled response.
    pub fn finish(self, endpoint: Endpoint, id: &str, finish_reason: &str, usage: Usage) -> Value {
        let mut choice = json!({ "index": 0, "finish_reason": finish_reason, "logprobs": null });
        let object = match endpoint {
            Endpoint::Completion => {
                choice["text"] = self.text.into();
                "text_completion"
            }
            Endpoint::Chat => {
                choice["message"] = message(self.text, self.tool_calls);
                "chat.completion"
            }
        };
        json!({
            "id": format!("{}{id}", endpoint.id_prefix()),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage_json(usage),
        })
    }

    fn push_tool_call(&mut self, call: &Value) {
        let index = call["index"].as_u64().unwrap_or_default() as usize;
        // Engines number tool calls consecutively; a call with a larger index is dropped.
        if index > self.tool_calls.len() {
            return;
        }
        if index == self.tool_calls.len() {
            let mut call = call.as_object().cloned().unwrap_or_default();
            call.remove("index");
            self.tool_calls.push(call);
            return;
        }
        let more = call["function"]["arguments"].as_str().unwrap_or_default();
        if let Some(Value::String(known)) =
            self.tool_calls[index].get_mut("function").and_then(|f| f.get_mut("arguments"))
        {
            known.push_str(more);
        }
    }
}

/// Returns the `usage` object of a response.
pub fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total_tokens,
    })
}

fn message(text: String, tool_calls: Vec<Map<String, Value>>) -> Value {
    if tool_calls.is_empty() {
        return json!({ "role": "assistant", "content": text });
    }
    let content = if text.is_empty() { Value::Null } else { text.into() };
    json!({ "role": "assistant", "content": content, "tool_calls": tool_calls })
}
