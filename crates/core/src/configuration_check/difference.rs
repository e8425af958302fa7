//! What differs between two configurations.

use std::fmt;

use indexmap::IndexMap;

use super::ReadConfiguration;
use crate::routes;

/// How a part of a configuration has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Requests go to other services.
    Moved,
    /// It is handled in another way.
    Changed,
}

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// How the part has changed.
    pub change: Change,
    /// The part.
    pub part: String,
    /// What callers will notice.
    pub effect: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.change, self.part, self.effect)
    }
}

/// Returns what differs between the configuration in force and one that is to follow it.
#[must_use]
pub fn differences(before: &ReadConfiguration, after: &ReadConfiguration) -> Vec<Difference> {
    let mut found = version_difference(before, after);
    found.extend(route_differences(&before.table, &after.table));
    found.extend(access_differences(before, after));
    found
}

fn version_difference(before: &ReadConfiguration, after: &ReadConfiguration) -> Vec<Difference> {
    let (before, after) = (before.table.version, after.table.version);
    if after > before {
        return Vec::new();
    }
    vec![Difference {
        change: Change::Changed,
        part: format!("version {after}"),
        effect: format!("is not newer than {before}, so entries ignore all of it"),
    }]
}

/// Returns the routes that requests can match, by a name that tells them apart.
fn matching(table: &routes::RouteTable) -> IndexMap<String, &routes::Route> {
    let mut routes = IndexMap::new();
    for (host, of_host) in &table.hosts {
        for route in of_host {
            let name = format!("route {host}{}", route.path_prefix);
            routes.entry(name).or_insert(route);
        }
    }
    routes
}

fn route_differences(before: &routes::RouteTable, after: &routes::RouteTable) -> Vec<Difference> {
    let (before, after) = (matching(before), matching(after));
    let difference = |change, part: &str, effect: &str| Difference {
        change,
        part: String::from(part),
        effect: String::from(effect),
    };
    let mut found = Vec::new();
    for (part, route) in &after {
        match before.get(part) {
            None => found.push(difference(Change::Added, part, "requests are served")),
            Some(earlier) if earlier.targets != route.targets => {
                let effect = format!("requests go to {}", services(route));
                found.push(difference(Change::Moved, part, &effect));
            }
            Some(_) => {}
        }
        let handling = before.get(part).map(|earlier| handling(earlier, route));
        let changed = handling.unwrap_or_default();
        found.extend(
            changed
                .iter()
                .map(|effect| difference(Change::Changed, part, effect)),
        );
    }
    let gone = before.keys().filter(|part| !after.contains_key(*part));
    found.extend(gone.map(|part| {
        difference(
            Change::Removed,
            part,
            "requests get 404, or match a shorter prefix",
        )
    }));
    found
}

/// Returns what callers notice of the changed handling of a route.
fn handling(before: &routes::Route, after: &routes::Route) -> Vec<String> {
    let mut effects = Vec::new();
    if before.timeout != after.timeout {
        let (earlier, later) = (before.timeout, after.timeout);
        effects.push(format!("requests end after {later:?}, not {earlier:?}"));
    }
    if before.goal != after.goal {
        let (earlier, later) = (before.goal, after.goal);
        effects.push(format!("responses are due in {later:?}, not {earlier:?}"));
    }
    if before.regions != after.regions {
        effects.push(String::from("requests are served in other regions"));
    }
    if before.rank != after.rank {
        let (earlier, later) = (before.rank.get(), after.rank.get());
        effects.push(format!("its rank is {later}, not {earlier}"));
    }
    if before.public != after.public {
        let effect = if after.public {
            "requests need no key"
        } else {
            "requests need a key"
        };
        effects.push(String::from(effect));
    }
    let repeats = |route: &routes::Route| (route.may_repeat(), route.attempts_max);
    if repeats(before) != repeats(after) {
        effects.push(String::from("requests are retried in another way"));
    }
    effects
}

fn services(route: &routes::Route) -> String {
    let names: Vec<String> = route
        .targets
        .iter()
        .map(|target| format!("{} ({})", target.service, target.weight))
        .collect();
    names.join(", ")
}

fn access_differences(before: &ReadConfiguration, after: &ReadConfiguration) -> Vec<Difference> {
    let mut found = Vec::new();
    let is_open = |read: &ReadConfiguration| read.table.access == routes::Access::Open;
    if is_open(before) != is_open(after) {
        let effect = if is_open(after) {
            "all requests are admitted without a key"
        } else {
            "requests need a key"
        };
        found.push(Difference {
            change: Change::Changed,
            part: String::from("access"),
            effect: String::from(effect),
        });
    }
    let key_counts = |read: &ReadConfiguration| -> IndexMap<String, Vec<String>> {
        let organisations = read.organisations.iter();
        let named = organisations.map(|read| (read.organisation.name.clone(), read.keys.clone()));
        named.collect()
    };
    let (before, after) = (key_counts(before), key_counts(after));
    for (name, keys) in &after {
        let earlier = before.get(name).map_or(&[][..], Vec::as_slice);
        found.extend(key_difference(name, earlier, keys));
    }
    let gone = before.iter().filter(|(name, _)| !after.contains_key(*name));
    found.extend(gone.filter_map(|(name, keys)| key_difference(name, keys, &[])));
    found
}

/// Returns how the keys of an organisation have changed, without showing them.
fn key_difference(name: &str, before: &[String], after: &[String]) -> Option<Difference> {
    let added = after.iter().filter(|key| !before.contains(key)).count();
    let removed = before.iter().filter(|key| !after.contains(key)).count();
    let change = match (added, removed) {
        (0, 0) => return None,
        (_, 0) => Change::Added,
        (0, _) => Change::Removed,
        _ => Change::Changed,
    };
    Some(Difference {
        change,
        part: format!("keys of {name}"),
        effect: format!("{added} keys are admitted that were not, {removed} get 401 that did not"),
    })
}
