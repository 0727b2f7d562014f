//! A randomized soak: gateway processes under faults that come from outside them.
//!
//! A seed fixes the plan of faults. While they come, callers keep asking; afterwards what callers
//! and backend servers saw is held against what the gateway promises. To play seeds by hand:
//!
//! ```text
//! LABURNUMVALVE_SOAK_SEEDS=100..150 cargo test --test gateway soak
//! ```

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
/// Runs played at once, each with a handful of processes.
const AT_ONCE: usize = 4;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var(SEEDS_ENV) else { return SEEDS.to_vec() };
    let parse = |text: &str| text.parse().expect("a seed is a whole number");
    match text.split_once("..") {
        Some((from, to)) => Range { start: parse(from), end: parse(to) }.collect(),
        None => vec![parse(&text)],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    let runs = seeds().into_iter().map(|seed| async move { (seed, play(seed).await) });
    let ended: Vec<_> = futures::stream::iter(runs).buffer_unordered(AT_ONCE).collect().await;

    let broken: Vec<_> = ended.iter().filter(|(_, broken)| !broken.is_empty()).collect();
    for (seed, broken) in &broken {
        println!("seed {seed}, again: {SEEDS_ENV}={seed} cargo test --test gateway soak");
        broken.iter().for_each(|line| println!("  {line}"));
    }
    assert!(broken.is_empty(), "{} of {} seeds broke a promise", broken.len(), ended.len());
}

/// Plays one seed; returns each promise that was broken, and the plan if there is one.
async fn play(seed: u64) -> Vec<String> {
    let plan = faults::draw_plan(seed);
    let world = World::start(seed).await;
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
