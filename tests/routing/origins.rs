//! What began a stream: which streams an instance remembers, who keeps that, and when a service has had
//! only one software version.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use laburnumvalve::names::{DataCentreName, InstanceName, SoftwareVersion};
use laburnumvalve::routing::fleet::{Fleet, Registration};
use laburnumvalve::routing::members::{Member, Members};
use laburnumvalve::routing::origins::{Origin, Origins, stream_key};
use rstest::rstest;

use crate::support::entry;

/// Time in which a stream began, in the tests of a service's only version.
const TIME: Duration = Duration::from_secs(20);

fn origin(service: &str, version: &str) -> Origin {
    Origin { service: service.into(), version: version.into() }
}

fn versioned(name: &str, version: &str) -> Registration {
    Registration { version: version.into(), ..entry(name, "a") }
}

/// Returns a fleet whose list has servers with the given versions.
fn fleet_of(now: Instant, versions: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    let listed = versions.iter().enumerate();
    let listed = listed.map(|(number, version)| (1, versioned(&format!("a-{number}"), version)));
    fleet.apply_list(now, 1, listed.collect());
    fleet
}

fn only_version(fleet: &Fleet, now: Instant) -> Option<SoftwareVersion> {
    fleet.only_version(now, &"engines".into(), TIME).cloned()
}

/// Guards against a stream that goes on at the version that has replaced its own a moment ago.
#[rstest]
#[case::one_version(&["v1", "v1"], Some("v1"))]
#[case::two_versions(&["v1", "v2"], None)]
#[case::no_server(&[], None)]
fn only_version_is_that_of_all_servers(#[case] versions: &[&str], #[case] only: Option<&str>) {
    let now = Instant::now();

    let fleet = fleet_of(now, versions);

    assert_eq!(only_version(&fleet, now + TIME), only.map(Into::into));
}

#[test]
fn only_version_is_not_known_before_the_list_is_old_enough() {
    let now = Instant::now();

    let fleet = fleet_of(now, &["v1"]);

    assert_eq!(only_version(&fleet, now + TIME - Duration::from_millis(1)), None);
}

/// Guards against a former version that counts as if it had never served: its last server was removed,
/// or has restarted with other software under its name.
#[rstest]
#[case::removed(None)]
#[case::restarted(Some("v2"))]
fn former_version_counts_for_a_while(#[case] restarted_with: Option<&str>) {
    let now = Instant::now();
    let mut fleet = fleet_of(now, &["v1", "v2"]);
    let changed_at = now + TIME;
    match restarted_with {
        None => fleet.remove(changed_at, 2, &"a-0".into()),
        Some(version) => fleet.upsert(changed_at, 2, versioned("a-0", version)),
    }

    assert_eq!(only_version(&fleet, changed_at + TIME - Duration::from_millis(1)), None);
    assert_eq!(only_version(&fleet, changed_at + TIME), Some("v2".into()));
}

#[test]
fn version_of_a_lapsed_server_counts() {
    let now = Instant::now();
    let mut fleet = fleet_of(now, &["v1", "v2"]);
    fleet.set_registry_available(now, false);
    fleet.remove(now, 2, &"a-0".into());

    assert_eq!(only_version(&fleet, now + TIME * 2), None);

    fleet.set_registry_available(now + TIME * 2, true);
    fleet.purge_lapsed(now + TIME * 3);
    assert_eq!(only_version(&fleet, now + TIME * 3), None);
    assert_eq!(only_version(&fleet, now + TIME * 4), Some("v2".into()));
}

#[test]
fn stream_is_remembered_until_its_end_even_if_it_is_recorded_again() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let stream = stream_key(b"attempt-1");

    origins.record(now, stream, origin("engines", "v1"), now + TIME);
    origins.record(now, stream, origin("engines", "v2"), now + TIME / 2);

    origins.purge(now + TIME - Duration::from_millis(1));
    assert_eq!(origins.get(stream), Some(&origin("engines", "v1")));
    origins.purge(now + TIME);
    assert_eq!(origins.get(stream), None);
}

#[test]
fn stream_that_went_on_at_another_service_belongs_to_it() {
    let now = Instant::now();
    let mut origins = Origins::default();

    origins.record(now, 1, origin("engines", "v1"), now + TIME);
    origins.record(now, 1, origin("other-engines", "v2"), now + TIME);

    assert_eq!(origins.get(1), Some(&origin("other-engines", "v2")));
}

/// Guards against memory that grows with the number of streams.
#[test]
fn number_of_remembered_streams_is_bounded() {
    let now = Instant::now();
    let mut origins = Origins::default();
    let count = 40_000;

    for stream in 0..count {
        let until = now + TIME + Duration::from_millis(stream);
        origins.record(now, stream, origin("engines", "v1"), until);
    }

    assert!(origins.count() < 20_000, "{} streams", origins.count());
    assert!(origins.get(count - 1).is_some());
    assert!(origins.get(0).is_none());
}

/// Number of data centres of the fleet below.
const DATA_CENTRES: usize = 15;

fn data_centre(number: usize) -> DataCentreName {
    format!("dc-{}", number % DATA_CENTRES).into()
}

/// Returns so many instances in several data centres, of which some take no datagrams.
fn members(count: usize) -> Members {
    let mut members = Members::default();
    for number in 0..count {
        let address = SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 1));
        let datagram_port = (number % 10 != 9).then_some(2);
        let member = Member { data_centre: data_centre(number), address, datagram_port };
        members.put(name(number), member);
    }
    members
}

fn name(number: usize) -> InstanceName {
    format!("instance-{number}").into()
}

/// Guards against instances of a data centre that ask others than those that were told, against keepers that
/// take no datagrams, and against ones that all have their data centre in common.
#[test]
fn instances_of_a_data_centre_agree_on_the_keepers_of_a_stream() {
    let members = members(340);
    let outsider = InstanceName::from("instance-unlisted");

    let mut used = HashSet::new();
    for stream in 0..500 {
        let number = stream as usize % 340;
        let dc = data_centre(number);
        let keepers = members.datagram_addresses(&outsider, &dc, stream, 2, 3);
        assert_eq!(keepers.len(), 3);
        assert!(keepers.iter().all(|keeper| keeper.port() == 2));
        for other in (number..340).step_by(DATA_CENTRES) {
            let others = members.datagram_addresses(&name(other), &dc, stream, 2, 3);
            assert!(others.len() >= 2 && others.iter().all(|other| keepers.contains(other)));
        }
        used.extend(keepers);
    }
    assert!(used.len() > 250, "only {} instances keep streams", used.len());
}

/// Guards against a stream that nobody knows as its caller came back to another data centre.
#[test]
fn instances_of_another_data_centre_ask_a_keeper() {
    let members = members(340);
    let outsider = InstanceName::from("instance-unlisted");

    for stream in 0..500 {
        let (home, other) = (data_centre(stream as usize), data_centre(stream as usize + 7));
        let keepers = members.datagram_addresses(&outsider, &home, stream, 2, 3);
        let asked = members.datagram_addresses(&outsider, &other, stream, 2, 5);

        assert!(asked.iter().any(|asked| *asked == keepers[2]), "stream {stream}");
    }
}

#[rstest]
#[case::alone(1, 0)]
#[case::two(2, 1)]
#[case::three(3, 2)]
fn small_fleet_keeps_streams_at_all_instances(#[case] count: usize, #[case] others: usize) {
    let members = members(count);

    let keepers = members.datagram_addresses(&name(0), &data_centre(0), 7, 2, 3);

    assert_eq!(keepers.len(), others);
}
