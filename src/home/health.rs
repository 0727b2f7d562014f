//! Ejection of backend servers that fail, stay silent or are slow.
//!
//! An ejected server gets one probe request at a time. The time between ejection and the first
//! probe grows with each ejection in a row. At most a part of the servers of a route may be
//! ejected, so that a fault which all of them share never takes them all out.

use std::time::Duration;

use tokio::time::Instant;

use crate::config::{BackendServer, Config};
use crate::names::RouteName;
use crate::peer::Loads;

/// Failures in a row after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Slow requests in a row after which a server is ejected.
const MAX_SLOW_REQUESTS: u32 = 8;
/// Factor between a server's token gap and its peers' median that counts as slow.
const SLOW_FACTOR: u32 = 4;
/// Time from the first ejection to the first probe.
const FIRST_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest time from an ejection to the first probe.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Whole probes in a row after which a server is back.
const PROBES_TO_RECOVER: u32 = 2;

/// What is known of the other servers of the same routes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteHealth {
    /// Servers of the route with the fewest, this one included.
    pub servers: usize,
    /// How many of the others are ejected.
    pub ejected: usize,
    /// How many of the ejected others keep their ejection before this one.
    pub ejected_before: usize,
    /// Median time between tokens of the others.
    pub token_gap: Option<Duration>,
}

impl RouteHealth {
    /// Works out what the reported loads tell of the other servers of a server's routes.
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

    /// Returns how many servers may be ejected at once.
    pub fn max_ejected(&self) -> usize {
        match self.servers {
            0 | 1 => 0,
            servers => (servers / 3).max(1),
        }
    }
}

/// Whether a server gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Healthy,
    Ejected { until: Instant },
    Probing { passed: u32, probe: Option<u64> },
}

/// The health of one backend server.
#[derive(Debug, Clone)]
pub struct Health {
    phase: Phase,
    failures: u32,
    slow: u32,
    ejections: u32,
    route: RouteHealth,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            phase: Phase::Healthy,
            failures: 0,
            slow: 0,
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

    /// Takes over what is known of the other servers; ends an ejection above the cap.
    pub fn set_route_health(&mut self, route: RouteHealth) {
        self.route = route;
        if self.is_ejected() && route.ejected_before >= route.max_ejected() {
            self.recover();
        }
    }

    /// Returns whether a request may be admitted now; a probe must be repeatable.
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

    /// Takes note that a request was queued, which is the probe if one is due.
    pub fn assign_probe(&mut self, id: u64) {
        if let Phase::Probing { probe: probe @ None, .. } = &mut self.phase {
            *probe = Some(id);
        }
    }

    /// Takes note of a request that left without a verdict on the server.
    pub fn release_probe(&mut self, id: u64) {
        if let Phase::Probing { probe, .. } = &mut self.phase
            && *probe == Some(id)
        {
            *probe = None;
        }
    }

    /// Takes note of a request that ended whole.
    pub fn record_success(&mut self, now: Instant, id: u64, token_gap: Option<Duration>) {
        self.failures = 0;
        let slow = match (token_gap, self.route.token_gap) {
            (Some(own), Some(median)) => own > median * SLOW_FACTOR,
            _ => false,
        };
        self.slow = if slow { self.slow + 1 } else { 0 };
        if self.slow >= MAX_SLOW_REQUESTS {
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

    /// Takes note of a request that the server failed or left without an answer.
    pub fn record_failure(&mut self, now: Instant, id: u64) {
        self.failures += 1;
        let probe_failed = matches!(self.phase, Phase::Probing { probe, .. } if probe == Some(id));
        if probe_failed || (self.phase == Phase::Healthy && self.failures >= MAX_FAILURES) {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.route.ejected >= self.route.max_ejected() {
            return;
        }
        let time = FIRST_EJECTION_TIME * 2u32.saturating_pow(self.ejections.min(5));
        self.ejections += 1;
        self.slow = 0;
        self.phase = Phase::Ejected { until: now + time.min(MAX_EJECTION_TIME) };
    }

    fn recover(&mut self) {
        self.phase = Phase::Healthy;
        self.failures = 0;
        self.slow = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}
