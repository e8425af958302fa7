//! Tests of what routes allowed before they were replaced.

use std::time;

use pimentohook_core::{rank, regions, replaced_routes, route_index, routes};
use proptest::{collection, prelude::ProptestConfig, prop_assert_eq, proptest, sample};

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
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    let start = time::Instant::now();
    let second = time::Duration::from_secs(1);
    let timeouts_s = [6, 3, 5, 2];
    for (number, pair) in (1..).zip(timeouts_s.windows(2)) {
        replaced.record(start + second * number, &table(pair[0]), &table(pair[1]));
    }
    let longest = |since| replaced.longest_timeout_since(since, HOST, "/notes/1");
    assert_eq!(longest(start), Some(second * 6));
    assert_eq!(longest(start + second), Some(second * 5));
    assert_eq!(longest(start + second * 3), None, "a raise is not recorded");
    assert_eq!(replaced.longest_timeout_since(start, HOST, "/other/"), None);
}

#[test]
fn a_lowered_timeout_is_forgotten_after_a_while() {
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    let start = time::Instant::now();
    replaced.record(start + time::Duration::from_secs(1), &table(6), &table(3));
    replaced.record(start + time::Duration::from_mins(2), &table(3), &table(3));
    assert_eq!(
        replaced.longest_timeout_since(start, HOST, "/notes/1"),
        None
    );
}

/// A stream on a route below one whose timeout was lowered lasted as long as that one had allowed.
#[test]
fn a_lowered_timeout_does_not_hold_for_a_route_below_it() {
    let with_inner_route = |outer_s| {
        let mut table = table(outer_s);
        table.insert(String::from(HOST), route("/notes/drafts/", 2));
        table
    };
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    replaced.record(changed_at, &with_inner_route(10), &with_inner_route(5));
    let longest = replaced.longest_timeout_since(start, HOST, "/notes/drafts/1");
    assert_eq!(longest, None);
    let longest = replaced.longest_timeout_since(start, HOST, "/notes/1");
    assert_eq!(longest, Some(time::Duration::from_secs(10)));
}

fn table_of_kind(kinds: &[(&str, routes::RepeatPolicy)]) -> routes::RouteTable {
    let mut table = routes::RouteTable::default();
    for (path_prefix, repeat) in kinds {
        let route = routes::Route {
            streaming: false,
            repeat: *repeat,
            ..route(path_prefix, 4)
        };
        table.insert(String::from(HOST), route);
    }
    table
}

#[test]
fn a_request_repeats_only_if_all_routes_since_its_arrival_allow_it() {
    let (once, repeats) = (
        routes::RepeatPolicy::AtMostOnce,
        routes::RepeatPolicy::Idempotent,
    );
    let with_own = table_of_kind(&[("/", repeats), ("/notes/", once)]);
    let without = table_of_kind(&[("/", repeats)]);
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    replaced.record(changed_at, &with_own, &without);
    assert!(!replaced.may_repeat_since(start, HOST, "/notes/1"));
    assert!(replaced.may_repeat_since(changed_at, HOST, "/notes/1"));
    assert!(replaced.may_repeat_since(start, HOST, "/other/"));
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    replaced.record(changed_at, &without, &with_own);
    assert!(replaced.may_repeat_since(start, HOST, "/notes/1"));
}

/// A POST ran twice: its path had been split off into a route whose requests may repeat.
#[test]
fn a_request_does_not_repeat_whose_path_was_split_off_after_its_arrival() {
    let (once, repeats) = (
        routes::RepeatPolicy::AtMostOnce,
        routes::RepeatPolicy::Idempotent,
    );
    let whole = table_of_kind(&[("/notes/", once)]);
    let split = table_of_kind(&[("/notes/", once), ("/notes/drafts/", repeats)]);
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    replaced.record(changed_at, &whole, &split);
    assert!(!replaced.may_repeat_since(start, HOST, "/notes/drafts/1"));
    let unchanged = replaced.clone();
    replaced.record(changed_at, &split, &split);
    assert_eq!(replaced, unchanged, "a split is recorded once");
}

/// A POST ran twice: it could run only once by a configuration between two without such a route.
#[test]
fn a_request_does_not_repeat_whose_route_was_taken_away_meanwhile() {
    let (once, repeats) = (
        routes::RepeatPolicy::AtMostOnce,
        routes::RepeatPolicy::Idempotent,
    );
    let series = [
        table_of_kind(&[("/notes/", repeats)]),
        table_of_kind(&[("/notes/", once)]),
        table_of_kind(&[]),
    ];
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    for pair in series.windows(2) {
        replaced.record(changed_at, &pair[0], &pair[1]);
    }
    assert!(!replaced.may_repeat_since(start, HOST, "/notes/1"));
}

#[test]
fn the_timeout_of_a_route_holds_for_a_path_that_was_split_off() {
    let mut split = table(10);
    split.insert(String::from(HOST), route("/notes/drafts/", 2));
    let start = time::Instant::now();
    let changed_at = start + time::Duration::from_secs(1);
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    replaced.record(changed_at, &table(10), &split);
    let longest = replaced.longest_timeout_since(start, HOST, "/notes/drafts/1");
    assert_eq!(longest, Some(time::Duration::from_secs(10)));
}

#[test]
fn a_request_runs_on_no_more_upstreams_than_all_routes_since_its_arrival_allow() {
    let with_attempts = |attempts_max| {
        let route = routes::Route {
            attempts_max,
            ..route("/notes/", 4)
        };
        let mut table = routes::RouteTable::default();
        table.insert(String::from(HOST), route);
        table
    };
    let series = [3, 2, 4, 1].map(with_attempts);
    let start = time::Instant::now();
    let second = time::Duration::from_secs(1);
    let mut replaced = replaced_routes::ReplacedRoutes::default();
    for (number, pair) in (1..).zip(series.windows(2)) {
        replaced.record(start + second * number, &pair[0], &pair[1]);
    }
    let least = |since| replaced.least_attempts_max_since(since, HOST, "/notes/1");
    assert_eq!(least(start), Some(2));
    assert_eq!(least(start + second * 2), None);
}

/// The routes that a large configuration has for one host.
const MANY_ROUTES: usize = 1_640;
/// An entry with a quarter of a processor has a configuration in force within a tenth of 2 s then.
const RECORD_TIME_MAX: time::Duration = time::Duration::from_millis(50);

/// Each change of a configuration with many routes for one host took entries seconds of processor time, in
/// which they did nothing else: comparisons grew with the cube of the routes.
#[test]
fn a_change_of_one_of_many_routes_is_recorded_at_once() {
    let table = |timeout_s| {
        let mut table = table(timeout_s);
        for number in 0..MANY_ROUTES {
            let prefix = format!("/notes/{number}/");
            table.insert(String::from(HOST), route(&prefix, 4));
        }
        table
    };
    let (before, after) = (table(6), table(3));
    let record = || {
        let started = time::Instant::now();
        let mut replaced = replaced_routes::ReplacedRoutes::default();
        replaced.record(started, &before, &after);
        started.elapsed()
    };
    let shortest = (0..3).map(|_| record()).min();
    assert!(shortest < Some(RECORD_TIME_MAX), "{shortest:?}");
}

fn table_of(routes: &[(String, u64)]) -> routes::RouteTable {
    let mut table = routes::RouteTable::default();
    for (path_prefix, timeout_s) in routes {
        table.insert(String::from(HOST), route(path_prefix, *timeout_s));
    }
    table
}

/// Returns the longest replaced timeout for a path, by comparing each route with each other.
fn longest_timeout(
    before: &routes::RouteTable,
    after: &routes::RouteTable,
    path: &str,
) -> Option<time::Duration> {
    let route = before.select(HOST, path)?;
    let is_lower = |other: &routes::Route| other.timeout < route.timeout;
    let is_inner = |inner: &&routes::Route| {
        let earlier = before.select(HOST, &inner.path_prefix);
        earlier.is_some_and(|earlier| earlier.path_prefix == route.path_prefix)
    };
    let mut inner = after.hosts.values().flatten().filter(is_inner);
    let is_bound = match after.select(HOST, &route.path_prefix) {
        Some(now) => is_lower(now) || inner.any(is_lower),
        None => true,
    };
    is_bound.then_some(route.timeout)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn routes_are_replaced_as_if_each_were_compared_with_each_other(
        before in collection::vec(("(/[ab]{0,2}){0,3}", 1_u64..4), 0..8),
        after in collection::vec(("(/[ab]{0,2}){0,3}", 1_u64..4), 0..8),
        path in "(/[ab]{0,2}){0,4}",
    ) {
        let (before, after) = (table_of(&before), table_of(&after));
        let mut replaced = replaced_routes::ReplacedRoutes::default();
        let start = time::Instant::now();
        replaced.record(start + time::Duration::from_secs(1), &before, &after);
        let longest = replaced.longest_timeout_since(start, HOST, &path);
        prop_assert_eq!(longest, longest_timeout(&before, &after, &path));
    }

    #[test]
    fn an_index_selects_the_route_that_a_request_gets(
        prefixes in collection::vec("(/[abcä]{0,2}){0,3}", 0..12),
        path in "(/[abcä]{0,2}){0,4}",
        below in sample::select(vec!["", "/", "/a", "/a/", "/b/ä"]),
    ) {
        let routes: Vec<(String, u64)> = prefixes.into_iter().zip(1..).collect();
        let table = table_of(&routes);
        let routes = table.hosts.get(HOST).map(Vec::as_slice).unwrap_or_default();
        let index = route_index::RouteIndex::new(routes);
        prop_assert_eq!(index.select(&path), table.select(HOST, &path));
        let mut expected: Vec<&str> = routes
            .iter()
            .map(|route| route.path_prefix.as_str())
            .filter(|prefix| prefix.starts_with(below) && *prefix != below)
            .collect();
        expected.sort_unstable();
        expected.dedup();
        let found: Vec<&str> = index.below(below).map(|route| route.path_prefix.as_str()).collect();
        prop_assert_eq!(found, expected);
    }
}
