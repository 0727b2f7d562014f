//! The usage task: it owns the records and lets jobs talk to peers and to the object API.

use std::time::Duration;

use rand::RngExt;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::kept::Kept;
use super::ledger::{Ledger, LedgerSettings, Message};
use super::own::OwnRecords;
use super::replication::{Delivery, Replication};
use super::tally::{Owner, Tally};
use super::writer::{AppendError, Records, TallyWriter};
use crate::context::Context;
use crate::event::EventKind;
use crate::metrics::Counter;
use crate::platform::Object;

/// Messages that wait for the task.
const QUEUE: usize = 10_000;

/// Gauge of the usage records that the object API does not hold yet.
const RECORDS_GAUGE: &str = "usage_records";

/// The end of a job.
enum Done {
    Delivered { slot: usize, up_to: u64, durable: u64, success: bool },
    Written { sealed: u64, result: Result<Object<Tally>, AppendError> },
    WrittenFor { owner: Owner, records: Records, result: Result<Object<Tally>, AppendError> },
}

/// Starts the usage task of an instance.
pub fn start(cx: Context) -> Ledger {
    let settings = LedgerSettings::from_options(&cx.options);
    start_with(cx, settings)
}

/// Starts the usage task with given durations.
pub fn start_with(cx: Context, settings: LedgerSettings) -> Ledger {
    let (tx, rx) = mpsc::channel(QUEUE);
    let owner = Owner { instance: cx.options.instance.clone(), incarnation: cx.incarnation };
    let task = UsageTask {
        writer: TallyWriter::new(cx.objects.clone(), cx.metrics.clone()),
        own: OwnRecords::new(owner),
        replication: Replication::default(),
        kept: Kept::default(),
        jobs: JoinSet::new(),
        writing: false,
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
    own: OwnRecords,
    replication: Replication,
    kept: Kept,
    jobs: JoinSet<Done>,
    writing: bool,
    record_waiters: Vec<(u64, oneshot::Sender<()>)>,
    flush_waiters: Vec<(u64, oneshot::Sender<()>)>,
}

impl UsageTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut retry = self.cx.timer.every(self.settings.retry_period);
        let mut flush = self.cx.timer.after(self.flush_pause());
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                Some(done) = self.jobs.join_next() => match done {
                    Ok(done) => self.on_done(done),
                    Err(error) => tracing::error!(%error, "a usage job panicked"),
                },
                _ = retry.recv() => self.on_retry(),
                _ = flush.recv() => {
                    flush = self.cx.timer.after(self.flush_pause());
                    self.write_own();
                }
            }
            self.deliver();
            self.answer_waiters();
        }
    }

    /// Returns the time to the next write, jittered so that instances do not write in step.
    fn flush_pause(&self) -> Duration {
        self.settings.flush_period.mul_f64(rand::rng().random_range(0.8..1.0))
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Record(served, tx) => {
                let sequence = self.own.add(served);
                self.record_waiters.push((sequence, tx));
            }
            Message::Keep(req, tx) => {
                let accepted = self.kept.accept(req);
                // The caller may have given up; the records are kept all the same.
                let _ = tx.send(accepted);
            }
            Message::Flush(tx) => {
                self.flush_waiters.push((self.own.last(), tx));
                self.write_own();
            }
        }
    }

    fn on_done(&mut self, done: Done) {
        match done {
            Done::Delivered { slot, up_to, durable, success } => {
                self.replication.delivered(slot, up_to, durable, success);
            }
            Done::Written { sealed, result } => self.on_written(sealed, result),
            Done::WrittenFor { owner, records, result } => {
                self.on_written_for(&owner, &records, result);
            }
        }
    }

    fn on_written(&mut self, sealed: u64, result: Result<Object<Tally>, AppendError>) {
        self.writing = false;
        self.own.sealed = sealed;
        match result {
            Ok(tally) => self.own.written(tally),
            Err(error) => {
                tracing::warn!(%error, "usage records could not be written yet");
                // What is stored is uncertain now, so it is read before the next write.
                self.own.tally = None;
            }
        }
    }

    fn on_written_for(
        &mut self,
        owner: &Owner,
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
                tracing::warn!(%error, %instance, "kept usage records could not be written yet");
            }
        }
        self.kept.written(owner, records, success, self.settings.gone_after);
    }

    /// Tries again what failed, and writes the records of processes that are gone.
    fn on_retry(&mut self) {
        self.cx.metrics.set(RECORDS_GAUGE, "own", self.own.pending.len() as u64);
        self.cx.metrics.set(RECORDS_GAUGE, "kept", self.kept.len() as u64);
        if !self.flush_waiters.is_empty() {
            self.write_own();
        }
        let members = self.cx.members.borrow().clone();
        for (owner, records) in self.kept.take_due(&members, &self.settings) {
            let writer = self.writer.clone();
            self.jobs.spawn(async move {
                let result = writer.append(&owner, None, &records, 0).await;
                Done::WrittenFor { owner, records, result }
            });
        }
    }

    /// Starts to write own records to the tally, unless a write is under way.
    fn write_own(&mut self) {
        if self.writing || self.own.pending.is_empty() {
            return;
        }
        self.writing = true;
        let writer = self.writer.clone();
        let owner = self.own.owner.clone();
        let (known, records) = (self.own.tally.clone(), self.own.pending.clone());
        let sealed = self.own.sealed;
        self.jobs.spawn(async move {
            let sealed = writer.sealed_position(&owner, known.as_ref()).await.unwrap_or(sealed);
            let result = writer.append(&owner, known, &records, sealed).await;
            Done::Written { sealed, result }
        });
    }

    /// Sends keepers what they lack.
    fn deliver(&mut self) {
        let members = self.cx.members.borrow().clone();
        let Owner { instance, incarnation } = &self.own.owner;
        let deliveries = self.replication.next_deliveries(
            &members,
            instance,
            *incarnation,
            &self.own.pending,
            self.own.durable(),
        );
        for delivery in deliveries {
            self.cx.metrics.add(Counter::PeerMessages, "keep-usage", 1);
            let bytes = prost::Message::encoded_len(&delivery.req) as u64;
            self.cx.metrics.add(Counter::PeerBytes, "keep-usage", bytes);
            let (cx, deadline) = (self.cx.clone(), self.settings.keep_deadline);
            self.jobs.spawn(send_to_keeper(cx, delivery, deadline));
        }
    }

    fn answer_waiters(&mut self) {
        let durable = self.own.durable();
        let replication = &self.replication;
        answer(&mut self.record_waiters, |sequence| {
            sequence <= durable || replication.is_kept(sequence)
        });
        answer(&mut self.flush_waiters, |sequence| sequence <= durable);
    }
}

async fn send_to_keeper(cx: Context, delivery: Delivery, deadline: Duration) -> Done {
    let Delivery { slot, peer, req, up_to } = delivery;
    let durable = req.durable_up_to;
    let call = async {
        let mut client = cx.pool.peer(&peer.peer_address)?;
        client.keep_usage(req).await
    };
    let result = tokio::time::timeout(deadline, call).await;
    let success = matches!(result, Ok(Ok(_)));
    if !success {
        let keeper = &peer.name;
        tracing::debug!(%keeper, "the keeper did not confirm usage records");
    }
    Done::Delivered { slot, up_to, durable, success }
}

/// Answers the waiters whose sequence number is settled.
fn answer(waiters: &mut Vec<(u64, oneshot::Sender<()>)>, settled: impl Fn(u64) -> bool) {
    for (_, tx) in waiters.extract_if(.., |(sequence, _)| settled(*sequence)) {
        // The waiter may have gone on after its bound.
        let _ = tx.send(());
    }
}
