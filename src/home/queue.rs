//! The order in which the waiting requests of one backend server are served and dropped.
//!
//! Tiers, of which 0 is the highest, have strict priority, except for promised shares: while
//! requests of a class wait, the class accrues credit for its share of all work served, and once
//! the credit covers its next request, that request is served first. Thus a class makes progress
//! under full load from higher tiers, and a higher tier loses no more than the promised shares.
//! Each class has at least [`MIN_SHARE_PER_MILLE`], even if the sheet promises none.
//!
//! Each class also has its share of the places in the queue reserved. A full queue drops the newest
//! request of the lowest class that exceeds its reserved places.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::fair::{FairQueue, WaitingRequest};
use crate::config::model::TIERS;
use crate::config::{Class, Tier};
use crate::names::{ClassName, OrganisationName};

/// Shares are expressed in thousandths.
const PER_MILLE: u64 = 1_000;
/// Minimum share of a class, in thousandths.
pub const MIN_SHARE_PER_MILLE: u64 = 10;
/// Maximum credit of a class, as a multiple of the cost of the largest request.
const MAX_CREDIT_IN_LARGEST_REQUESTS: u64 = 2;

/// Reason why a waiting request was removed without a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The queue is full and the request was the newest of the lowest class that exceeds its
    /// reserved places.
    Full,
    /// The queue is full and the request was displaced by one of a higher tier.
    Displaced,
    /// The deadline can no longer be met.
    TooLate,
}

/// Capacity of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { max_waiting: 256 }
    }
}

/// Waiting requests of one class and its scheduling credit.
#[derive(Debug)]
struct ClassQueue {
    /// Share of the served work and of the places in the queue.
    share_per_mille: u64,
    /// Accrued credit, in thousandths of a token.
    credit: u64,
    requests: FairQueue,
}

/// Position of a class in the strict order: by tier, then by name.
type Rank = (Tier, ClassName);

/// Waiting requests of one backend server.
#[derive(Debug, Default)]
pub struct Queue {
    settings: QueueSettings,
    classes: BTreeMap<Rank, ClassQueue>,
    ranks: BTreeMap<ClassName, Rank>,
    largest_cost: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Applies the configured classes.
    ///
    /// Waiting requests are kept, also those of classes that are no longer configured.
    pub fn set_classes<'a>(&mut self, classes: impl Iterator<Item = &'a Class>) {
        let mut old = std::mem::take(&mut self.classes);
        self.ranks.clear();
        for class in classes {
            let rank = (class.tier, class.name.clone());
            let known = old.keys().find(|(_, name)| *name == class.name).cloned();
            let mut queue =
                known.and_then(|rank| old.remove(&rank)).unwrap_or_else(ClassQueue::new);
            queue.share_per_mille = u64::from(class.promised_share).max(MIN_SHARE_PER_MILLE);
            self.ranks.insert(class.name.clone(), rank.clone());
            self.classes.insert(rank, queue);
        }
        for (rank, queue) in old.into_iter().filter(|(_, queue)| !queue.requests.is_empty()) {
            self.ranks.insert(rank.1.clone(), rank.clone());
            self.classes.insert(rank, queue);
        }
        self.normalise_shares();
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.values().map(|class| class.requests.len()).sum()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.classes.values().all(|class| class.requests.is_empty())
    }

    /// Returns the number of waiting requests of an organisation.
    pub fn waiting_for_organisation(&self, organisation: &OrganisationName) -> usize {
        self.classes
            .values()
            .map(|class| class.requests.waiting_for_organisation(organisation))
            .sum()
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting_in_class(&self, class: &ClassName) -> usize {
        self.classes.get(&self.rank(class)).map_or(0, |class| class.requests.len())
    }

    /// Returns the tier of a class; an unknown class has the lowest tier.
    pub fn tier(&self, class: &ClassName) -> Tier {
        self.ranks.get(class).map_or(Tier(TIERS as u8 - 1), |(tier, _)| *tier)
    }

    /// Adds a request; returns the request dropped to make room, which may be the new one.
    pub fn push(
        &mut self,
        request: WaitingRequest,
        weight: u32,
    ) -> Option<(WaitingRequest, DropReason)> {
        let rank = self.rank(&request.class);
        let tier = rank.0;
        let id = request.id;
        self.largest_cost = self.largest_cost.max(request.cost);
        self.classes.entry(rank).or_insert_with(ClassQueue::new).requests.push(request, weight);
        if self.len() <= self.settings.max_waiting {
            return None;
        }
        let (dropped_tier, dropped) = self.drop_lowest()?;
        let higher = dropped.id != id && tier < dropped_tier;
        Some((dropped, if higher { DropReason::Displaced } else { DropReason::Full }))
    }

    /// Returns the request to be served next.
    pub fn peek(&self) -> Option<&WaitingRequest> {
        self.next_rank().and_then(|rank| self.classes[rank].requests.peek())
    }

    /// Returns the tier of the next request in strict order, or nothing if a promised share is due
    /// and its class is served first.
    pub fn next_tier_in_strict_order(&self) -> Option<Tier> {
        let due = self.classes.values().any(ClassQueue::is_due);
        if due { None } else { self.highest_rank().map(|(tier, _)| *tier) }
    }

    /// Returns the cost in tokens of the waiting requests of a tier and all higher tiers.
    pub fn cost_through_tier(&self, tier: Tier) -> u64 {
        let classes = self.classes.iter().filter(|((other, _), _)| *other <= tier);
        classes.map(|(_, class)| class.requests.cost()).sum()
    }

    /// Removes the request to be served next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let rank = self.next_rank()?.clone();
        let cost = self.classes.get(&rank)?.requests.peek()?.cost;
        self.accrue_credit(cost);
        let class = self.classes.get_mut(&rank)?;
        class.credit = class.credit.saturating_sub(cost * PER_MILLE);
        class.requests.pop()
    }

    /// Removes a request by its identifier.
    pub fn remove(&mut self, id: u64) -> Option<WaitingRequest> {
        self.classes.values_mut().find_map(|class| class.requests.remove(id))
    }

    /// Removes all requests whose deadline is before an instant.
    pub fn remove_late(&mut self, at: Instant) -> Vec<WaitingRequest> {
        let late: Vec<u64> = self
            .classes
            .values()
            .flat_map(|class| class.requests.iter())
            .filter(|request| request.deadline.is_some_and(|deadline| deadline < at))
            .map(|request| request.id)
            .collect();
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Removes all requests.
    pub fn clear(&mut self) -> Vec<WaitingRequest> {
        let ids: Vec<u64> =
            self.classes.values().flat_map(|class| class.requests.iter()).map(|r| r.id).collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Replaces the charged cost of a finished request with its actual cost.
    pub fn correct_charge(
        &mut self,
        class: &ClassName,
        organisation: &OrganisationName,
        charged: u64,
        actual: u64,
    ) {
        if let Some(class) = self.ranks.get(class).and_then(|rank| self.classes.get_mut(rank)) {
            class.requests.correct_charge(organisation, charged, actual);
        }
    }

    /// Returns the cost in tokens that is served before a new request.
    ///
    /// This is the lesser of the work ahead in strict order and the work served until the credit of
    /// the class covers the request.
    pub fn cost_ahead(
        &self,
        class: &ClassName,
        organisation: &OrganisationName,
        cost: u64,
        weight: u32,
    ) -> u64 {
        let rank = self.rank(class);
        let higher: u64 = self
            .classes
            .iter()
            .filter(|((tier, _), _)| *tier < rank.0)
            .map(|(_, class)| class.requests.cost())
            .sum();
        let Some(class) = self.classes.get(&rank) else { return higher };
        let own = class.requests.cost_ahead(organisation, cost, weight);
        let by_share = ((own + cost) * PER_MILLE).saturating_sub(class.credit)
            / class.share_per_mille.max(MIN_SHARE_PER_MILLE);
        (higher + own).min(by_share)
    }

    /// Returns the cost in tokens of all waiting requests.
    pub fn cost(&self) -> u64 {
        self.classes.values().map(|class| class.requests.cost()).sum()
    }

    fn rank(&self, class: &ClassName) -> Rank {
        self.ranks.get(class).cloned().unwrap_or_else(|| (self.tier(class), class.clone()))
    }

    /// Returns the highest class whose credit covers its next request, or else the highest class.
    fn next_rank(&self) -> Option<&Rank> {
        let due = self.classes.iter().find(|(_, class)| class.is_due()).map(|(rank, _)| rank);
        due.or_else(|| self.highest_rank())
    }

    /// Returns the class with the oldest next request among those of the highest waiting tier.
    fn highest_rank(&self) -> Option<&Rank> {
        let oldest = |class: &ClassQueue| class.requests.peek().map(|request| request.id);
        self.classes
            .iter()
            .filter(|(_, class)| !class.requests.is_empty())
            .min_by_key(|((tier, _), class)| (*tier, oldest(class)))
            .map(|(rank, _)| rank)
    }

    /// Credits each class that has waiting requests with its share of served work.
    fn accrue_credit(&mut self, cost: u64) {
        let max_credit = self.largest_cost * MAX_CREDIT_IN_LARGEST_REQUESTS * PER_MILLE;
        for class in self.classes.values_mut().filter(|class| !class.requests.is_empty()) {
            class.credit = (class.credit + cost * class.share_per_mille).min(max_credit);
        }
    }

    /// Drops the newest request of the lowest class that exceeds its reserved places.
    fn drop_lowest(&mut self) -> Option<(Tier, WaitingRequest)> {
        let max_waiting = self.settings.max_waiting as u64;
        let (rank, class) = self.classes.iter_mut().rev().find(|(_, class)| {
            let reserved = (max_waiting * class.share_per_mille / PER_MILLE).max(1);
            class.requests.len() as u64 > reserved
        })?;
        Some((rank.0, class.requests.remove_latest()?))
    }

    /// Scales the shares down if the sheet promises more than the total.
    fn normalise_shares(&mut self) {
        let sum: u64 = self.classes.values().map(|class| class.share_per_mille).sum();
        if sum > PER_MILLE {
            for class in self.classes.values_mut() {
                class.share_per_mille = (class.share_per_mille * PER_MILLE / sum).max(1);
            }
        }
    }
}

impl ClassQueue {
    fn new() -> Self {
        Self { share_per_mille: MIN_SHARE_PER_MILLE, credit: 0, requests: FairQueue::default() }
    }

    fn is_due(&self) -> bool {
        self.requests.peek().is_some_and(|request| self.credit >= request.cost * PER_MILLE)
    }
}
