//! Migration of a stream's run to another engine.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use http_body_util::{BodyExt, Limited};

use super::StreamRelay;
use crate::gateway::attempt::{ResumePoint, SendOutcome, send};
use crate::gateway::events::MAX_EVENT_BYTES;
use crate::gateway::links::{ConnectionError, connect};
use crate::names::BackendServerName;
use crate::platform::engine::{self, CopyError, MigratedKvCache};

/// Maximum size of the response to a KV cache copy.
const MAX_MIGRATION_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum size of the events that follow a run's stop, which are buffered until the stream ends.
const MAX_REST_BYTES: usize = MAX_EVENT_BYTES;
/// Timeout of each step of a migration: a KV cache copy, or reading the rest of the old stream.
const MIGRATION_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Outcome label of a migration that succeeded.
const COMPLETED: &str = "completed";

/// Reason why a run was not migrated.
#[derive(Debug, Clone, PartialEq, Eq)]
enum MigrationError {
    /// The run ended before its migration.
    RunEnded,
    /// No engine is left that may get the run.
    NoEngine,
    /// The caller's key was withdrawn or can't be verified any more.
    KeyRejected,
    /// The retry budget is exhausted.
    BudgetExhausted,
    /// The KV cache was not copied to the engine.
    Copy(BackendServerName, CopyError),
    /// The KV cache was copied, but the engine did not continue the run.
    NotContinued(String),
}

impl MigrationError {
    /// Returns the outcome label of logs and metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::RunEnded | Self::Copy(_, CopyError::RunEnded) => "run ended",
            Self::NoEngine => "no engine",
            Self::KeyRejected => "key rejected",
            Self::BudgetExhausted => "retry budget exhausted",
            Self::Copy(_, CopyError::NoRoom) => "no room",
            Self::Copy(_, CopyError::InProgress) => "copy in progress",
            Self::Copy(_, CopyError::Failed(_)) => "copy failed",
            Self::NotContinued(_) => "not continued",
        }
    }

    /// Returns whether another attempt may succeed; otherwise the run has ended or must not go on.
    fn may_be_retried(&self) -> bool {
        match self {
            Self::NoEngine | Self::BudgetExhausted => true,
            Self::Copy(_, error) => *error != CopyError::RunEnded,
            Self::RunEnded | Self::KeyRejected | Self::NotContinued(_) => false,
        }
    }

    /// Returns the engine that had no room for the run.
    fn refused_by(&self) -> Option<&BackendServerName> {
        match self {
            Self::Copy(engine, CopyError::NoRoom) => Some(engine),
            _ => None,
        }
    }
}

impl fmt::Display for MigrationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RunEnded => f.write_str("the run has ended"),
            Self::NoEngine => f.write_str("no other engine is available"),
            Self::KeyRejected => f.write_str("the key was withdrawn or can't be verified any more"),
            Self::BudgetExhausted => f.write_str("the retry budget is exhausted"),
            Self::Copy(engine, error) => write!(f, "copying the KV cache to {engine}: {error}"),
            Self::NotContinued(why) => write!(f, "the engine did not continue the run: {why}"),
        }
    }
}

impl StreamRelay {
    /// Returns whether the backend server shuts down and an attempt to migrate the run is due.
    pub(super) fn should_migrate(&self) -> bool {
        let Some((_, run)) = self.current_run.as_ref() else { return false };
        let draining_since = self.cx.fleet.borrow().draining_since(&run.server);
        self.migrations.is_due(Instant::now(), draining_since)
    }

    /// Attempts to migrate the run, and records the outcome.
    pub(super) async fn migrate_and_record(&mut self) {
        let now = Instant::now();
        self.migrations.record_start(now);
        let error = match self.migrate().await {
            Ok(()) => {
                self.migrations.record_success();
                self.record.migration_ended(COMPLETED, None);
                return;
            }
            Err(error) => error,
        };
        tracing::debug!(%error, "run not migrated");
        self.record.migration_ended(error.label(), error.refused_by());
        if let Some(engine) = error.refused_by() {
            self.cx.loads.borrow_mut().get_or_insert(engine).record_refused_copy(now);
            self.migrations.record_refusal(engine.clone());
        } else if !error.may_be_retried() {
            self.migrations.exclude();
        }
    }

    /// Migrates the run with its KV cache to another engine and continues the stream there.
    ///
    /// # Errors
    /// Describes why the migration failed; the run continues at its engine or has ended.
    async fn migrate(&mut self) -> Result<(), MigrationError> {
        let Some((_, run)) = &self.current_run else { return Err(MigrationError::RunEnded) };
        let (from, address) = (run.server.clone(), run.address);
        let service = &self.request.service;
        let mut excluded = self.history.clone();
        excluded.record_send(from.clone());
        let alternative = self.cx.choose_for_migration(&self.request, &excluded, &self.migrations);
        let (choice, server) = alternative.ok_or(MigrationError::NoEngine)?;
        self.check_key().map_err(|_| MigrationError::KeyRejected)?;
        if !self.cx.has_retry(&service.name) {
            return Err(MigrationError::BudgetExhausted);
        }
        // Pre-copy: most of the cache is copied while the run continues, so that the run has to
        // stop only for the remainder.
        let copy_error = |error| MigrationError::Copy(choice.server.clone(), error);
        let target = server.entry.address;
        self.copy_kv_cache(address, target, false).await.map_err(copy_error)?;
        // A refused copy sends no request, so it takes nothing from the budget.
        if !self.cx.take_retry(&service.name) {
            return Err(MigrationError::BudgetExhausted);
        }
        let stopped = self.copy_kv_cache(address, target, true).await;
        let may_be_stopped = matches!(&stopped, Err(error) if *error != CopyError::RunEnded);
        if may_be_stopped && self.ends_with_connection {
            // The end of a run that was stopped would look like a regular one.
            self.fail();
        }
        let kv_cache = stopped.map_err(copy_error)?;
        let mut rest = BytesMut::new();
        let read = tokio::time::timeout(MIGRATION_CALL_TIMEOUT, self.read_rest(&mut rest)).await;
        self.record.send_ended(match read {
            Ok(Ok(())) => "moved",
            Ok(Err(why)) => why,
            Err(_) => "moved; the stream of the stopped run did not end in time",
        });
        self.current_run = None;
        self.pending = (!rest.is_empty()).then(|| rest.freeze());
        self.record.send_started(&choice);
        self.history.record_send(choice.server.clone());
        let last_event = self.last_event;
        let resume = ResumePoint { last_event, kv_cache: Some(&kv_cache) };
        let wait = self.request.time_left();
        match send(&self.cx, &self.request, &choice, &server, wait, resume).await {
            SendOutcome::Response(reply) => {
                self.continue_with(*reply).map_err(MigrationError::NotContinued)
            }
            SendOutcome::NotRun | SendOutcome::Misdirected => {
                Err(MigrationError::NotContinued("not accepted".to_owned()))
            }
            SendOutcome::NotSent(why) | SendOutcome::Unknown(why) => {
                Err(MigrationError::NotContinued(why))
            }
        }
    }

    async fn copy_kv_cache(
        &self,
        source_address: SocketAddr,
        target_address: SocketAddr,
        stops_run: bool,
    ) -> Result<MigratedKvCache, CopyError> {
        let attempt = self.request.head.attempt.as_ref().ok_or(CopyError::RunEnded)?;
        let req = engine::migration_request(source_address, attempt, target_address, stops_run)
            .map_err(|error| CopyError::Failed(error.to_string()))?;
        let call = async {
            // The response doesn't say which run it is about.
            let mut connection = connect(source_address).await?;
            let (parts, body) = connection.send(req).await?.into_parts();
            let body = Limited::new(body, MAX_MIGRATION_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| ConnectionError::NoResponse(error.to_string()))?;
            Ok((parts.status, body.to_bytes()))
        };
        let result: Result<_, ConnectionError> =
            tokio::time::timeout(MIGRATION_CALL_TIMEOUT, call).await.map_err(|_| {
                let timeout_ms = MIGRATION_CALL_TIMEOUT.as_millis();
                CopyError::Failed(format!("no response within {timeout_ms} ms"))
            })?;
        let (status, body) = result.map_err(|error| match error {
            ConnectionError::NotSent(why) | ConnectionError::NoResponse(why) => {
                CopyError::Failed(why)
            }
        })?;
        engine::parse_migration_response(source_address, status, &body)
    }

    /// Reads the rest of a stopped run's stream and appends its complete events to `rest`.
    ///
    /// # Errors
    /// If the engine sends something else or does not stop, which may go on without end.
    async fn read_rest(&mut self, rest: &mut BytesMut) -> Result<(), &'static str> {
        while let Some((body, _)) = &mut self.current_run {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                // The stream of a stopped run ends without a final chunk.
                Some(Err(_)) | None => break,
            }
            self.take_events(rest);
            if self.splitter.has_foreign_bytes() {
                return Err("moved; bytes that are no event followed in the stopped run's stream");
            }
            if rest.len() > MAX_REST_BYTES || self.splitter.is_event_too_long() {
                return Err("moved; the rest of the stopped run's stream was too long");
            }
        }
        self.take_events(rest);
        Ok(())
    }

    fn take_events(&mut self, rest: &mut BytesMut) {
        if let Some(events) = self.splitter.take_complete() {
            self.last_event = events.last_id.or(self.last_event);
            rest.extend_from_slice(&events.bytes);
        }
    }
}
