//! An authenticated and classified request, and its metrics, logs and timeline events.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::auth::Caller;
use crate::config::Class;
use crate::context::Context;
use crate::event::{EventKind, EventSubject};
use crate::home::RunningGuard;
use crate::home::client::RequestStats;
use crate::metrics::{Counter, DurationMetric};
use crate::names::{BackendServerName, RequestId, RouteName};
use crate::outcome::Refusal;
use crate::usage::ServedRequest;

/// An authenticated and classified request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// The request id.
    pub id: RequestId,
    /// The authenticated caller.
    pub caller: Caller,
    /// The request class.
    pub class: Class,
    /// The matched route.
    pub route: RouteName,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// Time at which the request was received.
    pub received_at: Instant,
    /// Counts the request as running for its organisation until dropped.
    pub running_guard: Arc<RunningGuard>,
}

/// Arrival times of the tokens of a response, including those of earlier attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenTimes {
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    tokens: u64,
}

impl RequestInfo {
    /// Returns the subject of timeline events about the request.
    pub fn about(&self, server: Option<&BackendServerName>) -> EventSubject {
        EventSubject {
            request: Some(self.id.clone()),
            organisation: Some(self.caller.organisation.clone()),
            backend_server: server.cloned(),
        }
    }

    /// Returns the time remaining until the first-token target is missed.
    pub fn time_left(&self) -> Duration {
        self.class.first_token_target().saturating_sub(self.received_at.elapsed())
    }

    /// Charges the tokens to the organisation's limit; returns the usage to be billed.
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

    /// Records a refusal.
    pub fn record_refusal(&self, cx: &Context, refusal: &Refusal) {
        let code = refusal.code().as_str();
        cx.metrics.add(Counter::Refused, code, 1);
        let detail = format!("{code}, {}", refusal.ran().as_str());
        tracing::info!(request = %self.id, code, ran = refusal.ran().as_str(), "request refused");
        cx.recorder.record_for(EventKind::Refuse, self.about(None), detail);
    }

    /// Records a complete response and whether it met the latency targets of its class.
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
            cx.metrics.record_duration(DurationMetric::FirstToken, class, time);
        }
        let first_in_time = first_token.is_none_or(|time| time <= self.class.first_token_target());
        let gap_in_time =
            token_times.mean_token_gap().is_none_or(|gap| gap <= self.class.token_gap_target());
        if first_in_time && gap_in_time {
            cx.metrics.add(Counter::Attained, class, 1);
            cx.metrics.add(Counter::GoodTokens, class, tokens);
        } else {
            cx.metrics.add(Counter::Missed, class, 1);
            cx.metrics.add(Counter::WastedTokens, "late", tokens);
        }
        tracing::info!(request = %self.id, class, server = %server, tokens, "request served");
        let detail = format!("whole answer of {tokens} tokens");
        cx.recorder.record_for(EventKind::Finish, self.about(Some(server)), detail);
    }

    /// Records a response that was not delivered to the caller.
    pub fn record_waste(&self, cx: &Context, reason: &'static str, tokens: u64) {
        cx.metrics.add(Counter::WastedTokens, reason, tokens);
        tracing::info!(request = %self.id, reason, tokens, "response not delivered");
        let detail = format!("{reason}, {tokens} tokens");
        cx.recorder.record_for(EventKind::Finish, self.about(None), detail);
    }
}

impl TokenTimes {
    /// Records a token; returns the time since the previous one.
    pub fn record_token(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let gap = self.last_token_at.map(|last| now - last);
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += 1;
        gap
    }

    /// Returns the time from `since` to the first token.
    pub fn time_to_first_token(&self, since: Instant) -> Option<Duration> {
        self.first_token_at.map(|first| first.saturating_duration_since(since))
    }

    /// Returns the mean time between consecutive tokens.
    pub fn mean_token_gap(&self) -> Option<Duration> {
        let gaps = u32::try_from(self.tokens.checked_sub(1)?).ok().filter(|gaps| *gaps > 0)?;
        Some((self.last_token_at? - self.first_token_at?) / gaps)
    }

    /// Returns the statistics reported to the home instance after an attempt sent at `sent`.
    ///
    /// They cover the tokens of earlier attempts too; if the first token came before `sent`, the
    /// time to the first token is zero.
    pub fn request_stats(&self, sent: Instant, prompt_tokens: u64) -> RequestStats {
        RequestStats {
            prompt_tokens,
            output_tokens: self.tokens,
            first_token: self.time_to_first_token(sent),
            token_gap: self.mean_token_gap(),
        }
    }
}
