//! Tests of which failure domains may get requests.

use pimentohook_core::evacuation::{Changes, Closed, Evacuations};
use rstest::rstest;

fn known(domains: &[&str]) -> Evacuations {
    Evacuations::of(domains.iter().map(ToString::to_string))
}

#[rstest]
#[case::not_in_use(Evacuations::at_start(false), "a", true)]
#[case::not_known_yet(Evacuations::at_start(true), "a", false)]
#[case::none_evacuated(known(&[]), "a", true)]
#[case::evacuated(known(&["a"]), "a", false)]
#[case::another_evacuated(known(&["b"]), "a", true)]
#[case::a_longer_name(known(&["a-1"]), "a", true)]
#[case::no_domain_while_none_is_evacuated(known(&[]), "", true)]
#[case::no_domain_while_one_is_evacuated(known(&["a"]), "", false)]
fn a_domain_may_get_requests(
    #[case] evacuations: Evacuations,
    #[case] domain: &str,
    #[case] expected: bool,
) {
    assert_eq!(evacuations.allows(domain), expected);
}

#[rstest]
#[case::no_upstream(known(&["a"]), &[], None)]
#[case::all_evacuated(known(&["a", "b"]), &["a", "b", "a"], Some(Closed::Evacuated))]
#[case::one_left(known(&["a"]), &["a", "b"], None)]
#[case::not_known_yet(Evacuations::Unknown, &["a"], Some(Closed::Unknown))]
#[case::not_in_use(Evacuations::Unused, &["a"], None)]
fn why_no_upstream_may_get_requests(
    #[case] evacuations: Evacuations,
    #[case] domains: &[&str],
    #[case] expected: Option<Closed>,
) {
    assert_eq!(evacuations.closed(domains.iter().copied()), expected);
}

#[test]
fn what_has_changed_is_named() {
    let changes = known(&["b", "c"]).changes_since(&known(&["a", "b"]));
    let expected = Changes {
        evacuated: vec![String::from("c")],
        taken_back: vec![String::from("a")],
    };
    assert_eq!(changes, expected);
    let first = known(&["a"]).changes_since(&Evacuations::Unknown);
    assert_eq!(first.evacuated, ["a"]);
    assert!(first.taken_back.is_empty());
    assert_eq!(
        known(&["a"]).changes_since(&known(&["a"])),
        Changes::default()
    );
}
