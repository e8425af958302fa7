//! What is wrong with a configuration.

use std::{fmt, time};

use indexmap::{IndexMap, IndexSet};

use super::{ReadConfiguration, ReadRoute};
use crate::routes;

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where it stands, as operators write it.
    pub path: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// What is wrong with a part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Problem {
    /// A field can't be read.
    Unreadable {
        /// What entries take it for.
        taken_for: String,
    },
    /// An earlier route has the same host and prefix.
    Shadowed {
        /// Where the earlier route stands.
        by: String,
    },
    /// No request has such a host.
    HostNeverMatches {
        /// The host.
        host: String,
    },
    /// The prefix does not begin and end with a slash.
    PrefixNeverMatches {
        /// The prefix.
        prefix: String,
    },
    /// The route names no service.
    NoService,
    /// The route names a service that is not there.
    UnknownService {
        /// The service.
        service: String,
    },
    /// The route sends requests to the origin of weights.
    ServiceIsOrigin {
        /// The service.
        service: String,
    },
    /// None of the services has a share of the requests.
    NoShare,
    /// A service has no share of the requests.
    ServiceWithoutShare {
        /// The service.
        service: String,
    },
    /// The latency objective is longer than the timeout.
    GoalOverTimeout {
        /// The latency objective.
        goal: time::Duration,
        /// The timeout.
        timeout: time::Duration,
    },
    /// The longest pause that is in time is longer than the timeout.
    PauseOverTimeout {
        /// The longest pause.
        pause: time::Duration,
        /// The timeout.
        timeout: time::Duration,
    },
    /// The timeout ends each request at once.
    NoTimeout,
    /// Several upstreams may run a request that may run only once.
    AttemptsWithoutRepeat {
        /// The number of upstreams.
        attempts: u32,
    },
    /// An organisation and a route have no region in common.
    NoCommonRegion {
        /// The organisation.
        organisation: String,
    },
    /// The organisation has no API key.
    NoKey,
    /// Another organisation has the same API key.
    SharedKey {
        /// Where the other organisation stands.
        with: String,
    },
    /// Another part has the same name.
    SharedName {
        /// The name.
        name: String,
    },
    /// Instances are cold for a time in which they bear no request.
    ColdWithoutRate,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { taken_for } => write!(f, "can't be read, and counts as {taken_for}"),
            Self::Shadowed { by } => write!(f, "never matches: {by} has the same host and prefix"),
            Self::HostNeverMatches { host } => {
                write!(f, "never matches: no request has the host {host:?}")
            }
            Self::PrefixNeverMatches { prefix } => write!(
                f,
                "the prefix {prefix:?} does not begin and end with a slash"
            ),
            Self::NoService => f.write_str("names no service"),
            Self::UnknownService { service } => write!(f, "there is no service {service}"),
            Self::ServiceIsOrigin { service } => {
                write!(
                    f,
                    "{service} is the origin of weights and serves no requests"
                )
            }
            Self::NoShare => f.write_str("no service of the split has a share of the requests"),
            Self::ServiceWithoutShare { service } => {
                write!(f, "{service} has no share of the requests")
            }
            Self::GoalOverTimeout { goal, timeout } => write!(
                f,
                "the objective of {goal:?} is longer than the timeout of {timeout:?}"
            ),
            Self::PauseOverTimeout { pause, timeout } => write!(
                f,
                "the pause of {pause:?} is longer than the timeout of {timeout:?}"
            ),
            Self::NoTimeout => f.write_str("the timeout ends each request at once"),
            Self::AttemptsWithoutRepeat { attempts } => write!(
                f,
                "allows {attempts} upstreams for requests that may run only once; a second one is \
                 asked only if the first proves that it did not run"
            ),
            Self::NoCommonRegion { organisation } => {
                write!(f, "has no region in common with {organisation}")
            }
            Self::NoKey => f.write_str("has no key, so nobody is admitted in its name"),
            Self::SharedKey { with } => {
                write!(f, "{with} has the same key, and the last one holds")
            }
            Self::SharedName { name } => write!(f, "the name {name} stands more than once"),
            Self::ColdWithoutRate => {
                f.write_str("instances are cold for a time, but bear no requests in it")
            }
        }
    }
}

/// Returns what is wrong with a configuration, in the order of its parts.
#[must_use]
pub fn findings(read: &ReadConfiguration) -> Vec<Finding> {
    let mut findings = unreadable(read);
    findings.extend(shadowed(read));
    for read_route in &read.routes {
        let problems = route_problems(read, read_route);
        findings.extend(problems.into_iter().map(|problem| Finding {
            path: read_route.path.clone(),
            problem,
        }));
    }
    findings.extend(service_findings(read));
    findings.extend(organisation_findings(read));
    findings
}

fn unreadable(read: &ReadConfiguration) -> Vec<Finding> {
    let fields = read.unreadable.iter();
    let finding = |field: &super::UnreadableField| Finding {
        path: field.path.clone(),
        problem: Problem::Unreadable {
            taken_for: field.taken_for.clone(),
        },
    };
    fields.map(finding).collect()
}

fn shadowed(read: &ReadConfiguration) -> Vec<Finding> {
    let mut first_paths: IndexMap<(&str, &str), &str> = IndexMap::new();
    let mut findings = Vec::new();
    for read_route in &read.routes {
        let key = (
            read_route.host.as_str(),
            read_route.route.path_prefix.as_str(),
        );
        match first_paths.get(&key) {
            Some(first) => findings.push(Finding {
                path: read_route.path.clone(),
                problem: Problem::Shadowed {
                    by: String::from(*first),
                },
            }),
            None => {
                first_paths.insert(key, &read_route.path);
            }
        }
    }
    findings
}

fn route_problems(read: &ReadConfiguration, read_route: &ReadRoute) -> Vec<Problem> {
    let route = &read_route.route;
    let mut problems = match_problems(read_route);
    problems.extend(target_problems(read, route));
    problems.extend(time_problems(route));
    if route.attempts_max > 1 && !route.may_repeat() {
        problems.push(Problem::AttemptsWithoutRepeat {
            attempts: route.attempts_max,
        });
    }
    let is_apart = |organisation: &&super::ReadOrganisation| {
        let both = route.regions.and(&organisation.organisation.regions);
        both.is_nowhere()
    };
    let apart = read.organisations.iter().filter(is_apart);
    problems.extend(apart.map(|organisation| Problem::NoCommonRegion {
        organisation: organisation.organisation.name.clone(),
    }));
    problems
}

fn match_problems(read_route: &ReadRoute) -> Vec<Problem> {
    let mut problems = Vec::new();
    // Entries compare hosts without their port.
    let host = &read_route.host;
    if host.is_empty() || host.contains([':', '/']) {
        problems.push(Problem::HostNeverMatches { host: host.clone() });
    }
    let prefix = &read_route.route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        problems.push(Problem::PrefixNeverMatches {
            prefix: prefix.clone(),
        });
    }
    problems
}

fn target_problems(read: &ReadConfiguration, route: &routes::Route) -> Vec<Problem> {
    if route.targets.is_empty() {
        return vec![Problem::NoService];
    }
    let mut problems = Vec::new();
    for target in &route.targets {
        let service = target.service.to_string();
        match read.table.services.get(&target.service) {
            None => problems.push(Problem::UnknownService { service }),
            Some(found) if found.origin.is_some() => {
                problems.push(Problem::ServiceIsOrigin { service });
            }
            Some(_) if target.weight == 0 => {
                problems.push(Problem::ServiceWithoutShare { service });
            }
            Some(_) => {}
        }
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        problems.push(Problem::NoShare);
    }
    problems
}

fn time_problems(route: &routes::Route) -> Vec<Problem> {
    let (goal, timeout) = (route.goal, route.timeout);
    if timeout.is_zero() {
        return vec![Problem::NoTimeout];
    }
    let mut problems = Vec::new();
    if goal > timeout {
        problems.push(Problem::GoalOverTimeout { goal, timeout });
    }
    if let Some(pause) = route.pause_goal.filter(|pause| *pause > timeout) {
        problems.push(Problem::PauseOverTimeout { pause, timeout });
    }
    problems
}

fn service_findings(read: &ReadConfiguration) -> Vec<Finding> {
    let mut names: IndexSet<&str> = IndexSet::new();
    let mut findings = Vec::new();
    for service in &read.services {
        let path = &service.path;
        if !names.insert(&service.name) {
            findings.push(Finding {
                path: path.clone(),
                problem: Problem::SharedName {
                    name: service.name.clone(),
                },
            });
        }
        if service.has_cold_time_without_rate {
            findings.push(Finding {
                path: path.clone(),
                problem: Problem::ColdWithoutRate,
            });
        }
    }
    findings
}

fn organisation_findings(read: &ReadConfiguration) -> Vec<Finding> {
    let mut path_by_key: IndexMap<&str, &str> = IndexMap::new();
    let mut names: IndexSet<&str> = IndexSet::new();
    let mut findings = Vec::new();
    for organisation in &read.organisations {
        let mut push = |problem| {
            findings.push(Finding {
                path: organisation.path.clone(),
                problem,
            });
        };
        let name = organisation.organisation.name.as_str();
        if !names.insert(name) {
            let name = String::from(name);
            push(Problem::SharedName { name });
        }
        if organisation.keys.is_empty() {
            push(Problem::NoKey);
        }
        for key in &organisation.keys {
            let earlier = path_by_key.insert(key, &organisation.path);
            if let Some(with) = earlier.filter(|path| *path != organisation.path) {
                let with = String::from(with);
                push(Problem::SharedKey { with });
            }
        }
    }
    findings
}
