//! What one request learned from its sends so far: which backend servers had it, and where nobody
//! answers.

use crate::names::{BackendServerName, DataCentreName};
use crate::routing::fleet::{Registration, Server};

/// Sends to a data centre that reached no backend server of the service, after which the request
/// goes to another one. Two tell a lost data centre, or a list that is out of date there, from a
/// single server that is gone.
const MAX_MISSES_THERE: usize = 2;
/// Sends that reached no backend server of the service, after which a request is refused: two in
/// each of three data centres. Each may use up the time that opening a connection may take.
const MAX_MISSES: usize = 6;

/// How far a send came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It reached the backend server, as far as is known.
    Arrived,
    /// It reached another server, which has the address now; it is no attempt.
    Misdirected,
    /// It did not leave this instance.
    Unsent,
}

/// The sends of one request.
#[derive(Debug, Clone, Default)]
pub struct Tried {
    servers: Vec<BackendServerName>,
    arrived: u32,
    must_pay: bool,
    /// Data centres of the sends that reached no backend server of the service.
    misses: Vec<DataCentreName>,
}

impl Tried {
    /// Notes that the request is sent to a backend server.
    pub fn add(&mut self, server: BackendServerName) {
        self.servers.push(server);
        self.must_pay = true;
    }

    /// Notes how far the last send came.
    pub fn note(&mut self, sent_to: &Registration, reach: Reach) {
        match reach {
            Reach::Arrived => self.arrived += 1,
            Reach::Misdirected | Reach::Unsent => self.misses.push(sent_to.data_centre.clone()),
        }
        self.must_pay = reach != Reach::Unsent;
    }

    /// Returns the attempts: sends that reached a backend server of the service.
    pub fn arrived(&self) -> u32 {
        self.arrived
    }

    /// Returns whether the next send needs a share of the budget of repeats.
    pub fn must_pay(&self) -> bool {
        self.must_pay
    }

    /// Returns whether another send may find a backend server.
    pub fn may_find_another(&self) -> bool {
        self.misses.len() < MAX_MISSES
    }

    /// Returns whether the request was sent to a backend server.
    pub fn has(&self, server: &BackendServerName) -> bool {
        self.servers.contains(server)
    }

    /// Leaves out the servers of data centres where nobody answers, if others remain.
    pub fn prefer_answering<'a>(&self, servers: Vec<&'a Server>) -> Vec<&'a Server> {
        if self.misses.len() < MAX_MISSES_THERE {
            return servers;
        }
        let answers = |server: &&&Server| !self.is_lost(&server.entry.data_centre);
        let answering: Vec<&Server> = servers.iter().filter(answers).copied().collect();
        if answering.is_empty() { servers } else { answering }
    }

    fn is_lost(&self, data_centre: &DataCentreName) -> bool {
        let misses = self.misses.iter().filter(|missed| *missed == data_centre).count();
        misses >= MAX_MISSES_THERE
    }
}
