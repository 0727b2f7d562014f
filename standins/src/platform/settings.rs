//! Settings and faults of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::calls::label_matches;
use crate::ANY_PORT;

/// Settings of the platform.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Object writes accepted in one second; no limit if absent.
    pub writes_per_second: Option<u32>,
    /// Reads and watches accepted in one second; no limit if absent.
    pub reads_per_second: Option<u32>,
    /// Weight reads accepted in one second; no limit if absent.
    pub weights_per_second: Option<u32>,
    /// Size of each model in the weight store.
    pub weight_bytes: u64,
    /// How far the instance list is behind.
    pub list_lag: Duration,
    /// Time from an order to start until the backend server runs.
    pub start_time: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            writes_per_second: None,
            reads_per_second: None,
            weights_per_second: None,
            weight_bytes: 1 << 30,
            list_lag: Duration::ZERO,
            start_time: Duration::ZERO,
        }
    }
}

/// How calls fail during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// They are answered with 503.
    Unavailable,
    /// They are never answered.
    Hang,
    /// Their connections are reset.
    Reset,
}

/// Answers that are lost after the call took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostAnswer {
    /// Words that the label of the call must have, such as `update leases`; empty for any.
    pub matching: String,
    /// Number of answers to lose.
    pub count: u32,
    /// Whether the connection stays open without an answer instead of being reset.
    #[serde(default)]
    pub hang: bool,
}

/// Faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// How calls fail, if they do.
    pub outage: Option<Outage>,
    /// The calls that the outage concerns, by words of their label; all if empty.
    pub outage_of: Vec<String>,
    /// Time added to each call in milliseconds.
    pub slow_ms: u64,
    /// Answers to lose.
    pub lost_answers: Vec<LostAnswer>,
}

impl PlatformFaults {
    /// Returns whether the outage concerns calls with this label.
    pub(super) fn concerns(&self, label: &str) -> bool {
        self.outage_of.is_empty() || self.outage_of.iter().any(|words| label_matches(label, words))
    }

    /// Takes one lost answer for a call; returns whether its connection hangs.
    pub(super) fn take_lost(&mut self, label: &str) -> Option<bool> {
        let lost = self
            .lost_answers
            .iter_mut()
            .find(|lost| lost.count > 0 && label_matches(label, &lost.matching))?;
        lost.count -= 1;
        Some(lost.hang)
    }
}
