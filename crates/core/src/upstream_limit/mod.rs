//! Limits that upstreams name: how many requests per second an upstream takes from all entries
//! together.
//!
//! An upstream in need states its limit in its responses, for as long as it has one. Every entry
//! sees other responses, so each has its own belief of the limit. A request may be sent to a limited
//! upstream only with a permit. One entry, the coordinator of the upstream, grants permits at the
//! limited rate to all entries. An entry that can't reach the coordinator uses its own equal share
//! of the limit instead, and a coordinator that misses entries grants less, so that the parts of a
//! divided fleet don't exceed the limit together.
//!
//! * [`rate`]: rates of requests.
//! * [`belief`]: what an entry believes of an upstream's limit, and which statement is newer.
//! * [`bucket`]: the permits that a coordinator grants.
//! * [`pocket`]: the permits that an entry holds.
//! * [`fleet`]: the coordinator of an upstream, and the shares of a limit.

pub mod belief;
pub mod bucket;
pub mod fleet;
pub mod pocket;
pub mod rate;
