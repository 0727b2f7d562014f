//! Control cost of an idle instance at several fleet sizes, and the sizes of what is kept.
//!
//! `cargo bench --bench capacity -- 3 9 20 40` runs that many instances as processes, with a
//! platform stand-in, and prints what each spends on beats, calls, processor time and memory.

#![allow(dead_code, missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::fleet::Placement;
use common::{Instance, Sheet};
use standins::platform::ListedInstance;
use standins::{Platform, PlatformSettings};

/// How long each fleet settles before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// How long each fleet is measured.
const MEASURE_TIME: Duration = Duration::from_secs(20);
/// Fleet sizes if none are given.
const DEFAULT_FLEET_SIZES: [usize; 3] = [3, 9, 20];
/// Ticks of processor time in a second, as Linux reports them.
const TICKS_PER_SECOND: f64 = 100.0;
/// Backend servers for each instance, as at the size of the aim (1,500 for 340).
const SERVERS_PER_INSTANCE: usize = 5;

/// What one fleet spent, summed over its instances.
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

/// Measures one fleet and prints a row with the figures of one instance.
async fn measure(size: usize, organisations: usize) {
    let platform = Platform::start(PlatformSettings::default()).await.expect("no platform");
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
    applied.expect("the sheet is refused");
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
        // No engine listens there: the cost of polling is that of a refused connection.
        sheet = sheet.backend_server(&placement, "http://127.0.0.1:9", 8, 2);
    }
    sheet
}

async fn read_usage(instances: &[Instance]) -> ResourceUsage {
    let mut sum = ResourceUsage::default();
    for instance in instances {
        let url = format!("http://{}/metrics", instance.admin);
        let text = reqwest::get(url).await.expect("no metrics").text().await.expect("no metrics");
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

/// Reads the user and system time of a process.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Reads the resident memory of a process.
fn memory_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or_default()
}
