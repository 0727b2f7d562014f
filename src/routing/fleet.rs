//! The backend servers that may be used: as registered, less those that leave or stand in a data
//! centre taken out.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::catalog::ServiceName;

/// How long an entry that was removed while the registry failed stays in use after its return.
///
/// A live backend server registers again within two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// How long it is remembered that a backend server left; longer than any serves on.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(30);

/// A backend server as registered.
#[derive(Debug, Clone, PartialEq)]
pub struct Registration {
    /// Its identifier, which it states in its answers.
    pub name: BackendServerName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How long it stays cold, counted from when the entry was written.
    pub cold_duration: Duration,
    /// Start of its process, in milliseconds since 1970; tells a restart under the same name.
    pub started_at_ms: Option<u64>,
    /// Whether it may be reclaimed at short notice.
    pub is_spot: bool,
}

/// A registered backend server with what this instance knows of its entry.
#[derive(Debug, Clone)]
pub struct Server {
    /// The entry.
    pub entry: Registration,
    /// Revision of the entry.
    pub revision: u64,
    /// Until when it counts as cold.
    pub cold_until: Option<Instant>,
    /// Its removal while the registry failed; none while it is listed.
    lapsed: Option<Tombstone>,
    /// Since when it is about to leave.
    draining_since: Option<Instant>,
}

impl Server {
    /// Returns whether it counts as cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Counts it as cold until a time, or longer if it is cold for longer.
    fn extend_cold(&mut self, until: Instant) {
        self.cold_until = self.cold_until.max(Some(until));
    }
}

/// A removed entry.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    /// Since when the backend server is about to leave.
    since: Instant,
    /// Revision of the removal; older news of the entry come too late.
    revision: u64,
}

/// All known backend servers and the data centres that are taken out.
#[derive(Debug, Default)]
pub struct Fleet {
    servers: HashMap<BackendServerName, Server>,
    /// Who has an address by the latest entry; a former holder's process is gone.
    address_owners: HashMap<SocketAddr, BackendServerName>,
    /// Entries that were removed; those backend servers serve on for a while.
    tombstones: HashMap<BackendServerName, Tombstone>,
    evacuated: HashSet<DataCentreName>,
    registry_failing: bool,
    registry_recovered_at: Option<Instant>,
    revision: u64,
}

impl Fleet {
    /// Takes a whole list, read at a revision of the registry.
    pub fn apply_list(&mut self, now: Instant, revision: u64, listed: Vec<(u64, Registration)>) {
        if revision < self.revision {
            return;
        }
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

    /// Takes one new or changed entry; older revisions than the known one, or than its removal,
    /// are ignored.
    pub fn upsert(&mut self, now: Instant, revision: u64, entry: Registration) {
        let known = self.servers.get(&entry.name);
        let removed = self.tombstones.get(&entry.name);
        let removed = removed.or_else(|| known.and_then(|known| known.lapsed.as_ref()));
        if known.is_some_and(|known| known.revision > revision)
            || removed.is_some_and(|tombstone| tombstone.revision > revision)
        {
            return;
        }
        let unchanged = known.is_some_and(|known| known.revision == revision);
        let cold_until = match known {
            Some(known) if unchanged => known.cold_until,
            _ => (!entry.cold_duration.is_zero()).then(|| now + entry.cold_duration),
        };
        let draining_since =
            entry.is_draining.then(|| known.and_then(|known| known.draining_since).unwrap_or(now));
        self.tombstones.remove(&entry.name);
        self.assign_address(revision, &entry);
        let server = Server { revision, cold_until, lapsed: None, draining_since, entry };
        self.servers.insert(server.entry.name.clone(), server);
    }

    /// Takes note that an entry is gone or can't be used, as of a revision of the registry.
    ///
    /// While the registry fails, and shortly after, entries also lapse without cause; these stay
    /// in use until [`Fleet::purge_lapsed`] drops them.
    pub fn remove(&mut self, now: Instant, revision: u64, name: &BackendServerName) {
        if self.may_lapse_spuriously(now)
            && let Some(server) = self.servers.get_mut(name)
        {
            server.lapsed.get_or_insert(Tombstone { since: now, revision });
            return;
        }
        let known = self.servers.remove(name);
        if let Some(known) = &known {
            self.release_address(known);
        }
        let since = known.and_then(|known| known.draining_since).unwrap_or(now);
        // Kept for an unknown one as well: news from before its removal may still come.
        let tombstone =
            self.tombstones.entry(name.clone()).or_insert(Tombstone { since, revision });
        tombstone.revision = tombstone.revision.max(revision);
    }

    /// Takes note of whether calls to the registry succeed.
    pub fn record_registry_call(&mut self, now: Instant, succeeded: bool) {
        if succeeded && self.registry_failing {
            self.registry_recovered_at = Some(now);
        }
        self.registry_failing = !succeeded;
    }

    /// Drops entries that are still missing a while after the registry returned.
    pub fn purge_lapsed(&mut self, now: Instant) {
        if !self.may_lapse_spuriously(now) {
            let lapsed = self.servers.extract_if(|_, server| server.lapsed.is_some());
            let lapsed: Vec<Server> = lapsed.map(|(_, server)| server).collect();
            lapsed.iter().for_each(|server| self.release_address(server));
        }
        self.tombstones
            .retain(|_, tombstone| now.duration_since(tombstone.since) < TOMBSTONE_RETENTION);
    }

    /// Sets the data centres that are taken out; those that return are cold for a while.
    pub fn set_evacuated(
        &mut self,
        now: Instant,
        evacuated: HashSet<DataCentreName>,
        cold_start: impl Fn(&ServiceName) -> Duration,
    ) {
        for server in self.servers.values_mut() {
            let data_centre = &server.entry.data_centre;
            if self.evacuated.contains(data_centre) && !evacuated.contains(data_centre) {
                server.extend_cold(now + cold_start(&server.entry.service));
            }
        }
        self.evacuated = evacuated;
    }

    /// Marks a backend server as cold for a time, such as after it came back from a failure.
    pub fn mark_cold(&mut self, now: Instant, name: &BackendServerName, time: Duration) {
        if let Some(server) = self.servers.get_mut(name) {
            server.extend_cold(now + time);
        }
    }

    /// Returns the backend servers of a service that new work may go to.
    pub fn usable<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Server> {
        self.servers
            .values()
            .filter(move |server| server.entry.service == *service && self.is_eligible(server))
    }

    /// Returns whether new work may go to a backend server now.
    pub fn is_usable(&self, name: &BackendServerName) -> bool {
        self.servers.get(name).is_some_and(|server| self.is_eligible(server))
    }

    /// Returns since when a backend server is about to leave; none if it isn't.
    pub fn draining_since(&self, name: &BackendServerName) -> Option<Instant> {
        let draining = self.servers.get(name).and_then(|server| server.draining_since);
        draining.or_else(|| self.tombstones.get(name).map(|tombstone| tombstone.since))
    }

    /// Returns all known backend servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns a known backend server.
    pub fn get(&self, name: &BackendServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns the data centres that are taken out.
    pub fn evacuated(&self) -> &HashSet<DataCentreName> {
        &self.evacuated
    }

    fn is_eligible(&self, server: &Server) -> bool {
        let entry = &server.entry;
        let owns_address = self.address_owners.get(&entry.address) == Some(&entry.name);
        owns_address && !entry.is_draining && !self.evacuated.contains(&entry.data_centre)
    }

    /// Notes who has the address of an entry: the process that started last, or else the entry
    /// that was written last.
    ///
    /// A backend server that comes back under another name is listed beside its former entry
    /// until that one lapses.
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
        self.registry_failing
            || self.registry_recovered_at.is_some_and(|at| now < at + REREGISTRATION_GRACE)
    }
}
