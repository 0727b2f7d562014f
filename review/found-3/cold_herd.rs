//! A gateway wakes from a freeze while the runners of a service are cold.

#[path = "../lib-3/mod.rs"]
mod lib;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lib::*;

const RUNNERS: usize = 3;
const GATEWAYS: usize = 3;
/// Time from one request to the next at each gateway.
const REQUEST_PERIOD_MS: u64 = 25;
/// Time for which the runners are away, and then cold.
const AWAY_MS: u64 = 2_000;
const COLD_MS: u64 = 3_000;
/// The freeze, from the return of the runners.
const FREEZE_AFTER_MS: u64 = 700;
const FREEZE_MS: u64 = 1_500;
/// `cold-per-s` x `cold-overage` + `cold-slack`.
const ALLOWED: usize = 17;
/// Rate from which a cold runner crashes.
const CRASH_RATE: usize = 24;
const EVENTS: u64 = 10;

struct Runner {
    number: usize,
    address: SocketAddr,
    id: Mutex<String>,
    is_up: AtomicBool,
    is_listening: AtomicBool,
    sockets: Mutex<Vec<TcpStream>>,
    /// Arrivals since the start, in ms of the run.
    arrivals: Mutex<Vec<u64>>,
    cold_from: AtomicU64,
    has_crashed: AtomicBool,
}

impl Runner {
    fn start(self: &Arc<Self>, store: &Store, name: &str, cold_ms: u64) {
        *lock(&self.id) = name.to_owned();
        lock(&self.arrivals).clear();
        self.cold_from.store(if cold_ms > 0 { now_ms() } else { 0 }, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address).expect("the address is free");
        listener.set_nonblocking(true).expect("the listener can be polled");
        self.is_up.store(true, Ordering::SeqCst);
        self.is_listening.store(true, Ordering::SeqCst);
        let runner = self.clone();
        std::thread::spawn(move || {
            while runner.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        if let Ok(copy) = socket.try_clone() {
                            lock(&runner.sockets).push(copy);
                        }
                        let (runner, id) = (runner.clone(), lock(&runner.id).clone());
                        std::thread::spawn(move || runner.serve(socket, &id));
                    }
                    Err(_) => std::thread::sleep(Duration::from_micros(500)),
                }
            }
            drop(listener);
            runner.is_listening.store(false, Ordering::SeqCst);
        });
        let entry = server_entry("model", self.address, "v1", 64, cold_ms, unix_ms());
        store.put("servers", name, &entry);
    }

    fn stop(&self) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        while self.is_listening.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_micros(200));
        }
        for socket in lock(&self.sockets).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Records an arrival; returns whether the runner is cold and crashes.
    fn arrive(&self, id: &str, attempt: &str) -> bool {
        let (now, from) = (now_ms(), self.cold_from.load(Ordering::SeqCst));
        let is_cold = from > 0 && now < from + COLD_MS;
        if !is_cold {
            return false;
        }
        let mut arrivals = lock(&self.arrivals);
        arrivals.push(now);
        let last_second = arrivals.iter().filter(|at| **at + 1_000 > now).count();
        note(&format!("cold runner {id} gets {attempt}, {last_second} in the last second"));
        last_second > CRASH_RATE
    }

    fn serve(self: Arc<Self>, mut socket: TcpStream, id: &str) {
        let mut r = reader(&socket);
        while let Ok(Some(req)) = read_req(&mut r) {
            let attempt = ("X-Laburnumvalve-Attempt-Id", req.id());
            if req.header("x-laburnumvalve-expect-instance") != id {
                let headers = [attempt, ("X-Laburnumvalve-Instance-Id", id)];
                let _ = socket.write_all(response(421, &headers, "").as_bytes());
                continue;
            }
            if self.arrive(id, req.id()) {
                if !self.has_crashed.swap(true, Ordering::SeqCst) {
                    note(&format!("cold runner {id} crashes of the rate"));
                }
                self.stop();
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                 X-Laburnumvalve-Attempt-Id: {}\r\nX-Laburnumvalve-Response-Seal: seal\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                req.id()
            );
            if write_stream(&mut socket, &head).is_err() {
                return;
            }
        }
    }
}

fn write_stream(socket: &mut TcpStream, head: &str) -> std::io::Result<()> {
    sleep_ms(22);
    socket.write_all(head.as_bytes())?;
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: text {event}\n\n");
        socket.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        sleep_ms(25);
    }
    socket.write_all(b"0\r\n\r\n")
}

/// Largest number of arrivals within a second.
fn most_in_a_second(arrivals: &[u64]) -> usize {
    let within =
        |first: u64| arrivals.iter().filter(|at| (first..first + 1_000).contains(*at)).count();
    arrivals.iter().map(|first| within(*first)).max().unwrap_or_default()
}

fn main() {
    start_record();
    let store = Store::start();
    store.put("config", "main", &config(7));
    let new_runner = |number| {
        Arc::new(Runner {
            number,
            address: free_address(),
            id: Mutex::default(),
            is_up: AtomicBool::new(false),
            is_listening: AtomicBool::new(false),
            sockets: Mutex::default(),
            arrivals: Mutex::default(),
            cold_from: AtomicU64::new(0),
            has_crashed: AtomicBool::new(false),
        })
    };
    let runners: Vec<Arc<Runner>> = (1..=RUNNERS).map(new_runner).collect();
    for runner in &runners {
        runner.start(&store, &format!("i-{}-first", runner.number), 0);
    }
    let gateways = start_gateways(store.address, None, GATEWAYS);
    sleep_ms(1_500);
    let counts = Arc::new((AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)));
    for (number, gateway) in gateways.iter().enumerate() {
        let (front, counts) = (gateway.front, counts.clone());
        std::thread::spawn(move || {
            for count in 0_u64.. {
                let counts = counts.clone();
                std::thread::spawn(move || {
                    let id = format!("{number:x}{count:07x}");
                    let text = format!(
                        "POST /query/job HTTP/1.1\r\nHost: desk.example\r\n\
                         X-Laburnumvalve-Attempt-Id: {id}\r\nX-Laburnumvalve-Deadline-Ms: 15000\r\n\
                         X-Laburnumvalve-Key: key-north\r\nX-Laburnumvalve-Model: m\r\n\
                         X-Laburnumvalve-Token-Counts: 826,50\r\n\
                         X-Laburnumvalve-Prompt-Prefix: a{:x}:119,b{:x}:79,c{id}:628\r\n\
                         Content-Length: 4\r\n\r\nbody",
                        count % 7,
                        count % 31,
                    );
                    // A client of this route gives up after 2.4 s without an event.
                    let counter = match exchange(front, &text, Duration::from_millis(2_400)) {
                        Ok(rsp) if rsp.status == 200 => &counts.0,
                        Ok(rsp) if rsp.status == 503 => &counts.1,
                        _ => &counts.2,
                    };
                    counter.fetch_add(1, Ordering::Relaxed);
                });
                sleep_ms(REQUEST_PERIOD_MS);
            }
        });
    }
    sleep_ms(3_000);
    note("all runners go down");
    runners.iter().for_each(|runner| runner.stop());
    sleep_ms(AWAY_MS);
    for runner in &runners {
        store.delete("servers", &format!("i-{}-first", runner.number));
        runner.start(&store, &format!("i-{}-second", runner.number), COLD_MS);
    }
    note("all runners are back, and cold");
    sleep_ms(FREEZE_AFTER_MS);
    if has_trouble() {
        note(&format!("{} freezes", gateways[0].name));
        signal(gateways[0].pid(), "STOP");
    }
    sleep_ms(FREEZE_MS);
    if has_trouble() {
        note(&format!("{} wakes", gateways[0].name));
        signal(gateways[0].pid(), "CONT");
    }
    sleep_ms(3_000);
    let (served, refused, lost) = (
        counts.0.load(Ordering::Relaxed),
        counts.1.load(Ordering::Relaxed),
        counts.2.load(Ordering::Relaxed),
    );
    note(&format!("{served} streams served, {refused} refused with 503, {lost} failed"));
    let mut most = 0;
    for runner in &runners {
        let of_runner = most_in_a_second(&lock(&runner.arrivals));
        note(&format!("{}: at most {of_runner} requests in a second", lock(&runner.id)));
        most = most.max(of_runner);
    }
    note(&format!("{most} requests reached a cold runner in a second; {ALLOWED} may"));
    if served < 100 || most == 0 {
        finish(NOT_RUN);
    }
    finish(if most > ALLOWED { BROKEN } else { HELD });
}
