//! Fair order between the organisations of one class, by the tokens that they use.
//!
//! This is start-time fair queueing (Goyal, Vin and Cheng, 1996): each organisation has a virtual
//! start time that grows with the cost of its requests divided by its weight, and the organisation
//! with the least start time is served next. The length of an answer is unknown when its request
//! is served, so an estimate is charged first and corrected when the request ends.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::Instant;

use crate::names::{ClassName, OrganisationName};

/// Virtual time units for one token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Number of the request, unique within the backend server's queue.
    pub id: u64,
    /// Its class.
    pub class: ClassName,
    /// The organisation that it runs for.
    pub organisation: OrganisationName,
    /// Its estimated cost in tokens.
    pub cost: u64,
    /// When it was queued.
    pub queued_at: Instant,
    /// When it must have been granted to be in time; no bound if absent.
    pub deadline: Option<Instant>,
}

/// The requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    weight: u64,
    start_tag: u64,
    cost: u64,
    requests: VecDeque<WaitingRequest>,
}

/// The waiting requests of one class.
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

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the estimated cost of all waiting requests in tokens.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns how many requests of an organisation wait.
    pub fn waiting_for_organisation(&self, organisation: &OrganisationName) -> usize {
        self.flows.get(organisation).map_or(0, |flow| flow.requests.len())
    }

    /// Returns all waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.flows.values().flat_map(|flow| &flow.requests)
    }

    /// Adds a request of an organisation with a weight.
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

    /// Returns the request that is served next.
    pub fn peek(&self) -> Option<&WaitingRequest> {
        self.next_flow().and_then(|name| self.flows[name].requests.front())
    }

    /// Takes the request that is served next and charges its estimated cost.
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

    /// Corrects the charge of a request that ended, or takes it back if it never ran.
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

    /// Removes a request by its number.
    pub fn remove(&mut self, id: u64) -> Option<WaitingRequest> {
        let (name, index) = self.flows.iter().find_map(|(name, flow)| {
            let index = flow.requests.iter().position(|request| request.id == id)?;
            Some((name.clone(), index))
        })?;
        self.remove_at(&name, index)
    }

    /// Removes the latest request of the organisation with most waiting for its weight.
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

    /// Returns the cost in tokens that is served before a new request of an organisation.
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

    /// Drops organisations without requests whose past use no longer matters.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.requests.is_empty() || flow.start_tag > virtual_time);
    }
}
