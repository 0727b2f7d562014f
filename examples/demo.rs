//! Runs a small fleet on embedded stand-ins, over real sockets in one process.
//!
//! Two organisations stream requests while one instance is stopped, one key is withdrawn and one
//! data centre is evacuated. Prints each check and exits with an error if one fails.

#[path = "demo_support/mod.rs"]
mod demo_support;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use demo_support::caller::{Caller, Outcome, Tally};
use demo_support::fleet::Fleet;

/// Concurrent streams of each organisation.
const STREAMS_PER_ORGANISATION: usize = 4;
/// Time for which traffic runs between two events.
const PHASE_DURATION: Duration = Duration::from_secs(3);
/// Time for which a load balancer still sends to an instance that is no longer ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_secs(1);
/// Time within which a withdrawn key or an evacuation must be in force on every instance.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> eyre::Result<bool> {
    let mut report = Report::default();
    let mut fleet = Fleet::start().await?;
    println!("started 3 instances in 2 data centres, 3 engines and the platform on loopback");
    let shobdo = fleet.issue_key("shobdo-samay").await?;
    let marrowgate = fleet.issue_key("marrowgate").await?;
    let withdrawn = fleet.issue_key("marrowgate").await?;
    println!("applied the sheet and issued 3 keys");

    let callers: Vec<Caller> = [&shobdo, &marrowgate]
        .iter()
        .flat_map(|key| {
            (0..STREAMS_PER_ORGANISATION)
                .map(|_| Caller::start(fleet.entries(), key.secret.clone()))
        })
        .collect();

    tokio::time::sleep(PHASE_DURATION).await;
    println!("stopping instance valve-3 gracefully, with requests in flight");
    fleet.begin_stop(2);
    tokio::time::sleep(LOAD_BALANCER_DELAY).await;
    for caller in &callers {
        caller.remove_entry(fleet.entry(2));
    }
    fleet.wait_stopped(2).await?;

    tokio::time::sleep(PHASE_DURATION).await;
    fleet.withdraw_key(&withdrawn.id).await?;
    let since = Instant::now();
    let refused = fleet.wait_refused_everywhere(&withdrawn.secret, MAX_PROPAGATION_DELAY).await;
    report.check("a withdrawn key is refused everywhere within 4 s", refused);
    println!("  in force after {} ms", since.elapsed().as_millis());

    fleet.evacuate("kolkata-b").await?;
    tokio::time::sleep(MAX_PROPAGATION_DELAY).await;
    let runs_before = fleet.runs_in_kolkata_b();
    tokio::time::sleep(PHASE_DURATION).await;
    let runs_after = fleet.runs_in_kolkata_b();
    report.check(
        "an evacuated data centre gets no new requests after 4 s",
        runs_before == runs_after,
    );

    let mut tally = Tally::default();
    for caller in callers {
        tally.add(&caller.stop().await);
    }
    print_tally(&tally);
    report.check("at least one request completed", tally.count(Outcome::Complete) > 0);
    report.check("no response was truncated or wrong", tally.count(Outcome::Invalid) == 0);
    report.check("no request was refused", tally.count(Outcome::Refused) == 0);
    report.check("no request ran twice", fleet.max_runs_per_request() <= 1);
    report.check("no engine received a key", !fleet.any_engine_received(&[&shobdo, &marrowgate]));

    if tally.count(Outcome::Refused) > 0 {
        fleet.print_timeline(&["refuse", "backend-server", "member", "config"]).await?;
    }
    fleet.stop_all_but_first().await?;
    let billed = fleet.billed_requests().await;
    let completed = tally.count(Outcome::Complete) as u64;
    println!("{completed} completed requests, {billed} requests in sealed and reported windows");
    report.check("each completed request was reported exactly once", billed == completed);
    Ok(report.finish())
}

fn print_tally(tally: &Tally) {
    println!(
        "{} complete responses, {} refused, {} truncated or wrong; first token: p50 {} ms, p95 {} ms",
        tally.count(Outcome::Complete),
        tally.count(Outcome::Refused),
        tally.count(Outcome::Invalid),
        tally.first_token_ms(0.50),
        tally.first_token_ms(0.95),
    );
}

/// Counts passed and failed checks.
#[derive(Default)]
struct Report {
    passed: usize,
    failed: usize,
}

impl Report {
    fn check(&mut self, guarantee: &str, holds: bool) {
        println!("{} {guarantee}", if holds { "ok    " } else { "FAILED" });
        if holds {
            self.passed += 1;
        } else {
            self.failed += 1;
        }
    }

    fn finish(self) -> bool {
        println!("{} checks passed, {} failed", self.passed, self.failed);
        self.failed == 0
    }
}
