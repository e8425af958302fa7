//! A check of a configuration before it is sent: errors, entries that never match, limits that
//! contradict each other, and what differs from the configuration in force.
//!
//! * [`findings`]: what is wrong with one configuration.
//! * [`differences`]: what callers will notice of a change from one to another.
//!
//! Both take what the platform's decoder has read, so that the check sees what entries will see.

mod difference;
mod finding;

use crate::routes;

pub use self::{
    difference::{Change, Difference, differences},
    finding::{Finding, Problem, findings},
};

/// A configuration as it was read, with where each of its parts stands.
#[derive(Clone, Debug, Default)]
pub struct ReadConfiguration {
    /// What entries put into force.
    pub table: routes::RouteTable,
    /// The routes, in the order in which they were written.
    pub routes: Vec<ReadRoute>,
    /// The services.
    pub services: Vec<ReadService>,
    /// The organisations; also those without keys.
    pub organisations: Vec<ReadOrganisation>,
    /// The fields that can't be read.
    pub unreadable: Vec<UnreadableField>,
}

/// A route and where it stands.
#[derive(Clone, Debug)]
pub struct ReadRoute {
    /// Where it stands, as operators write it.
    pub path: String,
    /// The host, in lower case.
    pub host: String,
    /// The route.
    pub route: routes::Route,
}

/// A service and where it stands.
#[derive(Clone, Debug)]
pub struct ReadService {
    /// Where it stands, as operators write it.
    pub path: String,
    /// Its name.
    pub name: String,
    /// Whether it has a time in which instances are cold, but bears no requests in it.
    pub has_cold_time_without_rate: bool,
}

/// An organisation and where it stands.
#[derive(Clone, Debug)]
pub struct ReadOrganisation {
    /// Where it stands, as operators write it.
    pub path: String,
    /// The organisation.
    pub organisation: routes::Organisation,
    /// Its API keys.
    pub keys: Vec<String>,
}

/// A field that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableField {
    /// Where it stands, as operators write it.
    pub path: String,
    /// What entries take it for.
    pub taken_for: String,
}
