//! Routes: which service a caller's request goes to, and what may be done with it there.
//!
//! A [`RouteTable`] is one version of the configuration for callers. A route is found by the host
//! and the longest path prefix; the organisation by its API key.
//!
//! ```
//! use pimentohook_core::routes;
//!
//! let table = routes::RouteTable::default();
//! assert!(table.select("drafts.example", "/notes/").is_none());
//! ```

use std::time;

use indexmap::IndexMap;

use crate::{engine, id};

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each sending by a caller.
    AtMostOnce,
}

/// One service among those that share a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// Where requests for a path go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The start of the paths it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be sent again after it may have run.
    pub repeat: RepeatPolicy,
    /// Whether answers are streams of events.
    pub streaming: bool,
    /// Whether a stream may go on at another upstream after its last event.
    pub resumable: bool,
    /// The longest that a request may be kept.
    pub timeout: time::Duration,
    /// The time within which an answer is worth most; for streams, its first event.
    pub goal: time::Duration,
    /// The services; never empty.
    pub targets: Vec<Target>,
    /// How many upstreams may run one sending of a request.
    pub attempts_max: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a request; `draw` is a uniformly drawn number.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&id::ServiceName> {
        let total: u64 = self.targets.iter().map(|one| u64::from(one.weight)).sum();
        let mut rest = u64::from(draw) * total / (u64::from(u32::MAX) + 1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return Some(&target.service);
            }
            rest -= weight;
        }
        self.targets.last().map(|target| &target.service)
    }

    /// Returns whether a request that may have run may be sent to another upstream.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        if self.streaming {
            return self.resumable;
        }
        matches!(self.repeat, RepeatPolicy::Idempotent)
    }
}

/// A service as the configuration describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// What its engines can do; `None` for a plain service.
    pub engine: Option<engine::EngineProfile>,
    /// Where weights come from first, if this service is the origin.
    pub origin: Option<std::net::SocketAddr>,
    /// How many connections one of its instances takes from all callers together.
    pub connections_max: Option<u32>,
}

/// An organisation whose keys are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which upstreams are told.
    pub name: String,
}

/// The share of an instance's connections that entries may keep idle between them, as a divisor.
///
/// An instance doesn't learn of entries that lost power, and goes on counting their connections;
/// it has to have room for those of the entries that come after them.
const IDLE_DIVISOR: u32 = 3;

/// Returns how many idle connections each of `entry_count` entries may keep to an instance.
///
/// It is a power of two, so that it rarely changes as entries come and go.
#[must_use]
pub fn idle_connections(connections_max: u32, entry_count: u32) -> u32 {
    let share = connections_max / IDLE_DIVISOR / entry_count.max(1);
    share.checked_ilog2().map_or(1, |exponent| 1 << exponent)
}

/// One version of the configuration for callers.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version; only grows.
    pub version: id::ConfigVersion,
    /// Routes by host, longest prefix first.
    pub hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<id::ServiceName, Service>,
    /// Organisations by API key; without any, no request needs one.
    pub keys: IndexMap<String, Organisation>,
    /// How long a connection of a caller may stay idle.
    pub idle_timeout: Option<time::Duration>,
    /// The largest body of a request, in bytes.
    pub body_max_bytes: Option<usize>,
}

impl RouteTable {
    /// Adds a route, keeping the longest prefix first.
    pub fn insert(&mut self, host: String, route: Route) {
        let routes = self.hosts.entry(host).or_default();
        let length = route.path_prefix.len();
        let position = routes.partition_point(|one| one.path_prefix.len() >= length);
        routes.insert(position, route);
    }

    /// Returns the route for a host and a path.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service that hands out weights, with its address.
    #[must_use]
    pub fn origin(&self) -> Option<std::net::SocketAddr> {
        self.services.values().find_map(|service| service.origin)
    }
}
