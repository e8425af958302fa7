//! Kinds of requests of different urgency.

use std::fmt::Write as _;

use rstest::rstest;

use super::{
    simulation::{Order, Play, play},
    tally::Tally,
};

/// How much less often than a less urgent kind a kind may be served, in percent of its requests.
const SERVED_LESS_MAX_PERCENT: u32 = 3;

/// Formats what became of a kind, formerly and by rank, in percent.
fn comparison(former: &Tally, ranked: &Tally) -> String {
    let figures: [fn(&Tally) -> u32; 5] = [
        |tally| tally.in_goal * 100 / tally.asked,
        |tally| tally.late * 100 / tally.asked,
        |tally| tally.refused * 100 / tally.asked,
        |tally| tally.refused_again * 100 / tally.asked,
        Tally::large_percent,
    ];
    let columns = figures.map(|figure| format!("{:>3} -> {:>3}", figure(former), figure(ranked)));
    columns.join("  ")
}

fn kinds(load: f64, is_ranked: bool) -> [Tally; 3] {
    let order = if is_ranked {
        Order::Ranked
    } else {
        Order::Former
    };
    play(&Play::of_one_organisation(load, order)).by_kind
}

/// Without ranks, the most urgent kind was refused as often as the least urgent one.
#[rstest]
fn urgent_kinds_are_served_first_and_no_kind_is_starved(
    #[values(0.7, 1.0, 1.3, 2.0, 3.0)] load: f64,
) {
    let (former, ranked) = (kinds(load, false), kinds(load, true));
    let mut table =
        String::from("rank  in goal      late   refused  refused again  large served\n");
    for (rank, (former, ranked)) in former.iter().zip(&ranked).enumerate() {
        writeln!(table, "   {rank}  {}", comparison(former, ranked)).expect("room");
    }
    insta::assert_snapshot!(format!("ranks_at_{load:.1}"), table);

    for pair in ranked.windows(2) {
        let [urgent, usual] = [pair[0].served_percent(), pair[1].served_percent()];
        assert!(urgent + SERVED_LESS_MAX_PERCENT >= usual, "{table}");
    }
    let total = |count: fn(&Tally) -> u32| ranked.iter().map(count).sum::<u32>();
    let mean = total(Tally::served) * 100 / total(|tally| tally.asked);
    for tally in &ranked {
        assert!(tally.served_percent() * 4 >= mean, "{table}");
        assert!(
            tally.large_percent() * 2 >= tally.served_percent(),
            "{table}"
        );
    }
    let former_served: u32 = former.iter().map(Tally::served).sum();
    assert!(total(Tally::served) * 100 >= former_served * 95, "{table}");
}
