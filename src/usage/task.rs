//! The usage task: owns the usage records and spawns jobs that call peers and the object API.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::kept::ReplicaStore;
use super::ledger::{Ledger, LedgerSettings, Message};
use super::own::LocalRecords;
use super::replication::{Delivery, Replication};
use super::tally::{Tally, TallyOwner};
use super::writer::{AppendError, Records, TallyWriter};
use crate::context::Context;
use crate::event::EventKind;
use crate::metrics::Counter;
use crate::platform::Object;

/// Capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 10_000;

/// Gauge of the usage records that are not durable yet.
const RECORDS_GAUGE: &str = "usage_records";

/// Result of a spawned job.
enum JobResult {
    Delivered {
        replica_index: usize,
        up_to: u64,
        durable_up_to: u64,
        success: bool,
    },
    LocalWritten {
        sealed_up_to: u64,
        result: Result<Object<Tally>, AppendError>,
    },
    ReplicaWritten {
        owner: TallyOwner,
        records: Records,
        result: Result<Object<Tally>, AppendError>,
    },
}

/// Starts the usage task of an instance.
pub fn start(cx: Context) -> Ledger {
    let settings = LedgerSettings::from_options(&cx.options);
    start_with(cx, settings)
}

/// Starts the usage task with the given settings.
pub fn start_with(cx: Context, settings: LedgerSettings) -> Ledger {
    let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
    let owner = TallyOwner { instance: cx.options.instance.clone(), incarnation: cx.incarnation };
    let task = UsageTask {
        writer: TallyWriter::new(cx.objects.clone(), cx.metrics.clone()),
        local: LocalRecords::new(owner),
        replication: Replication::default(),
        replica_store: ReplicaStore::default(),
        jobs: JoinSet::new(),
        write_in_progress: false,
        record_waiters: Vec::new(),
        flush_waiters: Vec::new(),
        settings,
        cx,
    };
    tokio::spawn(task.run(rx));
    Ledger::new(tx)
}

struct UsageTask {
    cx: Context,
    settings: LedgerSettings,
    writer: TallyWriter,
    local: LocalRecords,
    replication: Replication,
    replica_store: ReplicaStore,
    jobs: JoinSet<JobResult>,
    write_in_progress: bool,
    record_waiters: Vec<(u64, oneshot::Sender<()>)>,
    flush_waiters: Vec<(u64, oneshot::Sender<()>)>,
}

impl UsageTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut retry = self.cx.timer.every(self.settings.retry_period);
        let mut flush = self.cx.timer.after(self.flush_delay());
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(joined) = self.jobs.join_next() => match joined {
                    Ok(result) => self.on_job_result(result),
                    Err(error) => tracing::error!(%error, "usage job panicked"),
                },
                _ = retry.recv() => self.on_retry(),
                _ = flush.recv() => {
                    flush = self.cx.timer.after(self.flush_delay());
                    self.write_local();
                }
            }
            self.send_deliveries();
            self.notify_waiters();
        }
    }

    /// Returns the time until the next write, with jitter so that instances do not write in step.
    fn flush_delay(&self) -> Duration {
        self.settings.flush_period.mul_f64(rand::rng().random_range(0.8..1.0))
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Record(served, tx) => {
                let sequence = self.local.add(served);
                self.record_waiters.push((sequence, tx));
            }
            Message::StoreReplica(req, tx) => {
                let accepted = self.replica_store.accept(req);
                // The receiver may have been dropped; the records remain stored.
                let _ = tx.send(accepted);
            }
            Message::Flush(tx) => {
                self.flush_waiters.push((self.local.last_sequence(), tx));
                self.write_local();
            }
        }
    }

    fn on_job_result(&mut self, job_result: JobResult) {
        match job_result {
            JobResult::Delivered { replica_index, up_to, durable_up_to, success } => {
                self.replication.on_delivery_result(replica_index, up_to, durable_up_to, success);
            }
            JobResult::LocalWritten { sealed_up_to, result } => {
                self.on_local_written(sealed_up_to, result)
            }
            JobResult::ReplicaWritten { owner, records, result } => {
                self.on_replica_written(&owner, &records, result);
            }
        }
    }

    fn on_local_written(&mut self, sealed_up_to: u64, result: Result<Object<Tally>, AppendError>) {
        self.write_in_progress = false;
        self.local.sealed_up_to = sealed_up_to;
        match result {
            Ok(tally) => self.local.on_written(tally),
            Err(error) => {
                tracing::warn!(%error, "writing usage records failed; will retry");
                // The stored tally is unknown, so it is read before the next write.
                self.local.tally = None;
            }
        }
    }

    fn on_replica_written(
        &mut self,
        owner: &TallyOwner,
        records: &Records,
        result: Result<Object<Tally>, AppendError>,
    ) {
        let success = result.is_ok();
        match result {
            Ok(_) => {
                let count = records.len();
                let detail = format!("wrote {count} records for {}", owner.instance);
                self.cx.recorder.record(EventKind::Seal, detail);
            }
            Err(error) => {
                let instance = &owner.instance;
                tracing::warn!(%error, %instance, "writing replicated records failed; will retry");
            }
        }
        self.replica_store.on_write_result(owner, records, success, self.settings.absence_timeout);
    }

    /// Updates the gauges, retries failed writes and writes replicated records that are due.
    fn on_retry(&mut self) {
        self.cx.metrics.set_gauge(RECORDS_GAUGE, "own", self.local.pending.len() as u64);
        self.cx.metrics.set_gauge(RECORDS_GAUGE, "kept", self.replica_store.len() as u64);
        if !self.flush_waiters.is_empty() {
            self.write_local();
        }
        let members = self.cx.members.borrow().clone();
        for (owner, records) in self.replica_store.take_due(&members, &self.settings) {
            let writer = self.writer.clone();
            self.jobs.spawn(async move {
                let result = writer.append(&owner, None, &records, 0).await;
                JobResult::ReplicaWritten { owner, records, result }
            });
        }
    }

    /// Spawns a write of the local records to the tally, unless one is in progress.
    fn write_local(&mut self) {
        if self.write_in_progress || self.local.pending.is_empty() {
            return;
        }
        self.write_in_progress = true;
        let writer = self.writer.clone();
        let owner = self.local.owner.clone();
        let (last_written, records) = (self.local.tally.clone(), self.local.pending.clone());
        let sealed_up_to = self.local.sealed_up_to;
        self.jobs.spawn(async move {
            let sealed_up_to =
                writer.sealed_position(&owner, last_written.as_ref()).await.unwrap_or(sealed_up_to);
            let result = writer.append(&owner, last_written, &records, sealed_up_to).await;
            JobResult::LocalWritten { sealed_up_to, result }
        });
    }

    /// Sends the replicas the records that they lack.
    fn send_deliveries(&mut self) {
        let members = self.cx.members.borrow().clone();
        let TallyOwner { instance, incarnation } = &self.local.owner;
        let deliveries = self.replication.next_deliveries(
            &members,
            instance,
            *incarnation,
            &self.local.pending,
            self.local.durable_up_to(),
        );
        for delivery in deliveries {
            self.cx.metrics.add(Counter::PeerMessages, "keep-usage", 1);
            let bytes = prost::Message::encoded_len(&delivery.req) as u64;
            self.cx.metrics.add(Counter::PeerBytes, "keep-usage", bytes);
            let (cx, timeout) = (self.cx.clone(), self.settings.replication_timeout);
            self.jobs.spawn(send_delivery(cx, delivery, timeout));
        }
    }

    fn notify_waiters(&mut self) {
        let durable_up_to = self.local.durable_up_to();
        let replication = &self.replication;
        notify(&mut self.record_waiters, |sequence| {
            sequence <= durable_up_to || replication.is_replicated(sequence)
        });
        notify(&mut self.flush_waiters, |sequence| sequence <= durable_up_to);
    }
}

async fn send_delivery(cx: Context, delivery: Delivery, timeout: Duration) -> JobResult {
    let Delivery { replica_index, peer, req, up_to } = delivery;
    let durable_up_to = req.durable_up_to;
    let call = async {
        let mut client = cx.pool.peer_client(&peer.peer_address)?;
        client.keep_usage(req).await
    };
    let result = tokio::time::timeout(timeout, call).await;
    let success = matches!(result, Ok(Ok(_)));
    if !success {
        tracing::debug!(keeper = %peer.name, "replica did not confirm usage records");
    }
    JobResult::Delivered { replica_index, up_to, durable_up_to, success }
}

/// Notifies and removes the waiters for whose sequence number `is_done` holds.
fn notify(waiters: &mut Vec<(u64, oneshot::Sender<()>)>, is_done: impl Fn(u64) -> bool) {
    for (_, tx) in waiters.extract_if(.., |(sequence, _)| is_done(*sequence)) {
        // The waiter may have timed out.
        let _ = tx.send(());
    }
}
