//! Timeouts of routes that configurations have lowered.
//!
//! For a while after a change either configuration may be used, and a request that is under way meets
//! several of them in a series of changes. So what ends a stream is the longest timeout that its route
//! had in the meantime; this is where the ones that are no longer in force are kept.

use std::time;

use crate::routes;

/// How long a lowered timeout is kept; no request lasts longer.
const RETENTION: time::Duration = time::Duration::from_mins(1);
/// The maximum number of timeouts that are kept.
const TIMEOUTS_MAX: usize = 8_192;

/// A timeout that a route had until a change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LoweredTimeout {
    host: String,
    path_prefix: String,
    /// The prefixes of routes below it, which select their own paths.
    inner_prefixes: Vec<String>,
    timeout: time::Duration,
    replaced_at: time::Instant,
}

impl LoweredTimeout {
    /// Returns whether the route selected this path until the change.
    fn selects(&self, path: &str) -> bool {
        let is_inner = |prefix: &String| path.starts_with(prefix.as_str());
        path.starts_with(&self.path_prefix) && !self.inner_prefixes.iter().any(is_inner)
    }
}

/// The timeouts that have been lowered lately, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoweredTimeouts {
    timeouts: Vec<LoweredTimeout>,
}

impl LoweredTimeouts {
    /// Records the routes whose timeouts are lower in the configuration that comes into force.
    pub fn record(
        &mut self,
        now: time::Instant,
        before: &routes::RouteTable,
        after: &routes::RouteTable,
    ) {
        self.timeouts
            .retain(|lowered| now < lowered.replaced_at + RETENTION);
        for (host, routes) in &before.hosts {
            let lowered = routes.iter().filter(|route| is_lowered(host, route, after));
            self.timeouts.extend(lowered.map(|route| LoweredTimeout {
                host: host.clone(),
                path_prefix: route.path_prefix.clone(),
                inner_prefixes: inner_prefixes(route, routes),
                timeout: route.timeout,
                replaced_at: now,
            }));
        }
        let excess = self.timeouts.len().saturating_sub(TIMEOUTS_MAX);
        self.timeouts.drain(..excess);
    }

    /// Returns the longest timeout that was replaced after `since` for a host and a path.
    #[must_use]
    pub fn longest_since(
        &self,
        since: time::Instant,
        host: &str,
        path: &str,
    ) -> Option<time::Duration> {
        let matching = self.timeouts.iter().filter(|lowered| {
            lowered.replaced_at > since && lowered.host == host && lowered.selects(path)
        });
        matching.map(|lowered| lowered.timeout).max()
    }
}

fn is_lowered(host: &str, route: &routes::Route, after: &routes::RouteTable) -> bool {
    let now = after.select(host, &route.path_prefix);
    now.is_some_and(|now| now.timeout < route.timeout)
}

/// Returns the prefixes of the routes of a host that are below a route.
fn inner_prefixes(route: &routes::Route, routes: &[routes::Route]) -> Vec<String> {
    let prefixes = routes.iter().map(|other| &other.path_prefix);
    let inner = prefixes.filter(|prefix| {
        prefix.len() > route.path_prefix.len() && prefix.starts_with(&route.path_prefix)
    });
    inner.cloned().collect()
}
