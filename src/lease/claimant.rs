//! State machine of one participant in a lease: decides the next call, performs no I/O.

use std::time::Duration;

use crate::clock::BootTime;
use crate::names::InstanceName;
use crate::platform::{Object, PlatformError};

/// Maximum number of writes with an unknown outcome that a later read can still confirm.
const MAX_UNCONFIRMED_WRITES: usize = 8;

value! {
    /// A process that may hold a lease. A restarted instance is a different holder.
    pub struct Holder {
        /// Instance that the process runs as.
        pub instance: InstanceName,
        /// Random number drawn when the process starts.
        pub incarnation: u64,
    }

    /// A lease as stored in the object API.
    pub struct LeaseRecord {
        /// Current holder; `None` if the lease was released.
        pub holder: Option<Holder>,
        /// Epoch, incremented each time the lease is acquired; sent as the fencing token.
        pub epoch: u64,
        /// Sequence number of the holder's writes, which identifies the write when it is read back.
        pub renewal: u64,
        /// Term of the lease in milliseconds.
        pub term_ms: u64,
        /// Previous holders that may still act as if they held the lease.
        pub former: Vec<Holder>,
    }
}

/// Term and safety margin of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time from sending a renewal to the expiry of the lease.
    pub term: Duration,
    /// Time before expiry at which the holder stops acting, to tolerate clock rate differences.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::from_term(Duration::from_secs(10))
    }
}

impl LeaseSettings {
    /// Creates settings for a term, with a tenth of it as the margin.
    pub fn from_term(term: Duration) -> Self {
        Self { term, margin: term / 10 }
    }
}

/// A conditional write of the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that the write replaces; `None` creates the object.
    pub version: Option<String>,
    /// Record to store.
    pub record: LeaseRecord,
    /// Time at which the write was decided, before it is sent. The term is counted from here.
    pub sent_at: BootTime,
}

/// The next call to the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Reads the lease.
    Read,
    /// Writes the lease.
    Write(LeaseWrite),
}

/// A stored version of the lease and the time at which it was first observed.
#[derive(Debug, Clone)]
struct ObservedLease {
    version: String,
    record: LeaseRecord,
    first_seen_at: BootTime,
}

/// A held lease: its epoch and the time until which the holder may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Epoch of the lease, sent as the fencing token.
    pub epoch: u64,
    /// Time by which the holder must have stopped acting.
    pub until: BootTime,
}

/// State machine of a process that holds a lease or is a candidate for it.
#[derive(Debug, Clone)]
pub struct LeaseStateMachine {
    this_holder: Holder,
    settings: LeaseSettings,
    observed: Option<ObservedLease>,
    /// Whether `observed` may be outdated, so that the lease must be read before the next write.
    stale: bool,
    grant: Option<LeaseGrant>,
    last_renewal: u64,
    /// Sequence number and send time of each write whose outcome is unknown.
    unconfirmed_writes: Vec<(u64, BootTime)>,
    /// Former holders that are known to have stopped acting.
    stopped: Vec<Holder>,
    /// Whether permits of this process are still in use, possibly from an earlier grant.
    actions_in_progress: bool,
}

impl LeaseStateMachine {
    /// Creates a state machine that has not read the lease yet.
    pub fn new(this_holder: Holder, settings: LeaseSettings) -> Self {
        Self {
            this_holder,
            settings,
            observed: None,
            stale: true,
            grant: None,
            last_renewal: 0,
            unconfirmed_writes: Vec::new(),
            stopped: Vec::new(),
            actions_in_progress: false,
        }
    }

    /// Sets which former holders have stopped acting; the next write removes them from the record.
    pub fn set_stopped_holders(&mut self, stopped: Vec<Holder>) {
        self.stopped = stopped;
    }

    /// Sets whether actions under a lease of this process are still in progress.
    pub fn set_actions_in_progress(&mut self, actions_in_progress: bool) {
        self.actions_in_progress = actions_in_progress;
    }

    /// Returns the former holders that may still act as if they held the lease.
    pub fn former_holders(&self) -> Vec<Holder> {
        let former = self.record().map(|record| record.former.clone()).unwrap_or_default();
        former.into_iter().filter(|holder| !self.has_stopped(holder)).collect()
    }

    /// Returns the grant if the lease is held at `now`.
    pub fn held(&self, now: BootTime) -> Option<LeaseGrant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// Returns the stored lease as last observed.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    /// Returns whether the observed lease may be outdated and must be read before the next write.
    pub fn must_read(&self) -> bool {
        self.stale
    }

    /// Returns the next call: a renewal, the acquisition of a free or expired lease, or a read.
    pub fn next_call(&mut self, now: BootTime) -> LeaseCall {
        if self.stale {
            return LeaseCall::Read;
        }
        let Some(observed) = self.observed.clone() else {
            return self.write(now, None, Some(self.this_holder.clone()), 1);
        };
        let epoch = observed.record.epoch;
        if let Some(call) = self.acknowledgement(now, &observed) {
            return call;
        }
        match &observed.record.holder {
            Some(holder) if *holder == self.this_holder => {
                self.write(now, Some(observed.version), Some(self.this_holder.clone()), epoch)
            }
            Some(_) if !self.has_expired(&observed, now) => LeaseCall::Read,
            _ => self.write(now, Some(observed.version), Some(self.this_holder.clone()), epoch + 1),
        }
    }

    /// Returns the write that removes this instance from the former holders, if it is listed there
    /// and has stopped acting.
    ///
    /// The rest of the record is kept, including the sequence number of the holder's write.
    fn acknowledgement(&self, now: BootTime, observed: &ObservedLease) -> Option<LeaseCall> {
        let is_former = observed
            .record
            .former
            .iter()
            .any(|holder| holder.instance == self.this_holder.instance);
        let holds = observed.record.holder.as_ref() == Some(&self.this_holder);
        if !is_former || holds || self.actions_in_progress {
            return None;
        }
        let record = LeaseRecord { former: self.former_holders(), ..observed.record.clone() };
        let version = Some(observed.version.clone());
        Some(LeaseCall::Write(LeaseWrite { version, record, sent_at: now }))
    }

    /// Returns whether a former holder has stopped acting.
    ///
    /// An earlier process of this instance has ended. This process has stopped once none of its
    /// actions is in progress.
    fn has_stopped(&self, holder: &Holder) -> bool {
        let own = holder.instance == self.this_holder.instance
            && (*holder != self.this_holder || !self.actions_in_progress);
        own || self.stopped.contains(holder)
    }

    /// Releases the lease and returns the write that publishes this; `None` if it is not held.
    ///
    /// The caller must have finished all actions under the lease.
    pub fn release(&mut self, now: BootTime) -> Option<LeaseCall> {
        self.grant = None;
        let observed = self.observed.clone()?;
        if observed.record.holder.as_ref() != Some(&self.this_holder) {
            return None;
        }
        Some(self.write(now, Some(observed.version), None, observed.record.epoch))
    }

    /// Handles the result of a read that was received at `now`.
    pub fn on_read(
        &mut self,
        now: BootTime,
        result: Result<Option<Object<LeaseRecord>>, PlatformError>,
    ) {
        let Ok(stored) = result else { return };
        self.stale = false;
        let Some(object) = stored else {
            self.observed = None;
            self.grant = None;
            return;
        };
        self.update_grant(&object.spec);
        let is_same_version =
            self.observed.as_ref().is_some_and(|observed| observed.version == object.version);
        if !is_same_version {
            self.observed = Some(ObservedLease {
                version: object.version,
                record: object.spec,
                first_seen_at: now,
            });
        }
    }

    /// Handles the result of a write.
    pub fn on_write(&mut self, write: LeaseWrite, result: Result<String, PlatformError>) {
        let LeaseWrite { record, sent_at, .. } = write;
        match result {
            Ok(version) => {
                self.set_grant(&record, sent_at);
                self.unconfirmed_writes.clear();
                self.observed = Some(ObservedLease { version, record, first_seen_at: sent_at });
            }
            Err(PlatformError::Refused(_)) => {}
            Err(PlatformError::Conflict | PlatformError::NotFound) => self.stale = true,
            Err(PlatformError::Unknown(_) | PlatformError::Malformed(_)) => {
                self.stale = true;
                self.add_unconfirmed_write(record.renewal, sent_at);
            }
        }
    }

    /// Updates the grant from a record that was read, which may confirm a write whose outcome was
    /// unknown.
    fn update_grant(&mut self, record: &LeaseRecord) {
        if record.holder.as_ref() != Some(&self.this_holder) {
            self.grant = None;
            return;
        }
        let sent = self.unconfirmed_writes.iter().find(|(renewal, _)| *renewal == record.renewal);
        if let Some((_, sent_at)) = sent.copied() {
            self.set_grant(record, sent_at);
            self.unconfirmed_writes.clear();
        }
    }

    fn set_grant(&mut self, record: &LeaseRecord, sent_at: BootTime) {
        let until = sent_at.after(self.settings.term.saturating_sub(self.settings.margin));
        let holds = record.holder.as_ref() == Some(&self.this_holder);
        self.grant = holds.then_some(LeaseGrant { epoch: record.epoch, until });
    }

    fn add_unconfirmed_write(&mut self, renewal: u64, sent_at: BootTime) {
        if self.unconfirmed_writes.len() == MAX_UNCONFIRMED_WRITES {
            self.unconfirmed_writes.remove(0);
        }
        self.unconfirmed_writes.push((renewal, sent_at));
    }

    /// Returns whether another holder's lease has expired: it was not renewed for a whole term by
    /// the local clock.
    fn has_expired(&self, observed: &ObservedLease, now: BootTime) -> bool {
        let term = self.settings.term.max(Duration::from_millis(observed.record.term_ms));
        now.since(observed.first_seen_at) >= term
    }

    fn write(
        &mut self,
        now: BootTime,
        version: Option<String>,
        holder: Option<Holder>,
        epoch: u64,
    ) -> LeaseCall {
        self.last_renewal += 1;
        let term_ms = self.settings.term.as_millis() as u64;
        let mut former = self.former_holders();
        let previous_holder = self.record().and_then(|record| record.holder.clone());
        former
            .extend(previous_holder.filter(|holder| holder.instance != self.this_holder.instance));
        let record = LeaseRecord { holder, epoch, renewal: self.last_renewal, term_ms, former };
        LeaseCall::Write(LeaseWrite { version, record, sent_at: now })
    }
}
