//! State shared by the components of an instance: settings, clock, timer, events and views.

use std::sync::Arc;

use crate::clock::Clock;
use crate::config::InForceWatch;
use crate::event::Recorder;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::peer::{LoadsWatch, MembersWatch, PeerPool};
use crate::platform::ObjectClient;
use crate::timer::Timer;

/// State shared by the components of one instance; clones are cheap.
#[derive(Clone)]
pub struct Context {
    /// Settings of the process.
    pub options: Arc<Options>,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Hybrid logical clock.
    pub clock: Clock,
    /// Recorder of timeline events.
    pub recorder: Recorder,
    /// Timer service.
    pub timer: Timer,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Client of the platform's object API.
    pub objects: ObjectClient,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Configuration in force.
    pub in_force: InForceWatch,
    /// Known instances.
    pub members: MembersWatch,
    /// Load of the backend servers, as reported by their home instances.
    pub loads: LoadsWatch,
    /// True once this instance has started to shut down.
    pub draining: tokio::sync::watch::Receiver<bool>,
}

/// Reason why an instance is not ready for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// It is shutting down; it still serves the requests that reach it.
    Draining,
    /// No configuration is in force yet.
    NoConfiguration,
    /// It does not know the running instances yet, so it can't locate the queue of a request.
    NoMembers,
}

impl NotReadyReason {
    /// Returns the code used in responses.
    pub fn code(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::NoConfiguration => "no_configuration",
            Self::NoMembers => "no_members",
        }
    }

    /// Returns the message used in responses.
    pub fn message(self) -> &'static str {
        match self {
            Self::Draining => "the instance is shutting down",
            Self::NoConfiguration => "no configuration is in force yet",
            Self::NoMembers => "the running instances are not known yet",
        }
    }
}

impl Context {
    /// Returns why this instance is not ready for callers; `None` if it is ready.
    pub fn not_ready_reason(&self) -> Option<NotReadyReason> {
        if *self.draining.borrow() {
            Some(NotReadyReason::Draining)
        } else if self.in_force.borrow().config.version == 0 {
            Some(NotReadyReason::NoConfiguration)
        } else if self.members.borrow().listed.is_empty() {
            Some(NotReadyReason::NoMembers)
        } else {
            None
        }
    }
}
