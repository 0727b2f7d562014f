//! Runs the limits of organisations: local enforcement, and allocation for the fleet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::limits::{
    ALLOWANCE_VALIDITY, Allowance, LimitAllocator, LocalLimiter, OverLimit, REPORT_PERIOD, Usage,
    equal_share,
};
use crate::config::Organisation;
use crate::context::Context;
use crate::names::{InstanceName, OrganisationName};
use crate::peer::Member;
use crate::peer::generated::v1::{
    OrganisationAllowance, OrganisationUse, ReportUseReply, ReportUseRequest,
};
use crate::peer::members::rendezvous_weight;

/// Timeout of a usage report to an allocator.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Value on the wire that means "no limit".
const NO_LIMIT: u32 = u32::MAX;

/// Handle to the limits of organisations; clones share the state.
#[derive(Clone)]
pub struct OrganisationLimits {
    cx: Context,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    limiters: BTreeMap<OrganisationName, LocalLimiter>,
    limit_allocator: LimitAllocator,
}

/// Counts a request as running for its organisation until it is dropped.
pub struct RunningGuard {
    limits: OrganisationLimits,
    organisation: OrganisationName,
}

impl std::fmt::Debug for RunningGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunningGuard")
            .field("organisation", &self.organisation)
            .finish_non_exhaustive()
    }
}

impl RunningGuard {
    /// Charges the tokens that the request used.
    pub fn charge_tokens(&self, tokens: u64) {
        self.limits.charge_tokens(&self.organisation, tokens);
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.limits.with_state(|state| {
            if let Some(limiter) = state.limiters.get_mut(&self.organisation) {
                limiter.finish_request();
            }
        });
    }
}

impl OrganisationLimits {
    /// Starts the task that reports the usage at this instance.
    pub fn start(cx: Context) -> Self {
        let limits = Self { cx, state: Arc::default() };
        tokio::spawn(report_loop(limits.clone()));
        limits
    }

    /// Counts a request as running, if the limits of the organisation permit it.
    ///
    /// # Errors
    /// Returns the limit that the request would exceed.
    pub fn try_start(&self, organisation: &OrganisationName) -> Result<RunningGuard, OverLimit> {
        if let Some(limited) = self.limited_organisation(organisation) {
            let fallback = self.fallback(&limited);
            let now = Instant::now();
            self.with_state(|state| {
                let limiter = state
                    .limiters
                    .entry(organisation.clone())
                    .or_insert_with(|| LocalLimiter::new(now));
                limiter.try_start(now, fallback)
            })?;
        }
        Ok(RunningGuard { limits: self.clone(), organisation: organisation.clone() })
    }

    /// Charges tokens to an organisation.
    pub fn charge_tokens(&self, organisation: &OrganisationName, tokens: u64) {
        let Some(limited) = self.limited_organisation(organisation) else { return };
        let fallback = self.fallback(&limited);
        self.with_state(|state| {
            if let Some(limiter) = state.limiters.get_mut(organisation) {
                limiter.charge_tokens(Instant::now(), tokens, fallback);
            }
        });
    }

    /// Returns the allowances of an instance that reports its usage.
    pub fn allocate_all(&self, req: &ReportUseRequest) -> ReportUseReply {
        let instance = req.instance.as_str().into();
        let uses = req.uses.iter();
        ReportUseReply {
            allowances: uses.filter_map(|usage| self.allocate(&instance, usage)).collect(),
        }
    }

    fn allocate(
        &self,
        instance: &InstanceName,
        usage: &OrganisationUse,
    ) -> Option<OrganisationAllowance> {
        let organisation = self.limited_organisation(&usage.organisation.as_str().into())?;
        let instances = self.usable_instances();
        let usage =
            Usage { running: usage.running, refused: usage.refused, tokens: usage.tokens.into() };
        let allowance = self.with_state(|state| {
            state.limit_allocator.allocate(
                Instant::now(),
                &organisation,
                instance,
                usage,
                instances,
            )
        });
        Some(allowance_to_wire(&organisation.name, allowance))
    }

    /// Returns an organisation if it is configured with a limit.
    fn limited_organisation(&self, name: &OrganisationName) -> Option<Organisation> {
        let in_force = self.cx.in_force.borrow();
        let organisation = in_force.config.organisations.get(name)?;
        let has_limit =
            organisation.max_running.is_some() || organisation.tokens_per_minute.is_some();
        has_limit.then(|| organisation.clone())
    }

    fn fallback(&self, organisation: &Organisation) -> Allowance {
        equal_share(organisation, self.usable_instances())
    }

    fn usable_instances(&self) -> usize {
        let members = self.cx.members.borrow();
        members.listed.values().filter(|member| members.is_usable(member)).count()
    }

    /// Returns the instance that allocates an organisation's limits.
    fn allocator_of(&self, organisation: &OrganisationName) -> Option<Member> {
        let members = self.cx.members.borrow();
        members
            .listed
            .values()
            .filter(|member| members.is_usable(member))
            .max_by_key(|member| rendezvous_weight(member.name.as_str(), organisation.as_str()))
            .cloned()
    }

    /// Takes the usage of all active organisations, grouped by the address of their allocator.
    fn take_usage_by_allocator(&self) -> BTreeMap<String, Vec<OrganisationUse>> {
        let uses: Vec<OrganisationUse> = self.with_state(|state| {
            state.limiters.retain(|_, limiter| !limiter.is_idle());
            let limiters = state.limiters.iter_mut();
            limiters.map(|(name, limiter)| usage_to_wire(name, limiter.take_usage())).collect()
        });
        let mut by_address: BTreeMap<String, Vec<OrganisationUse>> = BTreeMap::new();
        for usage in uses {
            if let Some(member) = self.allocator_of(&usage.organisation.as_str().into()) {
                by_address.entry(member.peer_address).or_default().push(usage);
            }
        }
        by_address
    }

    async fn report(&self, address: String, uses: Vec<OrganisationUse>) {
        let requested_at = Instant::now();
        let Ok(mut client) = self.cx.pool.home_client(&address) else { return };
        let req = ReportUseRequest {
            instance: self.cx.options.instance.to_string(),
            incarnation: self.cx.incarnation,
            uses,
        };
        let reply = tokio::time::timeout(REPORT_TIMEOUT, client.report_use(req)).await;
        let Ok(Ok(reply)) = reply else { return };
        for allowance in reply.into_inner().allowances {
            self.apply_allowance(requested_at, &allowance);
        }
    }

    fn apply_allowance(&self, requested_at: Instant, allowance: &OrganisationAllowance) {
        let name: OrganisationName = allowance.organisation.as_str().into();
        let Some(organisation) = self.limited_organisation(&name) else { return };
        let fallback = self.fallback(&organisation);
        let allowance = allowance_from_wire(allowance);
        self.with_state(|state| {
            if let Some(limiter) = state.limiters.get_mut(&name) {
                limiter.set_allowance(Instant::now(), requested_at, allowance, fallback);
            }
        });
    }

    fn with_state<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn report_loop(limits: OrganisationLimits) {
    let mut ticks = limits.cx.timer.every(REPORT_PERIOD);
    while ticks.recv().await.is_some() {
        let reports = limits.take_usage_by_allocator();
        let reports = reports.into_iter().map(|(address, uses)| limits.report(address, uses));
        futures::future::join_all(reports).await;
    }
}

fn usage_to_wire(name: &OrganisationName, usage: Usage) -> OrganisationUse {
    OrganisationUse {
        organisation: name.to_string(),
        running: usage.running,
        refused: usage.refused,
        tokens: usage.tokens.min(u64::from(u32::MAX)) as u32,
    }
}

fn allowance_to_wire(name: &OrganisationName, allowance: Allowance) -> OrganisationAllowance {
    OrganisationAllowance {
        organisation: name.to_string(),
        running: allowance.max_running.unwrap_or(NO_LIMIT),
        tokens: allowance
            .tokens_per_minute
            .map_or(NO_LIMIT, |tokens| tokens.min(u64::from(NO_LIMIT - 1)) as u32),
        valid_ms: ALLOWANCE_VALIDITY.as_millis() as u32,
    }
}

fn allowance_from_wire(allowance: &OrganisationAllowance) -> Allowance {
    let limit = |value: u32| (value != NO_LIMIT).then_some(value);
    Allowance {
        max_running: limit(allowance.running),
        tokens_per_minute: limit(allowance.tokens).map(u64::from),
    }
}
