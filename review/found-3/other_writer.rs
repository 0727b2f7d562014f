//! Another writer's entries name the addresses of runners while all gateways are killed and come back.

#[path = "../lib-3/mod.rs"]
mod lib;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lib::*;

const RUNNERS: usize = 3;
const GATEWAYS: usize = 3;
/// Time for which the gateways are down.
const DOWN_MS: u64 = 1_000;
/// Time of silence after which the platform removes an entry: three heartbeats.
const LAPSE_MS: u64 = 3_600;
const RECOVERY_MS: u64 = 12_000;
/// Length of the periods in which served requests are counted.
const COUNTED_MS: u64 = 8_000;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

impl Counts {
    /// Returns the requests sent and served since the last call.
    fn take(&self) -> (u64, u64) {
        (self.sent.swap(0, Ordering::Relaxed), self.served.swap(0, Ordering::Relaxed))
    }
}

fn serve_runner(address: SocketAddr, id: String) {
    serve(address, move |mut socket| {
        let mut r = reader(&socket);
        while let Ok(Some(req)) = read_req(&mut r) {
            let attempt = ("X-Laburnumvalve-Attempt-Id", req.id());
            let text = if req.header("x-laburnumvalve-expect-instance") == id {
                sleep_ms(15);
                response(200, &[attempt, ("X-Laburnumvalve-Response-Seal", "seal")], "served")
            } else {
                response(421, &[attempt, ("X-Laburnumvalve-Instance-Id", &id)], "")
            };
            if socket.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn send_requests(front: SocketAddr, number: usize, counts: Arc<Counts>, last: Arc<Mutex<String>>) {
    for count in 0_u64.. {
        let id = format!("{number:x}{count:07x}");
        let path = if count % 2 == 0 { "/fetch/sheet" } else { "/deliver/sheet" };
        let method = if count % 2 == 0 { "GET" } else { "POST" };
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let rsp = exchange(front, &request(method, path, &id, 1_000, ""), Duration::from_secs(2));
        let outcome = match rsp {
            Ok(rsp) => rsp.status.to_string(),
            Err(error) => error.to_string(),
        };
        if outcome == "200" {
            counts.served.fetch_add(1, Ordering::Relaxed);
        }
        let mut last = lock(&last);
        if *last != outcome {
            note(&format!("caller {number}: {id} gets {outcome}; {} before", *last));
            *last = outcome;
        }
        drop(last);
        sleep_ms(70);
    }
}

fn main() {
    start_record();
    let store = Store::start();
    store.put("config", "main", &config(7));
    let addresses: Vec<SocketAddr> = (0..RUNNERS).map(|_| free_address()).collect();
    for (number, address) in addresses.iter().enumerate() {
        let id = format!("i-desk-{number}");
        serve_runner(*address, id.clone());
        store.put("servers", &id, &server_entry("desk", *address, "v1", 6, 0, unix_ms()));
    }
    let mut gateways = start_gateways(store.address, None, GATEWAYS);
    let counts = Arc::new(Counts::default());
    for (number, gateway) in gateways.iter().enumerate() {
        let (front, counts) = (gateway.front, counts.clone());
        std::thread::spawn(move || send_requests(front, number, counts, Arc::default()));
    }
    sleep_ms(1_500);
    counts.take();
    sleep_ms(COUNTED_MS);
    let (sent_before, served_before) = counts.take();
    note(&format!("before the fault: {served_before} of {sent_before} requests served"));
    note("all gateways are killed");
    kill_all(&mut gateways);
    if has_trouble() {
        for (number, address) in addresses.iter().enumerate() {
            // Without `version`, `cold-remaining-ms`, `sequence`, `born` and the model.
            let entry = format!(
                r#"{{"service":"desk","address":"{address}","zone":"kolkata-a","slots":6,"state":"ready"}}"#
            );
            store.put("servers", &format!("inventory-{number}"), &entry);
            note(&format!("another writer's entry inventory-{number}: {entry}"));
        }
    }
    sleep_ms(DOWN_MS);
    gateways.iter_mut().for_each(Gateway::restart);
    note("all gateways are started again");
    sleep_ms(LAPSE_MS - DOWN_MS);
    if has_trouble() {
        (0..RUNNERS).for_each(|number| store.delete("servers", &format!("inventory-{number}")));
        note("the platform has removed the other writer's entries, which were not renewed");
    }
    sleep_ms(RECOVERY_MS + DOWN_MS - LAPSE_MS);
    counts.take();
    sleep_ms(COUNTED_MS);
    let (sent_after, served_after) = counts.take();
    note(&format!(
        "later than {RECOVERY_MS} ms after the start: {served_after} of {sent_after} requests served"
    ));
    if served_before * 4 < sent_before || sent_after < 50 {
        finish(NOT_RUN);
    }
    finish(if served_after * 4 < sent_after { BROKEN } else { HELD });
}
