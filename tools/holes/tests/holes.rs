//! Tests of the list of holes, on reports written by hand.

use std::{fs, path, process, time};

use pimentohook_holes::{hole, report, table};
use rstest::rstest;

/// A day of six spans: 70% served at 0 s, less at 2 and 10 s, nothing at 6 s; at 4 s nothing had to be
/// served, at 8 s all that had to be was.
const REPORT: &str = r#"{
    "something": {"else": [1, 2]},
    "windows": [
        {"name": "0", "n": 10, "in_aim": 7, "late": 0, "refused": 3, "failed": 0, "not_owed": 0, "more": 1},
        {"name": "2", "n": 15, "in_aim": 6, "late": 1, "refused": 2, "failed": 1, "not_owed": 5},
        {"name": "4", "n": 3, "in_aim": 0, "late": 0, "refused": 0, "failed": 0, "not_owed": 3},
        {"name": "6", "n": 8, "in_aim": 0, "late": 0, "refused": 8, "failed": 0, "not_owed": 0},
        {"name": "8", "n": 20, "in_aim": 8, "late": 0, "refused": 0, "failed": 0, "not_owed": 12},
        {"name": "10", "n": 8, "in_aim": 1, "late": 5, "refused": 0, "failed": 2, "not_owed": 0}
    ],
    "events": [
        {"at_s": 4.0, "to_s": 6.5, "kind": "store_away", "what": "", "planned": false},
        {"at_s": -1.0, "to_s": 1.0, "kind": "start", "what": "2", "planned": true},
        {"at_s": 11.5, "to_s": null, "kind": "kill (all)", "what": "", "planned": false},
        {"at_s": 11.9, "to_s": 12.5, "kind": "cut", "what": "a, b", "planned": false},
        {"at_s": 12.0, "to_s": 13.0, "kind": "later", "what": "", "planned": false}
    ]
}"#;

fn holes_of(report: &report::Report, rule: hole::Rule) -> Vec<u64> {
    let holes = hole::find(report, &rule);
    holes.iter().map(|hole| hole.span.start.as_secs()).collect()
}

#[test]
fn spans_in_which_few_were_served_are_holes_and_those_where_nobody_had_to_be_are_none() {
    let report = report::decode(REPORT).expect("a report");
    assert_eq!(holes_of(&report, hole::Rule::default()), [2, 6, 10]);
}

#[test]
fn another_share_makes_other_holes() {
    let report = report::decode(REPORT).expect("a report");
    let rule = |served_min| hole::Rule {
        served_min,
        ..hole::Rule::default()
    };
    assert_eq!(holes_of(&report, rule(0.0)), [0_u64; 0]);
    assert_eq!(holes_of(&report, rule(0.71)), [0, 2, 6, 10]);
    assert_eq!(holes_of(&report, rule(1.0)), [0, 2, 6, 10]);
}

#[test]
fn a_hole_names_what_lasted_in_it_or_was_over_shortly_before() {
    let report = report::decode(REPORT).expect("a report");
    let events_of = |aftermath_s| {
        let rule = hole::Rule {
            aftermath: time::Duration::from_secs(aftermath_s),
            ..hole::Rule::default()
        };
        let holes = hole::find(&report, &rule);
        let names = holes.iter().map(|hole| {
            let names = hole.events.iter().map(|event| event.kind.as_str());
            names.collect::<Vec<_>>().join(", ")
        });
        names.collect::<Vec<_>>()
    };
    assert_eq!(events_of(0), ["", "store_away", "kill (all), cut"]);
    assert_eq!(events_of(3), ["start", "store_away", "kill (all), cut"]);
    assert_eq!(
        events_of(9),
        [
            "start",
            "start, store_away",
            "start, store_away, kill (all), cut"
        ]
    );
}

#[test]
fn times_at_the_end_of_their_range_are_compared() {
    let text = r#"{
        "windows": [{"name": "18446744073709551615", "n": 1, "in_aim": 0, "late": 0, "refused": 1, "failed": 0, "not_owed": 0}],
        "events": [{"at_s": 1.0, "to_s": 1.8e19, "kind": "kill", "what": "", "planned": false}]
    }"#;
    let report = report::decode(text).expect("a report");
    let holes = hole::find(&report, &hole::Rule::default());
    assert_eq!(holes[0].events, [] as [&report::Event; 0]);
}

#[test]
fn the_table_has_a_row_for_each_hole() {
    let report = report::decode(REPORT).expect("a report");
    let holes = hole::find(&report, &hole::Rule::default());
    let expected = "\
| day | second | served | asked | late | refused | failed | not owed | faults and planned work |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
| a day | 2 | 0.60 | 15 | 1 | 2 | 1 | 5 | start of 2 0.0-1.0 planned over |
| a day | 6 | 0.00 | 8 | 0 | 8 | 0 | 0 | store_away 4.0-6.5 |
| a day | 10 | 0.12 | 8 | 5 | 0 | 2 | 0 | kill (all) 11.5; cut of a, b 11.9-12.5 |
";
    let days = [
        (String::from("without holes"), Vec::new()),
        (String::from("a day"), holes),
    ];
    assert_eq!(table::write(&days), expected);
    assert_eq!(table::write(&days[..1]), "no hole\n");
}

#[rstest]
#[case::no_json("windows", "it is no report of a day")]
#[case::no_windows(r#"{"events": []}"#, "missing field `windows`")]
#[case::no_events(r#"{"windows": []}"#, "missing field `events`")]
#[case::no_second(
    r#"{"windows": [{"name": "a", "n": 1, "in_aim": 1, "late": 0, "refused": 0, "failed": 0, "not_owed": 0}], "events": []}"#,
    "\"a\" is not named by a second"
)]
#[case::more_outcomes_than_requests(
    r#"{"windows": [{"name": "2", "n": 1, "in_aim": 1, "late": 1, "refused": 0, "failed": 0, "not_owed": 0}], "events": []}"#,
    "the window at 2 s has 2 outcomes of 1 requests"
)]
#[case::endless_time(
    r#"{"windows": [], "events": [{"at_s": 1e300, "to_s": null, "kind": "kill", "what": "", "planned": false}]}"#,
    "out of range"
)]
fn a_report_that_makes_no_sense_is_an_error(#[case] text: &str, #[case] expected: &str) {
    let error = report::decode(text).expect_err("an error");
    assert!(error.to_string().contains(expected), "{error}");
}

fn run(name: &str, text: &str) -> process::Output {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, text).expect("the report is written");
    let mut program = process::Command::new(env!("CARGO_BIN_EXE_pimentohook-holes"));
    program.arg(file).output().expect("the program runs")
}

#[test]
fn the_program_returns_whether_there_are_holes() {
    let output = run("with-holes.json", REPORT);
    let text = String::from_utf8(output.stdout).expect("text");
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains("| with-holes | 6 | 0.00 |"), "{text}");

    let output = run("without.json", r#"{"windows": [], "events": []}"#);
    assert_eq!(output.status.code(), Some(0));

    let output = run("unreadable.json", "{");
    let error = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        error.contains("unreadable.json: it is no report of a day"),
        "{error}"
    );
}
