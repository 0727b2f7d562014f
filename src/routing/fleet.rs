//! Backend servers in the platform's registry, and which of them may receive new requests: those
//! that own their address, are not draining and are not in an evacuated data centre.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{BackendServerName, DataCentreName, SoftwareVersion};
use crate::routing::catalog::ServiceName;
use crate::routing::notices::{Notice, Notices};
use crate::routing::revision::era_of;

/// Time after the recovery of the registry for which entries that lapsed during its outage stay in
/// use.
///
/// A live backend server registers again within two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Retention period of tombstones; longer than any backend server continues to serve after its
/// removal.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30);

/// Retention period of the versions that a service no longer has.
const FORMER_VERSION_RETENTION: Duration = Duration::from_secs(300);

/// A backend server as registered.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Identifier, which the backend server also states in its responses.
    pub name: BackendServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Version of its software. A stream can go on only at the version that began it.
    pub version: SoftwareVersion,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining.
    pub is_draining: bool,
    /// Remaining cold period at the time when the entry was written.
    pub remaining_cold_period: Duration,
    /// Start of its process, in milliseconds since the Unix epoch; used to detect a restart under
    /// the same name.
    pub started_at_ms: Option<u64>,
    /// Whether it is a spot server, which may be reclaimed at short notice.
    pub is_spot: bool,
}

/// A registered backend server with the local state of its entry.
#[derive(Debug, Clone)]
pub struct Server {
    /// The registry entry.
    pub entry: Registration,
    /// Revision of the entry.
    pub revision: u64,
    /// End of its cold period.
    pub cold_until: Option<Instant>,
    /// End of the cold period that this instance assumes after an ejection or the end of an
    /// evacuation; entries don't state it.
    assumed_cold_until: Option<Instant>,
    /// Removal of its entry during a registry outage; `None` while the entry is listed.
    lapsed: Option<Tombstone>,
    /// When it began to drain.
    draining_since: Option<Instant>,
}

impl Server {
    /// Returns whether the backend server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Extends the assumed cold period to `until`; never shortens it.
    fn extend_cold(&mut self, until: Instant) {
        self.assumed_cold_until = self.assumed_cold_until.max(Some(until));
        self.cold_until = self.cold_until.max(Some(until));
    }
}

/// Record of a removed entry.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    /// When the backend server began to drain, or when its entry was removed.
    since: Instant,
    /// Revision of the removal; older versions of the entry are ignored.
    revision: u64,
    /// Start of the removed process, if known.
    started_at_ms: Option<u64>,
}

impl Tombstone {
    /// Returns whether an entry is ignored: it is older than the removal, or it is one of the same
    /// process in a copy of the registry from before the removal.
    fn hides(&self, revision: u64, entry: &Registration, is_from_copy: bool) -> bool {
        let is_of_former_era = era_of(self.revision) < era_of(revision);
        let is_same_process = self.started_at_ms == entry.started_at_ms;
        self.revision > revision || (is_from_copy && is_of_former_era && is_same_process)
    }
}

/// All known backend servers and the evacuated data centres.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: HashMap<BackendServerName, Server>,
    /// Current owner of each address. Another server that is registered with the same address has
    /// been replaced.
    address_owners: HashMap<SocketAddr, BackendServerName>,
    /// Removed entries; their backend servers may continue to serve for a while.
    tombstones: HashMap<BackendServerName, Tombstone>,
    /// When a backend server of a service with a software version was last removed or replaced.
    former_versions: HashMap<(ServiceName, SoftwareVersion), Instant>,
    /// When the first list of entries was received.
    known_since: Option<Instant>,
    notices: Notices,
    evacuated: HashSet<DataCentreName>,
    is_registry_unavailable: bool,
    registry_recovered_at: Option<Instant>,
    revision: u64,
    /// Revision of the first list after the registry's last return from a copy; entries up to it may be
    /// older than what is known.
    copied_revision: u64,
}

impl Fleet {
    /// Replaces all entries by a full list, read at a revision of the registry. Ignored if the list
    /// is older than the last one.
    pub fn apply_list(&mut self, now: Instant, revision: u64, listed: Vec<(u64, Registration)>) {
        if revision < self.revision {
            return;
        }
        if self.revision > 0 && era_of(self.revision) < era_of(revision) {
            // Entries that are missing from the copy are written again, as after an outage.
            self.registry_recovered_at = Some(now);
            self.copied_revision = revision;
        }
        self.known_since.get_or_insert(now);
        let names: HashSet<_> = listed.iter().map(|(_, entry)| entry.name.clone()).collect();
        let unlisted: Vec<_> =
            self.servers.keys().filter(|name| !names.contains(*name)).cloned().collect();
        for name in unlisted {
            self.remove(now, revision, &name);
        }
        for (revision, entry) in listed {
            self.upsert(now, revision, entry);
        }
        self.revision = revision;
    }

    /// Adds or updates an entry; ignored if its revision is older than that of the known entry or
    /// of its removal.
    pub fn upsert(&mut self, now: Instant, revision: u64, mut entry: Registration) {
        let is_from_copy = revision <= self.copied_revision;
        let known = self.servers.get(&entry.name);
        let removed = self.tombstones.get(&entry.name);
        let lapsed = known.and_then(|known| known.lapsed.as_ref());
        if known.is_some_and(|known| known.revision > revision)
            || removed.is_some_and(|tombstone| tombstone.hides(revision, &entry, is_from_copy))
            || lapsed.is_some_and(|tombstone| tombstone.revision > revision)
        {
            return;
        }
        // A copy of the registry may have an entry from before the server began to drain.
        entry.is_draining |= known.is_some_and(|known| {
            is_from_copy
                && known.entry.is_draining
                && known.entry.started_at_ms == entry.started_at_ms
        });
        let unchanged = known.is_some_and(|known| known.revision == revision);
        let same_process = known.filter(|known| known.entry.started_at_ms == entry.started_at_ms);
        let assumed_cold_until = same_process.and_then(|known| known.assumed_cold_until);
        let cold_until = match known {
            Some(known) if unchanged => known.cold_until,
            _ => {
                let stated = (!entry.remaining_cold_period.is_zero())
                    .then(|| now + entry.remaining_cold_period);
                stated.max(assumed_cold_until)
            }
        };
        let draining_since =
            entry.is_draining.then(|| known.and_then(|known| known.draining_since).unwrap_or(now));
        if let Some(former) = known.map(|known| known.entry.clone())
            && (&former.service, &former.version) != (&entry.service, &entry.version)
        {
            self.record_former_version(now, &former);
        }
        self.tombstones.remove(&entry.name);
        self.assign_address(revision, &entry);
        let server = Server {
            revision,
            cold_until,
            assumed_cold_until,
            lapsed: None,
            draining_since,
            entry,
        };
        self.servers.insert(server.entry.name.clone(), server);
    }

    /// Removes an entry that was deleted or is invalid, as of a revision of the registry.
    ///
    /// During a registry outage, and shortly after, entries of live backend servers lapse as well,
    /// so lapsed entries stay in use until [`Fleet::purge_lapsed`] drops them.
    pub fn remove(&mut self, now: Instant, revision: u64, name: &BackendServerName) {
        if self.may_lapse_spuriously(now)
            && let Some(server) = self.servers.get_mut(name)
        {
            let started_at_ms = server.entry.started_at_ms;
            server.lapsed.get_or_insert(Tombstone { since: now, revision, started_at_ms });
            return;
        }
        let known = self.servers.remove(name);
        if let Some(known) = &known {
            self.release_address(known);
            self.record_former_version(now, &known.entry);
        }
        let since = known.as_ref().and_then(|known| known.draining_since).unwrap_or(now);
        let started_at_ms = known.and_then(|known| known.entry.started_at_ms);
        // An unknown entry also gets a tombstone, as an older version of it may still arrive.
        let tombstone = self.tombstones.entry(name.clone()).or_insert(Tombstone {
            since,
            revision,
            started_at_ms,
        });
        tombstone.revision = tombstone.revision.max(revision);
    }

    /// Records whether the registry can be read; an outage ends with the first successful read.
    pub fn set_registry_available(&mut self, now: Instant, is_available: bool) {
        if is_available && self.is_registry_unavailable {
            self.registry_recovered_at = Some(now);
        }
        self.is_registry_unavailable = !is_available;
    }

    /// Drops entries that are still lapsed after the grace period, and expired tombstones.
    pub fn purge_lapsed(&mut self, now: Instant) {
        if !self.may_lapse_spuriously(now) {
            let lapsed = self.servers.extract_if(|_, server| server.lapsed.is_some());
            let lapsed: Vec<Server> = lapsed.map(|(_, server)| server).collect();
            for server in &lapsed {
                self.release_address(server);
                self.record_former_version(now, &server.entry);
            }
        }
        self.former_versions
            .retain(|_, removed_at| now.duration_since(*removed_at) < FORMER_VERSION_RETENTION);
        self.tombstones
            .retain(|_, tombstone| now.duration_since(tombstone.since) < TOMBSTONE_RETENTION);
        let is_known = |name: &BackendServerName| {
            self.servers.contains_key(name) || self.tombstones.contains_key(name)
        };
        self.notices.purge(now, is_known);
    }

    /// Records what a process of a backend server says about itself; returns whether it has begun
    /// to leave.
    pub fn record_notice(
        &mut self,
        now: Instant,
        name: &BackendServerName,
        started_at_ms: Option<u64>,
        notice: Notice,
    ) -> bool {
        self.notices.record(now, name, started_at_ms, notice)
    }

    /// Returns how much longer a backend server wants no requests from this instance; `None` if it
    /// takes them.
    pub fn pause_left(&self, now: Instant, entry: &Registration) -> Option<Duration> {
        self.notices.pause_left(now, &entry.name, entry.started_at_ms)
    }

    /// Returns the shortest of the pauses of a service's usable backend servers; `None` if any of
    /// them takes requests.
    pub fn shortest_pause(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        self.usable(service).map(|server| self.pause_left(now, &server.entry)).min().flatten()
    }

    /// Sets the evacuated data centres. The backend servers of data centres whose evacuation ended
    /// become cold.
    pub fn set_evacuated(
        &mut self,
        now: Instant,
        evacuated: HashSet<DataCentreName>,
        cold_period: impl Fn(&ServiceName) -> Duration,
    ) {
        for server in self.servers.values_mut() {
            let data_centre = &server.entry.data_centre;
            if self.evacuated.contains(data_centre) && !evacuated.contains(data_centre) {
                server.extend_cold(now + cold_period(&server.entry.service));
            }
        }
        self.evacuated = evacuated;
    }

    /// Marks a backend server as cold for a period from now, such as when it is ejected.
    pub fn mark_cold(&mut self, now: Instant, name: &BackendServerName, period: Duration) {
        if let Some(server) = self.servers.get_mut(name) {
            server.extend_cold(now + period);
        }
    }

    /// Returns the backend servers of a service that may receive new requests.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Server> {
        self.servers
            .values()
            .filter(move |server| server.entry.service == *service && self.is_eligible(server))
    }

    /// Returns whether a backend server may receive new requests.
    pub fn is_usable(&self, name: &BackendServerName) -> bool {
        self.servers.get(name).is_some_and(|server| self.is_eligible(server))
    }

    /// Returns when a backend server began to drain, or said that it leaves, or was removed; `None`
    /// if none of these is the case.
    pub fn draining_since(&self, name: &BackendServerName) -> Option<Instant> {
        let server = self.servers.get(name);
        let draining = server.and_then(|server| {
            let leaving = self.notices.leaving_since(name, server.entry.started_at_ms);
            server.draining_since.into_iter().chain(leaving).min()
        });
        draining.or_else(|| self.tombstones.get(name).map(|tombstone| tombstone.since))
    }

    /// Returns all known backend servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns a backend server, if it is known.
    pub fn get(&self, name: &BackendServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns the only software version that a service has had for a time; `None` if there were
    /// several, or the entries are not known for so long.
    pub fn only_version(
        &self,
        now: Instant,
        service: &ServiceName,
        time: Duration,
    ) -> Option<&SoftwareVersion> {
        let is_recent = |at: Instant| now.duration_since(at) < time;
        if time > FORMER_VERSION_RETENTION || self.known_since.is_none_or(is_recent) {
            return None;
        }
        let current = self.servers.values().map(|server| &server.entry);
        let current = current.map(|entry| (&entry.service, &entry.version));
        let former = self.former_versions.iter().filter(|(_, removed_at)| is_recent(**removed_at));
        let former = former.map(|((service, version), _)| (service, version));
        let mut versions = current.chain(former).filter(|(of, _)| *of == service).map(|(_, v)| v);
        let version = versions.next()?;
        versions.all(|other| other == version).then_some(version)
    }

    /// Returns whether a service has, or had lately, several software versions.
    pub fn has_several_versions(&self) -> bool {
        let current = self.servers.values().map(|server| &server.entry);
        let current = current.map(|entry| (&entry.service, &entry.version));
        let former = self.former_versions.keys().map(|(service, version)| (service, version));
        let mut versions = HashMap::new();
        let mut all = current.chain(former);
        all.any(|(service, version)| *versions.entry(service).or_insert(version) != version)
    }

    fn record_former_version(&mut self, now: Instant, former: &Registration) {
        let key = (former.service.clone(), former.version.clone());
        self.former_versions.insert(key, now);
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &HashSet<DataCentreName> {
        &self.evacuated
    }

    fn is_eligible(&self, server: &Server) -> bool {
        let entry = &server.entry;
        let owns_address = self.address_owners.get(&entry.address) == Some(&entry.name);
        let is_leaving = self.notices.leaving_since(&entry.name, entry.started_at_ms).is_some();
        let takes_requests = !entry.is_draining && !is_leaving;
        owns_address && takes_requests && !self.evacuated.contains(&entry.data_centre)
    }

    /// Assigns the address of an entry to the process that started last or, if the start times are
    /// unknown or equal, to the entry that was written last.
    ///
    /// A backend server that restarts under another name is listed beside its previous entry until
    /// that one lapses.
    fn assign_address(&mut self, revision: u64, entry: &Registration) {
        let known = self.servers.get(&entry.name);
        if let Some(moved) = known.filter(|known| known.entry.address != entry.address).cloned() {
            self.release_address(&moved);
        }
        let owner = self.address_owners.get(&entry.address).and_then(|name| self.servers.get(name));
        let is_later =
            owner.is_none_or(|owner| match (entry.started_at_ms, owner.entry.started_at_ms) {
                (Some(started), Some(owner_started)) if started != owner_started => {
                    started > owner_started
                }
                _ => revision >= owner.revision,
            });
        if is_later {
            self.address_owners.insert(entry.address, entry.name.clone());
        }
    }

    fn release_address(&mut self, server: &Server) {
        if self.address_owners.get(&server.entry.address) == Some(&server.entry.name) {
            self.address_owners.remove(&server.entry.address);
        }
    }

    fn may_lapse_spuriously(&self, now: Instant) -> bool {
        self.is_registry_unavailable
            || self.registry_recovered_at.is_some_and(|at| now < at + REREGISTRATION_GRACE)
    }
}
