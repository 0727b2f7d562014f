//! Settings and faults of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ANY_PORT;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name of the model that it lists; it answers for any model.
    pub model: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait at once; more are refused.
    pub waiting_limit: usize,
    /// Time between tokens.
    pub token_gap: Duration,
    /// Time from the start of a run to its first token, beside the time for its prompt.
    pub first_token: Duration,
    /// Time for each prompt word that is not in the prefix cache.
    pub prompt_word: Duration,
    /// Size of the prefix cache in blocks.
    pub cached_blocks: usize,
    /// Time from a start until the engine is warm.
    pub cold_start: Duration,
    /// Requests, running or waiting, that the engine bears while cold.
    pub cold_limit: usize,
    /// Factor on the time to the first token while cold.
    pub cold_factor: u32,
    /// How far load reports are behind.
    pub report_lag: Duration,
    /// Whether it goes on after the text of a final assistant message.
    pub resumes: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            model: "model".to_owned(),
            slots: 8,
            waiting_limit: 64,
            token_gap: Duration::from_millis(5),
            first_token: Duration::from_millis(5),
            prompt_word: Duration::from_micros(20),
            cached_blocks: 4_096,
            cold_start: Duration::ZERO,
            cold_limit: 2,
            cold_factor: 4,
            report_lag: Duration::ZERO,
            resumes: true,
        }
    }
}

/// Faults of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on the time to and between tokens.
    pub slow: u32,
    /// Answers 503 before any work.
    pub unavailable: bool,
    /// Sends nothing after this many tokens, and keeps the connection open.
    pub silent_after: Option<u64>,
    /// Cuts the connection after this many tokens.
    pub cut_after: Option<u64>,
    /// Ends the stream cleanly after this many tokens, without a finish mark.
    pub stop_after: Option<u64>,
    /// Time before the answer begins, in milliseconds.
    pub late_ms: u64,
    /// Answers with the identifier and text of another request.
    pub crossed: bool,
    /// Sends bytes that are not part of the protocol in place of the second token.
    pub nonsense: bool,
    /// Resets the connection instead of taking the request in.
    pub reset_before: bool,
    /// Number of requests that the faults apply to; all if absent.
    pub for_next: Option<u32>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1,
            unavailable: false,
            silent_after: None,
            cut_after: None,
            stop_after: None,
            late_ms: 0,
            crossed: false,
            nonsense: false,
            reset_before: false,
            for_next: None,
        }
    }
}
