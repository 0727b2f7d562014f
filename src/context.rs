//! What every part of an instance needs: settings, clock, timer, events and the current views.

use std::sync::Arc;

use crate::clock::Clock;
use crate::config::InForceWatch;
use crate::event::Recorder;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::peer::{LoadsWatch, MembersWatch, PeerPool};
use crate::platform::ObjectClient;
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
    pub objects: ObjectClient,
    /// Connections to peers.
    pub pool: PeerPool,
    /// What is in force.
    pub in_force: InForceWatch,
    /// The instances known.
    pub members: MembersWatch,
    /// The load of backend servers, as reported by their home instances.
    pub loads: LoadsWatch,
    /// Becomes true when this instance begins to shut down.
    pub draining: tokio::sync::watch::Receiver<bool>,
}

/// Why callers should not be sent to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotReadyReason {
    /// It is shutting down; requests that still reach it are served.
    Draining,
    /// No configuration is in force yet.
    NoConfiguration,
    /// It does not know yet which instances run, so it finds no queue for a request.
    NoMembers,
}

impl NotReadyReason {
    /// Returns the code in answers.
    pub fn code(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::NoConfiguration => "no_configuration",
            Self::NoMembers => "no_members",
        }
    }

    /// Returns the message in answers.
    pub fn message(self) -> &'static str {
        match self {
            Self::Draining => "the instance is shutting down",
            Self::NoConfiguration => "no configuration is in force yet",
            Self::NoMembers => "the running instances are not known yet",
        }
    }
}

impl Context {
    /// Says why callers should not be sent to this instance; none if they may.
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
