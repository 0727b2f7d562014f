//! Fixtures of the routing tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumvalve::routing::choose::{Demand, PromptPart};
use laburnumvalve::routing::fleet::{Fleet, Registration, Server};

/// Makes an entry of an engine.
pub fn entry(name: &str, data_centre: &str) -> Registration {
    Registration {
        name: name.into(),
        service: "engines".into(),
        address: address_of(name),
        data_centre: data_centre.into(),
        slots: 64,
        is_draining: false,
        cold_duration: Duration::ZERO,
        started_at_ms: None,
        is_spot: false,
    }
}

/// Returns an address that no other name has.
fn address_of(name: &str) -> SocketAddr {
    let number = xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32;
    SocketAddr::from((number.to_be_bytes(), 9))
}

/// Makes a fleet of engines, some in each data centre.
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

/// Makes the demand of a long prompt about a subject.
pub fn long_prompt(subject: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt_tokens: 9_190,
        output_tokens: 50,
        parts: vec![part(1, 2_520), part(1_000 + subject, 3_780), part(u64::MAX - subject, 2_890)],
        body_bytes: 18_000,
    }
}

/// Makes the demand of a short prompt with a long answer.
pub fn short_prompt(subject: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt_tokens: 826,
        output_tokens: 290,
        parts: vec![part(2, 119), part(5_000 + subject, 79), part(u64::MAX / 2 - subject, 628)],
        body_bytes: 1_700,
    }
}
