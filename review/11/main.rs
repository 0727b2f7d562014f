//! A drill of the store while the platform's answers to usage reports are lost.

#[path = "../lib-3/mod.rs"]
mod lib;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lib::*;

/// Length of a usage window, as in the settings.
const WINDOW_MS: u64 = 5_000;
/// Number of drills.
const DRILLS: u64 = 4;
/// Windows from one drill to the next.
const WINDOWS_PER_DRILL: u64 = 4;
/// Times after the end of a window.
const COPY_MS: u64 = 200;
const CUT_FROM_MS: u64 = 2_600;
const CUT_UNTIL_MS: u64 = 7_000;
const AWAY_FROM_MS: u64 = 4_000;
const AWAY_UNTIL_MS: u64 = 4_800;

/// The platform's interface for duties.
#[derive(Default)]
struct Cloud {
    /// Accepted counts of each window, with the holder and its fencing token.
    accepted: BTreeMap<String, (String, String)>,
    highest_fence: u64,
    is_cut: bool,
    contradictions: Vec<String>,
    reports: u64,
}

fn sorted(counts: &str) -> String {
    let mut all = members(counts);
    all.sort();
    format!("{all:?}")
}

fn answer_report(cloud: &Mutex<Cloud>, req: &Req) -> u16 {
    let body = String::from_utf8_lossy(&req.body).into_owned();
    let window = member(&body, "window-id").unwrap_or_default();
    let counts = sorted(&member(&body, "counts").unwrap_or_default());
    let holder = req.header("x-laburnumvalve-duty-holder").to_owned();
    let fence: u64 = req.header("x-laburnumvalve-fencing-token").parse().unwrap_or_default();
    let mut cloud = lock(cloud);
    if fence < cloud.highest_fence {
        note(&format!("cloud: window {window} from {holder}, fence {fence}: 409, a lower fence"));
        return 409;
    }
    cloud.highest_fence = fence;
    cloud.reports += 1;
    let answered = if cloud.is_cut { "accepted, the answer is lost" } else { "accepted" };
    note(&format!("cloud: window {window} {counts} from {holder}, fence {fence}: {answered}"));
    match cloud.accepted.get(&window).cloned() {
        None => {
            cloud.accepted.insert(window, (counts, holder));
        }
        Some((former, by)) if former != counts => {
            let text = format!("window {window}: {former} by {by}, then {counts} by {holder}");
            note(&format!("TWO REPORTS: {text}"));
            cloud.contradictions.push(text);
        }
        Some(_) => {}
    }
    200
}

fn serve_cloud(address: SocketAddr, cloud: Arc<Mutex<Cloud>>) {
    serve(address, move |mut socket| {
        let mut r = reader(&socket);
        while let Ok(Some(req)) = read_req(&mut r) {
            let status = if req.target == "/usage" { answer_report(&cloud, &req) } else { 200 };
            if lock(&cloud).is_cut {
                // Nothing more comes on this connection.
                sleep_ms(20_000);
                return;
            }
            if socket.write_all(response(status, &[], "").as_bytes()).is_err() {
                return;
            }
        }
    });
}

fn serve_runner(address: SocketAddr) {
    serve(address, |mut socket| {
        let mut r = reader(&socket);
        while let Ok(Some(req)) = read_req(&mut r) {
            sleep_ms(15);
            let headers = [
                ("X-Laburnumvalve-Attempt-Id", req.id()),
                ("X-Laburnumvalve-Response-Seal", "seal"),
            ];
            if socket.write_all(response(200, &headers, "served").as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// Sends a request every 60 ms to each gateway.
fn send_requests(front: SocketAddr, number: usize, served: Arc<AtomicU64>) {
    let mut count = 0;
    loop {
        count += 1;
        let id = format!("{number:x}{count:06x}");
        let req = request("GET", "/fetch/sheet", &id, 1_000, "");
        let rsp = exchange(front, &req, Duration::from_secs(2));
        if rsp.is_ok_and(|rsp| rsp.status == 200) {
            served.fetch_add(1, Ordering::Relaxed);
        }
        sleep_ms(60);
    }
}

fn wait_until(unix: u64) {
    sleep_ms(unix.saturating_sub(unix_ms()));
}

fn main() {
    start_record();
    let store = Store::start();
    store.put("config", "main", &config(7));
    let runner = free_address();
    serve_runner(runner);
    store.put("servers", "i-desk-1", &server_entry("desk", runner, "v1", 6, 0, unix_ms()));
    let cloud = Arc::new(Mutex::new(Cloud::default()));
    let cloud_address = free_address();
    serve_cloud(cloud_address, cloud.clone());
    let gateways = start_gateways(store.address, Some(cloud_address), 3);
    let served = Arc::new(AtomicU64::new(0));
    for (number, gateway) in gateways.iter().enumerate() {
        let (front, served) = (gateway.front, served.clone());
        std::thread::spawn(move || send_requests(front, number + 1, served));
    }
    // The first window that has traffic throughout.
    let first = unix_ms() / WINDOW_MS + 2;
    for drill in 0..DRILLS {
        let window = first + drill * WINDOWS_PER_DRILL;
        let end = (window + 1) * WINDOW_MS;
        wait_until(end + COPY_MS);
        let copy = store.copy();
        if has_trouble() {
            wait_until(end + CUT_FROM_MS);
            note(&format!("window {window} has ended; answers of the platform are lost"));
            lock(&cloud).is_cut = true;
            wait_until(end + AWAY_FROM_MS);
            note("the store is away");
            store.set_down(true);
            wait_until(end + AWAY_UNTIL_MS);
            store.restore(&copy, &["config", "servers", "evacuations"]);
            note(&format!("the store is back from a copy, era {}", store.era()));
            wait_until(end + CUT_UNTIL_MS);
            note("the platform answers again");
            lock(&cloud).is_cut = false;
        }
    }
    wait_until((first + DRILLS * WINDOWS_PER_DRILL - 1) * WINDOW_MS);
    let (cloud, served) = (lock(&cloud), served.load(Ordering::Relaxed));
    note(&format!(
        "{served} requests served; {} reports of {} windows accepted; {} contradictions",
        cloud.reports,
        cloud.accepted.len(),
        cloud.contradictions.len()
    ));
    if served < 500 || cloud.accepted.len() < 6 {
        finish(NOT_RUN);
    }
    finish(if cloud.contradictions.is_empty() { HELD } else { BROKEN });
}
