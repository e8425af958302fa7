//! Event streams that are cut anywhere, or that are not valid.

use pimentohook_core::event_stream::{EventReader, Violation};
use proptest::prelude::*;
use rstest::rstest;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece-{id}\n\n")
}

proptest! {
    #[test]
    fn events_are_the_same_however_the_stream_is_cut(
        ids in prop::collection::btree_set(1..1_000_u64, 0..20),
        cuts in prop::collection::vec(1..40_usize, 1..20),
    ) {
        let text: String = ids.iter().map(|id| event(*id)).collect();
        let mut reader = EventReader::new(None);
        let mut taken = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            reader.push(piece);
            taken.extend(reader.take());
            rest = after;
        }
        prop_assert_eq!(String::from_utf8_lossy(&taken), text);
        prop_assert_eq!(reader.last_id(), ids.last().copied());
        prop_assert!(reader.is_at_boundary());
    }
}

#[rstest]
#[case::same_id(event(2), Violation::IdNotIncreasing)]
#[case::earlier_id(event(1), Violation::IdNotIncreasing)]
#[case::no_id(String::from("data: a\n\n"), Violation::IdMissing)]
#[case::no_number(String::from("id: x\ndata: a\n\n"), Violation::IdMissing)]
#[case::text(String::from("upstream failed\n\n"), Violation::NotAnEvent)]
#[case::head(
    String::from("HTTP/1.1 503 Busy\r\nServer: a\r\n\r\n"),
    Violation::NotAnEvent
)]
#[case::head_in_an_event(
    String::from("id: 3\ndata: aHTTP/1.1 503 Busy\r\nserver: a\r\n\r\n"),
    Violation::NotAnEvent
)]
#[case::extension_after_a_field(
    String::from("id: 3\ndata: aHTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n\r\n"),
    Violation::NotAnEvent
)]
#[case::long_event("a".repeat(300 << 10), Violation::EventTooLong)]
#[case::long_comments(": a\n\n".repeat(2 << 20), Violation::StreamTooLong)]
fn nothing_is_forwarded_from_where_a_stream_is_not_valid(
    #[case] text: String,
    #[case] expected: Violation,
) {
    let mut reader = EventReader::new(None);
    reader.push(event(2).as_bytes());
    assert_eq!(reader.take(), event(2).as_bytes());
    reader.push(text.as_bytes());
    reader.push(event(9).as_bytes());
    assert_eq!(reader.violation(), Some(expected));
    assert!(!reader.is_at_boundary());
    let taken = String::from_utf8(reader.take()).expect("text");
    assert!(!taken.contains("data"), "{taken}");
}

#[rstest]
#[case::line_feeds("id: 1\ndata: a\n\n")]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n")]
#[case::version_first("x-weight-versions: 2\nid: 1\ndata: a\n\n")]
#[case::all_fields(": comment\nevent: a\nid: 1\nretry: 10\ndata: a\ndata\n\n")]
#[case::comment("id: 1\ndata: a\n\n: comment\n\n")]
#[case::without_ids("data: a\n\ndata: b\n\n")]
fn valid_events_are_forwarded_unchanged(#[case] text: &str) {
    let mut reader = EventReader::new(None);
    reader.push(text.as_bytes());
    assert_eq!(reader.take(), text.as_bytes());
    assert!(reader.is_at_boundary());
}

#[test]
fn a_resumed_stream_must_go_on_after_the_last_event() {
    let mut reader = EventReader::new(Some(5));
    reader.push((event(6) + &event(6)).as_bytes());
    assert_eq!(reader.take(), event(6).as_bytes());
    assert_eq!(reader.violation(), Some(Violation::IdNotIncreasing));
}

/// A stream of comments that was closed looked whole.
#[rstest]
#[case::nothing("", false)]
#[case::empty_lines("\n\r\n\r\n", false)]
#[case::comments(": a\n\n:\r\n: b\r\n\r\n", false)]
#[case::part_of_an_event("id: 6\ndata: a\n", false)]
#[case::event("id: 6\ndata: a\n\n", true)]
#[case::event_after_a_comment(": a\n\nid: 6\ndata: a\n\n", true)]
fn only_an_event_begins_a_stream(#[case] text: &str, #[case] expected: bool) {
    let mut reader = EventReader::new(Some(5));
    reader.push(text.as_bytes());
    reader.take();
    assert_eq!(reader.has_begun(), expected);
}

/// A stream without ids was resumed from its start.
#[rstest]
#[case::nothing("", true)]
#[case::comment(": a\n\n", true)]
#[case::ids("id: 1\ndata: a\n\n: a\n\nid: 2\ndata: a\n\n", true)]
#[case::no_id("data: a\n\n", false)]
#[case::no_number("id: x\ndata: a\n\n", false)]
#[case::no_id_at_first("data: a\n\nid: 1\ndata: a\n\n", false)]
fn a_stream_is_resumable_if_its_events_have_ids(#[case] text: &str, #[case] expected: bool) {
    let mut reader = EventReader::new(None);
    reader.push(text.as_bytes());
    assert_eq!(reader.is_resumable(), expected);
}
