//! What every part of an instance needs: settings, clock, timer, events and the current views.

use std::sync::Arc;

use crate::clock::Clock;
use crate::config::InForceWatch;
use crate::event::Recorder;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::peer::{LoadsWatch, MembersWatch, Pool};
use crate::platform::Objects;
use crate::timer::Timer;

/// Shared parts of one instance; clones are cheap.
#[derive(Clone)]
pub struct Context {
    /// The settings.
    pub options: Arc<Options>,
    /// Random number chosen when the process started.
    pub incarnation: u64,
    /// The hybrid logical clock.
    pub clock: Clock,
    /// The recorder of events.
    pub recorder: Recorder,
    /// The timer service.
    pub timer: Timer,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The object API.
    pub objects: Objects,
    /// Connections to peers.
    pub pool: Pool,
    /// What is in force.
    pub in_force: InForceWatch,
    /// The instances known.
    pub members: MembersWatch,
    /// The load of backend servers, as reported by their home instances.
    pub loads: LoadsWatch,
    /// Becomes true when this instance begins to shut down.
    pub draining: tokio::sync::watch::Receiver<bool>,
}
