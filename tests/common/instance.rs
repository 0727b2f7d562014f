//! One instance as a process.

use std::fs::File;
use std::net::SocketAddr;
use std::process::Stdio;

use reqwest::{Client, Method};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standins::free_address;
use tempfile::NamedTempFile;
use tokio::process::{Child, Command};

use super::{ADMIN_SECRET, FLEET_SECRET, STEP_BOUND, eventually};

/// The binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_laburnumvalve");

/// A running instance; its process is killed on drop.
pub struct Instance {
    pub name: String,
    pub data_centre: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    args: Vec<String>,
    child: Child,
    log: NamedTempFile,
}

impl Instance {
    /// Starts an instance that reaches the platform at a URL.
    pub fn start(name: &str, data_centre: &str, platform: &str, extra: &[(&str, &str)]) -> Self {
        let [caller, peer, admin] = std::array::from_fn(|_| free_address().expect("no socket"));
        let addresses = [caller, peer, admin].map(|address| address.to_string());
        let settings = [
            ("instance", name),
            ("data-centre", data_centre),
            ("listen", &addresses[0]),
            ("peer-listen", &addresses[1]),
            ("admin-listen", &addresses[2]),
            ("platform", platform),
            ("orders", platform),
            ("usage", platform),
            ("fleet-secret", FLEET_SECRET),
            ("admin-secret", ADMIN_SECRET),
        ];
        let settings = settings.iter().chain(extra);
        let flags = settings.flat_map(|(flag, value)| [format!("--{flag}"), (*value).to_owned()]);
        let args: Vec<String> = std::iter::once("serve".to_owned()).chain(flags).collect();
        let log = NamedTempFile::new().expect("no temporary file");
        let child = spawn(&args, &log);
        let (name, data_centre) = (name.to_owned(), data_centre.to_owned());
        Self { name, data_centre, caller, peer, admin, args, child, log }
    }

    /// Returns the process identifier; 0 if the process ended.
    pub fn process_id(&self) -> u32 {
        self.child.id().unwrap_or_default()
    }

    /// Kills the process at once.
    pub async fn kill(&mut self) {
        self.child.kill().await.expect("the process can't be killed");
    }

    /// Starts the process again after it ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.args, &self.log);
    }

    /// Stops the process from running, without ending it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to shut down gracefully.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process ended; returns whether it ended well.
    pub async fn ended(&mut self) -> bool {
        let status = tokio::time::timeout(STEP_BOUND, self.child.wait()).await;
        status.expect("the process goes on").expect("the process can't be waited for").success()
    }

    /// Waits until the administration API answers.
    pub async fn wait_reachable(&self) {
        let url = format!("http://{}/ready", self.admin);
        let _print = PrintOnPanic(&self.log);
        let what = format!("the administration API of {} answers", self.name);
        eventually(&what, || async { reqwest::get(&url).await.is_ok() }).await;
    }

    /// Waits until the instance says that it is ready.
    pub async fn wait_ready(&self) {
        let url = format!("http://{}/ready", self.admin);
        let _print = PrintOnPanic(&self.log);
        let what = format!("{} is ready", self.name);
        let ready = || async { reqwest::get(&url).await.is_ok_and(|rsp| rsp.status() == 200) };
        eventually(&what, ready).await;
    }

    /// Returns what the administration API says about the instance.
    pub async fn status(&self) -> Value {
        self.operate(Method::GET, "/status", "").await.expect("the instance says no status")
    }

    /// Calls the administration API; returns its JSON or its error text.
    pub async fn operate(&self, method: Method, path: &str, body: &str) -> Result<Value, String> {
        let url = format!("http://{}{path}", self.admin);
        let client = Client::builder().no_proxy().build().expect("no HTTP client");
        let req = client.request(method, url).bearer_auth(ADMIN_SECRET).body(body.to_owned());
        let req = req.header("content-type", "application/json").timeout(STEP_BOUND);
        let rsp = req.send().await.map_err(|error| error.to_string())?;
        let success = rsp.status().is_success();
        let text = rsp.text().await.map_err(|error| error.to_string())?;
        if success { serde_json::from_str(&text).map_err(|e| e.to_string()) } else { Err(text) }
    }

    /// Withdraws a key; returns whether the withdrawal is durable.
    pub async fn withdraw(&self, id: &str) -> bool {
        let answer = self.operate(Method::DELETE, &format!("/keys/{id}"), "").await;
        answer.expect("the withdrawal is refused")["durable"] == true
    }

    /// Takes a data centre out of service, or in again.
    pub async fn set_data_centre(&self, name: &str, in_service: bool) {
        let body = json!({ "in_service": in_service }).to_string();
        let path = format!("/data-centres/{name}/service");
        self.operate(Method::PUT, &path, &body).await.expect("the order is refused");
    }

    /// Takes a backend server out of service, or in again.
    pub async fn set_backend_server(&self, name: &str, in_service: bool) {
        let body = json!({ "in_service": in_service }).to_string();
        let path = format!("/backend-servers/{name}/service");
        self.operate(Method::PUT, &path, &body).await.expect("the order is refused");
    }

    /// Returns the log lines so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log.path()).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        kill_process(id.expect("the process ended"), signal).expect("the signal can't be sent");
    }
}

fn spawn(args: &[String], log: &NamedTempFile) -> Child {
    let log = File::options().append(true).open(log.path()).expect("the log can't be opened");
    let out = log.try_clone().expect("the log can't be opened");
    Command::new(BINARY)
        .args(args)
        .env_clear()
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .expect("the instance can't be started")
}

/// Shows an instance's log if the test fails while it is held.
struct PrintOnPanic<'a>(&'a NamedTempFile);

impl Drop for PrintOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", std::fs::read_to_string(self.0.path()).unwrap_or_default());
        }
    }
}
