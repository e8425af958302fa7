//! Which route a request takes, who is admitted to it, and where it may run.

use std::time::Duration;

use pimentohook_core::{rank, regions, routes};
use proptest::prelude::*;
use rstest::rstest;

fn route(path_prefix: &str, weights: &[u32]) -> routes::Route {
    let target = |(index, weight): (usize, &u32)| routes::Target {
        service: format!("service-{index}").parse().expect("a name"),
        weight: *weight,
    };
    routes::Route {
        name: String::from(path_prefix),
        path_prefix: String::from(path_prefix),
        repeat: routes::RepeatPolicy::AtMostOnce,
        streaming: false,
        resumable: false,
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        targets: weights.iter().enumerate().map(target).collect(),
        attempts_max: 1,
        public: false,
        rank: rank::Rank::default(),
        regions: regions::AllowedRegions::default(),
        pause_goal: None,
    }
}

#[rstest]
#[case("/a/b/c", Some("/a/b/"))]
#[case("/a/x", Some("/a/"))]
#[case("/a", None)]
#[case("/b/", None)]
fn the_route_with_the_longest_prefix_is_selected(
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let mut table = routes::RouteTable::default();
    for prefix in ["/a/", "/a/b/", "/a/b/c/d/"] {
        table.insert(String::from("host"), route(prefix, &[1]));
    }
    let found = table.select("host", path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
    assert!(table.select("other", path).is_none());
}

fn organisation() -> routes::Organisation {
    routes::Organisation {
        name: String::from("org-1"),
        rank: rank::Rank::default(),
        regions: regions::AllowedRegions::default(),
    }
}

fn by_key(keys: &[&str]) -> routes::Access {
    let keys = keys.iter();
    routes::Access::ByKey(
        keys.map(|key| (String::from(*key), organisation()))
            .collect(),
    )
}

/// Guards against an empty list of keys being taken for a configuration without keys.
#[rstest]
#[case::known(by_key(&["key"]), false, Some("key"), "org-1")]
#[case::known_public(by_key(&["key"]), true, Some("key"), "org-1")]
#[case::unknown(by_key(&["key"]), false, Some("other"), "denied")]
#[case::none_sent(by_key(&["key"]), false, None, "denied")]
#[case::public(by_key(&["key"]), true, None, "anonymous")]
#[case::no_key_left(by_key(&[]), false, Some("key"), "denied")]
#[case::no_key_left_none_sent(by_key(&[]), false, None, "denied")]
#[case::no_key_left_public(by_key(&[]), true, None, "anonymous")]
#[case::open(routes::Access::Open, false, None, "anonymous")]
#[case::before_any_configuration(routes::RouteTable::default().access, false, None, "denied")]
fn callers_are_admitted_by_key_unless_no_key_is_asked_for(
    #[case] access: routes::Access,
    #[case] public: bool,
    #[case] key: Option<&str>,
    #[case] expected: &str,
) {
    let table = routes::RouteTable {
        access,
        ..routes::RouteTable::default()
    };
    let route = routes::Route {
        public,
        ..route("/a/", &[1])
    };
    let admitted = match table.admission(&route, key) {
        routes::Admission::Organisation(organisation) => organisation.name.as_str(),
        routes::Admission::Anonymous => "anonymous",
        routes::Admission::Denied => "denied",
    };
    assert_eq!(admitted, expected);
}

proptest! {
    #[test]
    fn a_split_route_distributes_requests_by_weight(draw in any::<u32>()) {
        let route = route("/a/", &[90, 0, 10]);
        let service = route.target(draw).expect("a service").as_str();
        let expected = if f64::from(draw) < f64::from(u32::MAX) * 0.9 {
            "service-0"
        } else {
            "service-2"
        };
        prop_assert_eq!(service, expected);
    }
}

#[rstest]
#[case::neither(None, None, [false, false])]
#[case::route(Some("north"), None, [true, false])]
#[case::organisation(None, Some("north"), [true, true])]
fn a_host_is_restricted_by_its_routes_and_by_any_organisation(
    #[case] of_route: Option<&str>,
    #[case] of_organisation: Option<&str>,
    #[case] expected: [bool; 2],
) {
    let regions = |name: Option<&str>| {
        name.map_or(regions::AllowedRegions::Anywhere, |name| {
            regions::AllowedRegions::only([name])
        })
    };
    let organisation = routes::Organisation {
        regions: regions(of_organisation),
        ..organisation()
    };
    let mut table = routes::RouteTable {
        access: routes::Access::ByKey([(String::from("key-1"), organisation)].into()),
        ..routes::RouteTable::default()
    };
    let route = routes::Route {
        regions: regions(of_route),
        ..route("/", &[1])
    };
    table.insert(String::from("host-1"), route);
    let restricted = ["host-1", "host-2"].map(|host| table.restricts_regions(host));
    assert_eq!(restricted, expected);
}
