//! The decisions of one instance that holds or wants a lease, without any input or output.

use std::time::Duration;

use crate::clock::BootTime;
use crate::names::InstanceName;
use crate::platform::{Object, PlatformError};

/// Writes without an answer that are remembered until one of them is read back.
const MAX_UNCONFIRMED_WRITES: usize = 8;

value! {
    /// A process that may hold a lease; a restarted instance is another holder.
    pub struct Holder {
        /// The instance.
        pub instance: InstanceName,
        /// Random number chosen when the process started.
        pub incarnation: u64,
    }

    /// A lease as stored.
    pub struct LeaseRecord {
        /// The holder; none if the lease was released.
        pub holder: Option<Holder>,
        /// Fencing number: grows each time the holder changes.
        pub epoch: u64,
        /// Number of the holder's write, which tells its writes apart.
        pub renewal: u64,
        /// Term in milliseconds.
        pub term_ms: u64,
        /// Earlier holders that may still believe they are in charge.
        pub former: Vec<Holder>,
    }
}

/// Durations of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Term: time from sending a renewal to the end of the lease.
    pub term: Duration,
    /// Time before the end at which the holder stops acting; covers clocks of unequal rate.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self::from_term(Duration::from_secs(10))
    }
}

impl LeaseSettings {
    /// Returns the settings of a term, with a tenth of it as margin.
    pub fn from_term(term: Duration) -> Self {
        Self { term, margin: term / 10 }
    }
}

/// A conditional write, with the time before it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The version to replace; none to create the object.
    pub version: Option<String>,
    /// The new value.
    pub record: LeaseRecord,
    /// When the write was decided, which is before it is sent.
    pub sent_at: BootTime,
}

/// The next call to the object API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCall {
    /// Read the lease.
    Read,
    /// Write the lease.
    Write(LeaseWrite),
}

/// A stored version and when this instance first saw it.
#[derive(Debug, Clone)]
struct ObservedLease {
    version: String,
    record: LeaseRecord,
    first_seen_at: BootTime,
}

/// What this instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing number.
    pub epoch: u64,
    /// When the holder must have stopped acting.
    pub until: BootTime,
}

/// One instance that holds or wants a lease.
#[derive(Debug, Clone)]
pub struct LeaseStateMachine {
    this_holder: Holder,
    settings: LeaseSettings,
    observed: Option<ObservedLease>,
    stale: bool,
    grant: Option<LeaseGrant>,
    last_renewal: u64,
    unconfirmed_writes: Vec<(u64, BootTime)>,
    /// Former holders that are known to be over.
    stopped: Vec<Holder>,
    /// Whether something is still being done under an earlier lease.
    actions_in_progress: bool,
}

impl LeaseStateMachine {
    /// Makes a claimant that knows nothing of the stored lease yet.
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

    /// Sets which former holders are over; the next write drops them.
    pub fn set_stopped_holders(&mut self, stopped: Vec<Holder>) {
        self.stopped = stopped;
    }

    /// Sets whether something is still being done under a lease of this process.
    pub fn set_actions_in_progress(&mut self, actions_in_progress: bool) {
        self.actions_in_progress = actions_in_progress;
    }

    /// Returns the former holders that may still believe they are in charge.
    pub fn former(&self) -> Vec<Holder> {
        let former = self.record().map(|record| record.former.clone()).unwrap_or_default();
        former.into_iter().filter(|holder| !self.has_stopped(holder)).collect()
    }

    /// Returns what this instance holds at this time.
    pub fn held(&self, now: BootTime) -> Option<LeaseGrant> {
        self.grant.filter(|grant| now < grant.until)
    }

    /// Returns the stored lease as last seen.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.observed.as_ref().map(|observed| &observed.record)
    }

    /// Returns whether what is known may be outdated, so that it must be read before a write.
    pub fn must_read(&self) -> bool {
        self.stale
    }

    /// Decides the next call: renew, claim a lease that is free or ran out, or look again.
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

    /// Returns the write that says that this instance knows of a lease that it lost, if it did.
    ///
    /// The rest of the record stays, also the number of the holder's write.
    fn acknowledgement(&self, now: BootTime, observed: &ObservedLease) -> Option<LeaseCall> {
        let listed = observed
            .record
            .former
            .iter()
            .any(|holder| holder.instance == self.this_holder.instance);
        let holds = observed.record.holder.as_ref() == Some(&self.this_holder);
        if !listed || holds || self.actions_in_progress {
            return None;
        }
        let record = LeaseRecord { former: self.former(), ..observed.record.clone() };
        let version = Some(observed.version.clone());
        Some(LeaseCall::Write(LeaseWrite { version, record, sent_at: now }))
    }

    /// Returns whether a former holder is over; an earlier process of this instance is.
    fn has_stopped(&self, holder: &Holder) -> bool {
        let own = holder.instance == self.this_holder.instance
            && (*holder != self.this_holder || !self.actions_in_progress);
        own || self.stopped.contains(holder)
    }

    /// Gives the lease up and returns the write that tells others; none if it isn't held.
    ///
    /// The caller must have ended everything that it does under the lease.
    pub fn release(&mut self, now: BootTime) -> Option<LeaseCall> {
        self.grant = None;
        let observed = self.observed.clone()?;
        if observed.record.holder.as_ref() != Some(&self.this_holder) {
            return None;
        }
        Some(self.write(now, Some(observed.version), None, observed.record.epoch))
    }

    /// Takes the answer of a read that arrived at `now`.
    pub fn on_read(
        &mut self,
        now: BootTime,
        answer: Result<Option<Object<LeaseRecord>>, PlatformError>,
    ) {
        let Ok(found) = answer else { return };
        self.stale = false;
        let Some(object) = found else {
            self.observed = None;
            self.grant = None;
            return;
        };
        self.update_grant(&object.spec);
        let known =
            self.observed.as_ref().is_some_and(|observed| observed.version == object.version);
        if !known {
            self.observed = Some(ObservedLease {
                version: object.version,
                record: object.spec,
                first_seen_at: now,
            });
        }
    }

    /// Takes the answer of a write.
    pub fn on_write(&mut self, write: LeaseWrite, answer: Result<String, PlatformError>) {
        let LeaseWrite { record, sent_at, .. } = write;
        match answer {
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

    /// Takes note of a stored lease: whether it is held here, and since when.
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

    /// Returns whether another holder's lease has surely ended.
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
        let mut former = self.former();
        let before = self.record().and_then(|record| record.holder.clone());
        former.extend(before.filter(|holder| holder.instance != self.this_holder.instance));
        let record = LeaseRecord { holder, epoch, renewal: self.last_renewal, term_ms, former };
        LeaseCall::Write(LeaseWrite { version, record, sent_at: now })
    }
}
