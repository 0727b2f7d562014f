//! Parsing and validation of a model engine's response stream.

use std::borrow::Cow;

use serde::Deserialize;

use super::chat::Endpoint;
use super::sse::DONE;

/// Token usage of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and output tokens.
    pub total_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Chunk<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice<'a> {
    #[serde(borrow)]
    delta: Option<Delta<'a>>,
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Debug, Deserialize)]
struct Delta<'a> {
    #[serde(borrow)]
    content: Option<Cow<'a, str>>,
    tool_calls: Option<serde::de::IgnoredAny>,
}

/// Why a stream is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamError {
    /// An event is not a valid JSON chunk.
    Malformed,
    /// A chunk carries the id of another request.
    WrongRequest,
    /// The stream ended before its end marker.
    Truncated,
    /// Events arrived out of order: an end without finish reason or usage, or data after the end.
    OutOfOrder,
    /// The reported token counts differ from the number of received tokens.
    TokenCountMismatch,
    /// The backend server sent an error object within the stream.
    ErrorEvent,
}

impl StreamError {
    /// Returns the message for error bodies and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Malformed => "the backend server sent a malformed stream",
            Self::WrongRequest => "the backend server sent the answer to another request",
            Self::Truncated => "the backend server cut the answer short",
            Self::OutOfOrder => "the backend server ended the answer without its end marks",
            Self::TokenCountMismatch => {
                "the backend server's token count does not match its answer"
            }
            Self::ErrorEvent => "the backend server reported an error within the answer",
        }
    }
}

/// The content of one stream event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventContent {
    /// A text token.
    Token(String),
    /// A token other than text, such as part of a tool call.
    NonTextToken,
    /// No token; carries a role or the finish reason.
    NoToken,
    /// The usage chunk.
    Usage,
    /// The end marker; the response is complete.
    Done,
}

/// Validates the events of one stream in order.
#[derive(Debug)]
pub struct StreamValidator {
    id: String,
    tokens: u64,
    finish_reason: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

impl StreamValidator {
    /// Creates a validator for the response to a request with the given `x-request-id`.
    pub fn new(endpoint: Endpoint, request: &str) -> Self {
        let id = format!("{}{request}", endpoint.id_prefix());
        Self { id, tokens: 0, finish_reason: None, usage: None, done: false }
    }

    /// Returns the number of tokens received so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the finish reason, once received.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// Returns the token usage, once received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Validates the data of the next event.
    ///
    /// # Errors
    /// If the stream is invalid; the rest of it must be discarded.
    pub fn validate_event(&mut self, data: &[u8]) -> Result<EventContent, StreamError> {
        if self.done {
            return Err(StreamError::OutOfOrder);
        }
        if data == DONE.as_bytes() {
            return self.finish();
        }
        let chunk: Chunk<'_> =
            serde_json::from_slice(data).map_err(|_| classify_invalid_event(data))?;
        if !self.has_own_id(&chunk.id) {
            return Err(StreamError::WrongRequest);
        }
        match chunk.choices.into_iter().next() {
            Some(choice) => self.process_choice(choice),
            None => self.process_usage(chunk.usage),
        }
    }

    /// Returns whether an id belongs to this request: the expected id, or that id with a suffix
    /// that starts with `-`.
    fn has_own_id(&self, id: &str) -> bool {
        id.strip_prefix(&self.id).is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
    }

    fn process_choice(&mut self, choice: Choice<'_>) -> Result<EventContent, StreamError> {
        if self.finish_reason.is_some() {
            return Err(StreamError::OutOfOrder);
        }
        self.finish_reason = choice.finish_reason.map(Cow::into_owned);
        let has_tool_calls = choice.delta.as_ref().is_some_and(|delta| delta.tool_calls.is_some());
        let text = choice.text.or(choice.delta.and_then(|delta| delta.content));
        let content = match text.filter(|text| !text.is_empty()) {
            Some(text) => EventContent::Token(text.into_owned()),
            None if has_tool_calls => EventContent::NonTextToken,
            None => EventContent::NoToken,
        };
        self.tokens += u64::from(content != EventContent::NoToken);
        Ok(content)
    }

    fn process_usage(&mut self, usage: Option<Usage>) -> Result<EventContent, StreamError> {
        let usage = usage.ok_or(StreamError::Malformed)?;
        if self.finish_reason.is_none() || self.usage.is_some() {
            return Err(StreamError::OutOfOrder);
        }
        let sum = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        if usage.completion_tokens != self.tokens || usage.total_tokens != sum {
            return Err(StreamError::TokenCountMismatch);
        }
        self.usage = Some(usage);
        Ok(EventContent::Usage)
    }

    fn finish(&mut self) -> Result<EventContent, StreamError> {
        if self.finish_reason.is_none() || self.usage.is_none() {
            return Err(StreamError::OutOfOrder);
        }
        self.done = true;
        Ok(EventContent::Done)
    }
}

/// Distinguishes an error object from malformed data.
fn classify_invalid_event(data: &[u8]) -> StreamError {
    #[derive(Deserialize)]
    struct ErrorEvent {
        #[serde(rename = "error")]
        _error: serde::de::IgnoredAny,
    }
    match serde_json::from_slice::<ErrorEvent>(data) {
        Ok(_) => StreamError::ErrorEvent,
        Err(_) => StreamError::Malformed,
    }
}
