//! Outcomes of attempts to migrate a run to another engine.

use std::fmt;

use crate::names::BackendServerName;
use crate::platform::engine::CopyError;

/// Outcome label of a migration that succeeded.
pub const COMPLETED: &str = "completed";

/// Reason why a run was not migrated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MigrationError {
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
    pub fn label(&self) -> &'static str {
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
    pub fn may_be_retried(&self) -> bool {
        match self {
            Self::NoEngine | Self::BudgetExhausted => true,
            Self::Copy(_, error) => *error != CopyError::RunEnded,
            Self::RunEnded | Self::KeyRejected | Self::NotContinued(_) => false,
        }
    }

    /// Returns the engine that had no room for the run.
    pub fn refused_by(&self) -> Option<&BackendServerName> {
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
