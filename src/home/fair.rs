//! Fair queueing between the organisations of one class, by tokens consumed.
//!
//! This is start-time fair queueing (Goyal, Vin and Cheng, 1996): each organisation has a start tag
//! in virtual time that grows with the cost of its requests divided by its weight, and the
//! organisation with the least start tag is served next. The length of a response is unknown when
//! its request is started, so an estimate is charged first and corrected when the request ends.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::Instant;

use crate::names::{ClassName, OrganisationName};

/// Units of virtual time per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

/// A request waiting for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Identifier of the request, unique within the queue of the backend server.
    pub id: u64,
    /// Class of the request.
    pub class: ClassName,
    /// Organisation that issued the request.
    pub organisation: OrganisationName,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Time at which the request was queued.
    pub queued_at: Instant,
    /// Time by which the request must be granted a slot; unbounded if absent.
    pub deadline: Option<Instant>,
}

/// Waiting requests and scheduling state of one organisation.
#[derive(Debug, Default)]
struct Flow {
    weight: u64,
    start_tag: u64,
    cost: u64,
    requests: VecDeque<WaitingRequest>,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: BTreeMap<OrganisationName, Flow>,
    virtual_time: u64,
    len: usize,
    cost: u64,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the estimated cost in tokens of all waiting requests.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the number of waiting requests of an organisation.
    pub fn waiting_for_organisation(&self, organisation: &OrganisationName) -> usize {
        self.flows.get(organisation).map_or(0, |flow| flow.requests.len())
    }

    /// Returns all waiting requests, grouped by organisation.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.flows.values().flat_map(|flow| &flow.requests)
    }

    /// Appends a request of an organisation that has the given weight.
    pub fn push(&mut self, request: WaitingRequest, weight: u32) {
        let flow = self.flows.entry(request.organisation.clone()).or_default();
        flow.weight = u64::from(weight.max(1));
        if flow.requests.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.cost += request.cost;
        self.len += 1;
        self.cost += request.cost;
        flow.requests.push_back(request);
    }

    /// Returns the request to be served next.
    pub fn peek(&self) -> Option<&WaitingRequest> {
        self.next_flow().and_then(|name| self.flows[name].requests.front())
    }

    /// Removes the request to be served next and charges its estimated cost to the organisation.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let name = self.next_flow()?.clone();
        let flow = self.flows.get_mut(&name)?;
        let request = flow.requests.pop_front()?;
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.start_tag += request.cost * UNITS_PER_TOKEN / flow.weight;
        flow.cost -= request.cost;
        self.len -= 1;
        self.cost -= request.cost;
        self.remove_idle_flows();
        Some(request)
    }

    /// Replaces the charged cost of a finished request with its actual cost, 0 if it was not run.
    pub fn correct_charge(&mut self, organisation: &OrganisationName, charged: u64, actual: u64) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(organisation.clone()).or_insert_with(|| Flow {
            weight: 1,
            start_tag: virtual_time,
            ..Flow::default()
        });
        let units = charged.abs_diff(actual) * UNITS_PER_TOKEN / flow.weight.max(1);
        flow.start_tag = if actual >= charged {
            flow.start_tag.saturating_add(units)
        } else {
            flow.start_tag.saturating_sub(units)
        };
        self.remove_idle_flows();
    }

    /// Removes a request by its identifier.
    pub fn remove(&mut self, id: u64) -> Option<WaitingRequest> {
        let (name, index) = self.flows.iter().find_map(|(name, flow)| {
            let index = flow.requests.iter().position(|request| request.id == id)?;
            Some((name.clone(), index))
        })?;
        self.remove_at(&name, index)
    }

    /// Removes the newest request of the organisation with the most waiting requests per weight.
    pub fn remove_latest(&mut self) -> Option<WaitingRequest> {
        let name = self
            .flows
            .iter()
            .filter(|(_, flow)| !flow.requests.is_empty())
            .max_by_key(|(_, flow)| {
                let waiting = flow.requests.len() as u64 * UNITS_PER_TOKEN / flow.weight;
                (waiting, flow.requests.back().map(|request| request.id))
            })
            .map(|(name, _)| name.clone())?;
        let last = self.flows.get(&name)?.requests.len() - 1;
        self.remove_at(&name, last)
    }

    /// Estimates the cost in tokens that is served before a new request of an organisation.
    pub fn cost_ahead(&self, organisation: &OrganisationName, cost: u64, weight: u32) -> u64 {
        let own = self.flows.get(organisation).map_or(0, |flow| flow.cost);
        let fair_share = |other: &Flow| (own + cost) * other.weight / u64::from(weight.max(1));
        let others: u64 = self
            .flows
            .iter()
            .filter(|(name, _)| *name != organisation)
            .map(|(_, flow)| flow.cost.min(fair_share(flow)))
            .sum();
        own + others
    }

    fn next_flow(&self) -> Option<&OrganisationName> {
        self.flows
            .iter()
            .filter(|(_, flow)| !flow.requests.is_empty())
            .min_by_key(|(_, flow)| {
                (flow.start_tag, flow.requests.front().map(|request| request.id))
            })
            .map(|(name, _)| name)
    }

    fn remove_at(&mut self, name: &OrganisationName, index: usize) -> Option<WaitingRequest> {
        let flow = self.flows.get_mut(name)?;
        let request = flow.requests.remove(index)?;
        flow.cost -= request.cost;
        self.len -= 1;
        self.cost -= request.cost;
        Some(request)
    }

    /// Removes organisations without requests whose start tag is not ahead of virtual time.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.requests.is_empty() || flow.start_tag > virtual_time);
    }
}
