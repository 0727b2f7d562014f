//! History of the sends of one request: which backend servers it was sent to, and which data
//! centres are unreachable.

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::fleet::{Registration, Server};

/// Misses in a data centre after which a request avoids it. A miss is a send that reached no
/// backend server of the service. A single miss may be one failed server; two point to a failed
/// data centre or an outdated server list.
const MAX_MISSES_PER_DATA_CENTRE: usize = 2;
/// Misses after which a request is refused: two in each of three data centres. The number is
/// bounded because each miss may take a full connect timeout.
const MAX_MISSES: usize = 6;

/// Result of sending a request to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// The request reached the backend server, or may have reached it.
    Delivered,
    /// The request reached a different server that now owns the address; not counted as an attempt.
    Misdirected,
    /// The request did not leave this instance.
    NotSent,
}

/// The sends of one request.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    servers: Vec<BackendServerName>,
    delivered: u32,
    needs_retry_budget: bool,
    /// Data centre of each miss.
    missed_data_centres: Vec<DataCentreName>,
}

impl SendHistory {
    /// Records that the request is being sent to a backend server.
    pub fn record_send(&mut self, server: BackendServerName) {
        self.servers.push(server);
        self.needs_retry_budget = true;
    }

    /// Records the result of the last send.
    pub fn record_result(&mut self, sent_to: &Registration, result: SendResult) {
        match result {
            SendResult::Delivered => self.delivered += 1,
            SendResult::Misdirected | SendResult::NotSent => {
                self.missed_data_centres.push(sent_to.data_centre.clone())
            }
        }
        self.needs_retry_budget = result != SendResult::NotSent;
    }

    /// Returns the number of sends that reached a backend server of the service, or may have.
    pub fn attempts(&self) -> u32 {
        self.delivered
    }

    /// Returns whether the next send must be covered by the retry budget: not if it is the first,
    /// or if the previous send did not leave this instance.
    pub fn needs_retry_budget(&self) -> bool {
        self.needs_retry_budget
    }

    /// Returns whether the request may be sent again despite its misses so far.
    pub fn is_below_miss_limit(&self) -> bool {
        self.missed_data_centres.len() < MAX_MISSES
    }

    /// Returns whether the request was sent to a backend server.
    pub fn contains(&self, server: &BackendServerName) -> bool {
        self.servers.contains(server)
    }

    /// Filters out servers in unreachable data centres, unless no others remain.
    pub fn prefer_reachable<'a>(&self, servers: Vec<&'a Server>) -> Vec<&'a Server> {
        if self.missed_data_centres.len() < MAX_MISSES_PER_DATA_CENTRE {
            return servers;
        }
        let is_reachable = |server: &&&Server| !self.is_unreachable(&server.entry.data_centre);
        let reachable: Vec<&Server> = servers.iter().filter(is_reachable).copied().collect();
        if reachable.is_empty() { servers } else { reachable }
    }

    fn is_unreachable(&self, data_centre: &DataCentreName) -> bool {
        let misses =
            self.missed_data_centres.iter().filter(|missed| *missed == data_centre).count();
        misses >= MAX_MISSES_PER_DATA_CENTRE
    }
}
