//! Ejection of backend servers that fail, do not respond or are slow.
//!
//! An ejected server gets one probe request at a time. The time between an ejection and its first
//! probe doubles with each further ejection and halves again with each recovery. Only a fraction of
//! the servers of a route may be ejected, so that a fault shared by all servers does not make the
//! route unavailable.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::{BackendServer, Config};
use crate::names::RouteName;
use crate::peer::Loads;

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Consecutive slow requests after which a server is ejected.
const SLOW_REQUESTS_TO_EJECT: u32 = 8;
/// Ratio of a server's token gap to the median of its route above which a request counts as slow.
const SLOW_GAP_RATIO: u32 = 4;
/// Time from the first ejection to the first probe.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the time from an ejection to the first probe.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Consecutive successful probes after which a server is healthy.
const PROBES_TO_RECOVER: u32 = 2;

/// State of the other servers of a backend server's smallest route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteHealth {
    /// Number of servers of the route, including this one.
    pub servers: usize,
    /// Number of other servers that are ejected.
    pub ejected: usize,
    /// Number of ejected other servers with a lesser name, which stay ejected rather than this one
    /// if the cap is exceeded.
    pub ejected_before: usize,
    /// Median time between tokens of the other servers.
    pub token_gap: Option<Duration>,
}

impl RouteHealth {
    /// Computes the state from the published loads, for the route with the fewest servers.
    pub fn for_server(server: &BackendServer, config: &Config, loads: &Loads) -> Self {
        let routes =
            server.routes.iter().map(|route| Self::for_route(server, route, config, loads));
        routes.min_by_key(|health| health.servers).unwrap_or_default()
    }

    fn for_route(
        server: &BackendServer,
        route: &RouteName,
        config: &Config,
        loads: &Loads,
    ) -> Self {
        let mut health = Self { servers: 1, ..Self::default() };
        let mut gaps = Vec::new();
        for other in config.servers_of(route).filter(|other| other.name != server.name) {
            health.servers += 1;
            let Some(load) = loads.get(&other.name) else { continue };
            health.ejected += usize::from(load.ejected);
            health.ejected_before += usize::from(load.ejected && other.name < server.name);
            if load.token_gap_us > 0 {
                gaps.push(load.token_gap_us);
            }
        }
        gaps.sort_unstable();
        let median = gaps.get(gaps.len() / 2);
        health.token_gap = median.map(|gap| Duration::from_micros(u64::from(*gap)));
        health
    }

    /// Returns the maximum number of servers that may be ejected at once.
    pub fn max_ejected(&self) -> usize {
        match self.servers {
            0 | 1 => 0,
            servers => (servers / 3).max(1),
        }
    }
}

/// Whether a server receives requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Healthy,
    Ejected { until: Instant },
    Probing { passed: u32, probe: Option<u64> },
}

/// Health of one backend server.
#[derive(Debug, Clone)]
pub struct Health {
    phase: Phase,
    consecutive_failures: u32,
    consecutive_slow: u32,
    /// Ejections less recoveries, the exponent of the ejection time.
    ejections: u32,
    route: RouteHealth,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            phase: Phase::Healthy,
            consecutive_failures: 0,
            consecutive_slow: 0,
            ejections: 0,
            route: RouteHealth::default(),
        }
    }
}

impl Health {
    /// Returns whether the server is ejected or being probed.
    pub fn is_ejected(&self) -> bool {
        self.phase != Phase::Healthy
    }

    /// Updates the state of the other servers, and ends an ejection that exceeds the cap.
    pub fn set_route_health(&mut self, route: RouteHealth) {
        self.route = route;
        if self.is_ejected() && route.ejected_before >= route.max_ejected() {
            self.recover();
        }
    }

    /// Returns whether a request may be admitted; a probe must be retryable.
    pub fn admits(&mut self, now: Instant, repeatable: bool) -> bool {
        if let Phase::Ejected { until } = self.phase
            && now >= until
        {
            self.phase = Phase::Probing { passed: 0, probe: None };
        }
        match self.phase {
            Phase::Healthy => true,
            Phase::Ejected { .. } => false,
            Phase::Probing { probe, .. } => probe.is_none() && repeatable,
        }
    }

    /// Makes a queued request the probe if one is due.
    pub fn assign_probe(&mut self, id: u64) {
        if let Phase::Probing { probe: probe @ None, .. } = &mut self.phase {
            *probe = Some(id);
        }
    }

    /// Allows another probe if the request was the probe and ended without a result.
    pub fn release_probe(&mut self, id: u64) {
        if let Phase::Probing { probe, .. } = &mut self.phase
            && *probe == Some(id)
        {
            *probe = None;
        }
    }

    /// Records a request that completed.
    pub fn record_success(&mut self, now: Instant, id: u64, token_gap: Option<Duration>) {
        self.consecutive_failures = 0;
        let slow = match (token_gap, self.route.token_gap) {
            (Some(own), Some(median)) => own > median * SLOW_GAP_RATIO,
            _ => false,
        };
        self.consecutive_slow = if slow { self.consecutive_slow + 1 } else { 0 };
        if self.consecutive_slow >= SLOW_REQUESTS_TO_EJECT {
            self.eject(now);
            return;
        }
        let Phase::Probing { passed, probe } = &mut self.phase else { return };
        if *probe != Some(id) {
            return;
        }
        *probe = None;
        *passed += 1;
        if *passed >= PROBES_TO_RECOVER {
            self.recover();
        }
    }

    /// Records a request that failed or got no response.
    pub fn record_failure(&mut self, now: Instant, id: u64) {
        self.consecutive_failures += 1;
        let probe_failed = matches!(self.phase, Phase::Probing { probe, .. } if probe == Some(id));
        if probe_failed
            || (self.phase == Phase::Healthy && self.consecutive_failures >= FAILURES_TO_EJECT)
        {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.route.ejected >= self.route.max_ejected() {
            return;
        }
        let time = FIRST_EJECTION_TIME * 2u32.saturating_pow(self.ejections.min(5));
        self.ejections += 1;
        self.consecutive_slow = 0;
        self.phase = Phase::Ejected { until: now + time.min(MAX_EJECTION_TIME) };
    }

    fn recover(&mut self) {
        self.phase = Phase::Healthy;
        self.consecutive_failures = 0;
        self.consecutive_slow = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}
