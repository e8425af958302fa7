//! The burn report: its formats and its edge cases.

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

/// Returns the counts of an entry with an uptime of `uptime_minutes` and the same traffic in each
/// minute.
fn counts(uptime_minutes: u64, fast: u64, slow: u64, failed: u64) -> EntryCounts {
    let started_at = time::Instant::now();
    let at = |minute: u64| started_at + time::Duration::from_mins(minute);
    let mut counter = Counter::new(started_at);
    for minute in 0..=uptime_minutes {
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
    counter.to_counts(at(uptime_minutes))
}

#[test]
fn steady_traffic_is_reported_as_text_json_and_html() {
    let counts_by_entry = IndexMap::from([
        (String::from("entry-1"), counts(400, 95, 3, 2)),
        (String::from("entry-2"), counts(400, 97, 3, 0)),
    ]);
    let report = queries::burn(&objectives(), &counts_by_entry, &[]);
    insta::assert_snapshot!("steady_text", page::to_text(&report));
    insta::assert_json_snapshot!("steady_json", report);
    insta::assert_snapshot!("steady_page", page::to_html(&report));
}

#[test]
fn missing_traffic_is_reported_and_not_counted_as_good() {
    let counts_by_entry = IndexMap::from([(String::from("entry-1"), counts(10, 0, 0, 0))]);
    let report = queries::burn(&objectives(), &counts_by_entry, &[]);
    insta::assert_snapshot!(page::to_text(&report), @r"
    assistant: no traffic
      5 min: failures -, slow -, 0 requests
      60 min (partial): failures -, slow -, 0 requests
      360 min (partial): failures -, slow -, 0 requests
    entries heard: 1
    ");
}

#[test]
fn a_restarted_and_a_missing_entry_are_reported() {
    let counts_by_entry = IndexMap::from([
        (String::from("entry-1"), counts(400, 100, 0, 0)),
        (String::from("entry-2"), counts(7, 50, 0, 50)),
    ]);
    let missing = [String::from("entry-3")];
    let report = queries::burn(&objectives(), &counts_by_entry, &missing);
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
fn minutes_without_traffic_move_old_ones_out_of_the_window() {
    let started_at = time::Instant::now();
    let mut counter = Counter::new(started_at);
    counter.record(
        started_at,
        &service(),
        Outcome::Failed,
        OBJECTIVE.latency_ms,
    );
    let later = started_at + time::Duration::from_mins(30);
    let counts_by_entry = IndexMap::from([(String::from("entry-1"), counter.to_counts(later))]);
    let report = queries::burn(&objectives(), &counts_by_entry, &[]);
    let windows = &report.services[0].windows;
    assert_eq!(windows[0].request_count, 0);
    assert_eq!(windows[1].request_count, 1);
}
