//! Timer service, which sends ticks to subscribers.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// Scheduled time of the tick.
    pub due: Instant,
}

/// Receiver of the ticks of a subscription; ticks are dropped while an earlier one is unread.
pub type Ticks = mpsc::Receiver<Tick>;

/// A request for ticks.
#[derive(Debug)]
struct Subscription {
    period: Duration,
    repeats: bool,
    tx: mpsc::Sender<Tick>,
}

/// Handle to the timer service; clones share the task.
#[derive(Debug, Clone)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

impl Timer {
    /// Starts the timer task on the current runtime.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self { tx }
    }

    /// Subscribes to periodic ticks; the first one is due after `period`.
    pub fn every(&self, period: Duration) -> Ticks {
        self.subscribe(period, true)
    }

    /// Subscribes to a single tick after `delay`.
    pub fn after(&self, delay: Duration) -> Ticks {
        self.subscribe(delay, false)
    }

    fn subscribe(&self, period: Duration, repeats: bool) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        let period = period.max(Duration::from_millis(1));
        // Can't fail: the task runs until all handles are dropped.
        let _ = self.tx.send(Subscription { period, repeats, tx });
        rx
    }
}

/// Spawns a task for each subscription.
async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    while let Some(subscription) = rx.recv().await {
        tokio::spawn(send_ticks(subscription));
    }
}

/// Sends the ticks of a subscription until its receiver is dropped.
async fn send_ticks(subscription: Subscription) {
    let start = Instant::now() + subscription.period;
    let mut interval = tokio::time::interval_at(start, subscription.period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            due = interval.tick() => {
                // Drops the tick if the subscriber has not read the previous one.
                let _ = subscription.tx.try_send(Tick { due });
                if !subscription.repeats {
                    return;
                }
            }
            () = subscription.tx.closed() => return,
        }
    }
}
