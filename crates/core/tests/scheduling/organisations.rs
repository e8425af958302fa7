//! An organisation that asks for many times its share.

use std::fmt::Write as _;

use rstest::rstest;

use super::{
    simulation::{Order, Outcome, Play, play},
    tally::Tally,
};

const ORGANISATION_COUNT: usize = 8;
const BURST_FACTOR: f64 = 10.0;
/// The others are served at least this many percent of what they are without the burst.
const KEPT_PERCENT_MIN: u32 = 90;
/// Engines serve at least this many percent of what they do without shares.
const SERVED_PERCENT_MIN: u32 = 90;

/// Plays one organisation that asks for `factor` times as much as each of the others.
fn burst(load: f64, factor: f64, order: Order) -> Outcome {
    let others = f64::from(u32::try_from(ORGANISATION_COUNT - 1).expect("few"));
    let part = 1.0 / (factor + others);
    let mut organisation_parts = vec![part; ORGANISATION_COUNT];
    organisation_parts[0] = part * factor;
    play(&Play {
        load,
        order,
        organisation_parts,
    })
}

/// Returns what callers get if the first organisation asks for as much as each of the others, which
/// ask for as much as in a burst.
fn calm(load: f64) -> Outcome {
    let organisation_count = f64::from(u32::try_from(ORGANISATION_COUNT).expect("few"));
    let calm_load = load * organisation_count / (BURST_FACTOR + organisation_count - 1.0);
    burst(calm_load, 1.0, Order::Shared)
}

fn others(outcome: &Outcome) -> Tally {
    outcome.by_organisation[1..]
        .iter()
        .copied()
        .reduce(Tally::plus)
        .expect("others")
}

fn line(name: &str, outcome: &Outcome) -> String {
    let first = outcome.by_organisation[0].served_percent();
    let of_others = outcome.by_organisation[1..]
        .iter()
        .map(Tally::served_percent);
    let of_others: Vec<String> = of_others.map(|percent| format!("{percent:>3}")).collect();
    format!("{name:<15} {first:>3}  {}", of_others.join(" "))
}

/// An organisation that asked for ten times as much as each of the others took as much from them.
#[rstest]
fn a_burst_of_one_organisation_is_not_paid_by_the_others(#[values(1.3, 2.1, 3.0)] load: f64) {
    let calm = calm(load);
    let ranked = burst(load, BURST_FACTOR, Order::Ranked);
    let shared = burst(load, BURST_FACTOR, Order::Shared);
    let mut table = String::from("served, percent  first others\n");
    for (name, outcome) in [
        ("no burst", &calm),
        ("by rank", &ranked),
        ("by share", &shared),
    ] {
        writeln!(table, "{}", line(name, outcome)).expect("room");
    }
    insta::assert_snapshot!(format!("burst_at_{load:.1}"), table);

    let kept_min = others(&calm).served_percent() * KEPT_PERCENT_MIN / 100;
    assert!(others(&shared).served_percent() >= kept_min, "{table}");
    let first = shared.by_organisation[0].served();
    let most = shared.by_organisation[1..].iter().map(Tally::served).max();
    assert!(Some(first) >= most, "its share is its own: {table}");
    let total = |outcome: &Outcome| outcome.by_kind.iter().map(Tally::served).sum::<u32>();
    let total_min = total(&ranked) * SERVED_PERCENT_MIN / 100;
    assert!(total(&shared) >= total_min, "{table}");
}

/// Organisations that ask for the same lose nothing by shares.
#[test]
fn organisations_that_ask_for_the_same_are_served_the_same() {
    let ranked = burst(2.0, 1.0, Order::Ranked);
    let shared = burst(2.0, 1.0, Order::Shared);
    let total = |outcome: &Outcome| outcome.by_kind.iter().map(Tally::served).sum::<u32>();
    assert!(total(&shared) * 100 >= total(&ranked) * 97);
    let of_organisations = shared.by_organisation.iter().map(Tally::served_percent);
    let (least, most) = (of_organisations.clone().min(), of_organisations.max());
    assert!(least >= most.map(|most| most * 3 / 4), "{least:?} {most:?}");
}
