//! Stand-ins for the cases: the platform's store and cloud, runners, clients, and the gateway
//! processes under test. Uses the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that couldn't run.
pub const NOT_RUN: i32 = 2;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn sleep_ms(count: u64) {
    thread::sleep(ms(count));
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("a listener has an address")
}

// ---- record ----

/// The record of what was sent, answered and run; clones share the file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(NOT_RUN)
        });
        Self { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line =
            format!("{:>9.3} s  {}\n", self.started_at.elapsed().as_secs_f64(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Adds a line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }
}

// ---- JSON ----

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn skip_string(text: &[u8], mut at: usize) -> Option<usize> {
    at += 1;
    while at < text.len() {
        match text[at] {
            b'\\' => at += 2,
            b'"' => return Some(at + 1),
            _ => at += 1,
        }
    }
    None
}

fn skip_value(text: &[u8], at: usize) -> Option<usize> {
    let at = skip_space(text, at);
    match text.get(at)? {
        b'"' => skip_string(text, at),
        b'{' | b'[' => {
            let (mut depth, mut at) = (0, at);
            loop {
                match text.get(at)? {
                    b'"' => at = skip_string(text, at)?,
                    b'{' | b'[' => (depth, at) = (depth + 1, at + 1),
                    b'}' | b']' => {
                        (depth, at) = (depth - 1, at + 1);
                        if depth == 0 {
                            return Some(at);
                        }
                    }
                    _ => at += 1,
                }
            }
        }
        _ => {
            let end = text[at..].iter().position(|byte| b",}] \r\n\t".contains(byte));
            Some(end.map_or(text.len(), |length| at + length))
        }
    }
}

/// Returns the text of a field of a JSON object.
pub fn field<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let text = json.as_bytes();
    let mut at = skip_space(text, 0);
    if text.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(text, at);
        if text.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_string(text, at)?;
        let key = &json[at + 1..key_end - 1];
        at = skip_space(text, key_end) + 1;
        let start = skip_space(text, at);
        let end = skip_value(text, start)?;
        if key == name {
            return Some(&json[start..end]);
        }
        at = skip_space(text, end);
        if text.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

// ---- HTTP ----

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn attempt(&self) -> String {
        self.header("x-laburnumvalve-attempt-id").unwrap_or_default().to_owned()
    }
}

/// Reads a head; `None` if the connection ended.
pub fn read_head(rx: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if rx.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.first_line.is_empty() {
            message.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the chunk that follows; an empty one ends the body.
pub fn read_chunk(rx: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if rx.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    rx.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads a body with a length or in chunks; `None` if it is incomplete.
pub fn read_body(rx: &mut impl BufRead, head: &Message) -> Option<Vec<u8>> {
    if head.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(rx)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    rx.read_exact(&mut body).ok()?;
    Some(body)
}

pub fn read_message(rx: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(rx)?;
    message.body = read_body(rx, &message)?;
    Some(message)
}

// ---- the platform's store and cloud ----

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<Event>,
    fences: HashMap<String, u64>,
    reports: Vec<(String, String)>,
}

/// The store: linearizable, loses nothing, and answers at once; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    beats: Arc<Mutex<HashMap<String, Instant>>>,
    record: Record,
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let state = StoreState { revision: 500, ..StoreState::default() };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            beats: Arc::default(),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(socket));
            }
        });
        let expiry = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(100);
                expiry.expire();
            }
        });
        store
    }

    /// Writes an object as the operator, a runner or another writer does; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (mutex, changed) = &*self.state;
        let mut state = lock(mutex);
        let known = state.kinds.entry(kind.to_owned()).or_default().get(name).cloned();
        if known.as_ref().is_some_and(|known| known.spec == spec) {
            return state.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.map_or(revision, |known| known.created);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = object_json(name, &object);
        state.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object);
        state.events.push(Event { revision, kind: kind.to_owned(), object: text, deleted: false });
        changed.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let (mutex, changed) = &*self.state;
        let mut state = lock(mutex);
        let Some(mut object) = state.kinds.entry(kind.to_owned()).or_default().remove(name) else {
            return false;
        };
        state.revision += 1;
        object.revision = state.revision;
        let event = Event {
            revision: state.revision,
            kind: kind.to_owned(),
            object: object_json(name, &object),
            deleted: true,
        };
        state.events.push(event);
        changed.notify_all();
        true
    }

    /// Writes a runner's entry, which expires after three heartbeats of silence.
    pub fn beat(&self, id: &str, spec: &str) {
        lock(&self.beats).insert(id.to_owned(), Instant::now());
        self.put("servers", id, spec);
    }

    pub fn remove_runner(&self, id: &str) {
        lock(&self.beats).remove(id);
        self.delete("servers", id);
    }

    fn expire(&self) {
        let silent: Vec<String> = {
            let beats = lock(&self.beats);
            let is_silent = |(_, at): &(&String, &Instant)| at.elapsed() > ms(3 * HEARTBEAT_MS);
            beats.iter().filter(is_silent).map(|(id, _)| id.clone()).collect()
        };
        for id in silent {
            self.record.add(format!("store: entry servers/{id} expires"));
            self.remove_runner(&id);
        }
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut tx) = socket.try_clone() else { return };
        let mut rx = BufReader::new(socket);
        while let Some(req) = read_message(&mut rx) {
            let (status, body) = self.answer(&req);
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if tx.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let body = String::from_utf8_lossy(&req.body).into_owned();
        if path == "/usage" || path == "/scale" {
            return self.cloud(req, path, &body);
        }
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let Some(rest) = path.strip_prefix("/laburnumvalve/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut parts = rest.splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        match (req.method(), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.list(kind, &query),
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.create(kind, &body),
            ("PUT", Some(name)) => self.replace(kind, name, &body),
            ("DELETE", Some(name)) => match self.delete(kind, name) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            _ => (400, "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = lock(&self.state.0);
        let object = state.kinds.get(kind).and_then(|objects| objects.get(name));
        object.map_or((404, "{}".to_owned()), |object| (200, object_json(name, object)))
    }

    fn list(&self, kind: &str, query: &HashMap<&str, &str>) -> (u16, String) {
        let state = lock(&self.state.0);
        let after = query.get("after").copied().unwrap_or_default();
        let empty = BTreeMap::new();
        let objects = state.kinds.get(kind).unwrap_or(&empty);
        let rest: Vec<_> = objects.iter().filter(|(name, _)| name.as_str() > after).collect();
        let page: Vec<String> =
            rest.iter().take(500).map(|(name, object)| object_json(name, object)).collect();
        let has_more = rest.len() > page.len();
        let items = page.join(",");
        (200, format!("{{\"items\":[{items}],\"has-more\":{has_more},\"at\":{}}}", state.revision))
    }

    fn watch(&self, kind: &str, query: &HashMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("watch").unwrap_or(0);
        let until = Instant::now() + ms(number("wait-ms").unwrap_or(0).min(30_000));
        let (mutex, changed) = &*self.state;
        let mut state = lock(mutex);
        loop {
            let of_kind = state.events.iter().filter(|it| it.kind == kind && it.revision > since);
            let events: Vec<String> = of_kind
                .map(|it| format!("{{\"deleted\":{},\"object\":{}}}", it.deleted, it.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{}}}", state.revision));
            }
            state = match changed.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let name = field(body, "metadata").and_then(|it| field(it, "name")).map(unquote);
        let Some(name) = name else { return (400, "{}".to_owned()) };
        if let (200, object) = self.get(kind, &name) {
            return (409, object);
        }
        self.put(kind, &name, field(body, "spec").unwrap_or("null"));
        self.get(kind, &name)
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        let expected = field(body, "metadata").and_then(|it| field(it, "revision"));
        let expected = expected.and_then(|text| text.parse::<u64>().ok());
        let known = lock(&self.state.0).kinds.get(kind).and_then(|all| all.get(name)).cloned();
        match known {
            None => (404, "{}".to_owned()),
            Some(known) if expected.is_some_and(|it| it != known.revision) => {
                (409, object_json(name, &known))
            }
            Some(_) => {
                self.put(kind, name, field(body, "spec").unwrap_or("null"));
                self.get(kind, name)
            }
        }
    }

    fn cloud(&self, req: &Message, path: &str, body: &str) -> (u16, String) {
        let fence = req.header("x-laburnumvalve-fencing-token").and_then(|it| it.parse().ok());
        let fence: u64 = fence.unwrap_or(0);
        let subject = format!(
            "{path} {} {}",
            field(body, "service").unwrap_or_default(),
            field(body, "zone").unwrap_or_default()
        );
        let mut state = lock(&self.state.0);
        let highest = state.fences.entry(subject).or_insert(0);
        if fence < *highest {
            return (409, "{}".to_owned());
        }
        *highest = fence;
        if path == "/usage" {
            let window = field(body, "window-id").unwrap_or_default().to_owned();
            let counts = field(body, "counts").unwrap_or_default().to_owned();
            state.reports.push((window, counts));
        }
        (200, "{}".to_owned())
    }
}

// ---- gateway processes ----

pub const HEARTBEAT_MS: u64 = 1_200;

/// A gateway process, started with the command of the deploy file; it is killed when dropped.
pub struct Gateway {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    record: Record,
}

/// The program and its arguments, as `run` in deploy/system.toml.
const COMMAND: [&str; 2] = ["target/release/laburnumvalve", "gateway"];

fn temporary_folder() -> PathBuf {
    std::env::var_os("CASE_TMP").map_or_else(std::env::temp_dir, PathBuf::from)
}

fn start_process(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log can be written");
    let copy = log.try_clone().expect("a file can be shared");
    let started = Command::new(COMMAND[0])
        .args(&COMMAND[1..])
        .env("LABURNUMVALVE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(copy)
        .spawn();
    let child = started.unwrap_or_else(|error| {
        eprintln!("{}: {error}", COMMAND[0]);
        std::process::exit(NOT_RUN)
    });
    // play.sh ends what is left.
    let pids = File::options().create(true).append(true).open(temporary_folder().join("pids"));
    let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
    child
}

/// Starts one gateway in each zone, with the bounds of the shobdo-valve deployment.
pub fn start_gateways(store: &Store, zones: &[&str], record: &Record) -> Vec<Gateway> {
    let folder = temporary_folder();
    let controls: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
    let seeds: Vec<String> = controls.iter().take(3).map(ToString::to_string).collect();
    let start = |(number, zone): (usize, &&str)| {
        let (front, ready, metrics) = (free_address(), free_address(), free_address());
        let name = format!("edge-{zone}-{number}");
        let zones_of_region: String =
            zones.iter().map(|zone| format!("zones.{zone}=bengal-east\n")).collect();
        let text = format!(
            "node={name}\nrole=gateway\nmachine-class=edge\nserves=edge,control_plane\n\
             ip=127.0.0.1\nzone={zone}\nregion=bengal-east\n{zones_of_region}\
             listen.front={front}\nlisten.ready={ready}\nlisten.control={}\n\
             internal-ports={},{}\nseeds={}\nbootstrap=true\nin-tolerance=false\n\
             discovery=platform\nentry=vip\nheartbeat-ms={HEARTBEAT_MS}\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,places,platform\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\n\
             bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.outer-bound-ms=5000\nbounds.fail-closed=true\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=58\n\
             bounds.require-fencing=true\nbounds.lease-ms=3000\nbounds.thaw-slack-ms=300\n\
             bounds.usage-window-s=5\nbounds.usage-tolerance=0.05\nbounds.usage-late-s=10\n\
             bounds.cold-overage=1.5\nbounds.cold-slack=5\nbounds.evacuate-ms=5000\n\
             bounds.recovery-s=12\nbounds.pass-ms=120\nbounds.reuse-window-s=10\n\
             platform.address={}\nplatform.form=objects\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.history-s=20\nplatform.value-bytes=1048576\n\
             platform.ttl-min-ms=1000\ncloud.address={}\ncloud.rate-per-s=50.0\n\
             cloud.duties=usage_reporting,autoscaling\ncloud.duty-per-s=50.0\n",
            controls[number],
            metrics.port(),
            metrics.port().saturating_add(1),
            seeds.join(","),
            store.address,
            store.address,
        );
        let settings = folder.join(format!("{name}.conf"));
        let log = folder.join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("settings can be written");
        let child = start_process(&settings, &log);
        record.add(format!("gateway {name} starts, clients at {front}"));
        Gateway {
            child,
            settings,
            log,
            name,
            zone: (*zone).to_owned(),
            front,
            ready,
            record: record.clone(),
        }
    };
    zones.iter().enumerate().map(start).collect()
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect_timeout(&self.ready, ms(500)) else { return false };
        let _ = socket.set_read_timeout(Some(ms(1_000)));
        let req = "GET /laburnumvalve/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        if socket.write_all(req.as_bytes()).is_err() {
            return false;
        }
        let head = read_head(&mut BufReader::new(socket));
        head.is_some_and(|head| head.first_line.starts_with("HTTP/1.1 200"))
    }

    pub fn signal(&self, name: &str) {
        self.record.add(format!("gateway {} gets SIG{name}", self.name));
        let _ =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        self.record.add(format!("gateway {} gets SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn start_again(&mut self) {
        self.record.add(format!("gateway {} starts again", self.name));
        self.child = start_process(&self.settings, &self.log);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all gateways are ready; `false` after 15 s.
pub fn wait_until_ready(gateways: &[Gateway], record: &Record) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < ms(15_000) {
        if gateways.iter().all(Gateway::is_ready) {
            record.add("all gateways are ready");
            return true;
        }
        sleep_ms(50);
    }
    record.say("the gateways were not ready after 15 s");
    false
}

// ---- clients ----

/// What a client saw of one attempt.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if there was no complete head.
    pub status: u16,
    pub is_complete: bool,
    pub has_seal: bool,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        (200..300).contains(&self.status) && self.is_complete && self.has_seal
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst) + 0x9c41_0000_0000)
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

impl Call {
    pub fn new(method: &'static str, path: &str, deadline_ms: u64) -> Self {
        Self {
            id: new_id(),
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline_ms,
        }
    }

    fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Laburnumvalve-Attempt-Id: {}\r\n\
             X-Laburnumvalve-Deadline-Ms: {}\r\nX-Laburnumvalve-Key: {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend(&self.body);
        bytes
    }
}

/// Sends one attempt on a new connection and waits for the answer until the deadline.
pub fn send(gateway: SocketAddr, call: &Call, record: &Record) -> Answer {
    let none = Answer { status: 0, is_complete: false, has_seal: false, body: Vec::new() };
    record.add(format!("client sends {} {} {}", call.id, call.method, call.path));
    let answer = exchange(gateway, call).unwrap_or(none);
    record.add(format!(
        "client got {}: status {}, {} bytes, {}",
        call.id,
        answer.status,
        answer.body.len(),
        if answer.is_complete { "complete" } else { "not complete" }
    ));
    answer
}

fn exchange(gateway: SocketAddr, call: &Call) -> Option<Answer> {
    let mut socket = TcpStream::connect_timeout(&gateway, ms(1_000)).ok()?;
    let _ = socket.set_nodelay(true);
    socket.set_read_timeout(Some(ms(call.deadline_ms + 700))).ok()?;
    socket.write_all(&call.to_bytes()).ok()?;
    let mut rx = BufReader::new(socket);
    let head = read_head(&mut rx)?;
    let status = head.first_line.split(' ').nth(1)?.parse().ok()?;
    let has_seal = head.header("x-laburnumvalve-response-seal").is_some();
    let body = read_body(&mut rx, &head);
    Some(Answer { status, is_complete: body.is_some(), has_seal, body: body.unwrap_or_default() })
}

// ---- configuration ----

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Returns a configuration with the four kinds of requests of the shobdo-valve deployment.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{prefix}/\",\
             \"kind\":\"{kind}\",\"public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "r-align",
            "align",
            "streaming",
            "\"timeout-ms\":5000,\"target-latency-ms\":800,\"priority\":1,\"service\":\"timing-model\",\"max-attempts\":2,\"sticky\":true,\"resumable\":true,\"gap-target-ms\":500",
        ),
        route(
            "r-query",
            "query",
            "streaming",
            "\"timeout-ms\":15000,\"target-latency-ms\":400,\"priority\":0,\"service\":\"timing-model\",\"max-attempts\":1,\"sticky\":true,\"resumable\":false,\"gap-target-ms\":300",
        ),
        route(
            "r-deliver",
            "deliver",
            "non_idempotent",
            "\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,\"service\":\"cue-desk\",\"max-attempts\":1,\"sticky\":false,\"resumable\":false",
        ),
        route(
            "r-fetch",
            "fetch",
            "idempotent",
            "\"timeout-ms\":1000,\"target-latency-ms\":100,\"priority\":2,\"service\":\"cue-desk\",\"max-attempts\":2,\"sticky\":false,\"resumable\":false",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"timing-model\",\"health-path\":\"/healthz\",\"max-connections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":8.0,\
         \"engine\":{{\"slots\":64,\"kv-tokens\":265628}}}},\
         {{\"name\":\"cue-desk\",\"health-path\":\"/healthz\",\"max-connections\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

// ---- runners ----

/// How a runner answers a request that it has read.
pub trait Behaviour: Send + Sync + 'static {
    /// Answers; returns `false` to close the connection.
    fn answer(&self, runner: &RunnerHandle, req: &Message, tx: &mut TcpStream) -> bool;
}

struct RunnerState {
    id: String,
    service: String,
    zone: String,
    slots: u32,
    address: SocketAddr,
    born: AtomicU64,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    runs: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
}

/// A runner that registers itself in the store; clones share it.
#[derive(Clone)]
pub struct RunnerHandle {
    state: Arc<RunnerState>,
    store: Store,
    pub record: Record,
    behaviour: Arc<dyn Behaviour>,
}

impl RunnerHandle {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        store: &Store,
        record: &Record,
        behaviour: Arc<dyn Behaviour>,
    ) -> Self {
        let state = RunnerState {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address: free_address(),
            born: AtomicU64::new(0),
            is_up: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            runs: AtomicU64::new(0),
            sockets: Mutex::default(),
        };
        let runner = Self {
            state: Arc::new(state),
            store: store.clone(),
            record: record.clone(),
            behaviour,
        };
        runner.come_up();
        let beats = runner.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(HEARTBEAT_MS);
                if beats.state.is_up.load(Ordering::SeqCst) {
                    beats.write_entry();
                }
            }
        });
        runner
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    pub fn is_up(&self) -> bool {
        self.state.is_up.load(Ordering::SeqCst)
    }

    fn write_entry(&self) {
        let state = &self.state;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            state.service,
            state.address,
            state.zone,
            state.slots,
            if state.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" },
            state.born.load(Ordering::SeqCst),
        );
        self.store.beat(&state.id, &entry);
    }

    /// Starts the runner's process, or starts it again under the same id and address.
    pub fn come_up(&self) {
        let state = &self.state;
        let listener = loop {
            match TcpListener::bind(state.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(10),
            }
        };
        state.born.store(unix_ms(), Ordering::SeqCst);
        state.is_draining.store(false, Ordering::SeqCst);
        state.is_up.store(true, Ordering::SeqCst);
        self.record
            .add(format!("runner {} of {} starts at {}", state.id, state.service, state.address));
        let born = state.born.load(Ordering::SeqCst);
        let runner = self.clone();
        listener.set_nonblocking(true).expect("a listener can be polled");
        thread::spawn(move || {
            while runner.is_process(born) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        if let Ok(copy) = socket.try_clone() {
                            lock(&runner.state.sockets).push(copy);
                        }
                        let runner = runner.clone();
                        thread::spawn(move || runner.serve(socket, born));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
        self.write_entry();
    }

    fn is_process(&self, born: u64) -> bool {
        self.is_up() && self.state.born.load(Ordering::SeqCst) == born
    }

    /// Ends the process at once: its sockets close, and it sends nothing more.
    pub fn crash(&self) {
        self.record.add(format!("runner {} crashes", self.state.id));
        self.stop();
    }

    /// Ends the process after it has drained.
    pub fn leave(&self) {
        self.record.add(format!("runner {} exits", self.state.id));
        self.stop();
        self.store.remove_runner(&self.state.id);
    }

    fn stop(&self) {
        self.state.is_up.store(false, Ordering::SeqCst);
        // The listener closes within a poll period.
        sleep_ms(5);
        for socket in lock(&self.state.sockets).drain(..) {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Reports that the runner drains; returns when the store has accepted that.
    pub fn drain(&self) {
        self.state.is_draining.store(true, Ordering::SeqCst);
        self.write_entry();
        self.record.add(format!("runner {} drains: the store has accepted it", self.state.id));
    }

    /// Records that a request began to run.
    pub fn begin(&self, req: &Message) {
        self.state.runs.fetch_add(1, Ordering::SeqCst);
        self.record.add(format!("runner {} runs {}", self.state.id, req.attempt()));
    }

    pub fn runs(&self) -> u64 {
        self.state.runs.load(Ordering::SeqCst)
    }

    fn serve(&self, socket: TcpStream, born: u64) {
        let _ = socket.set_nodelay(true);
        let Ok(mut tx) = socket.try_clone() else { return };
        let mut rx = BufReader::new(socket);
        while let Some(req) = read_message(&mut rx) {
            if !self.is_process(born) {
                return;
            }
            let expected = req.header("x-laburnumvalve-expect-instance");
            if expected.is_some_and(|expected| expected != self.state.id) {
                let rsp = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Laburnumvalve-Instance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.state.id
                );
                if tx.write_all(rsp.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !self.behaviour.answer(self, &req, &mut tx) {
                let _ = tx.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Returns a successful answer with a length.
pub fn full_answer(runner: &RunnerHandle, req: &Message, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Laburnumvalve-Attempt-Id: {}\r\nX-Laburnumvalve-Response-Seal: {}.1\r\n\
         X-Laburnumvalve-Instance-Load: 1,0,6\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
        req.attempt(),
        runner.id(),
        body.len()
    )
}

/// A sound runner of a plain service: runs each request for a time and answers it.
pub struct SoundPlain {
    pub work_ms: u64,
}

impl Behaviour for SoundPlain {
    fn answer(&self, runner: &RunnerHandle, req: &Message, tx: &mut TcpStream) -> bool {
        runner.begin(req);
        sleep_ms(self.work_ms);
        let body = format!("answer to {}\n", req.attempt());
        tx.write_all(full_answer(runner, req, &body).as_bytes()).is_ok()
    }
}

/// A sound engine: the first event comes after the prefill, the others after equal gaps.
pub struct SoundEngine {
    pub prefill_ms: u64,
    pub events: u64,
    pub gap_ms: u64,
}

impl Behaviour for SoundEngine {
    fn answer(&self, runner: &RunnerHandle, req: &Message, tx: &mut TcpStream) -> bool {
        let after = req.header("last-event-id").and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        sleep_ms(self.prefill_ms);
        if !runner.is_up() {
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Laburnumvalve-Attempt-Id: {}\r\n\
             X-Laburnumvalve-Response-Seal: {}.1\r\nX-Laburnumvalve-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            req.attempt(),
            runner.id()
        );
        runner.begin(req);
        if tx.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in after + 1..=self.events {
            let event = format!("id: {number}\ndata: {} {number}\n\n", req.attempt());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !runner.is_up() || tx.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep_ms(self.gap_ms);
        }
        tx.write_all(b"0\r\n\r\n").is_ok()
    }
}
