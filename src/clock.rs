//! Hybrid logical clocks, which order the events of all instances causally, and boot-time clocks.
//!
//! See Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
//! Distributed Databases" (2014).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Low bits of a timestamp that hold the logical counter; the others hold milliseconds.
const COUNTER_BITS: u32 = 16;

/// Received timestamps that are further ahead of the local clock are ignored, so that an instance
/// with a wrong clock does not move the clocks of the others.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// A timestamp of a hybrid logical clock: milliseconds since the Unix epoch and a counter.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Hlc(pub u64);

impl Hlc {
    /// Returns the physical part in milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Creates a timestamp with the given physical part and a counter of zero.
    pub fn from_millis(ms: u64) -> Self {
        Self(ms << COUNTER_BITS)
    }
}

/// Hybrid logical clock of one instance; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    last: Arc<AtomicU64>,
}

impl Clock {
    /// Returns a timestamp greater than all that were returned or observed before.
    pub fn now(&self) -> Hlc {
        let physical = Hlc::from_millis(wall_millis()).0;
        let previous = self
            .last
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |last| Some(physical.max(last + 1)))
            .unwrap_or_else(|last| last);
        Hlc(physical.max(previous + 1))
    }

    /// Advances the clock past a received timestamp.
    ///
    /// Ignores timestamps more than a minute ahead of the local wall clock.
    pub fn observe(&self, received: Hlc) {
        let max_millis = wall_millis() + MAX_CLOCK_SKEW.as_millis() as u64;
        if received.millis() <= max_millis {
            self.last.fetch_max(received.0, Ordering::SeqCst);
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// An instant of the boot-time clock (`CLOCK_BOOTTIME`), which includes time spent suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the current time.
    pub fn now() -> Self {
        let ts = clock_gettime(ClockId::Boottime);
        Self(Duration::new(ts.tv_sec as u64, ts.tv_nsec as u32))
    }

    /// Returns the instant at the given time after boot.
    pub fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the instant `delay` after this one.
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }

    /// Returns the instant `time` before this one; saturates at the boot.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Returns the time elapsed since `earlier`; zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// A boot-time clock with an adjustable offset; clones share the offset.
///
/// Tests advance it to simulate a process that was suspended.
#[derive(Debug, Clone, Default)]
pub struct BootClock {
    offset_micros: Arc<AtomicU64>,
}

impl BootClock {
    /// Returns the current time plus the offset.
    pub fn now(&self) -> BootTime {
        BootTime::now().after(Duration::from_micros(self.offset_micros.load(Ordering::SeqCst)))
    }

    /// Adds `by` to the offset.
    pub fn advance(&self, by: Duration) {
        self.offset_micros.fetch_add(by.as_micros() as u64, Ordering::SeqCst);
    }
}
