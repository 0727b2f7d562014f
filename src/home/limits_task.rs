//! Runs the limits of organisations: accounts of this instance, and division for the fleet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::limits::{
    ALLOWANCE_VALIDITY, Account, Allowance, Divider, OverLimit, REPORT_PERIOD, Use, equal_part,
};
use crate::config::Organisation;
use crate::context::Context;
use crate::names::{InstanceName, OrganisationName};
use crate::peer::Member;
use crate::peer::generated::v1::{
    OrganisationAllowance, OrganisationUse, ReportUseReply, ReportUseRequest,
};
use crate::peer::members::weight;

/// How long a report to a divider may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Value on the wire for "no limit".
const NO_LIMIT: u32 = u32::MAX;

/// Handle to the limits of organisations; clones share the accounts.
#[derive(Clone)]
pub struct OrganisationLimits {
    cx: Context,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    accounts: BTreeMap<OrganisationName, Account>,
    divider: Divider,
}

/// A request that counts as running for its organisation; dropping it ends the count.
pub struct Started {
    limits: OrganisationLimits,
    organisation: OrganisationName,
}

impl std::fmt::Debug for Started {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Started").field("organisation", &self.organisation).finish_non_exhaustive()
    }
}

impl Started {
    /// Charges the tokens that the request used.
    pub fn used(&self, tokens: u64) {
        self.limits.used(&self.organisation, tokens);
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.limits.with(|state| {
            if let Some(account) = state.accounts.get_mut(&self.organisation) {
                account.ended();
            }
        });
    }
}

impl OrganisationLimits {
    /// Starts the task that reports this instance's use.
    pub fn start(cx: Context) -> Self {
        let limits = Self { cx, state: Arc::default() };
        tokio::spawn(report_forever(limits.clone()));
        limits
    }

    /// Counts a request as running, if the organisation's limits have room.
    ///
    /// # Errors
    /// Says which limit the request would exceed.
    pub fn try_start(&self, organisation: &OrganisationName) -> Result<Started, OverLimit> {
        if let Some(known) = self.limited(organisation) {
            let fallback = self.fallback(&known);
            let now = Instant::now();
            self.with(|state| {
                let account =
                    state.accounts.entry(organisation.clone()).or_insert_with(|| Account::new(now));
                account.try_start(now, fallback)
            })?;
        }
        Ok(Started { limits: self.clone(), organisation: organisation.clone() })
    }

    /// Charges tokens to an organisation.
    pub fn used(&self, organisation: &OrganisationName, tokens: u64) {
        let Some(known) = self.limited(organisation) else { return };
        let fallback = self.fallback(&known);
        self.with(|state| {
            if let Some(account) = state.accounts.get_mut(organisation) {
                account.used(Instant::now(), tokens, fallback);
            }
        });
    }

    /// Answers the report of an instance with its allowances.
    pub fn divide(&self, req: &ReportUseRequest) -> ReportUseReply {
        let instance = req.instance.as_str().into();
        let uses = req.uses.iter();
        ReportUseReply { allowances: uses.filter_map(|used| self.give(&instance, used)).collect() }
    }

    fn give(
        &self,
        instance: &InstanceName,
        used: &OrganisationUse,
    ) -> Option<OrganisationAllowance> {
        let organisation = self.limited(&used.organisation.as_str().into())?;
        let instances = self.usable_instances();
        let used = Use { running: used.running, refused: used.refused, tokens: used.tokens.into() };
        let given = self.with(|state| {
            state.divider.report(Instant::now(), &organisation, instance, used, instances)
        });
        Some(to_wire(&organisation.name, given))
    }

    /// Returns an organisation if it has a limit.
    fn limited(&self, name: &OrganisationName) -> Option<Organisation> {
        let in_force = self.cx.in_force.borrow();
        let organisation = in_force.config.organisations.get(name)?;
        let limited =
            organisation.max_running.is_some() || organisation.tokens_per_minute.is_some();
        limited.then(|| organisation.clone())
    }

    fn fallback(&self, organisation: &Organisation) -> Allowance {
        equal_part(organisation, self.usable_instances())
    }

    fn usable_instances(&self) -> usize {
        let members = self.cx.members.borrow();
        members.listed.values().filter(|member| members.is_usable(member)).count()
    }

    /// Returns the instance that divides an organisation's limits.
    fn divider(&self, organisation: &OrganisationName) -> Option<Member> {
        let members = self.cx.members.borrow();
        members
            .listed
            .values()
            .filter(|member| members.is_usable(member))
            .max_by_key(|member| weight(member.name.as_str(), organisation.as_str()))
            .cloned()
    }

    /// Takes the use of all active organisations, by the address of their divider.
    fn take_uses(&self) -> BTreeMap<String, Vec<OrganisationUse>> {
        let uses: Vec<OrganisationUse> = self.with(|state| {
            state.accounts.retain(|_, account| !account.is_idle());
            let accounts = state.accounts.iter_mut();
            accounts.map(|(name, account)| use_to_wire(name, account.take_use())).collect()
        });
        let mut by_address: BTreeMap<String, Vec<OrganisationUse>> = BTreeMap::new();
        for used in uses {
            if let Some(member) = self.divider(&used.organisation.as_str().into()) {
                by_address.entry(member.peer_address).or_default().push(used);
            }
        }
        by_address
    }

    async fn report(&self, address: String, uses: Vec<OrganisationUse>) {
        let asked = Instant::now();
        let Ok(mut client) = self.cx.pool.home(&address) else { return };
        let req = ReportUseRequest {
            instance: self.cx.options.instance.to_string(),
            incarnation: self.cx.incarnation,
            uses,
        };
        let reply = tokio::time::timeout(REPORT_TIMEOUT, client.report_use(req)).await;
        let Ok(Ok(reply)) = reply else { return };
        for allowance in reply.into_inner().allowances {
            self.allow(asked, &allowance);
        }
    }

    fn allow(&self, asked: Instant, allowance: &OrganisationAllowance) {
        let name: OrganisationName = allowance.organisation.as_str().into();
        let Some(organisation) = self.limited(&name) else { return };
        let fallback = self.fallback(&organisation);
        let given = from_wire(allowance);
        self.with(|state| {
            if let Some(account) = state.accounts.get_mut(&name) {
                account.allow(Instant::now(), asked, given, fallback);
            }
        });
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn report_forever(limits: OrganisationLimits) {
    let mut ticks = limits.cx.timer.every(REPORT_PERIOD);
    while ticks.recv().await.is_some() {
        let reports = limits.take_uses();
        let reports = reports.into_iter().map(|(address, uses)| limits.report(address, uses));
        futures::future::join_all(reports).await;
    }
}

fn use_to_wire(name: &OrganisationName, used: Use) -> OrganisationUse {
    OrganisationUse {
        organisation: name.to_string(),
        running: used.running,
        refused: used.refused,
        tokens: used.tokens.min(u64::from(u32::MAX)) as u32,
    }
}

fn to_wire(name: &OrganisationName, allowance: Allowance) -> OrganisationAllowance {
    OrganisationAllowance {
        organisation: name.to_string(),
        running: allowance.running.unwrap_or(NO_LIMIT),
        tokens: allowance
            .tokens
            .map_or(NO_LIMIT, |tokens| tokens.min(u64::from(NO_LIMIT - 1)) as u32),
        valid_ms: ALLOWANCE_VALIDITY.as_millis() as u32,
    }
}

fn from_wire(allowance: &OrganisationAllowance) -> Allowance {
    let limit = |value: u32| (value != NO_LIMIT).then_some(value);
    Allowance { running: limit(allowance.running), tokens: limit(allowance.tokens).map(u64::from) }
}
