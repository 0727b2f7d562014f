//! The backend server interface: takes orders by data centre and records each one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::host::{Call, Reply};

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderEnd {
    /// It was carried out.
    Done,
    /// Its identifier was known, so that it was not carried out again.
    Repeated,
    /// Its fencing number was old and the server checks it.
    Refused,
}

/// An order as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identifier chosen by the sender.
    pub id: String,
    /// Data centre that it was sent to.
    #[serde(default)]
    pub data_centre: String,
    /// Backend server that it concerns.
    #[serde(default)]
    pub server: String,
    /// `start`, `stop`, `load` or `role`.
    pub order: String,
    /// Its argument.
    #[serde(default)]
    pub argument: String,
    /// Fencing number of the sender's lease.
    pub fencing: u64,
    /// The instance that sent it.
    pub holder: String,
    /// What became of it.
    #[serde(default = "done")]
    pub end: OrderEnd,
}

fn done() -> OrderEnd {
    OrderEnd::Done
}

/// State of one backend server.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    checks_fencing: bool,
    greatest_fencing: u64,
    /// When it runs; absent if it is stopped.
    runs_from: Option<Instant>,
}

/// All backend servers that orders or settings named.
#[derive(Debug)]
pub(super) struct Servers {
    start_time: Duration,
    servers: BTreeMap<(String, String), Server>,
    known: BTreeSet<String>,
    orders: Vec<Order>,
}

impl Servers {
    pub(super) fn new(start_time: Duration) -> Self {
        Self { start_time, servers: BTreeMap::new(), known: BTreeSet::new(), orders: Vec::new() }
    }

    pub(super) fn set_checks_fencing(&mut self, centre: &str, name: &str, checks: bool) {
        self.server(centre, name).checks_fencing = checks;
    }

    /// Sets whether a backend server runs, without an order.
    pub(super) fn set_running(&mut self, centre: &str, name: &str, running: bool) {
        self.server(centre, name).runs_from = running.then(Instant::now);
    }

    pub(super) fn orders(&self) -> Vec<Order> {
        self.orders.clone()
    }

    /// Takes an order in.
    pub(super) fn order(&mut self, centre: &str, name: &str, call: &Call) -> Reply {
        let mut order: Order = match call.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        order.data_centre = centre.to_owned();
        order.server = name.to_owned();
        order.end = self.judge(&order);
        if order.end == OrderEnd::Done {
            self.carry_out(&order);
        }
        let reply = match order.end {
            OrderEnd::Refused => Reply::error(409, "the fencing number is old"),
            end => Reply::Json(200, json!({ "id": order.id, "end": end })),
        };
        self.orders.push(order);
        reply
    }

    /// Lists the backend servers of a data centre.
    pub(super) fn list(&self, centre: &str) -> Reply {
        let here = self.servers.iter().filter(|((known, _), _)| known == centre);
        let items: Vec<Value> = here
            .map(|((_, name), server)| json!({ "name": name, "state": server.state() }))
            .collect();
        Reply::Json(200, json!({ "items": items }))
    }

    fn judge(&mut self, order: &Order) -> OrderEnd {
        let server = self.server(&order.data_centre, &order.server);
        if server.checks_fencing && order.fencing < server.greatest_fencing {
            return OrderEnd::Refused;
        }
        server.greatest_fencing = server.greatest_fencing.max(order.fencing);
        if self.known.insert(order.id.clone()) { OrderEnd::Done } else { OrderEnd::Repeated }
    }

    fn carry_out(&mut self, order: &Order) {
        let start_time = self.start_time;
        let server = self.server(&order.data_centre, &order.server);
        match order.order.as_str() {
            "start" if server.runs_from.is_none() => {
                server.runs_from = Some(Instant::now() + start_time);
            }
            "stop" => server.runs_from = None,
            _ => {}
        }
    }

    fn server(&mut self, centre: &str, name: &str) -> &mut Server {
        self.servers.entry((centre.to_owned(), name.to_owned())).or_default()
    }
}

impl Server {
    fn state(&self) -> &'static str {
        match self.runs_from {
            None => "stopped",
            Some(from) if from > Instant::now() => "starting",
            Some(_) => "running",
        }
    }
}
