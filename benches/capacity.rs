//! Measures the control-plane overhead of an idle instance at several fleet sizes.
//!
//! `cargo bench --bench capacity -- 3 9 20 40` starts fleets of these sizes, one process for each
//! instance and a platform stand-in, and prints the heartbeat traffic, CPU time and memory of one
//! instance and the platform calls of the fleet.

#![allow(dead_code, missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fleet::Placement;
use common::{Instance, Sheet};
use standins::platform::ListedInstance;
use standins::{Platform, PlatformSettings};

/// Time between readiness of a fleet and the start of its measurement.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Length of the measurement of each fleet.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Fleet sizes used when the command line names none.
const DEFAULT_FLEET_SIZES: [usize; 3] = [3, 9, 20];
/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ` on Linux).
const TICKS_PER_SECOND: f64 = 100.0;
/// Backend servers per instance; the target fleet has 1,500 for 340 instances, about 4.4 each.
const SERVERS_PER_INSTANCE: usize = 5;

/// CPU time and heartbeat traffic so far and current memory, summed over a fleet's instances.
#[derive(Debug, Default, Clone)]
struct ResourceUsage {
    cpu_seconds: f64,
    memory_kib: u64,
    beats: f64,
    beat_bytes: f64,
}

#[tokio::main]
async fn main() {
    let given: Vec<usize> = std::env::args().filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if given.is_empty() { DEFAULT_FLEET_SIZES.to_vec() } else { given };
    println!(
        "| instances | organisations | beats/s | beat bytes/s | CPU % of a core | RSS MiB | platform calls/s (fleet) |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in sizes {
        measure(size, 10).await;
    }
    measure(3, 3_900).await;
}

/// Measures one fleet and prints a table row with the mean per instance.
async fn measure(size: usize, organisations: usize) {
    let platform = Platform::start(PlatformSettings::default())
        .await
        .expect("platform stand-in did not start");
    let mut instances = Vec::new();
    for index in 0..size {
        let name = format!("valve-{index}");
        let instance = Instance::start(&name, "kolkata-a", &platform.url(), &[]);
        platform.register(ListedInstance {
            name,
            data_centre: "kolkata-a".to_owned(),
            peer_address: instance.peer,
            ready: true,
            terminating: false,
        });
        instances.push(instance);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    apply_sheet(&instances[0], sheet(size, organisations)).await;
    for instance in &instances {
        instance.wait_ready().await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, calls_before) = (read_usage(&instances).await, platform.calls());
    tokio::time::sleep(MEASURE_TIME).await;
    let (after, calls_after) = (read_usage(&instances).await, platform.calls());

    let per_instance_second = |total: f64| total / size as f64 / MEASURE_TIME.as_secs_f64();
    let calls = total_calls(&calls_after) - total_calls(&calls_before);
    println!(
        "| {size} | {organisations} | {:.2} | {:.0} | {:.2} | {:.1} | {:.2} |",
        per_instance_second(after.beats - before.beats),
        per_instance_second(after.beat_bytes - before.beat_bytes),
        per_instance_second(after.cpu_seconds - before.cpu_seconds) * 100.0,
        after.memory_kib as f64 / size as f64 / 1024.0,
        calls as f64 / MEASURE_TIME.as_secs_f64(),
    );
}

fn total_calls(calls: &BTreeMap<String, u64>) -> u64 {
    calls.values().sum()
}

async fn apply_sheet(instance: &Instance, sheet: Sheet) {
    let applied = instance.operate(reqwest::Method::POST, "/sheet/apply", sheet.text()).await;
    applied.expect("the instance refused the sheet");
}

fn sheet(instances: usize, organisations: usize) -> Sheet {
    let mut sheet = Sheet::default()
        .class("interactive", "1", "20", true)
        .model_route("timing", "timing-model", "interactive")
        .data_centre("kolkata-a", "bengal-east");
    for index in 0..organisations {
        sheet = sheet.organisation(&format!("organisation-{index}"), "timing");
    }
    for index in 0..instances * SERVERS_PER_INSTANCE {
        let placement = Placement {
            name: format!("engine-{index}"),
            data_centre: "kolkata-a".to_owned(),
            routes: "timing".to_owned(),
        };
        // No engine listens on this port, so each load poll costs one refused connection.
        sheet = sheet.backend_server(&placement, "http://127.0.0.1:9", 8, 2);
    }
    sheet
}

async fn read_usage(instances: &[Instance]) -> ResourceUsage {
    let mut sum = ResourceUsage::default();
    for instance in instances {
        let url = format!("http://{}/metrics", instance.admin);
        let text = reqwest::get(url)
            .await
            .expect("GET /metrics failed")
            .text()
            .await
            .expect("body of GET /metrics is incomplete");
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or_default()
        };
        sum.beats += value("laburnumvalve_peer_messages_total{kind=\"beat\"}");
        sum.beat_bytes += value("laburnumvalve_peer_bytes_total{kind=\"beat\"}");
        let pid = instance.process_id();
        sum.cpu_seconds += cpu_seconds(pid);
        sum.memory_kib += memory_kib(pid);
    }
    sum
}

/// Returns the user and system CPU time of a process in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident set size of a process in KiB.
fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or_default()
}
