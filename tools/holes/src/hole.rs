//! Which spans of a day are holes, and what happened at the time.

use std::time;

use crate::report;

/// What counts as a hole, and as being of its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// The least share of requests served in time that makes a span no hole.
    pub served_min: f64,
    /// How long before a span an event may have ended.
    pub aftermath: time::Duration,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            served_min: 0.7,
            aftermath: time::Duration::from_secs(3),
        }
    }
}

/// A span in which few requests were served in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hole<'a> {
    /// The span.
    pub span: &'a report::Span,
    /// The events that lasted in it or ended shortly before, in order of their start.
    pub events: Vec<&'a report::Event>,
}

/// Finds the holes of a day, in order.
///
/// Spans in which nothing had to be served are none.
///
/// # Examples
///
/// ```
/// use pimentohook_holes::{hole, report};
///
/// let text = r#"{
///     "windows": [{
///         "name": "4", "n": 12, "in_aim": 6, "late": 1, "refused": 3, "failed": 0, "not_owed": 2
///     }],
///     "events": [{"at_s": 1.0, "to_s": 2.5, "kind": "kill", "what": "", "planned": false}]
/// }"#;
/// let report = report::decode(text).unwrap();
/// let holes = hole::find(&report, &hole::Rule::default());
/// assert_eq!(holes[0].events[0].kind, "kill");
/// ```
#[must_use]
pub fn find<'a>(report: &'a report::Report, rule: &Rule) -> Vec<Hole<'a>> {
    let is_hole =
        |span: &&report::Span| span.served().is_some_and(|served| served < rule.served_min);
    let holes = report.spans.iter().filter(is_hole);
    let holes = holes.map(|span| Hole {
        span,
        events: events_of(span, &report.events, rule.aftermath),
    });
    holes.collect()
}

fn events_of<'a>(
    span: &report::Span,
    events: &'a [report::Event],
    aftermath: time::Duration,
) -> Vec<&'a report::Event> {
    let is_of_its_time = |event: &&report::Event| {
        let lasts = event
            .end
            .is_none_or(|end| end.saturating_add(aftermath) >= span.start);
        event.start < span.end() && lasts
    };
    events.iter().filter(is_of_its_time).collect()
}
