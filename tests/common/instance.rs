//! One instance as a process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
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

/// Returns a loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("no free port");
    listener.local_addr().expect("a listener has an address")
}

impl Instance {
    /// Starts an instance that reaches the platform at a URL.
    pub fn start(name: &str, data_centre: &str, platform: &str, extra: &[(&str, &str)]) -> Self {
        let [caller, peer, admin] = std::array::from_fn(|_| free_address());
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

    /// Waits until the instance says that it is ready.
    pub async fn wait_ready(&self) {
        let url = format!("http://{}/ready", self.admin);
        let wait = eventually("an instance is ready", || async {
            reqwest::get(&url).await.is_ok_and(|answer| answer.status() == 200)
        });
        let _print = PrintOnPanic(&self.log);
        wait.await;
    }

    /// Returns what the administration API says about the instance.
    pub async fn status(&self) -> Value {
        self.operate(&["status"]).await.expect("the instance says no status")
    }

    /// Runs an operator command against this instance; returns its JSON or its error text.
    pub async fn operate(&self, words: &[&str]) -> Result<Value, String> {
        let admin = format!("http://{}", self.admin);
        let output = Command::new(BINARY)
            .args(words)
            .args(["--json", "--admin", &admin, "--admin-secret", ADMIN_SECRET])
            .kill_on_drop(true)
            .output();
        let output = tokio::time::timeout(STEP_BOUND, output).await;
        let output = output.map_err(|_| "the command goes on".to_owned())?.expect("no command");
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned());
        }
        serde_json::from_slice(&output.stdout).map_err(|error| error.to_string())
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
