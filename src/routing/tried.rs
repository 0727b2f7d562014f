//! What one request learned from its sends so far: which backend servers had it, and where nobody
//! answers.

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::fleet::{Registration, Server};

/// Sends to a data centre that reached no backend server of the service, after which the request
/// goes to another one. Two tell a lost data centre, or a list that is out of date there, from a
/// single server that is gone.
const MAX_MISSES_PER_DATA_CENTRE: usize = 2;
/// Sends that reached no backend server of the service, after which a request is refused: two in
/// each of three data centres. Each may use up the time that opening a connection may take.
const MAX_MISSES: usize = 6;

/// How far a send came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendResult {
    /// It reached the backend server, as far as is known.
    Delivered,
    /// It reached another server, which has the address now; it is no attempt.
    Misdirected,
    /// It did not leave this instance.
    NotSent,
}

/// The sends of one request.
#[derive(Debug, Clone, Default)]
pub struct SendHistory {
    servers: Vec<BackendServerName>,
    delivered: u32,
    needs_retry_budget: bool,
    /// Data centres of the sends that reached no backend server of the service.
    missed_data_centres: Vec<DataCentreName>,
}

impl SendHistory {
    /// Notes that the request is sent to a backend server.
    pub fn record_send(&mut self, server: BackendServerName) {
        self.servers.push(server);
        self.needs_retry_budget = true;
    }

    /// Notes how far the last send came.
    pub fn record_result(&mut self, sent_to: &Registration, result: SendResult) {
        match result {
            SendResult::Delivered => self.delivered += 1,
            SendResult::Misdirected | SendResult::NotSent => {
                self.missed_data_centres.push(sent_to.data_centre.clone())
            }
        }
        self.needs_retry_budget = result != SendResult::NotSent;
    }

    /// Returns the attempts: sends that reached a backend server of the service.
    pub fn attempts(&self) -> u32 {
        self.delivered
    }

    /// Returns whether the next send needs a share of the budget of repeats.
    pub fn needs_retry_budget(&self) -> bool {
        self.needs_retry_budget
    }

    /// Returns whether another send may find a backend server.
    pub fn has_misses_left(&self) -> bool {
        self.missed_data_centres.len() < MAX_MISSES
    }

    /// Returns whether the request was sent to a backend server.
    pub fn contains(&self, server: &BackendServerName) -> bool {
        self.servers.contains(server)
    }

    /// Leaves out the servers of data centres where nobody answers, if others remain.
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
