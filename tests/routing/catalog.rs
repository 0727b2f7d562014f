//! Lookups of routes, API keys and services.

use std::time::Duration;

use laburnumvalve::routing::catalog::{
    Catalog, CatalogParts, Organisation, RequestKind, Route, WeightedService,
};
use rstest::rstest;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        request_kind: RequestKind::Once,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        tier: 1,
        weighted_services: vec![
            WeightedService { service: "s".into(), weight: 90 },
            WeightedService { service: "t".into(), weight: 10 },
        ],
        max_attempts: 1,
        is_public: false,
        gap_target: Duration::from_millis(300),
    }
}

fn catalog() -> Catalog {
    let organisation = Organisation { name: "timers".into(), tier: Some(0) };
    Catalog::new(CatalogParts {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        organisations: Some(vec![(organisation, vec!["key".into()])]),
        ..CatalogParts::default()
    })
}

#[rstest]
#[case::longest_prefix("host.example", "/a/b/c", Some("long"))]
#[case::other_prefix("host.example", "/a/c", Some("short"))]
#[case::host_with_port_and_capitals("Host.Example:8080", "/a/c", Some("short"))]
#[case::prefix_without_slash("host.example", "/a", None)]
#[case::other_host("other.example", "/a/b/c", None)]
fn route_with_longest_matching_prefix_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] wanted: Option<&str>,
) {
    let catalog = catalog();

    let found = catalog.route(host, path).map(|route| route.name.as_str());

    assert_eq!(found, wanted);
}

#[test]
fn key_resolves_to_its_organisation() {
    let catalog = catalog();

    assert_eq!(catalog.organisation("key").map(|o| o.name.as_str()), Some("timers"));
    assert!(catalog.organisation("other").is_none());
}

#[rstest]
#[case(0.0, "s")]
#[case(0.89, "s")]
#[case(0.91, "t")]
#[case(0.999, "t")]
fn services_are_picked_by_weight(#[case] sample: f64, #[case] wanted: &str) {
    let route = route("r", "/");

    assert_eq!(route.pick_service(sample).map(|name| name.as_str()), Some(wanted));
}
