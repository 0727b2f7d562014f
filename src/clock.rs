//! Hybrid logical clocks, which order events of all instances so that causes come first.
//!
//! See Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
//! Distributed Databases" (2014).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Bits of a timestamp that hold the logical counter; the rest holds milliseconds.
const COUNTER_BITS: u32 = 16;

/// How far a received timestamp may be ahead of the local clock and still be taken over.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// A timestamp of a hybrid logical clock: milliseconds since 1970 and a counter.
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
    /// Returns the physical part in milliseconds since 1970.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Makes a timestamp with the given physical part and a counter of zero.
    pub fn from_millis(ms: u64) -> Self {
        Self(ms << COUNTER_BITS)
    }
}

/// The hybrid logical clock of one instance; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    last: Arc<AtomicU64>,
}

impl Clock {
    /// Returns a timestamp later than every one given or observed before.
    pub fn now(&self) -> Hlc {
        let physical = Hlc::from_millis(wall_millis()).0;
        let previous = self
            .last
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |last| Some(physical.max(last + 1)))
            .unwrap_or_else(|last| last);
        Hlc(physical.max(previous + 1))
    }

    /// Takes note of a received timestamp, so that later local ones are greater.
    ///
    /// A timestamp more than a minute ahead of the local clock is ignored.
    pub fn observe(&self, received: Hlc) {
        let max_millis = wall_millis() + MAX_CLOCK_SKEW.as_millis() as u64;
        if received.millis() <= max_millis {
            self.last.fetch_max(received.0, Ordering::SeqCst);
        }
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A point on the boot-time clock, which also runs while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the boot-time clock.
    pub fn now() -> Self {
        let ts = clock_gettime(ClockId::Boottime);
        Self(Duration::new(ts.tv_sec as u64, ts.tv_nsec as u32))
    }

    /// Returns the point this long after the machine started.
    pub fn from_start(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Returns the point this long after this one.
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }

    /// Returns the point this long before this one.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Returns the time since an earlier point; zero if that point is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// A boot-time clock that can be moved forward; clones move together.
///
/// Moving it has the effect of a process that was paused for that long.
#[derive(Debug, Clone, Default)]
pub struct BootClock {
    offset_micros: Arc<AtomicU64>,
}

impl BootClock {
    /// Reads the clock.
    pub fn now(&self) -> BootTime {
        BootTime::now().after(Duration::from_micros(self.offset_micros.load(Ordering::SeqCst)))
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.offset_micros.fetch_add(by.as_micros() as u64, Ordering::SeqCst);
    }
}
