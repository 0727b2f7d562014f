//! A gateway process under test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use standins::free_address;
use tempfile::NamedTempFile;

use super::wait_until;

/// Attempt ID of tests that send one request at a time.
pub const ATTEMPT_ID: &str = "attempt-1";

/// A running gateway process; it is killed when dropped.
pub struct Instance {
    child: Child,
    settings: NamedTempFile,
    log: LogOutput,
    /// Address that serves callers' requests.
    pub caller_address: SocketAddr,
    /// Address that serves peers.
    pub peer_address: SocketAddr,
    ready_address: SocketAddr,
    metrics_address: SocketAddr,
    client: reqwest::Client,
}

/// Destination of an instance's log lines.
#[derive(Debug, Clone, Default)]
pub enum LogOutput {
    /// The log is discarded.
    #[default]
    Nowhere,
    /// The log is appended to a file.
    File(PathBuf),
    /// The log goes to a pipe that nobody reads, so that writes block once it is full.
    Unread,
}

impl LogOutput {
    fn open(&self) -> Stdio {
        match self {
            Self::Nowhere => Stdio::null(),
            Self::File(path) => {
                let file = File::options().create(true).append(true).open(path);
                file.expect("the log can be written").into()
            }
            Self::Unread => Stdio::piped(),
        }
    }
}

/// Settings of a test instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: &'static str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address that takes usage reports and orders.
    pub duties: Option<SocketAddr>,
    /// Maximum time for which a withdrawn key is still accepted, in ms.
    pub revoke_ms: u64,
    /// Additional lines of the settings file.
    pub extra_settings: String,
    /// Destination of the log lines.
    pub log: LogOutput,
}

impl Default for InstanceSettings {
    fn default() -> Self {
        Self {
            name: "instance-1".to_owned(),
            data_centre: "kolkata-a",
            store: standins::ANY_PORT,
            duties: None,
            revoke_ms: 5_000,
            extra_settings: String::new(),
            log: LogOutput::Nowhere,
        }
    }
}

fn start_process(settings: &Path, log: &LogOutput) -> Child {
    Command::new(env!("CARGO_BIN_EXE_laburnumvalve"))
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdout(log.open())
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the program starts")
}

impl Instance {
    /// Starts an instance and waits until it is ready.
    pub async fn start(cfg: InstanceSettings) -> Self {
        let instance = Self::launch(cfg);
        wait_until("the instance is ready", || instance.is_ready()).await;
        instance
    }

    /// Starts an instance.
    pub fn launch(cfg: InstanceSettings) -> Self {
        let addresses: [_; 4] = std::array::from_fn(|_| free_address().expect("a port is free"));
        let [caller_address, ready_address, peer_address, metrics_address] = addresses;
        let mut text = format!(
            "node={}\nzone={}\nlisten.front={caller_address}\nlisten.ready={ready_address}\n\
             listen.control={peer_address}\ninternal-ports={},{}\nplatform.address={}\n\
             bounds.revoke-ms={}\nbounds.grace-s=6\n",
            cfg.name,
            cfg.data_centre,
            metrics_address.port(),
            metrics_address.port(),
            cfg.store,
            cfg.revoke_ms,
        );
        if let Some(duties) = cfg.duties {
            text.push_str(&format!("cloud.address={duties}\n"));
        }
        text.push_str(&cfg.extra_settings);
        let settings = NamedTempFile::new().expect("a file can be created");
        std::fs::write(settings.path(), text).expect("the file can be written");
        let child = start_process(settings.path(), &cfg.log);
        let client = reqwest::Client::builder().no_proxy().build().expect("the client is built");
        Self {
            child,
            settings,
            log: cfg.log,
            caller_address,
            peer_address,
            ready_address,
            metrics_address,
            client,
        }
    }

    /// Starts the process again after it has exited.
    pub fn restart(&mut self) {
        self.child = start_process(self.settings.path(), &self.log);
    }

    /// Replaces the settings file and returns its former text.
    pub fn replace_settings(&self, text: &str) -> String {
        let former = std::fs::read_to_string(self.settings.path()).expect("the file can be read");
        std::fs::write(self.settings.path(), text).expect("the file can be written");
        former
    }

    /// Returns the bits of the signals that the process catches; `None` once it has ended.
    pub fn caught_signals(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).ok()?;
        let bits = text.lines().find_map(|line| line.strip_prefix("SigCgt:"))?;
        u64::from_str_radix(bits.trim(), 16).ok()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the metrics as text.
    pub async fn metrics(&self) -> String {
        let rsp = self.client.get(format!("http://{}/metrics", self.metrics_address)).send().await;
        rsp.expect("metrics are served").text().await.expect("metrics are text")
    }

    /// Returns the peak of the memory that the process had resident, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).expect("the process runs");
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.expect("the peak is stated in kB") * 1_024
    }

    /// Returns whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/laburnumvalve/ready", self.ready_address);
        self.client.get(url).send().await.is_ok_and(|rsp| rsp.status().is_success())
    }

    /// Builds a request of a caller.
    pub fn request(&self, path: &str, key: &str) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.caller_address))
            .header("host", "valve.example")
            .header("x-laburnumvalve-attempt-id", ATTEMPT_ID)
            .header("x-laburnumvalve-key", key)
            .body("body")
    }

    /// Sends a request of a caller.
    pub async fn execute(&self, req: reqwest::Request) -> reqwest::Result<reqwest::Response> {
        self.client.execute(req).await
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends a signal to the process, which must not have been reaped.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process is a child");
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child").is_some()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
