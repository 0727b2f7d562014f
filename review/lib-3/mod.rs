//! Parts that the scripts of this review share: HTTP over plain sockets, a stand-in of the platform's
//! store and of its duties, gateway processes, and the record. Uses the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a run in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run that could not show anything.
pub const NOT_RUN: i32 = 2;

/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(112);
const IO_TIMEOUT: Duration = Duration::from_secs(40);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Whether the disruption is to be made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// Record.

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Opens `record.txt` in the folder of the case, which is the first argument, and starts the watchdog.
pub fn start_record() {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case is given"));
    let file = File::create(folder.join("record.txt")).expect("the record can be written");
    let _ = RECORD.set(Record { file: Mutex::new(file), started: Instant::now() });
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        note("the run took too long");
        finish(NOT_RUN);
    });
    note(&format!("trouble: {}", has_trouble()));
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |record| record.started.elapsed().as_millis() as u64)
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let Some(record) = RECORD.get() else { return };
    let ms = now_ms();
    let _ = writeln!(lock(&record.file), "{:>4}.{:03} {text}", ms / 1_000, ms % 1_000);
}

/// Writes the result, ends all processes and exits.
pub fn finish(code: i32) -> ! {
    let result = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    note(&format!("result: {result}"));
    println!("{result}");
    for pid in std::mem::take(&mut *lock(&CHILDREN)) {
        signal(pid, "KILL");
    }
    let _ = std::fs::remove_dir_all(temp_folder());
    std::process::exit(code);
}

fn temp_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// Sends a signal to a process that this run started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("bash").arg("-c").arg(format!("kill -{name} {pid}")).status();
}

/// Returns a free port on the loopback address, outside the range of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (number % 12_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// HTTP.

pub type Headers = Vec<(String, String)>;

/// Returns the value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

#[derive(Debug, Clone)]
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("x-laburnumvalve-attempt-id")
    }
}

#[derive(Debug, Clone)]
pub struct Rsp {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Rsp {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

pub type Reader = BufReader<TcpStream>;

pub fn reader(socket: &TcpStream) -> Reader {
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(IO_TIMEOUT));
    BufReader::new(socket.try_clone().expect("the socket can be cloned"))
}

fn invalid(why: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.into())
}

/// Reads the first line and the headers; `None` if the connection ended before.
pub fn read_head(r: &mut Reader) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if r.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line)? == 0 {
            return Err(invalid("the head is not complete"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) =
            line.split_once(':').ok_or_else(|| invalid(format!("line {line:?}")))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk of a body in chunks; `None` after the last one.
pub fn read_chunk(r: &mut Reader) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    r.read_line(&mut line)?;
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| invalid(format!("chunk {line:?}")))?;
    let mut data = vec![0; size + 2];
    r.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

fn read_body(r: &mut Reader, headers: &Headers, until_end: bool) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        while let Some(chunk) = read_chunk(r)? {
            body.extend(chunk);
        }
        return Ok(body);
    }
    if let Some(length) = header(headers, "content-length") {
        let length = length.parse().map_err(|_| invalid(format!("length {length:?}")))?;
        let mut body = vec![0; length];
        r.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if until_end {
        r.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads the head of a request, without its body.
pub fn read_req_head(r: &mut Reader) -> io::Result<Option<Req>> {
    let Some((first, headers)) = read_head(r)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().ok_or_else(|| invalid(format!("request line {first:?}")))?.to_owned();
    Ok(Some(Req { method, target, headers, body: Vec::new() }))
}

pub fn read_req(r: &mut Reader) -> io::Result<Option<Req>> {
    let Some(mut req) = read_req_head(r)? else { return Ok(None) };
    req.body = read_body(r, &req.headers, false)?;
    Ok(Some(req))
}

pub fn read_rsp_head(r: &mut Reader) -> io::Result<Rsp> {
    let (first, headers) = read_head(r)?.ok_or_else(|| invalid("no response"))?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| invalid(format!("status line {first:?}")))?;
    Ok(Rsp { status, headers, body: Vec::new() })
}

pub fn read_rsp(r: &mut Reader) -> io::Result<Rsp> {
    let mut rsp = read_rsp_head(r)?;
    rsp.body = read_body(r, &rsp.headers, true)?;
    Ok(rsp)
}

/// Text of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    text
}

/// Serves connections, each on a thread of its own.
pub fn serve(address: SocketAddr, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || handler(socket));
        }
    });
}

/// Sends one request on a connection of its own and reads the response.
pub fn exchange(address: SocketAddr, text: &str, timeout: Duration) -> io::Result<Rsp> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    let mut r = reader(&socket);
    socket.set_read_timeout(Some(timeout))?;
    socket.write_all(text.as_bytes())?;
    read_rsp(&mut r)
}

// JSON.

/// Returns the length of the JSON value at the start of a text.
fn value_length(text: &str) -> usize {
    let (mut depth, mut in_string, mut escaped) = (0_i32, false, false);
    for (at, c) in text.char_indices() {
        if in_string {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
            continue;
        }
        match c {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return at,
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            ',' if depth == 0 => return at,
            _ => {}
        }
    }
    text.len()
}

/// Returns the members of a JSON object as text.
pub fn members(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut rest = text.trim().strip_prefix('{').unwrap_or_default().trim_start();
    while rest.starts_with('"') {
        let key = value_length(rest);
        let name = rest[1..key - 1].to_owned();
        let after = rest[key..].trim_start().strip_prefix(':').unwrap_or_default().trim_start();
        let length = value_length(after);
        found.push((name, after[..length].trim().to_owned()));
        rest = after[length..].trim_start().strip_prefix(',').unwrap_or_default().trim_start();
    }
    found
}

/// Returns a member of a JSON object as text.
pub fn member(text: &str, name: &str) -> Option<String> {
    members(text).into_iter().find(|(key, _)| key == name).map(|(_, value)| value)
}

pub fn unquoted(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

// The platform's store.

#[derive(Clone, Default)]
struct StoreState {
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
    is_down: bool,
}

/// Stand-in of the platform's metadata store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

/// Copy of the store's contents.
pub struct StoreCopy(StoreState);

impl Store {
    pub fn start() -> Self {
        let first = StoreState { era: 1, revision: 100, ..StoreState::default() };
        let store =
            Self { state: Arc::new((Mutex::new(first), Condvar::new())), address: free_address() };
        let server = store.clone();
        serve(store.address, move |socket| {
            let mut r = reader(&socket);
            let mut socket = socket;
            while let Ok(Some(req)) = read_req(&mut r) {
                // A store that is down closes connections without an answer.
                let Some((status, body)) = server.answer(&req) else { return };
                let era = server.era().to_string();
                let headers = [("content-type", "application/json"), ("store-era", era.as_str())];
                if socket.write_all(response(status, &headers, &body).as_bytes()).is_err() {
                    return;
                }
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.state.0)
    }

    pub fn era(&self) -> u64 {
        self.state().era
    }

    /// Writes an object, as the operator and the runners do; returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state();
        let revision = write(&mut state, kind, name, Some(spec.to_owned()));
        drop(state);
        self.state.1.notify_all();
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        write(&mut self.state(), kind, name, None);
        self.state.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let key = (kind.to_owned(), name.to_owned());
        self.state().objects.get(&key).map(|(_, spec)| spec.clone())
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state().clone())
    }

    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Comes back from a copy. What the operator and the runners wrote is written again.
    pub fn restore(&self, copy: &StoreCopy, kept_kinds: &[&str]) {
        let mut state = self.state();
        let newer = state.objects.clone();
        let era = state.era + 1;
        *state = copy.0.clone();
        state.era = era;
        state.events.clear();
        for ((kind, name), (_, spec)) in newer {
            let key = (kind.clone(), name.clone());
            let is_known = state.objects.get(&key).is_some_and(|(_, known)| *known == spec);
            if kept_kinds.contains(&kind.as_str()) && !is_known {
                write(&mut state, &kind, &name, Some(spec));
            }
        }
        state.is_down = false;
        drop(state);
        self.state.1.notify_all();
    }

    fn answer(&self, req: &Req) -> Option<(u16, String)> {
        let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/laburnumvalve/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let metadata = member(&body, "metadata").unwrap_or_default();
        let spec = member(&body, "spec").unwrap_or_else(|| "null".to_owned());
        let mut state = self.state();
        if state.is_down {
            return None;
        }
        let answer = match (req.method.as_str(), name) {
            ("GET", None) => match query.get("watch").and_then(|from| from.parse().ok()) {
                Some(from) => {
                    let wait = query.get("wait-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    return self.watch(state, &kind, from, Duration::from_millis(wait));
                }
                None => list(&state, &kind),
            },
            ("GET", Some(name)) => match state.objects.get(&(kind, name.clone())) {
                Some((revision, spec)) => (200, object(&name, *revision, spec)),
                None => (404, String::new()),
            },
            ("POST", _) => {
                let name = unquoted(&member(&metadata, "name").unwrap_or_default());
                match state.objects.get(&(kind.clone(), name.clone())) {
                    Some((revision, spec)) => (409, object(&name, *revision, spec)),
                    None => {
                        let revision = write(&mut state, &kind, &name, Some(spec.clone()));
                        (200, object(&name, revision, &spec))
                    }
                }
            }
            ("PUT", Some(name)) => {
                let expected: Option<u64> =
                    member(&metadata, "revision").and_then(|revision| revision.parse().ok());
                match state.objects.get(&(kind.clone(), name.clone())).cloned() {
                    None => (404, String::new()),
                    Some((known, former)) if expected.is_some_and(|it| it != known) => {
                        (409, object(&name, known, &former))
                    }
                    Some((known, former)) if former == spec => (200, object(&name, known, &spec)),
                    Some(_) => {
                        let revision = write(&mut state, &kind, &name, Some(spec.clone()));
                        (200, object(&name, revision, &spec))
                    }
                }
            }
            ("DELETE", Some(name)) => {
                if state.objects.contains_key(&(kind.clone(), name.clone())) {
                    write(&mut state, &kind, &name, None);
                    (200, "{}".to_owned())
                } else {
                    (404, String::new())
                }
            }
            _ => (400, String::new()),
        };
        drop(state);
        self.state.1.notify_all();
        Some(answer)
    }

    fn watch(
        &self,
        mut state: MutexGuard<'_, StoreState>,
        kind: &str,
        from: u64,
        wait: Duration,
    ) -> Option<(u16, String)> {
        let era = state.era;
        if from > state.revision {
            return Some((410, String::new()));
        }
        let until = Instant::now() + wait;
        loop {
            if state.is_down || state.era != era {
                return None;
            }
            let new: Vec<_> =
                state.events.iter().filter(|event| event.0 > from && event.1 == kind).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let mut events = Vec::new();
                for (revision, kind, name, is_deleted) in new {
                    let known = state.objects.get(&(kind.clone(), name.clone()));
                    let spec = known.map_or("null", |(_, spec)| spec.as_str());
                    let object = object(name, *revision, spec);
                    events.push(format!("{{\"deleted\":{is_deleted},\"object\":{object}}}"));
                }
                let (events, at) = (events.join(","), state.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            state =
                self.state.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn write(state: &mut StoreState, kind: &str, name: &str, spec: Option<String>) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    state.events.push((revision, kind.to_owned(), name.to_owned(), spec.is_none()));
    match spec {
        Some(spec) => state.objects.insert(key, (revision, spec)),
        None => state.objects.remove(&key),
    };
    revision
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn list(state: &StoreState, kind: &str) -> (u16, String) {
    let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
    let items: Vec<_> = of_kind.map(|((_, name), (rev, spec))| object(name, *rev, spec)).collect();
    let (items, at) = (items.join(","), state.revision);
    (200, format!("{{\"items\":[{items}],\"has-more\":false,\"at\":{at}}}"))
}

// Objects of the operator and of runners.

/// A configuration of a small deployment, with all four kinds of requests.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"query","host":"desk.example","path-prefix":"/query/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"priority":0,"service":"model","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":300}},
{{"name":"align","host":"desk.example","path-prefix":"/align/","kind":"streaming","timeout-ms":5000,"target-latency-ms":800,"priority":1,"service":"model","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":500}},
{{"name":"deliver","host":"desk.example","path-prefix":"/deliver/","kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"desk","max-attempts":1,"public":false}},
{{"name":"fetch","host":"desk.example","path-prefix":"/fetch/","kind":"idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"desk","max-attempts":2,"public":false}}],
"services":[
{{"name":"model","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":8.0,"engine":{{"slots":64,"kv-tokens":265628,"kv-bytes":18432,"models":[{{"name":"m"}}]}}}},
{{"name":"desk","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
"tenants":[{{"name":"north","api-keys":["key-north"],"priority":1}},{{"name":"south","api-keys":["key-south"],"priority":2}}]}}"#
    )
    .replace('\n', "")
}

/// The entry of a runner.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    version: &str,
    slots: u32,
    cold_ms: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"kolkata-a","version":"{version}","slots":{slots},"state":"ready","cold-remaining-ms":{cold_ms},"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
    )
}

// Gateway processes.

pub struct Gateway {
    pub name: String,
    child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
}

fn start_process(name: &str, settings: &PathBuf) -> Child {
    let log: Stdio = match std::env::var("REVIEW_LOGS") {
        Ok(folder) => {
            let path = PathBuf::from(folder).join(format!("{name}.log"));
            let log = File::options().create(true).append(true).open(path);
            log.expect("the log can be written").into()
        }
        Err(_) => Stdio::null(),
    };
    let program = std::env::var("LABURNUMVALVE").expect("the program is named");
    let child = Command::new(program)
        .args(["gateway", "--settings"])
        .arg(settings)
        .stdout(log)
        .spawn()
        .expect("the program starts");
    lock(&CHILDREN).push(child.id());
    child
}

impl Gateway {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let text = format!("GET /laburnumvalve/ready HTTP/1.1\r\nhost: {}\r\n\r\n", self.ready);
        exchange(self.ready, &text, Duration::from_secs(1)).is_ok_and(|rsp| rsp.status == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    fn await_end(&mut self) {
        let _ = self.child.wait();
        let pid = self.child.id();
        lock(&CHILDREN).retain(|child| *child != pid);
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) {
        self.child = start_process(&self.name, &self.settings);
    }
}

/// Kills gateways at the same moment and waits for their end.
pub fn kill_all(gateways: &mut [Gateway]) {
    for gateway in gateways.iter_mut() {
        let _ = gateway.child.kill();
    }
    gateways.iter_mut().for_each(Gateway::await_end);
}

/// Starts a number of gateways in one zone, with settings of a small deployment, and waits until all
/// are ready.
pub fn start_gateways(store: SocketAddr, cloud: Option<SocketAddr>, count: usize) -> Vec<Gateway> {
    start_gateways_in(&["kolkata-a"], store, cloud, count)
}

/// Starts a number of gateways that are spread over zones.
pub fn start_gateways_in(
    zones: &[&str],
    store: SocketAddr,
    cloud: Option<SocketAddr>,
    count: usize,
) -> Vec<Gateway> {
    let _ = std::fs::create_dir_all(temp_folder());
    let controls: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds: Vec<String> = controls.iter().take(3).map(SocketAddr::to_string).collect();
    let start = |(index, control): (usize, &SocketAddr)| {
        let [front, ready, internal] = std::array::from_fn(|_| free_address());
        let zone = zones[index % zones.len()];
        let name = format!("edge-{zone}-{}", index / zones.len() + 1);
        let regions = zones.iter().map(|zone| format!("zones.{zone}=bengal-east\n"));
        let regions: String = regions.collect();
        let port = internal.port();
        let mut text = format!(
            "node={name}\nrole=gateway\nmachine-class=edge\nserves=edge,control_plane\nip=127.0.0.1\n\
             zone={zone}\nregion=bengal-east\n{regions}listen.front={front}\n\
             listen.ready={ready}\nlisten.control={control}\ninternal-ports={port},{port}\nseeds={}\n\
             bootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\n\
             limits.max-fds=4100\nheartbeat-ms=1200\nbounds.contact-ms=3000\nbounds.drain-ms=2000\n\
             bounds.grace-s=8\nbounds.config-apply-ms=2000\nbounds.fail-closed=true\n\
             bounds.revoke-ms=5000\nbounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\n\
             bounds.budget-slack=58\nbounds.require-fencing=true\nbounds.lease-ms=3000\n\
             bounds.usage-window-s=5\nbounds.usage-tolerance=0.05\nbounds.usage-late-s=10\n\
             bounds.cold-overage=1.5\nbounds.cold-slack=5\nbounds.evacuate-ms=5000\n\
             platform.address={store}\nplatform.form=objects\nplatform.writes-per-s=400\n\
             platform.reads-per-s=2000\nplatform.history-s=20\n",
            seeds.join(",")
        );
        if let Some(cloud) = cloud {
            let _ =
                writeln!(text, "cloud.address={cloud}\ncloud.duties=usage_reporting,autoscaling");
        }
        let path = temp_folder().join(format!("{name}.conf"));
        std::fs::write(&path, text).expect("the settings can be written");
        let child = start_process(&name, &path);
        note(&format!("{name} started, process {}, callers at {front}", child.id()));
        Gateway { name, child, settings: path, front, ready }
    };
    let gateways: Vec<Gateway> = controls.iter().enumerate().map(start).collect();
    let until = Instant::now() + Duration::from_secs(15);
    while !gateways.iter().all(Gateway::is_ready) {
        if Instant::now() > until {
            note("the gateways did not get ready");
            finish(NOT_RUN);
        }
        sleep_ms(50);
    }
    note("all gateways are ready");
    gateways
}

/// Text of a client's request with a length.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n\
         X-Laburnumvalve-Deadline-Ms: {deadline_ms}\r\nX-Laburnumvalve-Key: key-north\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
