//! Three instances, their engines and a platform stand-in in one process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use laburnumvalve::clock::Hlc;
use laburnumvalve::options::{Options, Secret};
use laburnumvalve::serve::{self, Sockets};
use reqwest::StatusCode;
use serde_json::{Value, json};
use standins::platform::ListedInstance;
use standins::{Engine, EngineSettings, Platform, PlatformSettings};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const ADMIN_SECRET: &str = "demonstration-admin-secret";
const FLEET_SECRET: &str = "demonstration-fleet-secret";
/// Length of a usage window; short, so that the demonstration ends soon.
const WINDOW: Duration = Duration::from_secs(2);
/// Timeout for an instance to become ready or warm, to accept a new key or to stop.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for the report of the last usage window.
const REPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An issued API key.
pub struct IssuedKey {
    /// Public identifier of the key.
    pub id: String,
    /// The key itself.
    pub secret: String,
}

/// A started instance; `task` is `None` once `wait_stopped` has been called.
struct RunningInstance {
    entry: SocketAddr,
    admin: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: Option<JoinHandle<eyre::Result<()>>>,
}

/// The platform, the engines and the instances.
pub struct Fleet {
    platform: Platform,
    engines: Vec<(&'static str, Engine)>,
    instances: Vec<RunningInstance>,
    http: reqwest::Client,
}

impl Fleet {
    /// Starts all parts, applies the sheet and waits until every instance is ready.
    pub async fn start() -> eyre::Result<Self> {
        let platform = Platform::start(PlatformSettings::default()).await?;
        let mut engines = Vec::new();
        for data_centre in ["kolkata-a", "kolkata-a", "kolkata-b"] {
            engines.push((data_centre, Engine::start(EngineSettings::default()).await?));
        }
        let mut instances = Vec::new();
        for (name, data_centre) in
            [("valve-1", "kolkata-a"), ("valve-2", "kolkata-a"), ("valve-3", "kolkata-b")]
        {
            instances.push(start_instance(name, data_centre, &platform).await?);
        }
        let http = reqwest::Client::builder().no_proxy().build()?;
        let fleet = Self { platform, engines, instances, http };
        let sheet = sheet(&fleet.engines);
        let accepted = fleet.admin(0, reqwest::Method::POST, "/sheet/apply", sheet.into()).await?;
        ensure!(accepted["version"].is_u64(), "sheet refused: {accepted}");
        for index in 0..fleet.instances.len() {
            fleet.wait_ready(index).await?;
            fleet.wait_warm(index).await?;
        }
        Ok(fleet)
    }

    /// Returns the addresses that accept requests of callers, one for each instance.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.entry).collect()
    }

    /// Returns the address of one instance that accepts requests of callers.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.instances[index].entry
    }

    /// Issues a key and waits until every instance accepts it.
    pub async fn issue_key(&self, organisation: &str) -> eyre::Result<IssuedKey> {
        let body = json!({ "organisation": organisation }).to_string();
        let issued = self.admin(0, reqwest::Method::POST, "/keys", body.into()).await?;
        let text = |name: &str| issued[name].as_str().map(str::to_owned);
        let pair = text("id").zip(text("key"));
        let (id, secret) =
            pair.ok_or_else(|| eyre::eyre!("response to POST /keys has no id or key: {issued}"))?;
        let known = self.wait_status_everywhere(&secret, StatusCode::OK, STEP_TIMEOUT).await;
        ensure!(known, "not every instance accepted the new key within {STEP_TIMEOUT:?}");
        Ok(IssuedKey { id, secret })
    }

    /// Withdraws a key through the admin API of the first instance.
    pub async fn withdraw_key(&self, id: &str) -> eyre::Result<()> {
        let path = format!("/keys/{id}");
        self.admin(0, reqwest::Method::DELETE, &path, "".into()).await.map(drop)
    }

    /// Takes a data centre out of service through the admin API of the first instance.
    pub async fn evacuate(&self, data_centre: &str) -> eyre::Result<()> {
        let path = format!("/data-centres/{data_centre}/service");
        let body = json!({ "in_service": false }).to_string();
        self.admin(0, reqwest::Method::PUT, &path, body.into()).await.map(drop)
    }

    /// Waits until every running instance refuses a key; returns false on timeout.
    pub async fn wait_refused_everywhere(&self, key: &str, timeout: Duration) -> bool {
        self.wait_status_everywhere(key, StatusCode::UNAUTHORIZED, timeout).await
    }

    /// Starts the graceful shutdown of an instance.
    pub fn begin_stop(&mut self, index: usize) {
        if let Some(stop) = self.instances[index].stop.take() {
            // Fails only if the instance already ended; `wait_stopped` reports that.
            let _ = stop.send(());
        }
    }

    /// Waits until an instance has stopped.
    pub async fn wait_stopped(&mut self, index: usize) -> eyre::Result<()> {
        if let Some(task) = self.instances[index].task.take() {
            tokio::time::timeout(STEP_TIMEOUT, task)
                .await
                .wrap_err("instance did not stop before the timeout")???;
        }
        Ok(())
    }

    /// Stops all instances except the first, which then reports the usage of all.
    pub async fn stop_all_but_first(&mut self) -> eyre::Result<()> {
        for index in 1..self.instances.len() {
            self.begin_stop(index);
            self.wait_stopped(index).await?;
        }
        Ok(())
    }

    /// Returns the number of requests in accepted usage reports.
    ///
    /// Waits until all started requests are reported or the timeout expires, then two more windows
    /// for the number to settle.
    pub async fn billed_requests(&self) -> u64 {
        let deadline = Instant::now() + REPORT_TIMEOUT;
        let recorded = self.engines.iter().map(|(_, engine)| engine.runs().len() as u64).sum();
        while Instant::now() < deadline && self.reported_requests() < recorded {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(WINDOW * 2).await;
        self.reported_requests()
    }

    /// Returns the number of requests that engines in `kolkata-b` have started.
    pub fn runs_in_kolkata_b(&self) -> usize {
        let engines = self.engines.iter().filter(|(centre, _)| *centre == "kolkata-b");
        engines.map(|(_, engine)| engine.runs().len()).sum()
    }

    /// Returns the maximum number of times that engines started the same request.
    pub fn max_runs_per_request(&self) -> usize {
        let mut counts = std::collections::BTreeMap::new();
        for run in self.engines.iter().flat_map(|(_, engine)| engine.runs()) {
            *counts.entry(run.request_id).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or_default()
    }

    /// Returns whether one of the keys appears in the bytes that engines received.
    pub fn any_engine_received(&self, keys: &[&IssuedKey]) -> bool {
        self.engines.iter().any(|(_, engine)| {
            let bytes = engine.relay().recorded();
            keys.iter().any(|key| {
                bytes.windows(key.secret.len()).any(|window| window == key.secret.as_bytes())
            })
        })
    }

    /// Prints the timeline events of the given kinds from all instances.
    pub async fn print_timeline(&self, kinds: &[&str]) -> eyre::Result<()> {
        let timeline = self.admin(0, reqwest::Method::GET, "/timeline", "".into()).await?;
        let events = timeline["events"].as_array().cloned().unwrap_or_default();
        let wanted = |event: &&Value| kinds.iter().any(|kind| event["kind"] == *kind);
        for event in events.iter().filter(wanted) {
            let ms = event["at"].as_u64().map(|at| Hlc(at).millis()).unwrap_or_default();
            let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
            let (instance, server, detail) =
                (text("instance"), text("backend_server"), text("detail"));
            println!("  {ms} {instance} {} {server} {detail}", text("kind"));
        }
        Ok(())
    }

    fn reported_requests(&self) -> u64 {
        self.platform.accepted_usage().values().map(|totals| totals.requests).sum()
    }

    async fn wait_status_everywhere(
        &self,
        key: &str,
        status: StatusCode,
        timeout: Duration,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let mut all = true;
            for instance in self.instances.iter().filter(|instance| instance.task.is_some()) {
                let url = format!("http://{}/v1/models", instance.entry);
                let response = self.http.get(url).bearer_auth(key).send().await;
                all &= response.is_ok_and(|response| response.status() == status);
            }
            if all {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }

    async fn wait_ready(&self, index: usize) -> eyre::Result<()> {
        let url = format!("http://{}/ready", self.instances[index].admin);
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let response = self.http.get(&url).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        eyre::bail!("instance {} was not ready within {STEP_TIMEOUT:?}", index + 1)
    }

    /// Waits until the status of an instance shows all engines as warm.
    async fn wait_warm(&self, index: usize) -> eyre::Result<()> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while Instant::now() < deadline {
            let status = self.admin(index, reqwest::Method::GET, "/status", "".into()).await?;
            let servers = status["backend_servers"].as_array().cloned().unwrap_or_default();
            if servers.iter().all(|server| server["load"]["cold"] == json!(false)) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        eyre::bail!("instance {} still reports a cold engine after {STEP_TIMEOUT:?}", index + 1)
    }

    async fn admin(
        &self,
        index: usize,
        method: reqwest::Method,
        path: &str,
        body: reqwest::Body,
    ) -> eyre::Result<Value> {
        let url = format!("http://{}{path}", self.instances[index].admin);
        let req = self.http.request(method, url).bearer_auth(ADMIN_SECRET).body(body);
        let response = req.send().await?;
        let status = response.status();
        let text = response.text().await?;
        ensure!(status.is_success(), "{path}: {status}: {text}");
        Ok(serde_json::from_str(&text).unwrap_or_default())
    }
}

/// Starts an instance and registers it with the platform.
async fn start_instance(
    name: &str,
    data_centre: &str,
    platform: &Platform,
) -> eyre::Result<RunningInstance> {
    let any = standins::ANY_PORT;
    let mut options = Options {
        instance: name.into(),
        data_centre: data_centre.into(),
        listen: any,
        peer_listen: any,
        admin_listen: any,
        platform_url: platform.url(),
        orders_url: platform.url(),
        usage_url: platform.url(),
        fleet_secret: Secret::new(FLEET_SECRET),
        admin_secret: Secret::new(ADMIN_SECRET),
        usage_window: WINDOW,
        ..Options::default()
    };
    let sockets = Sockets::bind(&options).await?;
    options.listen = sockets.callers.local_addr()?;
    options.peer_listen = sockets.peers.local_addr()?;
    options.admin_listen = sockets.admin.local_addr()?;
    platform.register(ListedInstance {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        peer_address: options.peer_listen,
        ready: true,
        terminating: false,
    });
    let (entry, admin) = (options.listen, options.admin_listen);
    let (stop, stopped) = oneshot::channel::<()>();
    let task = tokio::spawn(serve::run(options, sockets, async move {
        // A dropped sender stops the instance too.
        let _ = stopped.await;
    }));
    Ok(RunningInstance { entry, admin, stop: Some(stop), task: Some(task) })
}

/// Returns the sheet of the demonstration.
fn sheet(engines: &[(&'static str, Engine)]) -> String {
    let mut sheet = "\
table,name,tier,first-token-ms,token-gap-ms,promised-share,repeatable,model,access,class,weight,max-waiting,routes,region,data-centre,address,kind,price,slots,cold-limit,checks-fencing,in-service
class,question,0,760,62,10,yes,,,,,,,,,,,,,,,
route,timing,,,,,,timing-model,granted,question,,,,,,,,,,,,
organisation,shobdo-samay,,,,,,,,,1,100,timing,,,,,,,,,
organisation,marrowgate,,,,,,,,,1,100,timing,,,,,,,,,
data-centre,kolkata-a,,,,,,,,,,,,bengal-east,,,,,,,,yes
data-centre,kolkata-b,,,,,,,,,,,,bengal-east,,,,,,,,yes
"
    .to_owned();
    for (index, (data_centre, engine)) in engines.iter().enumerate() {
        let url = engine.url();
        sheet.push_str(&format!(
            "backend-server,engine-{},,,,,,,,,,,timing,,{data_centre},{url},standard,1,8,2,yes,yes\n",
            index + 1
        ));
    }
    sheet
}
