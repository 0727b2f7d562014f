//! A caller that checks the answers it gets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use reqwest::redirect::Policy;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use standins::tokens;

use super::STEP_BOUND;

/// An answer as the caller received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The HTTP status; 0 if there was none.
    pub status: u16,
    /// The header `x-request-id`.
    pub request_id: String,
    /// The text of all tokens.
    pub text: String,
    /// The `id` fields seen.
    pub ids: BTreeSet<String>,
    /// The finish mark.
    pub finish_reason: Option<String>,
    /// Whether `data: [DONE]`, or a whole JSON value, was received.
    pub done: bool,
    /// The field `usage`.
    pub usage: Value,
    /// The field `error`.
    pub error: Value,
    /// Whether the connection broke.
    pub broken: bool,
    /// The header `retry-after`.
    pub retry_after: Option<String>,
    /// The body as it came.
    pub body: String,
}

impl Answer {
    /// Returns the code of the error, or an empty text.
    pub fn code(&self) -> &str {
        self.error["code"].as_str().unwrap_or_default()
    }

    /// Returns what the error says about whether the request ran, or an empty text.
    pub fn ran(&self) -> &str {
        self.error["ran"].as_str().unwrap_or_default()
    }

    /// Returns whether the answer looks whole to a caller.
    pub fn looks_whole(&self) -> bool {
        self.status == 200 && self.done && self.error.is_null() && !self.broken
    }

    /// Returns whether the answer is whole, and the one to these messages.
    pub fn is_whole(&self, messages: &Value, count: u64) -> bool {
        self.looks_whole()
            && self.text == tokens::answer(messages, count)
            && self.finish_reason.is_some()
            && self.usage["completion_tokens"] == count
            && self.ids.iter().all(|id| id.ends_with(&self.request_id))
    }

    /// Checks that the answer is whole, and the one to these messages.
    pub fn assert_whole(&self, messages: &Value, count: u64) {
        assert!(self.is_whole(messages, count), "not the whole answer: {self:?}");
    }

    /// Checks that the answer is whole, or an error that a caller can't take for a whole one.
    pub fn assert_whole_or_error(&self, messages: &Value, count: u64) {
        if self.looks_whole() {
            self.assert_whole(messages, count);
        } else {
            assert!(self.broken || !self.code().is_empty(), "neither whole nor an error: {self:?}");
        }
    }

    fn take_event(&mut self, event: &str) {
        if event == "[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value =
            serde_json::from_str(event).unwrap_or_else(|_| json!({ "error": event }));
        self.take_value(&chunk, "delta");
    }

    /// Takes a chunk, or a whole answer, in.
    fn take_value(&mut self, value: &Value, part: &str) {
        if !value["error"].is_null() {
            self.error = value["error"].clone();
            return;
        }
        if let Some(id) = value["id"].as_str() {
            self.ids.insert(id.to_owned());
        }
        let choice = &value["choices"][0];
        let text = choice[part]["content"].as_str().or_else(|| choice["text"].as_str());
        self.text.push_str(text.unwrap_or_default());
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(reason.to_owned());
        }
        if !value["usage"].is_null() {
            self.usage = value["usage"].clone();
        }
    }
}

/// A caller with a key and connections that are kept alive.
#[derive(Clone)]
pub struct Caller {
    http: Client,
    base: String,
    key: String,
}

impl Caller {
    /// Makes a caller of an instance.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let http = Client::builder().no_proxy().redirect(Policy::none()).build();
        let http = http.expect("no HTTP client");
        Self { http, base: format!("http://{address}"), key: key.to_owned() }
    }

    /// Builds a request with the key.
    pub fn request(&self, method: reqwest::Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.base)).bearer_auth(&self.key)
    }

    /// Builds a chat request.
    pub fn chat_request(&self, body: &Value) -> RequestBuilder {
        self.request(reqwest::Method::POST, "/v1/chat/completions").json(body)
    }

    /// Asks for a streamed chat answer and reads it to its end.
    pub async fn stream(&self, messages: &Value, tokens: u64) -> Answer {
        read(self.chat_request(&chat_body(messages, tokens, true))).await
    }

    /// Asks for a whole chat answer.
    pub async fn whole(&self, messages: &Value, tokens: u64) -> Answer {
        read(self.chat_request(&chat_body(messages, tokens, false))).await
    }

    /// Posts to a plain service, with an idempotency key if one is given.
    pub async fn post(&self, path: &str, idempotency_key: Option<&str>, body: &str) -> Answer {
        let mut req = self.request(reqwest::Method::POST, path).body(body.to_owned());
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        read(req).await
    }
}

/// Returns one user message.
pub fn user(text: &str) -> Value {
    json!([{ "role": "user", "content": text }])
}

/// Returns the body of a chat request.
pub fn chat_body(messages: &Value, tokens: u64, stream: bool) -> Value {
    let mut body = json!({
        "model": "timing-model", "messages": messages, "max_tokens": tokens, "stream": stream,
    });
    if stream {
        body["stream_options"] = json!({ "include_usage": true });
    }
    body
}

/// Sends a request and reads its answer to the end, however it ends.
pub async fn read(req: RequestBuilder) -> Answer {
    match tokio::time::timeout(STEP_BOUND, req.send()).await {
        Ok(Ok(rsp)) => read_response(rsp).await,
        Ok(Err(_)) => Answer { broken: true, ..Default::default() },
        Err(_) => panic!("no answer began within {STEP_BOUND:?}"),
    }
}

/// Reads an answer to its end.
pub async fn read_response(rsp: Response) -> Answer {
    let header = |name: &str| {
        let value = rsp.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let streamed = header("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut answer = Answer {
        status: rsp.status().as_u16(),
        request_id: header("x-request-id").unwrap_or_default(),
        retry_after: header("retry-after"),
        ..Default::default()
    };
    let (body, broken) = read_body(rsp).await;
    answer.broken = broken;
    if streamed {
        let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
        events.for_each(|event| answer.take_event(event));
    } else if !broken {
        let value = serde_json::from_str(&body).unwrap_or(Value::Null);
        answer.take_value(&value, "message");
        answer.done = true;
    }
    answer.body = body;
    answer
}

/// Reads a body; returns what came and whether the connection broke.
async fn read_body(rsp: Response) -> (String, bool) {
    let mut bytes = Vec::new();
    let mut stream = rsp.bytes_stream();
    loop {
        match tokio::time::timeout(STEP_BOUND, stream.next()).await {
            Ok(Some(Ok(piece))) => bytes.extend_from_slice(&piece),
            Ok(None) => return (String::from_utf8_lossy(&bytes).into_owned(), false),
            Ok(Some(Err(_))) => return (String::from_utf8_lossy(&bytes).into_owned(), true),
            Err(_) => panic!("an answer is silent for {STEP_BOUND:?}"),
        }
    }
}

/// Pause between two requests of a loop.
pub const BETWEEN_REQUESTS: Duration = Duration::from_millis(20);
