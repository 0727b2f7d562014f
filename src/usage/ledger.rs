//! Handle to the usage task, which records served requests for billing.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::names::{ClassName, OrganisationName, RequestId, RouteName};
use crate::options::Options;
use crate::peer::generated::v1::KeepUsageRequest;

/// Maximum time that a request waits until its record is replicated.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time that a flush waits until all records are durable.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Regular writes of a tally within one usage window.
const FLUSHES_PER_WINDOW: u32 = 4;

value! {
    /// A served request to bill.
    pub struct ServedRequest {
        /// Identifier of the request.
        pub request: RequestId,
        /// Organisation to bill.
        pub organisation: OrganisationName,
        /// Request class.
        pub class: ClassName,
        /// Route of the request.
        pub route: RouteName,
        /// Tokens in the prompt.
        pub prompt_tokens: u64,
        /// Tokens in the response.
        pub output_tokens: u64,
    }
}

/// Intervals and timeouts of the usage task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Interval at which local records are written to the tally.
    pub flush_period: Duration,
    /// Timeout of a call to a replica.
    pub replication_timeout: Duration,
    /// Absence of an instance after which its replicated records are written on its behalf.
    pub absence_timeout: Duration,
    /// Age after which replicated records are written even if their instance seems alive.
    pub max_replica_age: Duration,
    /// Interval at which failed writes are retried.
    pub retry_period: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self::from_options(&Options::default())
    }
}

impl LedgerSettings {
    /// Derives the settings from the options of an instance.
    pub fn from_options(options: &Options) -> Self {
        Self {
            flush_period: options.usage_window / FLUSHES_PER_WINDOW,
            replication_timeout: REPLICATION_TIMEOUT,
            absence_timeout: options.suspect_after,
            max_replica_age: options.usage_window * 2,
            retry_period: Duration::from_millis(250),
        }
    }
}

/// Error: the limit of replicated records for a process is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStoreFull;

impl std::fmt::Display for ReplicaStoreFull {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("too many usage records are kept for the instance")
    }
}

impl std::error::Error for ReplicaStoreFull {}

/// A message to the usage task.
pub(super) enum Message {
    /// Records a served request; answered once the record is replicated or durable.
    Record(ServedRequest, oneshot::Sender<()>),
    /// Stores records of another instance.
    StoreReplica(KeepUsageRequest, oneshot::Sender<Result<(), ReplicaStoreFull>>),
    /// Writes all local records; answered once they are durable.
    Flush(oneshot::Sender<()>),
}

/// Handle to the usage task. Clones refer to the same task.
#[derive(Clone)]
pub struct Ledger {
    tx: mpsc::Sender<Message>,
}

impl Ledger {
    pub(super) fn new(tx: mpsc::Sender<Message>) -> Self {
        Self { tx }
    }

    /// Records a served request; returns once the record is replicated, or after a timeout.
    ///
    /// Must be called before the end of the response is sent to the caller, so that no completed
    /// request goes unbilled.
    pub async fn record(&self, served: ServedRequest) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Record(served, tx)).await.is_ok() {
            // After the timeout the task continues to replicate the record in the background.
            let _ = tokio::time::timeout(REPLICATION_TIMEOUT, rx).await;
        }
    }

    /// Stores records of another instance until they are durable.
    ///
    /// # Errors
    /// Fails if the limit of records for that instance is reached or the usage task has ended.
    pub async fn store_replica(&self, req: KeepUsageRequest) -> Result<(), ReplicaStoreFull> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::StoreReplica(req, tx)).await.map_err(|_| ReplicaStoreFull)?;
        rx.await.unwrap_or(Err(ReplicaStoreFull))
    }

    /// Writes all local records to the object API; returns whether they are durable.
    ///
    /// Used during shutdown.
    pub async fn flush(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Flush(tx)).await.is_err() {
            return false;
        }
        matches!(tokio::time::timeout(FLUSH_TIMEOUT, rx).await, Ok(Ok(())))
    }
}
