//! All gateways but one are killed at once while two software versions serve; callers take their streams
//! up at the one that is left.

#[path = "../lib-3/mod.rs"]
mod lib;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lib::*;

const ZONES: [&str; 3] = ["kolkata-a", "kolkata-b", "howrah-c"];
const GATEWAYS: usize = 9;
const RUNNERS_PER_VERSION: usize = 2;
/// Streams at each gateway that is killed.
const STREAMS: usize = 6;
/// New streams that begin at the gateway that is left.
const NEW_STREAMS: usize = 24;
/// Streams that are taken up from which the rule applies.
const MIN_TAKEN_UP: usize = 12;
const EVENTS: u64 = 12;
const EVENT_GAP_MS: u64 = 250;
const DEADLINE: Duration = Duration::from_secs(5);
/// Tries of a caller after a stream broke off; each waits as told by `Retry-After`.
const TRIES: usize = 3;

fn serve_runner(address: SocketAddr, id: String, version: &'static str) {
    serve(address, move |mut socket| {
        let mut r = reader(&socket);
        while let Ok(Some(req)) = read_req(&mut r) {
            let attempt = ("X-Laburnumvalve-Attempt-Id", req.id());
            if req.header("x-laburnumvalve-expect-instance") != id {
                let headers = [attempt, ("X-Laburnumvalve-Instance-Id", &id)];
                let _ = socket.write_all(response(421, &headers, "").as_bytes());
                continue;
            }
            note(&format!("runner {id} {version} runs {}", req.id()));
            if write_stream(&mut socket, &req, version).is_err() {
                return;
            }
        }
    });
}

fn write_stream(socket: &mut TcpStream, req: &Req, version: &str) -> std::io::Result<()> {
    let last: u64 = req.header("last-event-id").parse().unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Laburnumvalve-Attempt-Id: {}\r\n\
         X-Laburnumvalve-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
        req.id()
    );
    sleep_ms(40);
    socket.write_all(head.as_bytes())?;
    for event in last + 1..=EVENTS {
        let text = format!("id: {event}\ndata: {version}\n\n");
        socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        sleep_ms(EVENT_GAP_MS);
    }
    socket.write_all(b"0\r\n\r\n")
}

/// What a caller has of a stream.
#[derive(Debug, Default)]
struct Received {
    last_event: u64,
    versions: Vec<String>,
    is_complete: bool,
    status: u16,
    retry_after: f64,
}

/// Sends a stream request and reads events until the end, a break, or `stops` is set.
fn read_stream(front: SocketAddr, text: &str, got: &mut Received, stops: &AtomicBool) {
    got.status = 0;
    let Ok(mut socket) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else { return };
    let mut r = reader(&socket);
    if socket.write_all(text.as_bytes()).is_err() {
        return;
    }
    let Ok(rsp) = read_rsp_head(&mut r) else { return };
    got.status = rsp.status;
    got.retry_after = rsp.header("retry-after").parse().unwrap_or_default();
    if rsp.status != 200 {
        return;
    }
    while !stops.load(Ordering::Relaxed) {
        let Ok(chunk) = read_chunk(&mut r) else { return };
        let Some(chunk) = chunk else {
            got.is_complete = true;
            return;
        };
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                got.last_event = id.parse().unwrap_or_default();
            } else if let Some(version) = line.strip_prefix("data: ")
                && got.versions.last().is_none_or(|last| last != version)
            {
                got.versions.push(version.to_owned());
            }
        }
    }
}

fn stream_request(id: &str, left: Duration, extra: &str) -> String {
    format!(
        "POST /align/job HTTP/1.1\r\nHost: desk.example\r\nX-Laburnumvalve-Attempt-Id: {id}\r\n\
         X-Laburnumvalve-Deadline-Ms: {}\r\nX-Laburnumvalve-Key: key-north\r\n\
         X-Laburnumvalve-Model: m\r\nX-Laburnumvalve-Token-Counts: 900,60\r\n\
         X-Laburnumvalve-Prompt-Prefix: a1:100,b{id}:300,c{id}:500\r\n{extra}\
         Content-Length: 4\r\n\r\nbody",
        left.as_millis()
    )
}

#[derive(Default)]
struct Results {
    taken_up: usize,
    gone_on: usize,
    mixed: usize,
    new: usize,
    begun: usize,
}

/// A caller whose stream breaks off and who takes it up at the gateway that is left.
fn call(
    front: SocketAddr,
    left_over: SocketAddr,
    id: &str,
    stops: &AtomicBool,
    results: &Mutex<Results>,
) {
    let started = Instant::now();
    let mut got = Received::default();
    read_stream(front, &stream_request(id, DEADLINE, ""), &mut got, stops);
    if got.is_complete || got.last_event == 0 {
        note(&format!("stream {id}: not broken off after it began, {got:?}"));
        return;
    }
    let before = got.last_event;
    lock(results).taken_up += 1;
    let mut has_gone_on = false;
    for number in 1..=TRIES {
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() {
            break;
        }
        let extra = format!("Last-Event-Id: {}\r\nResumes: {id}\r\n", got.last_event);
        let again = format!("{id}-{number}");
        read_stream(
            left_over,
            &stream_request(&again, left, &extra),
            &mut got,
            &AtomicBool::new(false),
        );
        has_gone_on = got.last_event > before;
        note(&format!(
            "stream {id}: taken up after event {before} as {again}: {}, last event {}, versions {:?}",
            got.status, got.last_event, got.versions
        ));
        if has_gone_on || got.status != 503 {
            break;
        }
        std::thread::sleep(Duration::from_secs_f64(got.retry_after.min(left.as_secs_f64() / 3.0)));
    }
    let mut results = lock(results);
    results.gone_on += usize::from(has_gone_on);
    results.mixed += usize::from(got.versions.len() > 1);
}

fn main() {
    start_record();
    let store = Store::start();
    store.put("config", "main", &config(7));
    for version in ["v1", "v2"] {
        for number in 0..RUNNERS_PER_VERSION {
            let (address, id) = (free_address(), format!("i-{version}-{number}"));
            serve_runner(address, id.clone(), version);
            store.put("servers", &id, &server_entry("model", address, version, 64, 0, unix_ms()));
        }
    }
    let mut gateways = start_gateways_in(&ZONES, store.address, None, GATEWAYS);
    // Until each instance knows all others.
    sleep_ms(6_000);
    let left_over = gateways[0].front;
    let results: Arc<Mutex<Results>> = Arc::default();
    let stops = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (number, gateway) in gateways.iter().enumerate().skip(1) {
        for stream in 0..STREAMS {
            let (front, results, stops) = (gateway.front, results.clone(), stops.clone());
            callers.push(std::thread::spawn(move || {
                sleep_ms(stream as u64 * 50);
                call(front, left_over, &format!("a{number:x}{stream:x}"), &stops, &results);
            }));
        }
    }
    sleep_ms(1_200);
    if has_trouble() {
        note("all gateways but the first are killed");
        kill_all(&mut gateways[1..]);
    } else {
        note("the callers break off their streams");
        stops.store(true, Ordering::Relaxed);
    }
    for number in 0..NEW_STREAMS {
        let results = results.clone();
        callers.push(std::thread::spawn(move || {
            sleep_ms(number as u64 * 50);
            let id = format!("b{number:x}");
            let mut got = Received::default();
            let text = stream_request(&id, DEADLINE, "");
            read_stream(left_over, &text, &mut got, &AtomicBool::new(false));
            note(&format!("new stream {id}: {}, last event {}", got.status, got.last_event));
            let mut results = lock(&results);
            results.new += 1;
            results.begun += usize::from(got.last_event > 0);
        }));
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let results = lock(&results);
    let Results { taken_up, gone_on, mixed, new, begun } = *results;
    note(&format!("{taken_up} streams taken up, {gone_on} go on, {mixed} with two versions"));
    note(&format!("{new} new streams, {begun} begin"));
    if taken_up < MIN_TAKEN_UP || begun == 0 {
        finish(NOT_RUN);
    }
    let share_on = gone_on as f64 / taken_up as f64;
    let share_new = begun as f64 / new as f64;
    finish(if share_on < share_new / 2.0 || mixed > 2 { BROKEN } else { HELD });
}
