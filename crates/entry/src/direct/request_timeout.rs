//! How long a request may take: the time that its caller waits and the timeout of its route,
//! whichever is less.
//!
//! A route's timeout can change while a request is under way. A stream that has begun may last as
//! long as any of the configurations allows that were in force meanwhile or may still be used when it
//! arrived.

use std::{sync::atomic, time};

use super::{app, proxy};

/// Divisor of the grace period of a configuration. An earlier configuration holds for requests that
/// arrive within the quotient: the change was acknowledged before this entry heard of it.
const GRACE_DIVISOR: u32 = 2;

/// The time that a request may take from its arrival.
#[derive(Debug)]
pub struct RequestTimeout {
    caller: Option<time::Duration>,
    current_ms: atomic::AtomicU64,
}

impl RequestTimeout {
    /// Creates the timeout of a request from the time that its caller waits, if known, and the
    /// timeout of its route.
    #[must_use]
    pub fn new(caller: Option<time::Duration>, route: time::Duration) -> Self {
        let timeout = Self {
            caller,
            current_ms: atomic::AtomicU64::new(0),
        };
        timeout.extend(route);
        timeout
    }

    /// Returns the timeout.
    #[must_use]
    pub fn get(&self) -> time::Duration {
        time::Duration::from_millis(self.current_ms.load(atomic::Ordering::Relaxed))
    }

    /// Records another timeout of the route; a shorter one changes nothing.
    pub fn extend(&self, route: time::Duration) {
        let timeout = self.caller.unwrap_or(route).min(route);
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let ordering = atomic::Ordering::Relaxed;
        self.current_ms.fetch_max(timeout_ms, ordering);
    }
}

/// Extends the timeout of a request to the longest one of the configurations that hold for it.
pub fn follow_configuration(app: &app::App, request: &proxy::ProxiedRequest) {
    let (host, path) = (request.host.as_str(), request.uri.path());
    let table = app.table.load();
    let route = table.as_ref().and_then(|table| table.select(host, path));
    if let Some(route) = route {
        request.timeout.extend(route.timeout);
    }
    let grace = app.settings.configuration_grace / GRACE_DIVISOR;
    let Some(since) = request.arrived_at.checked_sub(grace) else {
        return;
    };
    let replaced = app.replaced_routes.load();
    if let Some(timeout) = replaced.longest_timeout_since(since, host, path) {
        request.timeout.extend(timeout);
    }
}
