//! Lost data centre: its servers refuse connections while the list still names them.

use std::time::Instant;

use laburnumvalve::routing::fleet::Server;
use laburnumvalve::routing::tried::{SendHistory, SendResult};

use crate::support::{fleet, usable};

/// Returns the servers of two data centres, and what a request knows after misses in the first.
fn after_misses(misses: usize, of: &str) -> (Vec<Server>, SendHistory) {
    let servers = usable(&fleet(Instant::now(), &["kolkata-a", "kolkata-b"], 8));
    let mut tried = SendHistory::default();
    for server in servers.iter().filter(|s| s.entry.name.as_str().starts_with(of)).take(misses) {
        tried.record_send(server.entry.name.clone());
        tried.record_result(&server.entry, SendResult::NotSent);
    }
    (servers, tried)
}

fn data_centres(servers: &[&Server]) -> Vec<String> {
    let mut names: Vec<String> =
        servers.iter().map(|server| server.entry.data_centre.to_string()).collect();
    names.dedup();
    names
}

#[test]
fn one_server_that_is_gone_condemns_no_data_centre() {
    let (servers, tried) = after_misses(1, "kolkata-a");

    let left = tried.prefer_reachable(servers.iter().collect());

    assert_eq!(left.len(), servers.len());
}

#[test]
fn a_data_centre_where_two_servers_are_gone_is_left() {
    let (servers, tried) = after_misses(2, "kolkata-a");

    let left = tried.prefer_reachable(servers.iter().collect());

    assert_eq!(data_centres(&left), ["kolkata-b"]);
    assert!(tried.has_misses_left());
}

#[test]
fn the_only_data_centre_left_is_tried_on() {
    let (servers, tried) = after_misses(2, "kolkata-a");
    let near: Vec<&Server> =
        servers.iter().filter(|s| s.entry.data_centre.as_str() == "kolkata-a").collect();

    let left = tried.prefer_reachable(near);

    assert_eq!(data_centres(&left), ["kolkata-a"]);
}

#[test]
fn misses_in_all_data_centres_end_the_request() {
    let (servers, _) = after_misses(0, "kolkata-a");
    let mut tried = SendHistory::default();
    let mut sends = 0;

    while tried.has_misses_left() && sends < servers.len() {
        let left = servers.iter().filter(|s| !tried.contains(&s.entry.name)).collect();
        let server = tried.prefer_reachable(left)[0];
        tried.record_send(server.entry.name.clone());
        tried.record_result(&server.entry, SendResult::NotSent);
        sends += 1;
    }

    assert_eq!(sends, 6);
}
