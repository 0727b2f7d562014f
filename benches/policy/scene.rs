//! Scenes: the two users' fleets, arrivals from a seed, and faults at times.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use laburnumvalve::config::{
    Access, BackendServer, Class, Config, DataCentre, Organisation, Repeatability, Route,
    RouteTarget, ServerKind, Tier,
};

use super::engine::{FULL_GAP, PREFILL_PACE};

/// Time for which requests arrive.
pub const ARRIVALS: Duration = Duration::from_secs(60);
/// Slots of each server.
pub const SLOTS: u32 = 8;
/// Requests at once that a cold server bears.
pub const COLD_LIMIT: u32 = 2;
/// Servers of the pool.
pub const SERVERS: usize = 9;
/// Organisations, of which the first two have twice the demand.
const ORGANISATIONS: usize = 10;

/// A user of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    Shobdo,
    Marrowgate,
}

impl User {
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

    /// Returns name, tier, first-token target, part of the offered tokens, output and prompt tokens.
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

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scene {
    Burst,
    SlowAndCrash,
    Reclaim,
    CentreOut,
    LoudOrganisation,
    ColdWithoutWarning,
}

impl Scene {
    pub const ALL: [Self; 6] = [
        Self::Burst,
        Self::SlowAndCrash,
        Self::Reclaim,
        Self::CentreOut,
        Self::LoudOrganisation,
        Self::ColdWithoutWarning,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Burst => "burst",
            Self::SlowAndCrash => "slow-and-crash",
            Self::Reclaim => "reclaim",
            Self::CentreOut => "centre-out",
            Self::LoudOrganisation => "loud-organisation",
            Self::ColdWithoutWarning => "cold-without-warning",
        }
    }

    /// Returns offered tokens as a multiple of the capacity.
    fn load(self) -> f64 {
        match self {
            Self::Burst | Self::SlowAndCrash | Self::LoudOrganisation => 2.0,
            Self::Reclaim | Self::CentreOut | Self::ColdWithoutWarning => 0.8,
        }
    }

    /// Returns how late reports are.
    pub fn lag(self) -> Duration {
        Duration::from_millis(if self == Self::SlowAndCrash { 2_000 } else { 1_000 })
    }

    /// Returns the faults with their times in milliseconds.
    pub fn faults(self, fleet: &Fleet) -> Vec<(u64, Fault)> {
        let last = fleet.centres.last().copied().unwrap_or_default();
        let cheap: Vec<usize> = fleet.in_centre(last);
        let mut faults = match self {
            Self::Burst | Self::LoudOrganisation => Vec::new(),
            Self::SlowAndCrash => {
                vec![(5_000, Fault::Slow(0)), (10_000, Fault::Stop(1)), (25_000, Fault::Start(1))]
            }
            Self::Reclaim => cheap
                .iter()
                .enumerate()
                .flat_map(|(index, server)| {
                    let at = 15_000 + index as u64 * 2_000;
                    [(at, Fault::Stop(*server)), (35_000, Fault::Start(*server))]
                })
                .collect(),
            Self::CentreOut => vec![(15_000, Fault::Out(last)), (35_000, Fault::In)],
            Self::ColdWithoutWarning => (0..3)
                .flat_map(|server| [(20_000, Fault::Stop(server)), (20_010, Fault::Start(server))])
                .collect(),
        };
        faults.sort_by_key(|(at, _)| *at);
        faults
    }
}

/// A fault at a time.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Slow(usize),
    Stop(usize),
    Start(usize),
    Out(&'static str),
    In,
}

/// The servers and what is configured.
pub struct Fleet {
    pub config: Config,
    pub centres: Vec<&'static str>,
    pub servers: Vec<BackendServer>,
}

impl Fleet {
    pub fn new(user: User) -> Self {
        let centres = user.data_centres().to_vec();
        let servers: Vec<BackendServer> =
            (0..SERVERS).map(|index| server(index, &centres)).collect();
        let classes = user.classes().map(|(name, tier, first_token_ms, ..)| Class {
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
            data_centres: centres.iter().map(|c| ((*c).into(), data_centre(c))).collect(),
            backend_servers: servers.iter().map(|s| (s.name.clone(), s.clone())).collect(),
            keys: BTreeMap::new(),
        };
        Self { config, centres, servers }
    }

    pub fn in_centre(&self, centre: &str) -> Vec<usize> {
        let here = |index: &usize| self.servers[*index].data_centre.as_str() == centre;
        (0..self.servers.len()).filter(here).collect()
    }
}

/// Servers of the last data centre are reclaimable.
fn server(index: usize, centres: &[&str]) -> BackendServer {
    let centre = index * centres.len() / SERVERS;
    let last = centre + 1 == centres.len();
    BackendServer {
        name: format!("runner-{index}").as_str().into(),
        data_centre: centres[centre].into(),
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

/// One request to come.
#[derive(Debug, Clone)]
pub struct Arriving {
    pub at: Duration,
    pub class: String,
    pub organisation: String,
    pub tier: u8,
    pub first_token: Duration,
    pub prompt: u64,
    pub tokens: u64,
    pub entry: usize,
}

/// Tokens a second of one slot, with the time to read a prompt.
pub fn slot_pace(prompt: f64, tokens: f64) -> f64 {
    tokens / (prompt / PREFILL_PACE + tokens * FULL_GAP.as_secs_f64())
}

/// Makes the arrivals of a scene.
pub fn arrivals(user: User, scene: Scene, seed: u64) -> Vec<Arriving> {
    let mut rng = Rng(seed ^ ((user as u64) << 32) ^ ((scene as u64) << 40));
    let slots = (SERVERS as u32 * SLOTS) as f64;
    let mut arriving = Vec::new();
    for (name, tier, first_token_ms, part, tokens, prompt) in user.classes() {
        let rate = scene.load() * part * slots * slot_pace(prompt, tokens) / tokens;
        let mut at = rng.exponential(1.0 / rate);
        while at < ARRIVALS.as_secs_f64() {
            arriving.push(Arriving {
                at: Duration::from_secs_f64(at),
                class: name.to_owned(),
                organisation: organisation(pick_organisation(&mut rng, scene)),
                tier,
                first_token: Duration::from_millis(first_token_ms.into()),
                prompt: rng.exponential(prompt).clamp(20.0, prompt * 4.0) as u64,
                tokens: rng.exponential(tokens).clamp(5.0, tokens * 4.0) as u64,
                entry: rng.below(9) as usize,
            });
            at += rng.exponential(1.0 / rate);
        }
    }
    arriving.sort_by_key(|arriving| arriving.at);
    arriving
}

fn pick_organisation(rng: &mut Rng, scene: Scene) -> usize {
    let first = if scene == Scene::LoudOrganisation { 10 } else { 2 };
    let weight = |index: usize| match index {
        0 => first,
        1 if first == 2 => 2,
        _ => 1,
    };
    let mut drawn = rng.below((0..ORGANISATIONS).map(weight).sum());
    for index in 0..ORGANISATIONS {
        if drawn < weight(index) {
            return index;
        }
        drawn -= weight(index);
    }
    0
}

/// A small generator (SplitMix64), so that every run draws the same.
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
