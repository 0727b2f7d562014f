//! Chunks of a model engine's stream, and the checks that an answer is whole and the right one.

use std::borrow::Cow;

use serde::Deserialize;

use super::chat::Kind;
use super::sse::DONE;

/// A token count of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
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

/// Why a stream can't be trusted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamFault {
    /// A chunk is not JSON of the protocol.
    Malformed,
    /// A chunk belongs to another request.
    OtherRequest,
    /// The stream ended before its end mark.
    CutShort,
    /// The end came without finish reason or usage, or data came after the end.
    OutOfOrder,
    /// The token counts don't agree with the chunks received.
    CountMismatch,
    /// The backend server reported an error within the stream.
    Reported,
}

impl StreamFault {
    /// Returns a text for error bodies and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Malformed => "the backend server sent a malformed stream",
            Self::OtherRequest => "the backend server sent the answer to another request",
            Self::CutShort => "the backend server cut the answer short",
            Self::OutOfOrder => "the backend server ended the answer without its end marks",
            Self::CountMismatch => "the backend server's token count does not match its answer",
            Self::Reported => "the backend server reported an error within the answer",
        }
    }
}

/// What one event of a stream holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A token of text.
    Token(String),
    /// A token of another kind, such as of a tool call.
    OtherToken,
    /// No token: a role, or the finish reason.
    Mark,
    /// The usage chunk.
    Usage,
    /// The end mark; the answer is whole.
    Done,
}

/// Checks one stream from its first to its last event.
#[derive(Debug)]
pub struct Checker {
    id: String,
    tokens: u64,
    finish_reason: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

impl Checker {
    /// Makes a checker for the answer to a request with the given `x-request-id`.
    pub fn new(kind: Kind, request: &str) -> Self {
        let id = format!("{}{request}", kind.id_prefix());
        Self { id, tokens: 0, finish_reason: None, usage: None, done: false }
    }

    /// Tokens received.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The finish reason, once received.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// The usage, once received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Checks the data of one event.
    ///
    /// # Errors
    /// If the stream can't be trusted from here on.
    pub fn take(&mut self, data: &[u8]) -> Result<Part, StreamFault> {
        if self.done {
            return Err(StreamFault::OutOfOrder);
        }
        if data == DONE.as_bytes() {
            return self.finish();
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_| fault_of(data))?;
        if !self.is_own(&chunk.id) {
            return Err(StreamFault::OtherRequest);
        }
        match chunk.choices.into_iter().next() {
            Some(choice) => self.take_choice(choice),
            None => self.take_usage(chunk.usage),
        }
    }

    fn is_own(&self, id: &str) -> bool {
        id.strip_prefix(&self.id).is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
    }

    fn take_choice(&mut self, choice: Choice<'_>) -> Result<Part, StreamFault> {
        if self.finish_reason.is_some() {
            return Err(StreamFault::OutOfOrder);
        }
        self.finish_reason = choice.finish_reason.map(Cow::into_owned);
        let other = choice.delta.as_ref().is_some_and(|delta| delta.tool_calls.is_some());
        let text = choice.text.or(choice.delta.and_then(|delta| delta.content));
        let part = match text.filter(|text| !text.is_empty()) {
            Some(text) => Part::Token(text.into_owned()),
            None if other => Part::OtherToken,
            None => Part::Mark,
        };
        self.tokens += u64::from(part != Part::Mark);
        Ok(part)
    }

    fn take_usage(&mut self, usage: Option<Usage>) -> Result<Part, StreamFault> {
        let usage = usage.ok_or(StreamFault::Malformed)?;
        if self.finish_reason.is_none() || self.usage.is_some() {
            return Err(StreamFault::OutOfOrder);
        }
        let sum = usage.prompt_tokens.saturating_add(usage.completion_tokens);
        if usage.completion_tokens != self.tokens || usage.total_tokens != sum {
            return Err(StreamFault::CountMismatch);
        }
        self.usage = Some(usage);
        Ok(Part::Usage)
    }

    fn finish(&mut self) -> Result<Part, StreamFault> {
        if self.finish_reason.is_none() || self.usage.is_none() {
            return Err(StreamFault::OutOfOrder);
        }
        self.done = true;
        Ok(Part::Done)
    }
}

/// Tells an error object from bytes that make no sense.
fn fault_of(data: &[u8]) -> StreamFault {
    #[derive(Deserialize)]
    struct Reported {
        #[serde(rename = "error")]
        _error: serde::de::IgnoredAny,
    }
    match serde_json::from_slice::<Reported>(data) {
        Ok(_) => StreamFault::Reported,
        Err(_) => StreamFault::Malformed,
    }
}
