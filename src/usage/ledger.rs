//! Records of served requests, kept at peers until the object API holds them.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::names::{ClassName, OrganisationName, RequestId, RouteName};
use crate::options::Options;
use crate::peer::generated::v1::KeepUsageRequest;

/// How long a record waits for peers before its request goes on.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a flush waits for the object API.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Writes of a tally within one window.
const FLUSHES_PER_WINDOW: u32 = 4;

value! {
    /// A served request to be billed.
    pub struct ServedRequest {
        /// The request.
        pub request: RequestId,
        /// The organisation that it ran for.
        pub organisation: OrganisationName,
        /// Its class.
        pub class: ClassName,
        /// Its route.
        pub route: RouteName,
        /// Tokens of the prompt.
        pub prompt_tokens: u64,
        /// Tokens of the answer.
        pub output_tokens: u64,
    }
}

/// Durations of the usage task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Period at which own records are written to the tally.
    pub flush_period: Duration,
    /// How long a call to a keeper may take.
    pub replication_timeout: Duration,
    /// Absence of an instance after which its kept records are written for it.
    pub absence_timeout: Duration,
    /// Age of kept records after which they are written even if their instance seems alive.
    pub max_replica_age: Duration,
    /// Period at which failed work is tried again.
    pub retry_period: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self::from_options(&Options::default())
    }
}

impl LedgerSettings {
    /// Returns the durations that follow from an instance's settings.
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

/// The limit of kept records is reached.
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
    /// Count a served request; answered when the keepers have it.
    Record(ServedRequest, oneshot::Sender<()>),
    /// Keep records of another instance.
    StoreReplica(KeepUsageRequest, oneshot::Sender<Result<(), ReplicaStoreFull>>),
    /// Write all own records; answered when they are durable.
    Flush(oneshot::Sender<()>),
}

/// Handle to the usage task; clones reach the same task.
#[derive(Clone)]
pub struct Ledger {
    tx: mpsc::Sender<Message>,
}

impl Ledger {
    pub(super) fn new(tx: mpsc::Sender<Message>) -> Self {
        Self { tx }
    }

    /// Records a served request; returns when peers hold the record, or after a short bound.
    ///
    /// Call it before the end of the answer is passed to the caller.
    pub async fn record(&self, served: ServedRequest) {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Record(served, tx)).await.is_ok() {
            // After the bound the task goes on trying; the request does not wait for it.
            let _ = tokio::time::timeout(REPLICATION_TIMEOUT, rx).await;
        }
    }

    /// Keeps records of another instance until they are durable.
    ///
    /// # Errors
    /// If too many are kept for that instance.
    pub async fn store_replica(&self, req: KeepUsageRequest) -> Result<(), ReplicaStoreFull> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Message::StoreReplica(req, tx)).await.map_err(|_| ReplicaStoreFull)?;
        rx.await.unwrap_or(Err(ReplicaStoreFull))
    }

    /// Writes all own records to the object API, for a shutdown; returns whether it has them.
    pub async fn flush(&self) -> bool {
        let (tx, rx) = oneshot::channel();
        if self.tx.send(Message::Flush(tx)).await.is_err() {
            return false;
        }
        matches!(tokio::time::timeout(FLUSH_TIMEOUT, rx).await, Ok(Ok(())))
    }
}
