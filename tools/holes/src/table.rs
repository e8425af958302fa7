//! Holes as a table in Markdown.

use std::{fmt::Write as _, time};

use crate::{hole, report};

const HEAD: &str = "| day | second | served | asked | late | refused | failed | not owed | faults and planned work |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

/// Writes the holes of days, each with the name of its day, or one line if there are none.
#[must_use]
pub fn write(days: &[(String, Vec<hole::Hole<'_>>)]) -> String {
    let rows = days
        .iter()
        .flat_map(|(day, holes)| holes.iter().map(|hole| row(day, hole)));
    let rows: String = rows.collect();
    if rows.is_empty() {
        return String::from("no hole\n");
    }
    format!("{HEAD}{rows}")
}

fn row(day: &str, hole: &hole::Hole<'_>) -> String {
    let span = hole.span;
    let events: Vec<String> = hole.events.iter().map(|event| name(event, span)).collect();
    let events = if events.is_empty() {
        String::from("none")
    } else {
        events.join("; ")
    };
    let served = span.served().unwrap_or_default();
    format!(
        "| {day} | {} | {served:.2} | {} | {} | {} | {} | {} | {events} |\n",
        span.start.as_secs(),
        span.asked,
        span.late,
        span.refused,
        span.failed,
        span.not_owed,
    )
}

/// Returns an event with its subject and its times in seconds; what was planned and what was over
/// are marked.
fn name(event: &report::Event, span: &report::Span) -> String {
    let mut text = event.kind.clone();
    if !event.subject.is_empty() {
        write!(text, " of {}", event.subject).expect("a string takes any text");
    }
    write!(text, " {}", seconds(event.start)).expect("a string takes any text");
    if let Some(end) = event.end {
        write!(text, "-{}", seconds(end)).expect("a string takes any text");
    }
    if event.is_planned {
        text.push_str(" planned");
    }
    if event.end.is_some_and(|end| end < span.start) {
        text.push_str(" over");
    }
    text
}

/// Returns a time in seconds, to a tenth.
fn seconds(time: time::Duration) -> String {
    format!("{:.1}", time.as_secs_f64())
}
