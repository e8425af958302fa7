//! Routes: which service a caller's request goes to, and how the request may be handled.
//!
//! A [`RouteTable`] is one version of the configuration for callers. A route is selected by the
//! host and the longest matching path prefix, the organisation by its API key.
//!
//! ```
//! use pimentohook_core::routes;
//!
//! let table = routes::RouteTable::default();
//! assert!(table.select("drafts.example", "/notes/").is_none());
//! ```

use std::time;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::{engine, head_limits, id, rank, regions};

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RepeatPolicy {
    /// May run more than once.
    Idempotent,
    /// Runs at most once each time a caller sends it.
    AtMostOnce,
}

/// One of the services that share a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: id::ServiceName,
    /// Its share of the requests, relative to the other targets.
    pub weight: u32,
}

/// How requests for a host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, used in logs.
    pub name: String,
    /// The prefix of matching paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be retried after it may have run.
    pub repeat: RepeatPolicy,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// Whether an interrupted stream may be resumed at another upstream after its last event.
    pub resumable: bool,
    /// Maximum time that a request may take.
    pub timeout: time::Duration,
    /// The latency objective: the time within which the response, or the first event of a stream,
    /// should arrive.
    pub goal: time::Duration,
    /// The services; never empty.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that may run a request each time its caller sends it.
    pub attempts_max: u32,
    /// Whether requests need no API key.
    pub public: bool,
    /// How urgent its requests are in comparison with other routes of their service.
    pub rank: rank::Rank,
    /// The regions in which its requests may be served; those of the organisation bind too.
    pub regions: regions::AllowedRegions,
    /// The longest pause between two events of a stream that is still in time; `None` for any.
    pub pause_goal: Option<time::Duration>,
}

impl Route {
    /// Returns the service for a request; `draw` is a uniformly distributed random number.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&id::ServiceName> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = u64::from(draw) * total / (u64::from(u32::MAX) + 1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
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

/// A service as described by the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// The profile of its engines; `None` for a plain service.
    pub engine: Option<engine::EngineProfile>,
    /// The address that weights are downloaded from, if this service is their origin.
    pub origin: Option<std::net::SocketAddr>,
    /// Maximum number of connections that an instance accepts from all callers together.
    pub connections_max: Option<u32>,
    /// What a cold instance bears; `None` if its instances are never cold.
    pub cold: Option<ColdLimit>,
    /// The urgencies of its requests; see [`RouteTable::rank_services`].
    pub urgencies: rank::Urgencies,
}

/// What an instance bears that has just started, or has become cold again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// How long an instance is cold after its start.
    pub duration: time::Duration,
    /// The number of requests that a cold instance bears in a second, from all entries together.
    pub requests_per_s: f64,
}

/// An organisation whose keys are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name, which is sent to upstreams.
    pub name: String,
    /// How urgent its requests are; goes before the rank of the route.
    pub rank: rank::Rank,
    /// The regions in which its requests may be served; those of the route bind too.
    pub regions: regions::AllowedRegions,
}

/// Who may send requests on routes that are not public.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everybody: the configuration names no organisations.
    Open,
    /// Callers with the API key of an organisation; nobody if no organisation has a key.
    ByKey(IndexMap<String, Organisation>),
}

/// How a caller is admitted to a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission<'a> {
    /// The caller sent the API key of this organisation.
    Organisation(&'a Organisation),
    /// The caller needs no API key.
    Anonymous,
    /// The caller needs the API key of an organisation and did not send one.
    Denied,
}

/// Divisor of an instance's maximum number of connections; the quotient is the number of idle
/// connections that all entries together may keep to the instance.
///
/// An instance does not notice that an entry lost power and continues to count its connections, so
/// it needs room for the connections of the entries that replace it.
const IDLE_DIVISOR: u32 = 3;

/// Returns how many idle connections each of `entry_count` entries may keep to an instance.
///
/// The result is a power of two, so that it rarely changes as entries are added and removed.
#[must_use]
pub fn idle_connections(connections_max: u32, entry_count: u32) -> u32 {
    let share = connections_max / IDLE_DIVISOR / entry_count.max(1);
    share.checked_ilog2().map_or(1, |exponent| 1 << exponent)
}

/// One version of the configuration for callers.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version; it only increases.
    pub version: id::ConfigVersion,
    /// Routes by host, longest prefix first.
    pub hosts: IndexMap<String, Vec<Route>>,
    /// Services by name.
    pub services: IndexMap<id::ServiceName, Service>,
    /// Who may send requests.
    pub access: Access,
    /// How long a caller's connection may stay idle.
    pub idle_timeout: Option<time::Duration>,
    /// How long the head of a request may take, and how large it may be.
    pub head_limits: head_limits::HeadLimits,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: Option<usize>,
}

impl Default for RouteTable {
    /// Returns a table without routes, which admits nobody.
    fn default() -> Self {
        Self {
            version: id::ConfigVersion::default(),
            hosts: IndexMap::new(),
            services: IndexMap::new(),
            access: Access::ByKey(IndexMap::new()),
            idle_timeout: None,
            head_limits: head_limits::HeadLimits::default(),
            body_max_bytes: None,
        }
    }
}

impl RouteTable {
    /// Returns how a caller that sent `key`, if any, is admitted to a route.
    #[must_use]
    pub fn admission(&self, route: &Route, key: Option<&str>) -> Admission<'_> {
        let organisation = match &self.access {
            Access::Open => return Admission::Anonymous,
            Access::ByKey(organisations) => key.and_then(|key| organisations.get(key)),
        };
        match organisation {
            Some(organisation) => Admission::Organisation(organisation),
            None if route.public => Admission::Anonymous,
            None => Admission::Denied,
        }
    }

    /// Returns the regions in which a request for a host and a path may run whose caller sent `key`, if
    /// any. What can't be told, for a route or a key that this version lacks, allows any region.
    #[must_use]
    pub fn regions(&self, host: &str, path: &str, key: Option<&str>) -> regions::AllowedRegions {
        let Some(route) = self.select(host, path) else {
            return regions::AllowedRegions::Anywhere;
        };
        match self.admission(route, key) {
            Admission::Organisation(organisation) => route.regions.and(&organisation.regions),
            Admission::Anonymous | Admission::Denied => route.regions.clone(),
        }
    }

    /// Inserts a route so that longer prefixes come first.
    pub fn insert(&mut self, host: String, route: Route) {
        let routes = self.hosts.entry(host).or_default();
        let length = route.path_prefix.len();
        let position = routes.partition_point(|other| other.path_prefix.len() >= length);
        routes.insert(position, route);
    }

    /// Records for each service how urgent its requests may be, by the ranks of its routes and of the
    /// organisations. Callers without an organisation don't make a service ranked.
    pub fn rank_services(&mut self) {
        let organisations: IndexSet<rank::Rank> = match &self.access {
            Access::Open => IndexSet::new(),
            Access::ByKey(by_key) => by_key.values().map(|known| known.rank).collect(),
        };
        let organisations = if organisations.is_empty() {
            IndexSet::from([rank::Rank::LAST])
        } else {
            organisations
        };
        for (name, service) in &mut self.services {
            let routes = self.hosts.values().flatten();
            let routes = routes.filter(|route| {
                let mut targets = route.targets.iter();
                targets.any(|target| target.service == *name)
            });
            let ranks: IndexSet<rank::Rank> = routes.map(|route| route.rank).collect();
            let urgencies = ranks.iter().flat_map(|route| {
                organisations.iter().map(|organisation| rank::Urgency {
                    organisation: *organisation,
                    route: *route,
                })
            });
            service.urgencies = urgencies.collect();
        }
    }

    /// Returns how urgent a request on a route is in comparison with the others of a service; `None`
    /// if all are equally urgent, or if the service has no engines.
    #[must_use]
    pub fn priority(
        &self,
        service: &id::ServiceName,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Option<rank::Priority> {
        let service = self.services.get(service)?;
        let urgency = rank::Urgency {
            organisation: organisation.map_or(rank::Rank::LAST, |known| known.rank),
            route: route.rank,
        };
        service.engine.as_ref()?;
        service.urgencies.priority(urgency)
    }

    /// Returns the route for a host and a path.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.hosts.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns whether some requests for a host may not run in every region.
    #[must_use]
    pub fn restricts_regions(&self, host: &str) -> bool {
        let mut routes = self.hosts.get(host).into_iter().flatten();
        let mut organisations = match &self.access {
            Access::Open => None,
            Access::ByKey(organisations) => Some(organisations.values()),
        }
        .into_iter()
        .flatten();
        routes.any(|route| route.regions.is_restricted())
            || organisations.any(|organisation| organisation.regions.is_restricted())
    }

    /// Returns the address of the service that is the origin of weights.
    #[must_use]
    pub fn origin(&self) -> Option<std::net::SocketAddr> {
        self.services.values().find_map(|service| service.origin)
    }
}
