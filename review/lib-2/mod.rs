//! Stand-ins and helpers that the scripts of the second review share: the platform's store and
//! API, runners, clients, and the gateway as a process. Uses only the standard library.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the script is to cause the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Writes lines with the time since the start to a file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{path}: {error}");
            std::process::exit(COULD_NOT_RUN)
        });
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// The head of a message and its body.
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

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-laburnumvalve-attempt-id").unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub socket: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.socket.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn ended() -> io::Error {
        io::Error::new(ErrorKind::UnexpectedEof, "the connection ended early")
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(Self::ended());
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill()? {
                return Err(Self::ended());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads the head of a message; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        while self.ahead.is_empty() {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let mut message = Message { first_line: self.read_line()?, ..Message::default() };
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        Ok(Some(message))
    }

    /// Reads the body of a message with a length or in chunks. Passes each piece on as it arrives.
    pub fn read_body(
        &mut self,
        message: &mut Message,
        mut on_piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
                let piece = self.read_exact(size)?;
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
                on_piece(&piece);
                message.body.extend(piece);
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.read_exact(length.unwrap_or(0))?;
        on_piece(&message.body);
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, |_| {})?;
        Ok(Some(message))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.socket.write_all(text.as_bytes())
    }

    /// Sends a message with a length.
    pub fn reply(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.send(&format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"))
    }
}

/// Serves connections with one thread each, until the process ends.
pub fn serve(handler: impl Fn(Conn) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = handler(Conn::new(socket));
            });
        }
    });
    address
}

/// A change of the store: revision, kind, name, and the value unless the object was deleted.
type Event = (u64, String, String, Option<String>);

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<Event>,
}

/// The platform's store; values are JSON texts.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        lock(&store.state.0).revision = 1;
        let serving = store.clone();
        let address = serve(move |mut conn| {
            while let Some(req) = conn.read_message()? {
                let (status, body) = serving.answer(&req);
                conn.reply(&status, "Content-Type: application/json\r\n", &body)?;
            }
            Ok(())
        });
        (store, address)
    }

    fn change(&self, kind: &str, name: &str, value: Option<String>) -> u64 {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.events.push((revision, key.0.clone(), key.1.clone(), value.clone()));
        match value {
            Some(value) => state.objects.insert(key, (revision, value)),
            None => state.objects.remove(&key),
        };
        self.state.1.notify_all();
        revision
    }

    pub fn put(&self, kind: &str, name: &str, value: impl Into<String>) {
        self.change(kind, name, Some(value.into()));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        lock(&self.state.0).objects.get(&key).map(|(_, value)| value.clone())
    }

    pub fn answer(&self, req: &Message) -> (String, String) {
        let target = req.target().trim_start_matches("/laburnumvalve/objects/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let field = |name: &str| -> Option<&str> {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let body = req.text();
        match (req.method(), name) {
            ("GET", "") if field("watch").is_some() => {
                let number =
                    |name| field(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
                self.watch(kind, number("watch"), Duration::from_millis(number("wait-ms")))
            }
            ("GET", "") => self.list(kind, field("after")),
            ("GET", name) => self.read(kind, name),
            ("POST", "") => {
                let name = text_field(&body, "name").unwrap_or_default();
                if self.get(kind, &name).is_some() {
                    return ("409 Conflict".into(), self.read(kind, &name).1);
                }
                self.change(kind, &name, Some(spec_of(&body)));
                self.read(kind, &name)
            }
            ("PUT", name) => self.replace(kind, name, &body),
            ("DELETE", name) => {
                if self.get(kind, name).is_none() {
                    return ("404 Not Found".into(), "{}".into());
                }
                self.delete(kind, name);
                ("200 OK".into(), "{}".into())
            }
            _ => ("400 Bad Request".into(), "{}".into()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (String, String) {
        let state = lock(&self.state.0);
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let mut later =
            of_kind.filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after));
        // A page has about 500 objects or 1 MB at most.
        let (mut items, mut bytes) = (Vec::new(), 0);
        for ((_, name), (at, value)) in later.by_ref() {
            bytes += value.len();
            items.push(object(name, *at, value));
            if items.len() == 500 || bytes >= 1 << 20 {
                break;
            }
        }
        let has_more = later.next().is_some();
        let (items, at) = (items.join(","), state.revision);
        ("200 OK".into(), format!("{{\"items\":[{items}],\"has-more\":{has_more},\"at\":{at}}}"))
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (String, String) {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state.0);
        loop {
            let new = state.events.iter().filter(|(at, of, ..)| *at > since && of == kind);
            let events: Vec<_> = new
                .map(|(at, _, name, value)| {
                    let object = object(name, *at, value.as_deref().unwrap_or("null"));
                    format!("{{\"object\":{object},\"deleted\":{}}}", value.is_none())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return ("200 OK".into(), format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn read(&self, kind: &str, name: &str) -> (String, String) {
        let state = lock(&self.state.0);
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((at, value)) => ("200 OK".into(), object(name, *at, value)),
            None => ("404 Not Found".into(), "{}".into()),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (String, String) {
        let head = &body[..body.find("\"spec\":").unwrap_or(body.len())];
        let named = number_field(head, "revision");
        let key = (kind.to_owned(), name.to_owned());
        let known = lock(&self.state.0).objects.get(&key).map(|(revision, _)| *revision);
        match known {
            None => return ("404 Not Found".into(), "{}".into()),
            Some(known) if named.is_some_and(|named| named != known) => {
                return ("409 Conflict".into(), self.read(kind, name).1);
            }
            Some(_) => {}
        }
        self.change(kind, name, Some(spec_of(body)));
        self.read(kind, name)
    }
}

fn object(name: &str, revision: u64, value: &str) -> String {
    format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision}}},\"spec\":{value}}}")
}

/// Returns the text of `spec`, the last member of a written object.
fn spec_of(body: &str) -> String {
    let start = body.find("\"spec\":").map_or(0, |at| at + 7);
    body[start..body.len().saturating_sub(1)].to_owned()
}

pub fn text_field(json: &str, name: &str) -> Option<String> {
    let start = json.find(&format!("\"{name}\":\""))? + name.len() + 4;
    Some(json[start..].split('"').next()?.to_owned())
}

pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let start = json.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = json[start..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Starts the platform's API for usage reports and orders, which accepts all calls.
pub fn start_duties(record: &Record) -> SocketAddr {
    let record = record.clone();
    serve(move |mut conn| {
        while let Some(req) = conn.read_message()? {
            record.line(format!("platform: {} {}", req.first_line, req.text()));
            conn.reply("200 OK", "", "{}")?;
        }
        Ok(())
    })
}

/// Returns the entry of a runner.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold-remaining-ms\":0,\
         \"sequence\":1,\"born\":1700000000000}}"
    )
}

/// Returns a free port that outgoing connections don't take.
pub fn free_port() -> u16 {
    static NEXT: Mutex<u16> = Mutex::new(0);
    loop {
        let mut next = lock(&NEXT);
        let port = 21_000 + ((std::process::id() as u16 % 500) * 20 + *next) % 10_000;
        *next += 1;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// A gateway process with its settings.
pub struct Gateway {
    pub child: Child,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// Addresses of a gateway, chosen before any is started so that they know their seeds.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub internal: u16,
}

impl Place {
    pub fn new(name: &str, zone: &str) -> Self {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: local(free_port()),
            ready: local(free_port()),
            control: local(free_port()),
            internal: free_port(),
        }
    }
}

impl Gateway {
    /// Starts a gateway with the settings of the small deployments.
    pub fn start(
        dir: &Path,
        place: &Place,
        seeds: &[Place],
        store: SocketAddr,
        duties: SocketAddr,
        memory_mb: u32,
    ) -> Self {
        let Place { name, zone, front, ready, control, internal } = place.clone();
        let seeds: Vec<_> = seeds.iter().map(|seed| seed.control.to_string()).collect();
        let text = format!(
            "node={name}\nrole=gateway\nmachine-class=edge\nserves=edge,control_plane\nip=127.0.0.1\n\
             zone={zone}\nregion=northvale\nzones.northvale-a=northvale\nzones.northvale-b=northvale\n\
             listen.front={front}\nlisten.ready={ready}\nlisten.control={control}\n\
             internal-ports={internal},{internal}\nseeds={}\nbootstrap=true\nin-tolerance=false\n\
             limits.cpu-share=1\nlimits.cores=1\nlimits.memory-mb={memory_mb}\nlimits.max-fds=4100\n\
             limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat-ms=1200\nfault-tolerance.machines=1\nfault-tolerance.zones=1\n\
             bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\n\
             bounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.outer-bound-ms=5000\nbounds.fail-closed=true\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=58\n\
             bounds.require-fencing=true\nbounds.lease-ms=3000\nbounds.thaw-slack-ms=300\n\
             bounds.usage-window-s=5\nbounds.usage-tolerance=0.05\nbounds.usage-late-s=10\n\
             bounds.cold-overage=1.5\nbounds.cold-slack=5\nbounds.evacuate-ms=5000\n\
             bounds.recovery-s=12\nbounds.pass-ms=120\nbounds.reuse-window-s=8.3\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.history-s=20\nplatform.value-bytes=1048576\n\
             platform.ttl-min-ms=1000\ncloud.address={duties}\ncloud.rate-per-s=50.0\n\
             cloud.duties=usage_reporting,autoscaling\ncloud.duty-per-s=50.0\n",
            seeds.join(",")
        );
        let settings = dir.join(format!("{name}.conf"));
        let log = dir.join(format!("{name}.log"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = Self::spawn(&settings, &log);
        Self { child, name, front, ready, control, settings, log }
    }

    fn spawn(settings: &Path, log: &Path) -> Child {
        let log =
            File::options().create(true).append(true).open(log).expect("the log can be written");
        Command::new("target/release/laburnumvalve")
            .arg("gateway")
            .env("LABURNUMVALVE_CONFIG", settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("target/release/laburnumvalve: {error}");
                std::process::exit(COULD_NOT_RUN)
            })
    }

    pub fn restart(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ready)
    }

    /// Waits until the gateway is ready; false if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn is_ready(address: SocketAddr) -> bool {
    let second = Duration::from_secs(1);
    let ask = || -> io::Result<u16> {
        let mut conn = Conn::connect(address, second)?;
        conn.socket.set_read_timeout(Some(second))?;
        conn.send("GET /laburnumvalve/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(conn.read_message()?.map_or(0, |rsp| rsp.status()))
    };
    ask().is_ok_and(|status| status == 200)
}

/// Returns the resident memory of a process in MB.
pub fn resident_mb(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

/// Creates a temporary folder.
pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder can be created");
    dir
}

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub enum End {
    /// A complete answer.
    Answer(Message),
    /// The connection ended after a part of the answer; with its status and the part.
    Broken(u16, Vec<u8>, String),
    /// The connection ended without an answer.
    Closed(String),
    /// No answer within the time that the client waits.
    TimedOut,
}

/// Sends a request and reads its answer; `on_piece` gets each piece of the body.
pub fn exchange(
    conn: &mut Conn,
    text: &str,
    wait: Duration,
    mut on_piece: impl FnMut(&[u8]),
) -> End {
    let _ = conn.socket.set_read_timeout(Some(wait));
    let is_timeout =
        |error: &io::Error| matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
    if let Err(error) = conn.send(text) {
        return End::Closed(error.to_string());
    }
    let mut rsp = match conn.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return End::Closed("closed".to_owned()),
        Err(error) if is_timeout(&error) => return End::TimedOut,
        Err(error) => return End::Closed(error.to_string()),
    };
    match conn.read_body(&mut rsp, &mut on_piece) {
        Ok(()) => End::Answer(rsp),
        Err(error) => End::Broken(rsp.status(), rsp.body, error.to_string()),
    }
}
