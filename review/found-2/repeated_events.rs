//! Runners in trouble answer resumed streams with an event that the client has already, without
//! end. Requests of another service, whose runner is sound, pass through the same process.
#[path = "../lib-2/mod.rs"]
mod lib_2;

use lib_2::*;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// The operator's `timeout-ms` of the route of lookups, which is the clients' deadline too.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after `timeout-ms` by which the rule wants the final answer.
const LATE: Duration = Duration::from_millis(500);
/// Engines, and those of them that are in trouble.
const ENGINES: usize = 9;
const IN_TROUBLE: usize = 5;
/// Time between two streams: 12.9 a second.
const STREAM_PERIOD: Duration = Duration::from_millis(78);
/// Clients with one lookup each two seconds: 14 a second.
const LOOKUP_CLIENTS: usize = 28;
const TROUBLE_AT: Duration = Duration::from_secs(5);
const TROUBLE_TIME: Duration = Duration::from_secs(6);
const END_AT: Duration = Duration::from_secs(20);
/// Event that the clients of resumed streams have already.
const RESUMED_AFTER: u64 = 3;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-digest","host":"ward.example","path-prefix":"/digest/","kind":"streaming","timeout-ms":5000,"target-latency-ms":800,"priority":1,"service":"pool","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":500},
{"name":"r-lookup","host":"ward.example","path-prefix":"/lookup/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":150,"priority":2,"service":"portal","max-attempts":2,"public":false,"sticky":false,"resumable":false}],
"services":[
{"name":"pool","health-path":"/healthz","max-connections":370,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"engine":{"slots":64,"kv-tokens":202415}},
{"name":"portal","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// One engine of the pool.
#[derive(Default)]
struct Engine {
    is_troubled: AtomicBool,
    runs: AtomicUsize,
}

fn start_engine(record: &Record, name: String, engine: Arc<Engine>) -> SocketAddr {
    let record = record.clone();
    serve(move |mut conn| {
        while let Some(req) = conn.read_message()? {
            let id = req.id().to_owned();
            if req
                .header("x-laburnumvalve-expect-instance")
                .is_some_and(|expected| expected != name)
            {
                let head = format!("X-Laburnumvalve-Attempt-Id: {id}\r\n");
                conn.reply("421 Misdirected Request", &head, "")?;
                continue;
            }
            engine.runs.fetch_add(1, Ordering::SeqCst);
            let after: u64 =
                req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
            record.line(format!("{name}: runs {id} after event {after}"));
            conn.send(&format!(
                "HTTP/1.1 200 OK\r\nX-Laburnumvalve-Attempt-Id: {id}\r\nX-Laburnumvalve-Response-Seal: seal\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            ))?;
            if after > 0 && engine.is_troubled.load(Ordering::SeqCst) {
                return repeat_without_end(&record, &name, &mut conn, &id, after);
            }
            for event in after + 1..=after + 10 {
                sleep(Duration::from_millis(50));
                let text = format!("id: {event}\ndata: {id} {event}\n\n");
                conn.send(&format!("{:x}\r\n{text}\r\n", text.len()))?;
            }
            conn.send("0\r\n\r\n")?;
        }
        Ok(())
    })
}

/// Sends the event that the client has already until the caller closes.
fn repeat_without_end(
    record: &Record,
    name: &str,
    conn: &mut Conn,
    id: &str,
    event: u64,
) -> io::Result<()> {
    record.line(format!("{name}: sends event {event} of {id} without end"));
    let text = format!("id:{event}\n\n").repeat(10_000);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    let mut sent = 0;
    loop {
        if let Err(error) = conn.socket.write_all(chunk.as_bytes()) {
            record.line(format!("{name}: {id} closed by the caller after {} KB", sent / 1024));
            return Err(error);
        }
        sent += chunk.len();
    }
}

fn start_portal(record: &Record, name: &'static str) -> SocketAddr {
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
            sleep(Duration::from_millis(30));
            let head = format!("{head}X-Laburnumvalve-Response-Seal: seal\r\n");
            conn.reply("200 OK", &head, &format!("served {id}"))?;
        }
        Ok(())
    })
}

#[derive(Default)]
struct Seen {
    lookups: usize,
    /// Lookups that lasted longer than `timeout-ms`.
    long: usize,
    /// Of those, the ones without a final answer half a second later.
    unanswered: usize,
}

fn look_up(record: &Record, front: SocketAddr, number: usize, seen: &Mutex<Seen>, until: Instant) {
    let mut conn: Option<Conn> = None;
    let mut count = 0;
    sleep(Duration::from_millis(71 * number as u64));
    while Instant::now() < until {
        count += 1;
        let id = format!("lookup-{number}-{count}");
        if conn.is_none() {
            conn = Conn::connect(front, Duration::from_secs(1)).ok();
        }
        let Some(open) = &mut conn else { continue };
        let text = format!(
            "GET /lookup/2f HTTP/1.1\r\nHost: ward.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n\
             X-Laburnumvalve-Deadline-Ms: 1500\r\nX-Laburnumvalve-Key: {KEY}\r\n\r\n"
        );
        let started = Instant::now();
        let end = exchange(open, &text, LOOKUP_TIMEOUT + LATE, |_| {});
        let took = started.elapsed();
        let how = match &end {
            End::Answer(rsp) => format!("{} {}", rsp.status(), rsp.text()),
            other => format!("{other:?}"),
        };
        record.line(format!("client: {id} after {} ms: {how}", took.as_millis()));
        let mut seen = lock(seen);
        seen.lookups += 1;
        seen.long += usize::from(took > LOOKUP_TIMEOUT);
        seen.unanswered += usize::from(matches!(end, End::TimedOut));
        drop(seen);
        if !matches!(end, End::Answer(_)) {
            conn = None;
        }
        sleep(Duration::from_millis(2_000).saturating_sub(took));
    }
}

/// Requests the rest of a stream, as after a broken connection.
fn stream(record: &Record, front: SocketAddr, number: usize) {
    let id = format!("digest-{number}");
    let resumed = format!("Last-Event-Id: {RESUMED_AFTER}\r\n");
    let Ok(mut conn) = Conn::connect(front, Duration::from_secs(1)) else { return };
    let text = format!(
        "POST /digest/2f HTTP/1.1\r\nHost: ward.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n{resumed}\
         X-Laburnumvalve-Model: m\r\nX-Laburnumvalve-Token-Counts: 9190,50\r\n\
         X-Laburnumvalve-Prompt-Prefix: {:x}:6300,{:x}:2890\r\nX-Laburnumvalve-Deadline-Ms: 5000\r\n\
         X-Laburnumvalve-Key: {KEY}\r\nContent-Length: 5\r\n\r\nhello",
        0x5c1e_07a2 + number % 60,
        0x1000 + number
    );
    let started = Instant::now();
    let how = match exchange(&mut conn, &text, Duration::from_millis(5_500), |_| {}) {
        End::Answer(rsp) => format!("{} with {} bytes", rsp.status(), rsp.body.len()),
        End::Broken(status, bytes, why) => {
            format!("{status}, broken after {} bytes: {why}", bytes.len())
        }
        other => format!("{other:?}"),
    };
    record.line(format!("client: {id} after {} ms: {how}", started.elapsed().as_millis()));
}

fn main() {
    let record = Record::create("target/review-2/repeated_events.txt");
    let dir = temp_dir("repeated");
    let (store, store_address) = Store::start();
    let duties = start_duties(&record);
    store.put("config", "main", CONFIG.replace('\n', ""));
    let engines: Vec<Arc<Engine>> = (0..ENGINES).map(|_| Arc::default()).collect();
    for (at, engine) in engines.iter().enumerate() {
        let name = format!("engine-{}", at + 1);
        let address = start_engine(&record, name.clone(), engine.clone());
        store.put("servers", &name, server_entry("pool", address, "northvale-a", 64, "ready"));
    }
    let portal = start_portal(&record, "portal-1");
    store.put("servers", "portal-1", server_entry("portal", portal, "northvale-a", 6, "ready"));
    let place = Place::new("edge-northvale-a-1", "northvale-a");
    let gateway = Gateway::start(&dir, &place, &[place.clone()], store_address, duties, 110);
    if !gateway.wait_ready() {
        record.say("the gateway doesn't get ready");
        drop(gateway);
        std::process::exit(COULD_NOT_RUN);
    }
    let started = Instant::now();
    let until = started + END_AT;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let front = gateway.front;
    let clients: Vec<_> = (0..LOOKUP_CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            spawn(move || look_up(&record, front, number, &seen, until))
        })
        .collect();
    let missed = Arc::new(AtomicUsize::new(0));
    let mut has_begun = false;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        if has_trouble() && !has_begun && started.elapsed() > TROUBLE_AT {
            has_begun = true;
            let mut order: Vec<usize> = (0..ENGINES).collect();
            order.sort_by_key(|at| std::cmp::Reverse(engines[*at].runs.load(Ordering::SeqCst)));
            for at in order.into_iter().take(IN_TROUBLE) {
                record.line(format!("engine-{} is in trouble from now on", at + 1));
                engines[at].is_troubled.store(true, Ordering::SeqCst);
            }
        }
        if started.elapsed() > TROUBLE_AT + TROUBLE_TIME {
            engines.iter().for_each(|engine| engine.is_troubled.store(false, Ordering::SeqCst));
        }
        let record = record.clone();
        spawn(move || stream(&record, front, number));
        if number % 13 == 0 {
            let (missed, address) = (missed.clone(), gateway.ready);
            spawn(move || missed.fetch_add(usize::from(!is_ready(address)), Ordering::SeqCst));
        }
        sleep(STREAM_PERIOD);
    }
    for client in clients {
        let _ = client.join();
    }
    let Seen { lookups, long, unanswered } = *lock(&seen);
    record.say(format!(
        "lookups {lookups}, longer than timeout-ms {long}, of these without a final answer 0.5 s later {unanswered}; \
         ready checks missed {}",
        missed.load(Ordering::SeqCst),
    ));
    // CONFIG: of those that last longer than timeout-ms, eight or more and over a quarter.
    let is_broken = unanswered >= 8 && unanswered * 4 > long;
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG held" });
    drop(gateway);
    let _ = std::fs::remove_dir_all(dir);
    std::process::exit(if is_broken { BROKEN } else { HELD });
}
