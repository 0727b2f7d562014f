//! Sends during the failure of a data centre, when its servers refuse connections but are still
//! listed.

use std::time::Instant;

use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::tried::{SendHistory, SendResult};

use crate::support::{fleet, usable};

/// Returns the servers of two data centres, and the history of a request with misses at servers
/// whose names begin with `of`.
fn after_misses(misses: usize, of: &str) -> (Vec<Server>, SendHistory) {
    let servers = usable(&fleet(Instant::now(), &["kolkata-a", "kolkata-b"], 8));
    let mut history = SendHistory::default();
    for server in servers.iter().filter(|s| s.entry.name.as_str().starts_with(of)).take(misses) {
        history.record_send(server.entry.name.clone());
        history.record_result(&server.entry, SendResult::NotSent);
    }
    (servers, history)
}

fn data_centres(servers: &[&Server]) -> Vec<String> {
    let mut names: Vec<String> =
        servers.iter().map(|server| server.entry.data_centre.to_string()).collect();
    names.dedup();
    names
}

#[test]
fn single_miss_does_not_exclude_a_data_centre() {
    let (servers, history) = after_misses(1, "kolkata-a");

    let remaining = history.prefer_reachable(servers.iter().collect());

    assert_eq!(remaining.len(), servers.len());
}

#[test]
fn data_centre_with_two_misses_is_avoided() {
    let (servers, history) = after_misses(2, "kolkata-a");

    let remaining = history.prefer_reachable(servers.iter().collect());

    assert_eq!(data_centres(&remaining), ["kolkata-b"]);
    assert!(history.is_below_miss_limit());
}

#[test]
fn only_remaining_data_centre_is_still_used() {
    let (servers, history) = after_misses(2, "kolkata-a");
    let local: Vec<&Server> =
        servers.iter().filter(|s| s.entry.data_centre.as_str() == "kolkata-a").collect();

    let remaining = history.prefer_reachable(local);

    assert_eq!(data_centres(&remaining), ["kolkata-a"]);
}

#[test]
fn request_ends_after_six_misses() {
    let (servers, _) = after_misses(0, "kolkata-a");
    let mut history = SendHistory::default();
    let mut sends = 0;

    while history.is_below_miss_limit() && sends < servers.len() {
        let remaining = servers.iter().filter(|s| !history.contains(&s.entry.name)).collect();
        let server = history.prefer_reachable(remaining)[0];
        history.record_send(server.entry.name.clone());
        history.record_result(&server.entry, SendResult::NotSent);
        sends += 1;
    }

    assert_eq!(sends, 6);
}
