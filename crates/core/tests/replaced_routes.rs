//! Tests of the timeouts that configurations have lowered.

use std::time;

use pimentohook_core::{lowered_timeouts, rank, regions, routes};

const HOST: &str = "drafts.example";

fn table(timeout_s: u64) -> routes::RouteTable {
    let mut table = routes::RouteTable::default();
    table.insert(String::from(HOST), route("/notes/", timeout_s));
    table
}

fn route(path_prefix: &str, timeout_s: u64) -> routes::Route {
    let timeout = time::Duration::from_secs(timeout_s);
    routes::Route {
        name: String::from("drafts"),
        path_prefix: String::from(path_prefix),
        repeat: routes::RepeatPolicy::AtMostOnce,
        streaming: true,
        resumable: true,
        timeout,
        goal: timeout,
        targets: Vec::new(),
        attempts_max: 1,
        public: true,
        rank: rank::Rank::default(),
        regions: regions::AllowedRegions::default(),
        pause_goal: None,
    }
}

#[test]
fn the_longest_timeout_since_the_arrival_is_found_in_a_series_of_changes() {
    let mut lowered = lowered_timeouts::LoweredTimeouts::default();
    let start = time::Instant::now();
    let second = time::Duration::from_secs(1);
    let timeouts_s = [6, 3, 5, 2];
    for (number, pair) in (1..).zip(timeouts_s.windows(2)) {
        lowered.record(start + second * number, &table(pair[0]), &table(pair[1]));
    }
    let longest = |since| lowered.longest_since(since, HOST, "/notes/1");
    assert_eq!(longest(start), Some(second * 6));
    assert_eq!(longest(start + second), Some(second * 5));
    assert_eq!(longest(start + second * 3), None, "a raise is not recorded");
    assert_eq!(lowered.longest_since(start, HOST, "/other/"), None);
}

#[test]
fn a_lowered_timeout_is_forgotten_after_a_while() {
    let mut lowered = lowered_timeouts::LoweredTimeouts::default();
    let start = time::Instant::now();
    lowered.record(start + time::Duration::from_secs(1), &table(6), &table(3));
    lowered.record(start + time::Duration::from_mins(2), &table(3), &table(3));
    assert_eq!(lowered.longest_since(start, HOST, "/notes/1"), None);
}

/// A stream on a route below one whose timeout was lowered lasted as long as that one had allowed.
#[test]
fn a_lowered_timeout_does_not_hold_for_a_route_below_it() {
    let with_inner_route = |outer_s| {
        let mut table = table(outer_s);
        table.insert(String::from(HOST), route("/notes/drafts/", 2));
        table
    };
    let mut lowered = lowered_timeouts::LoweredTimeouts::default();
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    lowered.record(changed_at, &with_inner_route(10), &with_inner_route(5));
    let longest = lowered.longest_since(start, HOST, "/notes/drafts/1");
    assert_eq!(longest, None);
    let longest = lowered.longest_since(start, HOST, "/notes/1");
    assert_eq!(longest, Some(time::Duration::from_secs(10)));
}
