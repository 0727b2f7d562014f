//! Measures how long it takes to choose an engine for a request, by the number of engines.
//!
//! `cargo bench --bench choice` prints the mean over alternating long and short prompts.

#![allow(dead_code, missing_docs)]

#[path = "../tests/routing/support.rs"]
mod support;

use std::time::Instant;

use laburnumvalve::routing::choose::{ChoiceSettings, choose};
use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::load::Loads;
use support::{fleet, long_prompt, short_prompt, usable};

/// Numbers of engines to measure; the largest fleets have about 1,500.
const FLEET_SIZES: [usize; 4] = [9, 60, 140, 1_500];
/// Choices over which the mean of a row is taken.
const CHOICES_PER_SIZE: u64 = 2_000;

fn main() {
    println!("| engines | mean time of a choice, us |");
    println!("|---|---|");
    for size in FLEET_SIZES {
        println!("| {size} | {:.1} |", measure(size));
    }
}

fn measure(size: usize) -> f64 {
    let now = Instant::now();
    let servers = usable(&fleet(now, &["a", "b", "c"], size / 3));
    let servers: Vec<&Server> = servers.iter().collect();
    let (cfg, loads) = (ChoiceSettings::default(), Loads::default());
    let started = Instant::now();
    for number in 0..CHOICES_PER_SIZE {
        let demand = if number % 2 == 0 { long_prompt(number) } else { short_prompt(number) };
        let choice = choose(now, &cfg, &"a".into(), &demand, &servers, &loads);
        std::hint::black_box(choice);
    }
    started.elapsed().as_secs_f64() * 1e6 / CHOICES_PER_SIZE as f64
}
