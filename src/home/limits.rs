//! Allocation of organisation limits to instances, without I/O.
//!
//! One instance, chosen by rendezvous hashing among the usable ones, divides each organisation's
//! limits among the instances that use them. Every instance reports its usage once per
//! [`REPORT_PERIOD`] and gets an allowance that is valid for [`ALLOWANCE_VALIDITY`].
//!
//! An allowance counts against the limit until it expires, even if its instance has stopped. If the
//! instance reported more running requests than its allowance, that number counts instead.
//!
//! Error bound for running requests: with one allocator, the fleet never exceeds the limit. When
//! the allocating instance changes, allowances of the old one stay valid for at most
//! [`ALLOWANCE_VALIDITY`], during which the new one grants only equal shares. The fleet thus stays
//! within twice the limit (plus one request per instance if the limit is below the number of
//! instances), and falls back to the limit as requests finish. An instance that cannot reach the
//! allocator uses an equal share, with the same bound.
//!
//! Tokens are taken from a bucket that refills at the rate of the allowance. A response that is
//! longer than estimated is charged when it ends, so the bucket can become negative and delay later
//! requests.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::config::Organisation;
use crate::names::{InstanceName, OrganisationName};

/// Interval of the reports to the allocator.
pub const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time for which an allowance is valid.
pub const ALLOWANCE_VALIDITY: Duration = Duration::from_secs(4);
/// Period of the token limit in seconds.
const TOKEN_PERIOD_SECONDS: u64 = 60;
/// Capacity of a token bucket, as the time in which it fills.
const BURST_WINDOW: Duration = Duration::from_secs(10);

/// What an organisation may use at one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Maximum number of running requests; unlimited if absent.
    pub max_running: Option<u32>,
    /// Maximum number of tokens per minute; unlimited if absent.
    pub tokens_per_minute: Option<u64>,
}

/// Usage of one organisation at one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of running requests.
    pub running: u32,
    /// Requests refused since the last report because of the limit.
    pub refused: u32,
    /// Tokens used since the last report.
    pub tokens: u64,
}

/// Demand of one instance and what is reserved for it.
#[derive(Debug, Clone, Copy)]
struct Allocation {
    wanted_running: u64,
    wanted_tokens: u64,
    reserved_running: u64,
    reserved_tokens: u64,
    valid_until: Instant,
}

/// Allocations of one organisation's limits.
#[derive(Debug)]
struct Allocations {
    /// Time of the first allocation; allowances of an earlier allocator may be valid for
    /// [`ALLOWANCE_VALIDITY`] after it.
    since: Instant,
    by_instance: BTreeMap<InstanceName, Allocation>,
}

/// Divides the limits of organisations among the instances that use them.
#[derive(Debug, Default)]
pub struct LimitAllocator {
    allocations: BTreeMap<OrganisationName, Allocations>,
}

impl LimitAllocator {
    /// Returns the allowance of an instance that reports its usage.
    ///
    /// `instances` is the number of usable instances.
    pub fn allocate(
        &mut self,
        now: Instant,
        organisation: &Organisation,
        instance: &InstanceName,
        usage: Usage,
        instances: usize,
    ) -> Allowance {
        let allocations = self.allocations_of(now, &organisation.name);
        let (running, tokens) = allocations.others_total(instance);
        let wanted_running = u64::from(usage.running) + u64::from(usage.refused) + 1;
        // The usage of one report period, which is a second, scaled to the period of the limit.
        let wanted_tokens = usage.tokens * TOKEN_PERIOD_SECONDS + 1;
        let mut allowance = Allowance {
            max_running: organisation
                .max_running
                .map(|limit| running.share_for(limit.into(), wanted_running) as u32),
            tokens_per_minute: organisation
                .tokens_per_minute
                .map(|limit| tokens.share_for(limit, wanted_tokens)),
        };
        if now < allocations.since + ALLOWANCE_VALIDITY {
            allowance = allowance.min(equal_share(organisation, instances));
        }
        let allocation = Allocation {
            wanted_running,
            wanted_tokens,
            reserved_running: u64::from(allowance.max_running.unwrap_or(0).max(usage.running)),
            reserved_tokens: allowance.tokens_per_minute.unwrap_or(0),
            valid_until: now + ALLOWANCE_VALIDITY,
        };
        allocations.by_instance.insert(instance.clone(), allocation);
        allowance
    }

    /// Returns the allocations of an organisation that have not expired.
    fn allocations_of(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
    ) -> &mut Allocations {
        self.allocations.retain(|_, allocations| {
            allocations.by_instance.retain(|_, allocation| allocation.valid_until > now);
            !allocations.by_instance.is_empty()
        });
        self.allocations
            .entry(organisation.clone())
            .or_insert_with(|| Allocations { since: now, by_instance: BTreeMap::new() })
    }
}

impl Allocations {
    fn others_total(&self, instance: &InstanceName) -> (OthersTotal, OthersTotal) {
        let (mut running, mut tokens) = (OthersTotal::default(), OthersTotal::default());
        for (_, allocation) in self.by_instance.iter().filter(|(name, _)| *name != instance) {
            running.add(allocation.reserved_running, allocation.wanted_running);
            tokens.add(allocation.reserved_tokens, allocation.wanted_tokens);
        }
        (running, tokens)
    }
}

impl Allowance {
    fn min(self, other: Self) -> Self {
        Self {
            max_running: self.max_running.zip(other.max_running).map(|(own, other)| own.min(other)),
            tokens_per_minute: self
                .tokens_per_minute
                .zip(other.tokens_per_minute)
                .map(|(own, other)| own.min(other)),
        }
    }
}

/// Total allocation and demand of the other instances for one limit.
#[derive(Debug, Default)]
struct OthersTotal {
    reserved: u64,
    wanted: u64,
    instances: u64,
}

impl OthersTotal {
    fn add(&mut self, reserved: u64, wanted: u64) {
        self.reserved += reserved;
        self.wanted += wanted;
        self.instances += 1;
    }

    /// Returns an instance's share of a limit, without exceeding what the others leave free.
    ///
    /// If the limit covers the total demand, the surplus is divided evenly; otherwise the limit is
    /// divided in proportion to demand.
    fn share_for(&self, limit: u64, wanted: u64) -> u64 {
        let free = limit.saturating_sub(self.reserved);
        let total_wanted = self.wanted + wanted;
        let share = if total_wanted <= limit {
            wanted + (limit - total_wanted) / (self.instances + 1)
        } else {
            let exact = u128::from(limit) * u128::from(wanted) / u128::from(total_wanted.max(1));
            (exact as u64).max(1)
        };
        share.min(free)
    }
}

/// Enforces an organisation's limits at one instance.
#[derive(Debug, Clone)]
pub struct LocalLimiter {
    allowance: Allowance,
    valid_until: Option<Instant>,
    running: u32,
    refused: u32,
    tokens_since_report: u64,
    /// Tokens in the bucket; negative if it is overdrawn.
    bucket: f64,
    refilled_at: Instant,
}

/// Reason why a request may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverLimit {
    /// Too many requests of the organisation are running; contains the retry delay.
    Running(Duration),
    /// The organisation has used its tokens; contains the retry delay.
    Tokens(Duration),
}

impl LocalLimiter {
    /// Creates a limiter with a full token bucket and without a valid allowance.
    pub fn new(now: Instant) -> Self {
        Self {
            allowance: Allowance { max_running: None, tokens_per_minute: None },
            valid_until: None,
            running: 0,
            refused: 0,
            tokens_since_report: 0,
            // The first refill covers the whole burst window and thus fills the bucket.
            bucket: 0.0,
            refilled_at: now - BURST_WINDOW,
        }
    }

    /// Applies an allowance that was requested at an instant.
    ///
    /// Its validity starts before the request was sent, so that it never outlasts the validity at
    /// the allocator.
    pub fn set_allowance(
        &mut self,
        now: Instant,
        requested_at: Instant,
        allowance: Allowance,
        fallback: Allowance,
    ) {
        self.refill(now, self.current_allowance(now, fallback));
        self.allowance = allowance;
        self.valid_until = Some(requested_at + ALLOWANCE_VALIDITY);
    }

    /// Starts a request if the allowance, or the fallback without a valid one, permits it.
    ///
    /// # Errors
    /// Returns the limit that the request would exceed.
    pub fn try_start(&mut self, now: Instant, fallback: Allowance) -> Result<(), OverLimit> {
        let allowance = self.current_allowance(now, fallback);
        self.refill(now, allowance);
        if allowance.max_running.is_some_and(|limit| self.running >= limit) {
            self.refused += 1;
            return Err(OverLimit::Running(REPORT_PERIOD));
        }
        if let Some(tokens_per_minute) = allowance.tokens_per_minute
            && self.bucket < 0.0
        {
            let rate = per_second(tokens_per_minute).max(0.1);
            return Err(OverLimit::Tokens(Duration::from_secs_f64(
                (-self.bucket / rate).min(60.0),
            )));
        }
        self.running += 1;
        Ok(())
    }

    /// Charges tokens to the bucket.
    pub fn charge_tokens(&mut self, now: Instant, tokens: u64, fallback: Allowance) {
        self.refill(now, self.current_allowance(now, fallback));
        self.bucket -= tokens as f64;
        self.tokens_since_report += tokens;
    }

    /// Records the end of a running request.
    pub fn finish_request(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns whether the limiter holds no state that must be kept or reported.
    pub fn is_idle(&self) -> bool {
        self.running == 0
            && self.refused == 0
            && self.tokens_since_report == 0
            && self.bucket >= 0.0
    }

    /// Returns the usage to be reported and resets its counters.
    pub fn take_usage(&mut self) -> Usage {
        let usage = Usage {
            running: self.running,
            refused: self.refused,
            tokens: self.tokens_since_report,
        };
        self.refused = 0;
        self.tokens_since_report = 0;
        usage
    }

    fn current_allowance(&self, now: Instant, fallback: Allowance) -> Allowance {
        let valid = self.valid_until.is_some_and(|valid_until| now < valid_until);
        if valid { self.allowance } else { fallback }
    }

    /// Adds the tokens that accrued since the last refill.
    fn refill(&mut self, now: Instant, allowance: Allowance) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let Some(tokens_per_minute) = allowance.tokens_per_minute else {
            self.bucket = 0.0;
            return;
        };
        let capacity = per_second(tokens_per_minute) * BURST_WINDOW.as_secs_f64();
        self.bucket =
            (self.bucket + per_second(tokens_per_minute) * elapsed.as_secs_f64()).min(capacity);
    }
}

/// Returns the limits of an organisation divided evenly among instances.
pub fn equal_share(organisation: &Organisation, instances: usize) -> Allowance {
    let instances = instances.max(1);
    Allowance {
        max_running: organisation.max_running.map(|limit| (limit / instances as u32).max(1)),
        tokens_per_minute: organisation
            .tokens_per_minute
            .map(|limit| (limit / instances as u64).max(1)),
    }
}

fn per_second(tokens_per_minute: u64) -> f64 {
    tokens_per_minute as f64 / TOKEN_PERIOD_SECONDS as f64
}
