//! A randomized soak: gateway processes under faults that come from outside them.
//!
//! A seed fixes the plan of faults. While they come, callers keep asking; afterwards what callers
//! and backend servers saw is held against what the gateway promises. To play seeds by hand:
//!
//! ```text
//! LABURNUMVALVE_SOAK_SEEDS=100..150 cargo test --test gateway soak
//! ```
//!
//! `LABURNUMVALVE_SOAK_INSTANCES` sets the number of gateway processes of a run; with more than nine
//! to a data centre some learn of the platform's state over two others.

mod callers;
mod faults;
mod history;
mod promises;
mod world;

use std::ops::Range;

use futures::StreamExt;

use world::World;

/// Environment variable with the seeds to play: one, or a range such as `100..150`.
const SEEDS_ENV: &str = "LABURNUMVALVE_SOAK_SEEDS";
/// Seeds that are played by default. Both use up the retry budget; seeds that find a fault are added
/// with a line on its cause.
const SEEDS: [u64; 2] = [1, 7];
/// Environment variable with the number of gateway processes of each run.
const INSTANCES_ENV: &str = "LABURNUMVALVE_SOAK_INSTANCES";
/// Gateway processes of a run by default.
const INSTANCES: usize = 4;
/// Gateway processes of all runs that are played at once.
const PROCESSES_AT_ONCE: usize = 16;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var(SEEDS_ENV) else { return SEEDS.to_vec() };
    let parse = |text: &str| text.parse().expect("a seed is a whole number");
    match text.split_once("..") {
        Some((from, to)) => Range { start: parse(from), end: parse(to) }.collect(),
        None => vec![parse(&text)],
    }
}

fn instances() -> usize {
    let Ok(text) = std::env::var(INSTANCES_ENV) else { return INSTANCES };
    text.parse().expect("the number of instances is a whole number")
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let instances = instances();
    let at_once = (PROCESSES_AT_ONCE / instances).max(1);
    let runs = seeds().into_iter().map(|seed| async move { (seed, play(seed, instances).await) });
    let ended: Vec<_> = futures::stream::iter(runs).buffer_unordered(at_once).collect().await;

    let broken: Vec<_> = ended.iter().filter(|(_, broken)| !broken.is_empty()).collect();
    for (seed, broken) in &broken {
        println!(
            "seed {seed}, again: {SEEDS_ENV}={seed} {INSTANCES_ENV}={instances} \
             cargo test --test gateway soak"
        );
        broken.iter().for_each(|line| println!("  {line}"));
    }
    assert!(broken.is_empty(), "{} of {} seeds broke a promise", broken.len(), ended.len());
}

/// Plays one seed; returns each promise that was broken, and the plan if there is one.
async fn play(seed: u64, instances: usize) -> Vec<String> {
    let plan = faults::draw_plan(seed);
    let world = World::start(seed, instances).await;
    let asking = callers::start(&world, seed);
    faults::play(&world, &plan).await;
    world.settle().await;
    let requests = asking.finish().await;
    println!("seed {seed}: {}", promises::sum_up(&world, &requests));
    let mut broken = promises::check(&world, &requests);
    if !broken.is_empty() {
        broken.extend(plan.iter().map(|step| format!("plan: {step:?}")));
        broken.push(format!("logs: {}", world.logs().display()));
    }
    broken
}
