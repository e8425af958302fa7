//! Limits that upstreams name: how many requests per second an upstream takes from all entries
//! together.
//!
//! An upstream in need states its limit in its responses, for as long as it has one. Every entry
//! sees other responses, so each has its own belief of the limit.
//!
//! * [`rate`]: rates of requests.
//! * [`belief`]: what an entry believes of an upstream's limit, and which statement is newer.

pub mod belief;
pub mod rate;
