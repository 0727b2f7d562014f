//! The timer service: one task that sends ticks to the parts which subscribe to it.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior};

/// One tick of a subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tick {
    /// When the tick was due.
    pub due: Instant,
}

/// Ticks of one subscription; a slow subscriber misses ticks instead of queueing them.
pub type Ticks = mpsc::Receiver<Tick>;

/// A request to the timer task.
#[derive(Debug)]
struct Subscription {
    period: Duration,
    repeats: bool,
    tx: mpsc::Sender<Tick>,
}

/// Handle to the timer service; clones reach the same task.
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

    /// Subscribes to a tick each `period`, the first one after a whole period.
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
        // The task ends only when every handle is gone, so the send can't fail here.
        let _ = self.tx.send(Subscription { period, repeats, tx });
        rx
    }
}

/// Receives subscriptions and drives each one until its subscriber is gone.
async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    while let Some(subscription) = rx.recv().await {
        tokio::spawn(send_ticks(subscription));
    }
}

/// Sends the ticks of one subscription.
async fn send_ticks(subscription: Subscription) {
    let start = Instant::now() + subscription.period;
    let mut interval = tokio::time::interval_at(start, subscription.period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            due = interval.tick() => {
                // A full channel means that the subscriber is busy; the tick is dropped.
                let _ = subscription.tx.try_send(Tick { due });
                if !subscription.repeats {
                    return;
                }
            }
            () = subscription.tx.closed() => return,
        }
    }
}
