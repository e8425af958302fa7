//! Which VMs of a service are staying or leaving according to the list of its instances, and the
//! limit of idle connections.

use std::{net, time};

use indexmap::{IndexMap, IndexSet};
use pimentohook_core::{routes, upstreams};
use rstest::rstest;
use upstreams::State::{Draining, Ready};

fn upstream(instance: &str, host: u8, state: upstreams::State) -> upstreams::Upstream {
    upstreams::Upstream {
        instance: String::from(instance),
        started_unix_ms: None,
        service: "drafts".parse().expect("a name"),
        address: net::SocketAddr::from(([10, 0, 0, host], 8_000)),
        failure_domain: String::from("north"),
        slot_count: 16,
        state,
        weights: IndexMap::new(),
        cold_remaining: time::Duration::ZERO,
    }
}

fn vms(hosts: &[u8]) -> IndexSet<net::IpAddr> {
    let address = |host: &u8| net::IpAddr::from([10, 0, 0, *host]);
    hosts.iter().map(address).collect()
}

/// The first agent in the rendezvous order of a version had an engine that was leaving and made no
/// grants, so the other agents waited for grants until its VM was gone.
#[rstest]
#[case::all_staying(&[("a", 1, Ready), ("b", 2, Ready)], &[1, 2], &[])]
#[case::one_leaving(&[("a", 1, Draining), ("b", 2, Ready)], &[2], &[1])]
#[case::restarted_on_the_same_vm(&[("a", 1, Draining), ("b", 1, Ready)], &[1], &[])]
fn vms_are_grouped_by_whether_they_are_leaving(
    #[case] listed: &[(&str, u8, upstreams::State)],
    #[case] staying: &[u8],
    #[case] leaving: &[u8],
) {
    let listed: Vec<_> = listed
        .iter()
        .map(|(instance, host, state)| upstream(instance, *host, *state))
        .collect();
    let service = "drafts".parse().expect("a name");
    let found = upstreams::service_vms(&listed, &service);
    let found_staying: IndexSet<_> = found.staying.keys().copied().collect();
    assert_eq!(found_staying, vms(staying));
    assert!(found.staying.values().all(|domain| domain == "north"));
    assert_eq!(found.leaving, vms(leaving));
    let other = "other".parse().expect("a name");
    let found = upstreams::service_vms(&listed, &other);
    assert_eq!(found, upstreams::ServiceVms::default());
}

/// A request went to the earlier of two instances at one address, and was refused there for nothing.
#[rstest]
#[case::later(&[("a", 1, Some(5)), ("b", 1, Some(7))], &[("a", "b")])]
#[case::listed_first(&[("b", 1, Some(7)), ("a", 1, Some(5))], &[("a", "b")])]
#[case::three(&[("a", 1, Some(5)), ("b", 1, Some(7)), ("c", 1, Some(6))], &[("a", "b"), ("c", "b")])]
#[case::elsewhere(&[("a", 1, Some(5)), ("b", 2, Some(7))], &[])]
#[case::at_once(&[("a", 1, Some(5)), ("b", 1, Some(5))], &[])]
#[case::earlier_unknown(&[("a", 1, None), ("b", 1, Some(7))], &[])]
#[case::later_unknown(&[("a", 1, Some(5)), ("b", 1, None)], &[])]
fn the_earlier_of_two_instances_at_one_address_has_a_successor(
    #[case] listed: &[(&str, u8, Option<u64>)],
    #[case] expected: &[(&str, &str)],
) {
    let listed = listed
        .iter()
        .map(|(instance, host, started_unix_ms)| upstreams::Upstream {
            started_unix_ms: *started_unix_ms,
            ..upstream(instance, *host, Ready)
        });
    let listed: Vec<_> = listed.collect();
    let successors = upstreams::successors(&listed);
    let pairs = successors.iter().map(|(a, b)| (a.as_str(), b.as_str()));
    assert_eq!(pairs.collect::<Vec<_>>(), expected);
}

/// An instance continues to count the connections of entries that lost power, so idle connections
/// must leave room for those of their replacements.
#[rstest]
#[case(48, 6, 2)]
#[case(96, 6, 4)]
#[case(560, 43, 4)]
#[case(110, 37, 1)]
#[case(48, 0, 16)]
fn idle_connections_leave_room_for_replaced_entries(
    #[case] connections_max: u32,
    #[case] entry_count: u32,
    #[case] expected: u32,
) {
    let idle = routes::idle_connections(connections_max, entry_count);
    assert_eq!(idle, expected);
    assert!(idle == 1 || 2 * idle * entry_count < connections_max);
}
