//! A request that was authenticated and classified, and what is noted about it.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::auth::Caller;
use crate::config::Class;
use crate::context::Context;
use crate::event::{About, EventKind};
use crate::home::RunningGuard;
use crate::home::client::RequestStats;
use crate::metrics::{Counter, Timing};
use crate::names::{BackendServerName, RequestId, RouteName};
use crate::outcome::Refusal;
use crate::usage::ServedRequest;

/// A request to be served.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Its identifier.
    pub id: RequestId,
    /// Who it runs for.
    pub caller: Caller,
    /// Its class.
    pub class: Class,
    /// Its route.
    pub route: RouteName,
    /// Whether it may be run again.
    pub repeatable: bool,
    /// When it was received.
    pub received_at: Instant,
    /// Its place among the running requests of its organisation.
    pub running_guard: Arc<RunningGuard>,
}

/// Times measured over the answer as the caller sees it.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTimes {
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    tokens: u64,
}

impl RequestInfo {
    /// Returns what events about the request name.
    pub fn about(&self, server: Option<&BackendServerName>) -> About {
        About {
            request: Some(self.id.clone()),
            organisation: Some(self.caller.organisation.clone()),
            backend_server: server.cloned(),
        }
    }

    /// Returns the time left until the first token is late.
    pub fn time_left(&self) -> Duration {
        self.class.first_token().saturating_sub(self.received_at.elapsed())
    }

    /// Charges the tokens to the organisation's limit; returns the record to bill.
    pub fn charge_usage(&self, prompt_tokens: u64, output_tokens: u64) -> ServedRequest {
        self.running_guard.charge_tokens(prompt_tokens + output_tokens);
        ServedRequest {
            request: self.id.clone(),
            organisation: self.caller.organisation.clone(),
            class: self.class.name.clone(),
            route: self.route.clone(),
            prompt_tokens,
            output_tokens,
        }
    }

    /// Notes a refusal.
    pub fn record_refusal(&self, cx: &Context, refusal: &Refusal) {
        let code = refusal.code().as_str();
        cx.metrics.add(Counter::Refused, code, 1);
        let detail = format!("{code}, {}", refusal.ran().as_str());
        tracing::info!(request = %self.id, code, ran = refusal.ran().as_str(), "request refused");
        cx.recorder.record_about(EventKind::Refuse, self.about(None), detail);
    }

    /// Notes a whole answer.
    pub fn record_completion(
        &self,
        cx: &Context,
        token_times: &TokenTimes,
        server: &BackendServerName,
        tokens: u64,
    ) {
        let class = self.class.name.as_str();
        let first_token = token_times.time_to_first_token(self.received_at);
        if let Some(time) = first_token {
            cx.metrics.time(Timing::FirstToken, class, time);
        }
        let first_in_time = first_token.is_none_or(|time| time <= self.class.first_token());
        let gap_in_time =
            token_times.mean_token_gap().is_none_or(|gap| gap <= self.class.token_gap());
        if first_in_time && gap_in_time {
            cx.metrics.add(Counter::Attained, class, 1);
            cx.metrics.add(Counter::GoodTokens, class, tokens);
        } else {
            cx.metrics.add(Counter::Missed, class, 1);
            cx.metrics.add(Counter::WastedTokens, "late", tokens);
        }
        tracing::info!(request = %self.id, class, server = %server, tokens, "request served");
        let detail = format!("whole answer of {tokens} tokens");
        cx.recorder.record_about(EventKind::Finish, self.about(Some(server)), detail);
    }

    /// Notes an answer that nobody could use.
    pub fn record_waste(&self, cx: &Context, reason: &'static str, tokens: u64) {
        cx.metrics.add(Counter::WastedTokens, reason, tokens);
        tracing::info!(request = %self.id, reason, tokens, "answer not delivered");
        let detail = format!("{reason}, {tokens} tokens");
        cx.recorder.record_about(EventKind::Finish, self.about(None), detail);
    }
}

impl TokenTimes {
    /// Notes a token; returns the time since the one before.
    pub fn record_token(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let gap = self.last_token_at.map(|last| now - last);
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += 1;
        gap
    }

    /// Returns the time from a point to the first token.
    pub fn time_to_first_token(&self, since: Instant) -> Option<Duration> {
        self.first_token_at.map(|first| first.saturating_duration_since(since))
    }

    /// Returns the mean time between tokens.
    pub fn mean_token_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok().filter(|gaps| *gaps > 0)?;
        Some((self.last_token_at? - self.first_token_at?) / gaps)
    }

    /// Returns the figures for the home instance of an attempt that was sent at a point.
    pub fn request_stats(&self, sent: Instant, prompt_tokens: u64) -> RequestStats {
        RequestStats {
            prompt_tokens,
            output_tokens: self.tokens,
            first_token: self.time_to_first_token(sent),
            token_gap: self.mean_token_gap(),
        }
    }
}
