//! Tests of the regions in which requests may run.

use pimentohook_core::regions::{AllowedRegions, RegionMap};
use rstest::rstest;

fn only(regions: &[&str]) -> AllowedRegions {
    AllowedRegions::only(regions.iter().copied())
}

/// Returns which of three domains, the last of which is in no known region, may be used.
fn allowed_domains(allowed: &AllowedRegions) -> Vec<&'static str> {
    let map = RegionMap::new([("domain-n", "north"), ("domain-s", "south")]);
    let domains = ["domain-n", "domain-s", "domain-x"].into_iter();
    domains
        .filter(|domain| map.allows(allowed, domain))
        .collect()
}

#[rstest]
#[case::neither(AllowedRegions::Anywhere, AllowedRegions::Anywhere, &["domain-n", "domain-s", "domain-x"])]
#[case::route(only(&["north"]), AllowedRegions::Anywhere, &["domain-n"])]
#[case::organisation(AllowedRegions::Anywhere, only(&["south"]), &["domain-s"])]
#[case::both(only(&["north", "south"]), only(&["south"]), &["domain-s"])]
#[case::nothing_in_common(only(&["north"]), only(&["south"]), &[])]
#[case::spoilt_route(AllowedRegions::nowhere(), AllowedRegions::Anywhere, &[])]
#[case::spoilt_organisation(only(&["north"]), AllowedRegions::nowhere(), &[])]
#[case::unknown_region(only(&["west"]), AllowedRegions::Anywhere, &[])]
fn what_route_and_organisation_allow_binds_together(
    #[case] route: AllowedRegions,
    #[case] organisation: AllowedRegions,
    #[case] expected: &[&str],
) {
    assert_eq!(allowed_domains(&route.and(&organisation)), expected);
    assert_eq!(allowed_domains(&organisation.and(&route)), expected);
}

/// Without a map no region is known.
#[rstest]
#[case::anywhere(AllowedRegions::Anywhere, true)]
#[case::named_like_the_domain(only(&["domain-n"]), false)]
#[case::without_a_name(only(&[""]), false)]
fn without_a_map_only_unrestricted_requests_run(
    #[case] allowed: AllowedRegions,
    #[case] expected: bool,
) {
    let map = RegionMap::default();
    assert_eq!(map.allows(&allowed, "domain-n"), expected);
    assert_eq!(map.allows(&allowed, ""), expected);
}
