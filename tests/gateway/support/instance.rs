//! A gateway process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use standins::free_address;
use tempfile::NamedTempFile;

use super::eventually;

/// Identifier of the requests of tests that make one at a time.
pub const ATTEMPT_ID: &str = "attempt-1";

/// A running gateway; it is killed when dropped.
pub struct Instance {
    child: Child,
    settings: NamedTempFile,
    log: LogOutput,
    /// Where it accepts callers.
    pub caller_address: SocketAddr,
    /// Where it accepts peers.
    pub peer_address: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    client: reqwest::Client,
}

/// Where the log lines of an instance go.
#[derive(Debug, Clone, Default)]
pub enum LogOutput {
    /// Nowhere.
    #[default]
    Nowhere,
    /// To the end of a file.
    File(PathBuf),
    /// Into a pipe that nobody reads, so that writing to it blocks when it is full.
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
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: &'static str,
    /// The store.
    pub store: SocketAddr,
    /// Who takes usage reports and orders.
    pub duties: Option<SocketAddr>,
    /// Time after which a withdrawn key must not work, in ms.
    pub revoke_ms: u64,
    /// More lines of its settings.
    pub bounds: String,
    /// Where its log lines go.
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
            bounds: String::new(),
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
        let addresses: [_; 4] = std::array::from_fn(|_| free_address().expect("a port is free"));
        let [caller_address, ready, control, internal] = addresses;
        let mut text = format!(
            "node={}\nzone={}\nlisten.front={caller_address}\nlisten.ready={ready}\n\
             listen.control={control}\ninternal-ports={},{}\nplatform.address={}\n\
             bounds.revoke-ms={}\nbounds.grace-s=6\n",
            cfg.name,
            cfg.data_centre,
            internal.port(),
            internal.port(),
            cfg.store,
            cfg.revoke_ms,
        );
        if let Some(duties) = cfg.duties {
            text.push_str(&format!("cloud.address={duties}\n"));
        }
        text.push_str(&cfg.bounds);
        let settings = NamedTempFile::new().expect("a file can be made");
        std::fs::write(settings.path(), text).expect("the file can be written");
        let child = start_process(settings.path(), &cfg.log);
        let client = reqwest::Client::builder().no_proxy().build().expect("the client is built");
        let instance = Self {
            child,
            settings,
            log: cfg.log,
            caller_address,
            peer_address: control,
            ready,
            metrics: internal,
            client,
        };
        eventually("the instance is ready", || instance.is_ready()).await;
        instance
    }

    /// Starts the process again after it ended.
    pub fn restart(&mut self) {
        self.child = start_process(self.settings.path(), &self.log);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns its metrics as text.
    pub async fn metrics(&self) -> String {
        let rsp = self.client.get(format!("http://{}/metrics", self.metrics)).send().await;
        rsp.expect("metrics are served").text().await.expect("they are text")
    }

    /// Returns whether it takes new connections.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}/laburnumvalve/ready", self.ready);
        self.client.get(url).send().await.is_ok_and(|rsp| rsp.status().is_success())
    }

    /// Makes a request of a caller.
    pub fn request(&self, path: &str, key: &str) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.caller_address))
            .header("host", "valve.example")
            .header("x-laburnumvalve-attempt-id", ATTEMPT_ID)
            .header("x-laburnumvalve-key", key)
            .body("body")
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends a signal to the process, which must not have been waited for.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process is a child");
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child").is_some()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
