//! Scenarios: the fleets of two deployments, arrivals generated from a seed, and timed faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumvalve::config::{
    Access, BackendServer, Class, Config, DataCentre, Organisation, Repeatability, Route,
    RouteTarget, ServerKind, Tier,
};

use super::engine::{FULL_BATCH_TOKEN_GAP, PREFILL_TOKENS_PER_SECOND};

/// Time during which requests arrive.
pub const ARRIVAL_PERIOD: Duration = Duration::from_secs(60);
/// Concurrent requests of each server.
pub const SLOTS: u32 = 8;
/// Requests, running or queued, that a cold server can hold without a crash.
pub const COLD_LIMIT: u32 = 2;
/// Servers in the fleet.
pub const SERVERS: usize = 9;
/// Number of organisations; by default the first two have twice the demand of the others.
const ORGANISATIONS: usize = 10;

/// A modelled deployment of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    Shobdo,
    Marrowgate,
}

impl Deployment {
    pub const ALL: [Self; 2] = [Self::Shobdo, Self::Marrowgate];

    pub fn name(self) -> &'static str {
        match self {
            Self::Shobdo => "shobdo-samay",
            Self::Marrowgate => "marrowgate",
        }
    }

    pub fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Shobdo => &["kolkata-a", "kolkata-b", "howrah-c"],
            Self::Marrowgate => &["northvale-a", "northvale-b", "northvale-c", "northvale-d"],
        }
    }

    /// Returns name, tier, first-token target in milliseconds, share of the offered tokens, mean
    /// output tokens and mean prompt tokens of each class.
    fn classes(self) -> [(&'static str, u8, u32, f64, f64, f64); 3] {
        match self {
            Self::Shobdo => [
                ("question", 0, 1_500, 0.25, 60.0, 400.0),
                ("alignment", 2, 20_000, 0.50, 600.0, 6_000.0),
                ("bulk", 4, 60_000, 0.25, 300.0, 1_000.0),
            ],
            Self::Marrowgate => [
                ("resident", 0, 1_500, 0.35, 80.0, 300.0),
                ("summary", 2, 20_000, 0.45, 400.0, 8_000.0),
                ("bulk", 4, 60_000, 0.20, 300.0, 1_000.0),
            ],
        }
    }
}

/// A load pattern with a schedule of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    Burst,
    SlowAndCrash,
    SpotReclaim,
    DataCentreEvacuation,
    DominantOrganisation,
    ColdWithoutWarning,
}

impl Scenario {
    pub const ALL: [Self; 6] = [
        Self::Burst,
        Self::SlowAndCrash,
        Self::SpotReclaim,
        Self::DataCentreEvacuation,
        Self::DominantOrganisation,
        Self::ColdWithoutWarning,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::SlowAndCrash => "slow-and-crash",
            Self::SpotReclaim => "reclaim",
            Self::DataCentreEvacuation => "centre-out",
            Self::DominantOrganisation => "loud-organisation",
            Self::ColdWithoutWarning => "cold-without-warning",
        }
    }

    /// Returns the offered load as a multiple of the fleet's capacity.
    fn offered_load(self) -> f64 {
        match self {
            Self::Burst | Self::SlowAndCrash | Self::DominantOrganisation => 2.0,
            Self::SpotReclaim | Self::DataCentreEvacuation | Self::ColdWithoutWarning => 0.8,
        }
    }

    /// Returns the lag of load reports.
    pub fn report_lag(self) -> Duration {
        Duration::from_millis(if self == Self::SlowAndCrash { 2_000 } else { 1_000 })
    }

    /// Returns the faults with their times in milliseconds.
    pub fn faults(self, fleet: &Fleet) -> Vec<(u64, Fault)> {
        let last = fleet.data_centres.last().copied().unwrap_or_default();
        let spot_servers: Vec<usize> = fleet.servers_in(last);
        let mut faults = match self {
            Self::Burst | Self::DominantOrganisation => Vec::new(),
            Self::SlowAndCrash => {
                vec![(5_000, Fault::Slow(0)), (10_000, Fault::Stop(1)), (25_000, Fault::Start(1))]
            }
            Self::SpotReclaim => spot_servers
                .iter()
                .enumerate()
                .flat_map(|(index, server)| {
                    let at = 15_000 + index as u64 * 2_000;
                    [(at, Fault::Stop(*server)), (35_000, Fault::Start(*server))]
                })
                .collect(),
            Self::DataCentreEvacuation => {
                vec![(15_000, Fault::Evacuate(last)), (35_000, Fault::Restore)]
            }
            Self::ColdWithoutWarning => (0..3)
                .flat_map(|server| [(20_000, Fault::Stop(server)), (20_010, Fault::Start(server))])
                .collect(),
        };
        faults.sort_by_key(|(at, _)| *at);
        faults
    }
}

/// A change to a server or data centre during the run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Slow(usize),
    Stop(usize),
    Start(usize),
    Evacuate(&'static str),
    Restore,
}

/// The servers and the configuration of a deployment.
pub struct Fleet {
    pub config: Config,
    pub data_centres: Vec<&'static str>,
    pub servers: Vec<BackendServer>,
}

impl Fleet {
    pub fn new(deployment: Deployment) -> Self {
        let data_centres = deployment.data_centres().to_vec();
        let servers: Vec<BackendServer> =
            (0..SERVERS).map(|index| server(index, &data_centres)).collect();
        let classes = deployment.classes().map(|(name, tier, first_token_ms, ..)| Class {
            name: name.into(),
            tier: Tier(tier),
            first_token_ms,
            token_gap_ms: 40,
            promised_share: 20,
            repeatability: Repeatability::Idempotent,
        });
        let route = Route {
            name: "pool".into(),
            target: RouteTarget::Model("pool".into()),
            access: Access::Open,
            class: classes[0].name.clone(),
        };
        let data_centre = |name: &&str| DataCentre {
            name: (*name).into(),
            region: "region".into(),
            in_service: true,
        };
        let organisations = (0..ORGANISATIONS).map(|index| Organisation {
            name: organisation(index).as_str().into(),
            weight: 1,
            tokens_per_minute: None,
            max_running: None,
            max_waiting: 1_000,
        });
        let config = Config {
            version: 1,
            organisations: organisations.map(|org| (org.name.clone(), org)).collect(),
            classes: classes.into_iter().map(|class| (class.name.clone(), class)).collect(),
            routes: BTreeMap::from([(route.name.clone(), route)]),
            data_centres: data_centres.iter().map(|c| ((*c).into(), data_centre(c))).collect(),
            backend_servers: servers.iter().map(|s| (s.name.clone(), s.clone())).collect(),
            keys: BTreeMap::new(),
        };
        Self { config, data_centres, servers }
    }

    pub fn servers_in(&self, centre: &str) -> Vec<usize> {
        let here = |index: &usize| self.servers[*index].data_centre.as_str() == centre;
        (0..self.servers.len()).filter(here).collect()
    }
}

/// Makes a server; those in the last data centre are reclaimable.
fn server(index: usize, data_centres: &[&str]) -> BackendServer {
    let centre = index * data_centres.len() / SERVERS;
    let last = centre + 1 == data_centres.len();
    BackendServer {
        name: format!("runner-{index}").as_str().into(),
        data_centre: data_centres[centre].into(),
        address: String::new(),
        routes: BTreeSet::from(["pool".into()]),
        kind: if last { ServerKind::Reclaimable } else { ServerKind::Standard },
        price: if last { 300 } else { 1_000 },
        slots: SLOTS,
        cold_limit: COLD_LIMIT,
        checks_fencing: true,
        in_service: true,
    }
}

fn organisation(index: usize) -> String {
    format!("org-{index}")
}

/// A generated request; `first_token` is its latency target and `entry` its entry instance.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    pub at: Duration,
    pub class: String,
    pub organisation: String,
    pub tier: u8,
    pub first_token: Duration,
    pub prompt: u64,
    pub tokens: u64,
    pub entry: usize,
}

/// Returns the output tokens per second of one slot, prefill time included.
pub fn slot_tokens_per_second(prompt: f64, tokens: f64) -> f64 {
    tokens / (prompt / PREFILL_TOKENS_PER_SECOND + tokens * FULL_BATCH_TOKEN_GAP.as_secs_f64())
}

/// Generates the arrivals of a scenario, in order of time.
pub fn generate_arrivals(
    deployment: Deployment,
    scenario: Scenario,
    seed: u64,
) -> Vec<RequestSpec> {
    let mut rng = Rng(seed ^ ((deployment as u64) << 32) ^ ((scenario as u64) << 40));
    let slots = (SERVERS as u32 * SLOTS) as f64;
    let mut specs = Vec::new();
    for (name, tier, first_token_ms, token_share, tokens, prompt) in deployment.classes() {
        let rate =
            scenario.offered_load() * token_share * slots * slot_tokens_per_second(prompt, tokens)
                / tokens;
        let mut at = rng.exponential(1.0 / rate);
        while at < ARRIVAL_PERIOD.as_secs_f64() {
            specs.push(RequestSpec {
                at: Duration::from_secs_f64(at),
                class: name.to_owned(),
                organisation: organisation(sample_organisation(&mut rng, scenario)),
                tier,
                first_token: Duration::from_millis(first_token_ms.into()),
                prompt: rng.exponential(prompt).clamp(20.0, prompt * 4.0) as u64,
                tokens: rng.exponential(tokens).clamp(5.0, tokens * 4.0) as u64,
                entry: rng.below(9) as usize,
            });
            at += rng.exponential(1.0 / rate);
        }
    }
    specs.sort_by_key(|spec| spec.at);
    specs
}

fn sample_organisation(rng: &mut Rng, scenario: Scenario) -> usize {
    let first = if scenario == Scenario::DominantOrganisation { 10 } else { 2 };
    let weight = |index: usize| match index {
        0 => first,
        1 if first == 2 => 2,
        _ => 1,
    };
    let mut sample = rng.below((0..ORGANISATIONS).map(weight).sum());
    for index in 0..ORGANISATIONS {
        if sample < weight(index) {
            return index;
        }
        sample -= weight(index);
    }
    0
}

/// A deterministic random number generator (SplitMix64).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        -mean * (1.0 - uniform).ln()
    }
}
