//! Fixtures for the routing tests and the benchmark of server selection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumvalve::routing::choose::{Demand, PromptPart};
use laburnumvalve::routing::fleet::{Fleet, Registration, Server};

/// Builds the registry entry of an engine.
pub fn entry(name: &str, data_centre: &str) -> Registration {
    Registration {
        name: name.into(),
        service: "engines".into(),
        address: address_of(name),
        data_centre: data_centre.into(),
        version: "v1".into(),
        slots: 64,
        is_draining: false,
        remaining_cold_period: Duration::ZERO,
        started_at_ms: None,
        is_spot: false,
    }
}

/// Returns an address derived from the name, so that names have different addresses.
fn address_of(name: &str) -> SocketAddr {
    let number = xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32;
    SocketAddr::from((number.to_be_bytes(), 9))
}

/// Builds a fleet with `each` engines per data centre.
pub fn fleet(now: Instant, data_centres: &[&str], each: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for data_centre in data_centres {
        for index in 0..each {
            fleet.upsert(now, 1, entry(&format!("{data_centre}-{index}"), data_centre));
        }
    }
    fleet
}

/// Returns the usable engines of a fleet.
pub fn usable(fleet: &Fleet) -> Vec<Server> {
    fleet.usable(&"engines".into()).cloned().collect()
}

/// Builds the demand of a long prompt; prompts of the same subject share a prefix.
pub fn long_prompt(subject: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt_tokens: 9_190,
        output_tokens: 50,
        parts: vec![part(1, 2_520), part(1_000 + subject, 3_780), part(u64::MAX - subject, 2_890)],
        body_bytes: 18_000,
    }
}

/// Builds the demand of a short prompt with a long response.
pub fn short_prompt(subject: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt_tokens: 826,
        output_tokens: 290,
        parts: vec![part(2, 119), part(5_000 + subject, 79), part(u64::MAX / 2 - subject, 628)],
        body_bytes: 1_700,
    }
}
