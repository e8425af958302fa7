//! Lists the holes of played days: the spans in which few of the requests were served in time, each
//! with the faults and the planned work of that time.
//!
//! * [`report`]: reads the report of a day; the bench's own words are decoded there and nowhere else.
//! * [`hole`]: decides which spans are holes, and what happened at the time.
//! * [`table`]: writes holes as a table in Markdown.
//! * [`settings`]: the command line.

pub mod hole;
pub mod report;
pub mod settings;
pub mod table;
