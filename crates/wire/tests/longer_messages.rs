//! Tests that a process reads messages of a newer build, whose structs have more fields.

use pimentohook_wire as wire;
use rstest::rstest;
use serde::{Deserialize, Serialize, de};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Known {
    name: String,
    parts: Vec<Part>,
    #[serde(default)]
    note: Option<Note>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Part(u32, String);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Note {
    Empty,
    Text(String),
    Span { from_ms: u64, until_ms: u64 },
}

#[derive(Serialize)]
struct Newer {
    name: String,
    parts: Vec<NewerPart>,
    note: Option<NewerNote>,
    count: u64,
    names: Vec<String>,
}

#[derive(Serialize)]
struct NewerPart(u32, String, f64);

#[derive(Serialize)]
#[expect(dead_code, reason = "variants are encoded by their index")]
enum NewerNote {
    Empty,
    Text(String),
    Span {
        from_ms: u64,
        until_ms: u64,
        names: Vec<String>,
    },
}

fn newer() -> Newer {
    Newer {
        name: String::from("entry-1"),
        parts: vec![
            NewerPart(1, String::from("first"), 0.5),
            NewerPart(2, String::from("second"), 1.5),
        ],
        note: Some(NewerNote::Span {
            from_ms: 3,
            until_ms: 4,
            names: vec![String::from("unknown")],
        }),
        count: 7,
        names: vec![String::from("unknown")],
    }
}

fn known() -> Known {
    Known {
        name: String::from("entry-1"),
        parts: vec![
            Part(1, String::from("first")),
            Part(2, String::from("second")),
        ],
        note: Some(Note::Span {
            from_ms: 3,
            until_ms: 4,
        }),
    }
}

/// Entries took a reply that a newer build had made longer for a lost one.
#[test]
fn fields_that_a_newer_build_has_appended_are_ignored_at_each_level() {
    let bytes = wire::to_bytes(&newer()).expect("encodes");
    let decoded: Known = wire::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded, known());
}

#[rstest]
#[case::none(None)]
#[case::unit(Some(Note::Empty))]
#[case::text(Some(Note::Text(String::from("text"))))]
#[case::span(Some(Note::Span { from_ms: 1, until_ms: 2 }))]
fn messages_of_the_same_build_are_read_as_they_were_written(#[case] note: Option<Note>) {
    let message = Known { note, ..known() };
    let bytes = wire::to_bytes(&message).expect("encodes");
    let decoded: Known = wire::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded, message);
}

#[test]
fn a_field_that_an_older_build_lacks_has_its_default() {
    let bytes = wire::to_bytes(&("entry-1", Vec::<(u32, String)>::new())).expect("encodes");
    let decoded: Known = wire::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded.note, None);
}

fn assert_refused<T>(bytes: &[u8])
where
    T: de::DeserializeOwned + std::fmt::Debug,
{
    let decoded: Result<T, _> = wire::from_bytes(bytes);
    decoded.expect_err("not such a message");
}

#[test]
fn other_messages_are_still_refused() {
    let bytes = wire::to_bytes(&newer()).expect("encodes");
    for length in 0..bytes.len() {
        assert_refused::<Known>(&bytes[..length]);
    }
    let other = wire::to_bytes(&(1, 2)).expect("encodes");
    assert_refused::<Known>(&other);
}
