//! Instances, stand-ins and a sheet that fits them.

use std::collections::BTreeMap;

use reqwest::Method;
use serde_json::{Value, json};
use standins::platform::{ListedInstance, View};
use standins::{
    Direction, Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings, Relay,
};

use super::{Caller, Instance, Sheet};

/// A backend server to be placed in a fleet.
#[derive(Debug, Clone)]
pub struct Placement {
    pub name: String,
    pub data_centre: String,
    /// Routes that it serves, separated by spaces.
    pub routes: String,
}

/// Requests that a plain service runs at once.
const PLAIN_SLOTS: usize = 16;

/// What a fleet is made of.
pub struct FleetSettings {
    /// Names of instances with their data centres.
    pub instances: Vec<(String, String)>,
    /// Engines.
    pub engines: Vec<(Placement, EngineSettings)>,
    /// Plain services.
    pub plains: Vec<Placement>,
    /// The sheet without the backend servers.
    pub sheet: Sheet,
    /// Settings of `serve` for all instances.
    pub flags: Vec<(&'static str, &'static str)>,
    /// Settings of the platform.
    pub platform: PlatformSettings,
}

/// Returns a placement.
pub fn place(name: &str, data_centre: &str, routes: &str) -> Placement {
    let [name, data_centre, routes] = [name, data_centre, routes].map(str::to_owned);
    Placement { name, data_centre, routes }
}

impl Default for FleetSettings {
    fn default() -> Self {
        let instances = [("i1", "kolkata-a"), ("i2", "kolkata-a"), ("i3", "kolkata-b")];
        let engines = [("e1", "kolkata-a"), ("e2", "kolkata-a"), ("e3", "kolkata-b")];
        let engine =
            |(name, data_centre)| (place(name, data_centre, "timing"), EngineSettings::default());
        Self {
            instances: instances.map(|(name, centre)| (name.into(), centre.into())).into(),
            engines: engines.map(engine).into(),
            plains: vec![place("p1", "kolkata-a", "booking lookup")],
            sheet: base_sheet(),
            flags: Vec::new(),
            platform: PlatformSettings::default(),
        }
    }
}

/// A running fleet.
pub struct Fleet {
    pub platform: Platform,
    pub engines: BTreeMap<String, Engine>,
    pub plains: BTreeMap<String, Plain>,
    pub instances: BTreeMap<String, Instance>,
    pub sheet: Sheet,
    /// The platform as each instance sees it.
    views: BTreeMap<String, View>,
    /// The way from one instance to another.
    ways: BTreeMap<(String, String), Relay>,
}

/// A key as it was issued.
#[derive(Debug, Clone)]
pub struct IssuedKey {
    pub id: String,
    pub key: String,
}

impl Fleet {
    /// Starts everything, applies the sheet and waits until all instances are ready.
    pub async fn start(settings: FleetSettings) -> Self {
        let mut fleet = Self::start_without_sheet(settings).await;
        let first = fleet.instances.keys().next().expect("a fleet has an instance").clone();
        for instance in fleet.instances.values() {
            instance.wait_reachable().await;
        }
        fleet.apply(&first, &fleet.sheet.clone()).await.expect("the sheet is refused");
        for instance in fleet.instances.values_mut() {
            instance.wait_ready().await;
        }
        fleet
    }

    /// Starts everything without a configuration.
    pub async fn start_without_sheet(settings: FleetSettings) -> Self {
        let platform = Platform::start(settings.platform).await.expect("no platform");
        let mut engines = BTreeMap::new();
        let mut plains = BTreeMap::new();
        let mut sheet = settings.sheet;
        for (place, engine) in settings.engines {
            let engine = Engine::start(engine).await.expect("no engine");
            sheet =
                sheet.backend_server(&place, &engine.url(), engine.slots(), engine.cold_limit());
            engines.insert(place.name, engine);
        }
        for place in settings.plains {
            let plain = Plain::start(PlainSettings::default()).await.expect("no plain service");
            sheet = sheet.backend_server(&place, &plain.url(), PLAIN_SLOTS, PLAIN_SLOTS);
            plains.insert(place.name, plain);
        }
        let mut views = BTreeMap::new();
        let mut instances = BTreeMap::new();
        for (name, data_centre) in settings.instances {
            let view = platform.view().await.expect("no view of the platform");
            let instance = Instance::start(&name, &data_centre, &view.url(), &settings.flags);
            views.insert(name.clone(), view);
            instances.insert(name, instance);
        }
        let ways = BTreeMap::new();
        let mut fleet = Self { platform, engines, plains, instances, sheet, views, ways };
        fleet.connect().await;
        fleet
    }

    /// Lists all instances, each at a relay of its own for each of the others.
    async fn connect(&mut self) {
        for from in self.instances.values() {
            for to in self.instances.values().filter(|to| to.name != from.name) {
                let way = Relay::start(to.peer).await.expect("no relay");
                self.views[&from.name].show_peer(&to.name, way.address());
                self.ways.insert((from.name.clone(), to.name.clone()), way);
            }
        }
        for instance in self.instances.values() {
            self.platform.register(ListedInstance {
                name: instance.name.clone(),
                data_centre: instance.data_centre.clone(),
                peer_address: instance.peer,
                ready: true,
                terminating: false,
            });
        }
    }

    /// Applies a sheet at an instance.
    pub async fn apply(&self, at: &str, sheet: &Sheet) -> Result<Value, String> {
        self.instances[at].operate(Method::POST, "/sheet/apply", sheet.text()).await
    }

    /// Issues a key at an instance and waits until all instances accept it.
    pub async fn issue(&self, at: &str, organisation: &str) -> IssuedKey {
        let body = json!({ "organisation": organisation }).to_string();
        let issued = self.instances[at].operate(Method::POST, "/keys", &body).await;
        let issued = issued.expect("no key is issued");
        let text = |field: &str| issued[field].as_str().expect("a key has its fields").to_owned();
        let key = IssuedKey { id: text("id"), key: text("key") };
        for instance in self.instances.values() {
            let caller = Caller::new(instance.caller, &key.key);
            super::eventually("an instance accepts the key", || async {
                let req = caller.request(Method::GET, "/v1/models");
                super::caller::read(req).await.status == 200
            })
            .await;
        }
        key
    }

    /// Returns a caller of an instance.
    pub fn caller(&self, at: &str, key: &IssuedKey) -> Caller {
        Caller::new(self.instances[at].caller, &key.key)
    }

    /// Stops passing bytes between an instance and the platform.
    pub fn cut_from_platform(&self, instance: &str) {
        self.views[instance].relay().freeze(Direction::Both);
    }

    /// Passes bytes between an instance and the platform again.
    pub fn join_platform(&self, instance: &str) {
        self.views[instance].relay().thaw(Direction::Both);
    }

    /// Stops passing what the other instances send on their own connections to an instance.
    pub fn cut_pushes_to(&self, instance: &str) {
        for (_, way) in self.ways.iter().filter(|((_, to), _)| to == instance) {
            way.freeze(Direction::Both);
        }
    }

    /// Stops passing bytes between an instance and all others.
    pub fn cut_from_peers(&self, instance: &str) {
        for way in self.ways_of(instance) {
            way.freeze(Direction::Both);
        }
    }

    /// Passes bytes between an instance and all others again.
    pub fn join_peers(&self, instance: &str) {
        for way in self.ways_of(instance) {
            way.thaw(Direction::Both);
        }
    }

    /// Returns every byte that engines and plain services received.
    pub fn bytes_at_backend_servers(&self) -> Vec<u8> {
        let engines = self.engines.values().map(|engine| engine.relay().recorded());
        let plains = self.plains.values().map(|plain| plain.relay().recorded());
        engines.chain(plains).flatten().collect()
    }

    /// Returns the number of runs by idempotency key, over all backend servers.
    pub fn runs_by_idempotency_key(&self) -> BTreeMap<String, usize> {
        let engines = self.engines.values().map(Engine::runs_by_idempotency_key);
        sum(engines.chain(self.plains.values().map(Plain::runs_by_idempotency_key)))
    }

    /// Returns the number of runs by request identifier, over all backend servers.
    pub fn runs_by_request(&self) -> BTreeMap<String, usize> {
        let engines = self.engines.values().map(Engine::runs_by_request);
        sum(engines.chain(self.plains.values().map(Plain::runs_by_request)))
    }

    /// Returns the number of engine runs of a request.
    pub fn engine_runs(&self, request: &str) -> usize {
        let runs = self.engines.values().flat_map(Engine::runs);
        runs.filter(|run| run.request_id == request).count()
    }

    fn ways_of<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = &'a Relay> + 'a {
        let own = move |(from, to): &(String, String)| from == instance || to == instance;
        self.ways.iter().filter(move |(way, _)| own(way)).map(|(_, relay)| relay)
    }
}

/// Returns the sheet of all fleets, without backend servers.
pub fn base_sheet() -> Sheet {
    Sheet::default()
        .class("interactive", "1", "20", true)
        .class("batch", "3", "10", true)
        .class("booking", "0", "10", false)
        .model_route("timing", "timing-model", "interactive")
        .prefix_route("booking", "/bookings", "booking")
        .prefix_route("lookup", "/slots", "interactive")
        .organisation("shobdo", "timing booking lookup")
        .organisation("marrowgate", "timing booking lookup")
        .data_centre("kolkata-a", "bengal-east")
        .data_centre("kolkata-b", "bengal-east")
}

/// Adds counts up.
fn sum(all: impl Iterator<Item = BTreeMap<String, usize>>) -> BTreeMap<String, usize> {
    let mut total = BTreeMap::new();
    for (name, count) in all.flatten() {
        *total.entry(name).or_default() += count;
    }
    total
}
