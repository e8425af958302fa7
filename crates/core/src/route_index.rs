//! An index of the routes of a host, for work on all of them at once.
//!
//! A configuration may have thousands of routes for one host, so what is done for each of them must not
//! look at all others.

use crate::routes::Route;

/// The routes of a host by prefix.
#[derive(Clone, Debug)]
pub struct RouteIndex<'a> {
    /// Sorted by prefix, each prefix once.
    routes: Vec<&'a Route>,
}

impl<'a> RouteIndex<'a> {
    /// Creates an index of routes. Of several with one prefix the first counts, as for requests.
    #[must_use]
    pub fn new(routes: &'a [Route]) -> Self {
        let mut sorted: Vec<&Route> = routes.iter().collect();
        sorted.sort_by(|a, b| a.path_prefix.cmp(&b.path_prefix));
        sorted.dedup_by(|later, first| later.path_prefix == first.path_prefix);
        Self { routes: sorted }
    }

    /// Returns the routes that requests can get, by prefix.
    pub fn routes(&self) -> impl Iterator<Item = &'a Route> {
        self.routes.iter().copied()
    }

    /// Returns the route with the longest prefix that begins `path`.
    #[must_use]
    pub fn select(&self, path: &str) -> Option<&'a Route> {
        let mut bound = path;
        loop {
            let end = self
                .routes
                .partition_point(|route| route.path_prefix.as_str() <= bound);
            let route = self.routes[..end].last()?;
            if path.starts_with(&route.path_prefix) {
                return Some(route);
            }
            // A prefix of the path that is longer than what both have in common would come after this
            // route, and before the bound.
            bound = common_prefix(bound, &route.path_prefix);
        }
    }

    /// Returns the routes below a prefix.
    pub fn below(&self, prefix: &str) -> impl Iterator<Item = &'a Route> {
        let start = self
            .routes
            .partition_point(|route| route.path_prefix.as_str() <= prefix);
        let routes = self.routes[start..].iter().copied();
        routes.take_while(move |route| route.path_prefix.starts_with(prefix))
    }
}

/// Returns the longest beginning of `text` that `other` begins with too.
fn common_prefix<'a>(text: &'a str, other: &str) -> &'a str {
    let mut pairs = text.char_indices().zip(other.chars());
    let difference = pairs.find(|((_, character), other)| character != other);
    let length = difference.map_or(text.len().min(other.len()), |((index, _), _)| index);
    &text[..length]
}
