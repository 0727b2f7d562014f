//! A runner that leaves sends bytes that are no answer, without end, on a stream whose run it
//! has handed over. The platform kills a process whose memory exceeds `limits.memory-mb`.
#[path = "../lib-2/mod.rs"]
mod lib_2;

use lib_2::*;
use std::collections::{HashMap, HashSet};
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const KEY: &str = "xd9dnn2ctnfzs989anu6";
const MEMORY_MB: u32 = 110;
/// Rate at which the runner in trouble sends, over all its connections: `limits.link-mbps`.
const LINK_BITS_PER_S: f64 = 1_000e6;
/// Work of a booking at the portal: within the sheet's `work_ms`, whose longest is 220 ms.
const BOOKING_WORK: Duration = Duration::from_millis(200);
const LEAVES_AT: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(16);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-query","host":"ward.example","path-prefix":"/query/","kind":"streaming","timeout-ms":15000,"target-latency-ms":400,"priority":0,"service":"pool","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-target-ms":300},
{"name":"r-booking","host":"ward.example","path-prefix":"/booking/","kind":"non_idempotent","timeout-ms":1500,"target-latency-ms":150,"priority":2,"service":"portal","max-attempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[
{"name":"pool","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":64,"kv-tokens":202415,"kv-bytes":18432,"link-mbps":88000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m"}]}},
{"name":"portal","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// Engines, whose runs can be handed over.
#[derive(Default)]
struct Engines {
    /// Runs in progress at each engine.
    running: Mutex<HashMap<&'static str, HashSet<String>>>,
    /// Events that each run has made.
    made: Mutex<HashMap<String, u64>>,
    /// Runs that were stopped for their hand-over, with their engine.
    stopped: Mutex<HashSet<(&'static str, String)>>,
    is_troubled: AtomicBool,
    /// Until when the link of the runner in trouble is busy.
    link_busy_until: Mutex<Option<Instant>>,
}

const EVENTS: u64 = 40;
const EVENT_PERIOD: Duration = Duration::from_millis(100);

fn start_engine(record: &Record, engines: &Arc<Engines>, name: &'static str) -> SocketAddr {
    let (record, all) = (record.clone(), engines.clone());
    serve(move |mut conn| {
        while let Some(req) = conn.read_message()? {
            if req.target() == "/laburnumvalve/kv-move" {
                move_run(&record, &all, name, &mut conn, &req)?;
                continue;
            }
            let id = req.id().to_owned();
            if req
                .header("x-laburnumvalve-expect-instance")
                .is_some_and(|expected| expected != name)
            {
                let head = format!("X-Laburnumvalve-Attempt-Id: {id}\r\n");
                conn.reply("421 Misdirected Request", &head, "")?;
                continue;
            }
            let after: u64 =
                req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            record.line(format!("{name}: runs {id} after event {after}"));
            lock(&all.running).entry(name).or_default().insert(id.clone());
            let ended = answer(&record, &all, name, &mut conn, &id, after);
            lock(&all.running).entry(name).or_default().remove(&id);
            ended?;
        }
        Ok(())
    })
}

fn answer(
    record: &Record,
    all: &Engines,
    name: &'static str,
    conn: &mut Conn,
    id: &str,
    after: u64,
) -> io::Result<()> {
    conn.send(&format!(
        "HTTP/1.1 200 OK\r\nX-Laburnumvalve-Attempt-Id: {id}\r\nX-Laburnumvalve-Response-Seal: seal\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ))?;
    for event in after + 1..=EVENTS {
        sleep(EVENT_PERIOD);
        if lock(&all.stopped).contains(&(name, id.to_owned())) {
            if all.is_troubled.load(Ordering::SeqCst) {
                return send_without_end(record, all, name, conn, id);
            }
            record.line(format!("{name}: closes the stream of {id} without its end"));
            return Err(io::Error::other("handed over"));
        }
        let text = format!("id: {event}\ndata: {id} {event}\n\n");
        conn.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
        lock(&all.made).insert(id.to_owned(), event);
    }
    conn.send("0\r\n\r\n")
}

/// Waits until the runner's link, of `link-mbps`, is free for some bytes.
fn wait_for_link(busy_until: &Mutex<Option<Instant>>, bytes: usize) {
    let now = Instant::now();
    let mut busy_until = lock(busy_until);
    let starts_at = busy_until.map_or(now, |until| until.max(now));
    let ends_at = starts_at + Duration::from_secs_f64(bytes as f64 * 8.0 / LINK_BITS_PER_S);
    *busy_until = Some(ends_at);
    drop(busy_until);
    sleep(ends_at.saturating_duration_since(Instant::now()));
}

/// Sends bytes that are no event until the caller closes.
fn send_without_end(
    record: &Record,
    all: &Engines,
    name: &str,
    conn: &mut Conn,
    id: &str,
) -> io::Result<()> {
    record.line(format!("{name}: sends bytes without end on the stream of {id}"));
    let text = "<p>worker failed</p>\n\n".repeat(1_000);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    let mut sent = 0;
    loop {
        wait_for_link(&all.link_busy_until, chunk.len());
        if let Err(error) = conn.socket.write_all(chunk.as_bytes()) {
            record.line(format!("{name}: {id} closed by the caller after {} KB", sent / 1024));
            return Err(error);
        }
        sent += text.len();
    }
}

fn move_run(
    record: &Record,
    all: &Engines,
    name: &'static str,
    conn: &mut Conn,
    req: &Message,
) -> io::Result<()> {
    let body = req.text();
    let id = text_field(&body, "id").unwrap_or_default();
    let is_last = body.contains("\"last\":true");
    let is_running = lock(&all.running).get(name).is_some_and(|runs| runs.contains(&id));
    record.line(format!("{name}: kv-move of {id}, last {is_last}, running {is_running}"));
    if !is_running {
        return conn.reply("404 Not Found", "", "{}");
    }
    if is_last {
        lock(&all.stopped).insert((name, id.clone()));
    }
    let made = lock(&all.made).get(&id).copied().unwrap_or(0);
    conn.reply("200 OK", "", &format!("{{\"handle\":\"{id}-copy\",\"created\":{made}}}"))
}

#[derive(Default)]
struct PortalRuns(Mutex<HashSet<String>>);

fn start_portal(record: &Record, name: &'static str, runs: Arc<PortalRuns>) -> SocketAddr {
    let record = record.clone();
    serve(move |mut conn| {
        while let Some(req) = conn.read_message()? {
            let id = req.id().to_owned();
            let head = format!("X-Laburnumvalve-Attempt-Id: {id}\r\n");
            if req
                .header("x-laburnumvalve-expect-instance")
                .is_some_and(|expected| expected != name)
            {
                conn.reply("421 Misdirected Request", &head, "")?;
                continue;
            }
            record.line(format!("{name}: runs {id}"));
            lock(&runs.0).insert(id.clone());
            sleep(BOOKING_WORK);
            let head = format!("{head}X-Laburnumvalve-Response-Seal: seal\r\n");
            conn.reply("200 OK", &head, &format!("booked {id}"))?;
        }
        Ok(())
    })
}

/// Sends bookings one after another on a kept connection. Returns the IDs of those that were sent
/// on it after an earlier answer and whose connection was closed without an answer.
fn book(record: &Record, front: SocketAddr, number: usize, until: Instant) -> Vec<String> {
    let mut closed = Vec::new();
    let mut conn: Option<Conn> = None;
    let mut is_kept = false;
    let mut count = 0;
    sleep(Duration::from_millis(19 * number as u64));
    while Instant::now() < until {
        let started = Instant::now();
        if conn.is_none() {
            is_kept = false;
            conn = Conn::connect(front, Duration::from_secs(1)).ok();
        }
        let Some(open) = &mut conn else {
            sleep(Duration::from_millis(100));
            continue;
        };
        count += 1;
        let id = format!("booking-{number}-{count}");
        let text = format!(
            "POST /booking/2f HTTP/1.1\r\nHost: ward.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n\
             X-Laburnumvalve-Deadline-Ms: 1500\r\nX-Laburnumvalve-Key: {KEY}\r\nContent-Length: 4\r\n\r\nbook"
        );
        let end = exchange(open, &text, Duration::from_millis(2_000), |_| {});
        let how = match &end {
            End::Answer(rsp) => format!("{} {}", rsp.status(), rsp.text()),
            other => format!("{other:?}"),
        };
        record.line(format!("client: {id} after {} ms: {how}", started.elapsed().as_millis()));
        match end {
            End::Answer(_) => is_kept = true,
            End::Closed(_) => {
                if is_kept {
                    closed.push(id);
                }
                conn = None;
            }
            _ => conn = None,
        }
        sleep(Duration::from_millis(100));
    }
    closed
}

fn query(record: &Record, front: SocketAddr, number: usize) {
    let id = format!("query-{number}");
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else { return };
    let text = format!(
        "POST /query/2f HTTP/1.1\r\nHost: ward.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n\
         X-Laburnumvalve-Model: m\r\nX-Laburnumvalve-Token-Counts: 826,200\r\n\
         X-Laburnumvalve-Prompt-Prefix: {:x}:198,{:x}:628\r\nX-Laburnumvalve-Deadline-Ms: 15000\r\n\
         X-Laburnumvalve-Key: {KEY}\r\nContent-Length: 5\r\n\r\nhello",
        0x5c1e_07a2_u64 + number as u64 % 8,
        0x1000 + number
    );
    let started = Instant::now();
    let how = match exchange(&mut conn, &text, Duration::from_millis(15_500), |_| {}) {
        End::Answer(rsp) => format!("{} with {} bytes", rsp.status(), rsp.body.len()),
        End::Broken(status, bytes, why) => {
            format!("{status}, broken after {} bytes: {why}", bytes.len())
        }
        other => format!("{other:?}"),
    };
    record.line(format!("client: {id} after {} ms: {how}", started.elapsed().as_millis()));
}

fn main() {
    let record = Record::create("review/8/record.txt");
    let dir = temp_dir("8");
    let (store, store_address) = Store::start();
    let duties = start_duties(&record);
    let engines = Arc::new(Engines::default());
    let runs = Arc::new(PortalRuns::default());
    store.put("config", "main", CONFIG.replace('\n', ""));
    let names = ["engine-1", "engine-2", "engine-3"];
    let addresses = names.map(|name| start_engine(&record, &engines, name));
    let entry = |at: usize, state| server_entry("pool", addresses[at], "northvale-a", 64, state);
    for (at, name) in names.into_iter().enumerate() {
        store.put("servers", name, entry(at, "ready"));
    }
    for name in ["portal-1", "portal-2", "portal-3", "portal-4"] {
        let address = start_portal(&record, name, runs.clone());
        store.put("servers", name, server_entry("portal", address, "northvale-a", 6, "ready"));
    }
    let place = Place::new("edge-northvale-a-1", "northvale-a");
    let mut gateway =
        Gateway::start(&dir, &place, &[place.clone()], store_address, duties, MEMORY_MB);
    if !gateway.wait_ready() {
        record.say("the gateway doesn't get ready");
        drop(gateway);
        std::process::exit(COULD_NOT_RUN);
    }
    let started = Instant::now();
    let until = started + END_AT;
    let front = gateway.front;
    let bookings: Vec<_> = (0..16)
        .map(|number| {
            let record = record.clone();
            spawn(move || book(&record, front, number, until))
        })
        .collect();
    let mut next_query = 0;
    let mut has_left = false;
    let (mut most_mb, mut kills) = (0.0_f64, 0);
    while Instant::now() < until {
        if started.elapsed() > Duration::from_millis(200 * next_query as u64) {
            let (record, number) = (record.clone(), next_query);
            spawn(move || query(&record, front, number));
            next_query += 1;
        }
        if !has_left && started.elapsed() > LEAVES_AT {
            has_left = true;
            let busy = (0..3)
                .max_by_key(|at| lock(&engines.running).get(names[*at]).map_or(0, HashSet::len));
            let at = busy.unwrap_or(0);
            engines.is_troubled.store(has_trouble(), Ordering::SeqCst);
            record.line(format!("{} reports that it is draining", names[at]));
            store.put("servers", names[at], entry(at, "draining"));
        }
        let mb = resident_mb(gateway.child.id());
        most_mb = most_mb.max(mb);
        if mb > f64::from(MEMORY_MB) {
            kills += 1;
            record.line(format!(
                "platform: kills the gateway, whose memory is {mb:.0} MB of {MEMORY_MB}"
            ));
            let _ = gateway.child.kill();
            gateway.restart();
        }
        sleep(Duration::from_millis(10));
    }
    let closed: Vec<String> =
        bookings.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    let ran = lock(&runs.0);
    let lost: Vec<&String> = closed.iter().filter(|id| ran.contains(*id)).collect();
    record.say(format!(
        "memory at most {most_mb:.0} MB of {MEMORY_MB}, killed {kills} times; bookings on kept connections \
         that ran at a sound runner and whose connection was closed without an answer: {} {lost:?}",
        lost.len()
    ));
    // LOST: more than three times.
    let is_broken = lost.len() > 3;
    record.say(if is_broken { "LOST is broken" } else { "LOST held" });
    drop(gateway);
    let _ = std::fs::remove_dir_all(dir);
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
