//! What routes allowed before configurations replaced them.
//!
//! For a while after a change either configuration may be used, and a request that is under way meets
//! several of them in a series of changes. So what ends a stream is the longest timeout that its route
//! had in the meantime, and a request may run again only if all of them allow it, on as many upstreams
//! as all of them allow; this is where the routes that are no longer in force are kept, as far as they
//! bind more.

use std::time;

use indexmap::IndexSet;

use crate::{route_index, routes};

/// How long a replaced route is kept; no request lasts longer.
const RETENTION: time::Duration = time::Duration::from_mins(1);
/// The maximum number of replaced routes that are kept.
const ROUTES_MAX: usize = 8_192;

/// What a route allowed until a change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplacedRoute {
    host: String,
    path_prefix: String,
    /// The prefixes of routes below it, which select their own paths.
    inner_prefixes: Vec<String>,
    timeout: time::Duration,
    may_repeat: bool,
    attempts_max: u32,
    replaced_at: time::Instant,
}

impl ReplacedRoute {
    /// Returns whether the route selected this path until the change.
    fn selects(&self, path: &str) -> bool {
        let is_inner = |prefix: &String| path.starts_with(prefix.as_str());
        path.starts_with(&self.path_prefix) && !self.inner_prefixes.iter().any(is_inner)
    }
}

/// The routes that have been replaced lately by ones that allow less time or more runs, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplacedRoutes {
    routes: Vec<ReplacedRoute>,
}

impl ReplacedRoutes {
    /// Records the routes whose requests may take less time, may repeat only now or more often, or have
    /// no route any more in the configuration that comes into force, all of them or those with some
    /// paths.
    pub fn record(
        &mut self,
        now: time::Instant,
        before: &routes::RouteTable,
        after: &routes::RouteTable,
    ) {
        self.routes
            .retain(|replaced| now < replaced.replaced_at + RETENTION);
        for (host, routes) in &before.hosts {
            let before = route_index::RouteIndex::new(routes);
            let after = after.hosts.get(host).map_or(&[][..], Vec::as_slice);
            let binding = binding_routes(&before, after);
            self.routes.extend(binding.map(|route| ReplacedRoute {
                host: host.clone(),
                path_prefix: route.path_prefix.clone(),
                inner_prefixes: inner_prefixes(&before, route),
                timeout: route.timeout,
                may_repeat: route.may_repeat(),
                attempts_max: route.attempts_max,
                replaced_at: now,
            }));
        }
        let excess = self.routes.len().saturating_sub(ROUTES_MAX);
        self.routes.drain(..excess);
    }

    /// Returns the longest timeout that was replaced after `since` for a host and a path.
    #[must_use]
    pub fn longest_timeout_since(
        &self,
        since: time::Instant,
        host: &str,
        path: &str,
    ) -> Option<time::Duration> {
        let replaced = self.replaced_since(since, host, path);
        replaced.map(|replaced| replaced.timeout).max()
    }

    /// Returns whether all routes that were replaced after `since` for a host and a path let requests
    /// run again that may have run.
    #[must_use]
    pub fn may_repeat_since(&self, since: time::Instant, host: &str, path: &str) -> bool {
        let mut replaced = self.replaced_since(since, host, path);
        replaced.all(|replaced| replaced.may_repeat)
    }

    /// Returns the least number of upstreams that might run a request by the routes that were replaced
    /// after `since` for a host and a path; `None` if there are none.
    #[must_use]
    pub fn least_attempts_max_since(
        &self,
        since: time::Instant,
        host: &str,
        path: &str,
    ) -> Option<u32> {
        let replaced = self.replaced_since(since, host, path);
        replaced.map(|replaced| replaced.attempts_max).min()
    }

    fn replaced_since(
        &self,
        since: time::Instant,
        host: &str,
        path: &str,
    ) -> impl Iterator<Item = &ReplacedRoute> {
        self.routes.iter().filter(move |replaced| {
            replaced.replaced_at > since && replaced.host == host && replaced.selects(path)
        })
    }
}

/// Returns the routes of a host whose requests may be on one now that allows less time or more runs, or on
/// none.
fn binding_routes<'a>(
    before: &'a route_index::RouteIndex<'a>,
    after: &'a [routes::Route],
) -> impl Iterator<Item = &'a routes::Route> {
    let index = route_index::RouteIndex::new(after);
    let split_off = routes_split_into_others(before, after);
    before.routes().filter(move |route| {
        let now = index.select(&route.path_prefix);
        now.is_none_or(|now| allows_other(route, now))
            || split_off.contains(route.path_prefix.as_str())
    })
}

/// Returns the prefixes of the routes that took some path which has a route now that allows less time or
/// more runs.
fn routes_split_into_others<'a>(
    before: &route_index::RouteIndex<'a>,
    after: &[routes::Route],
) -> IndexSet<&'a str> {
    let split = after.iter().filter_map(|inner| {
        let earlier = before.select(&inner.path_prefix)?;
        allows_other(earlier, inner).then_some(earlier.path_prefix.as_str())
    });
    split.collect()
}

/// Returns whether `now` allows less time or more runs than `route`.
fn allows_other(route: &routes::Route, now: &routes::Route) -> bool {
    let is_lowered = now.timeout < route.timeout;
    let repeats_only_now = now.may_repeat() && !route.may_repeat();
    let has_more_attempts = now.attempts_max > route.attempts_max;
    is_lowered || repeats_only_now || has_more_attempts
}

/// Returns the prefixes of the routes of a host that are below a route.
fn inner_prefixes(routes: &route_index::RouteIndex<'_>, route: &routes::Route) -> Vec<String> {
    let inner = routes.below(&route.path_prefix);
    inner.map(|inner| inner.path_prefix.clone()).collect()
}
