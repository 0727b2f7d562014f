//! Instances, stand-ins and a sheet that fits them.

use std::collections::BTreeMap;
use std::io::Write;

use standins::platform::{ListedInstance, View};
use standins::{
    Direction, Engine, EngineSettings, Plain, PlainSettings, Platform, PlatformSettings, Relay,
};

use super::{Caller, Instance, Sheet};

/// What a fleet is made of.
pub struct FleetSettings {
    /// Names of instances with their data centres.
    pub instances: Vec<(&'static str, &'static str)>,
    /// Names of engines with their data centres and settings; they serve the route `timing`.
    pub engines: Vec<(&'static str, &'static str, EngineSettings)>,
    /// Names of plain services with their data centres; they serve `booking` and `lookup`.
    pub plains: Vec<(&'static str, &'static str)>,
    /// Settings of `serve` for all instances.
    pub flags: Vec<(&'static str, &'static str)>,
    /// Settings of the platform.
    pub platform: PlatformSettings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        let engine = EngineSettings::default;
        Self {
            instances: vec![("i1", "kolkata-a"), ("i2", "kolkata-a"), ("i3", "kolkata-b")],
            engines: vec![
                ("e1", "kolkata-a", engine()),
                ("e2", "kolkata-a", engine()),
                ("e3", "kolkata-b", engine()),
            ],
            plains: vec![("p1", "kolkata-a")],
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
        fleet.wait_reachable().await;
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
        let mut sheet = base_sheet();
        for (name, data_centre, engine) in settings.engines {
            let engine = Engine::start(engine).await.expect("no engine");
            sheet = sheet.backend_server(name, data_centre, &engine.url(), "timing");
            engines.insert(name.to_owned(), engine);
        }
        for (name, data_centre) in settings.plains {
            let plain = Plain::start(PlainSettings::default()).await.expect("no plain service");
            sheet = sheet.backend_server(name, data_centre, &plain.url(), "booking lookup");
            plains.insert(name.to_owned(), plain);
        }
        let mut views = BTreeMap::new();
        let mut instances = BTreeMap::new();
        for (name, data_centre) in settings.instances {
            let view = platform.view().await.expect("no view of the platform");
            let instance = Instance::start(name, data_centre, &view.url(), &settings.flags);
            views.insert(name.to_owned(), view);
            instances.insert(name.to_owned(), instance);
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

    /// Waits until all administration APIs answer.
    async fn wait_reachable(&self) {
        for instance in self.instances.values() {
            let url = format!("http://{}/ready", instance.admin);
            super::eventually("an administration API answers", || async {
                reqwest::get(&url).await.is_ok()
            })
            .await;
        }
    }

    /// Applies a sheet at an instance.
    pub async fn apply(&self, at: &str, sheet: &Sheet) -> Result<serde_json::Value, String> {
        let mut file = tempfile::NamedTempFile::new().expect("no temporary file");
        file.write_all(sheet.text().as_bytes()).expect("the sheet can't be written");
        let path = file.path().to_str().expect("a temporary path is UTF-8");
        self.instances[at].operate(&["sheet", "apply", path]).await
    }

    /// Issues a key at an instance and waits until all instances accept it.
    pub async fn issue(&self, at: &str, organisation: &str) -> IssuedKey {
        let issued = self.instances[at].operate(&["key", "issue", organisation]).await;
        let issued = issued.expect("no key is issued");
        let text = |field: &str| issued[field].as_str().expect("a key has its fields").to_owned();
        let key = IssuedKey { id: text("id"), key: text("key") };
        for instance in self.instances.values() {
            let caller = Caller::new(instance.caller, &key.key);
            super::eventually("an instance accepts the key", || async {
                let req = caller.request(reqwest::Method::GET, "/v1/models");
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
fn base_sheet() -> Sheet {
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
