//! The burn report: its texts, and its edges.

use std::time;

use indexmap::IndexMap;
use pimentohook_core::{
    id,
    report::{
        EntryCounts, Objective,
        commands::{Counter, Outcome},
        page, queries,
    },
};

const OBJECTIVE: Objective = Objective {
    availability_ppm: 990_000,
    latency_ms: 470,
    latency_ppm: 950_000,
};
const FAST: time::Duration = time::Duration::from_millis(100);
const SLOW: time::Duration = time::Duration::from_millis(900);

fn service() -> id::ServiceName {
    "assistant".parse().expect("a name")
}

fn objectives() -> IndexMap<id::ServiceName, Objective> {
    IndexMap::from([(service(), OBJECTIVE)])
}

/// Counts of an entry that has lived for some minutes, with the same traffic in each.
fn counts(lived_minutes: u64, fast: u64, slow: u64, failed: u64) -> EntryCounts {
    let zero = time::Instant::now();
    let at = |minute: u64| zero + time::Duration::from_mins(minute);
    let mut counter = Counter::new(zero);
    for minute in 0..=lived_minutes {
        let outcomes = [
            (fast, Outcome::Answered(FAST)),
            (slow, Outcome::Answered(SLOW)),
            (failed, Outcome::Failed),
        ];
        for (count, outcome) in outcomes {
            for _ in 0..count {
                counter.record(at(minute), &service(), outcome, OBJECTIVE.latency_ms);
            }
        }
    }
    counter.to_counts(at(lived_minutes))
}

#[test]
fn a_steady_service_in_text_json_and_as_a_page() {
    let heard = IndexMap::from([
        (String::from("entry-1"), counts(400, 95, 3, 2)),
        (String::from("entry-2"), counts(400, 97, 3, 0)),
    ]);
    let report = queries::burn(&objectives(), &heard, &[]);
    insta::assert_snapshot!("steady_text", page::to_text(&report));
    insta::assert_json_snapshot!("steady_json", report);
    insta::assert_snapshot!("steady_page", page::to_html(&report));
}

#[test]
fn no_traffic_is_said_and_not_called_good() {
    let heard = IndexMap::from([(String::from("entry-1"), counts(10, 0, 0, 0))]);
    let report = queries::burn(&objectives(), &heard, &[]);
    insta::assert_snapshot!(page::to_text(&report), @r"
    assistant: no traffic
      5 min: failures -, slow -, 0 requests
      60 min (partial): failures -, slow -, 0 requests
      360 min (partial): failures -, slow -, 0 requests
    entries heard: 1
    ");
}

#[test]
fn a_restart_and_a_missing_entry_are_said() {
    let heard = IndexMap::from([
        (String::from("entry-1"), counts(400, 100, 0, 0)),
        (String::from("entry-2"), counts(7, 50, 0, 50)),
    ]);
    let missing = [String::from("entry-3")];
    let report = queries::burn(&objectives(), &heard, &missing);
    insta::assert_snapshot!(page::to_text(&report), @r"
    assistant: -9% of the budget left
      5 min: failures 25.0x, slow 0.0x, 1000 requests
      60 min (partial): failures 5.9x, slow 0.0x, 6800 requests
      360 min (partial): failures 1.1x, slow 0.0x, 36800 requests
      first byte: p50 100 ms, p99 100 ms
    entries heard: 2
    entries missing, not counted: entry-3
    ");
}

#[test]
fn minutes_without_traffic_push_old_ones_out_of_the_window() {
    let zero = time::Instant::now();
    let mut counter = Counter::new(zero);
    counter.record(zero, &service(), Outcome::Failed, OBJECTIVE.latency_ms);
    let later = zero + time::Duration::from_mins(30);
    let heard = IndexMap::from([(String::from("entry-1"), counter.to_counts(later))]);
    let report = queries::burn(&objectives(), &heard, &[]);
    let windows = &report.services[0].windows;
    assert_eq!(windows[0].request_count, 0);
    assert_eq!(windows[1].request_count, 1);
}
