//! How long a request may take: the time that its caller waits and the timeout of its route,
//! whichever is less.
//!
//! A route's timeout can change while a request is under way. A stream that has begun may last as
//! long as any of the configurations that it has met allows, because the timeout that ends it has to
//! be one that operators want.

use std::{sync::atomic, time};

use super::{app, proxy};

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

/// Records the timeout that the route of a request has in the configuration in force.
pub fn follow_configuration(app: &app::App, request: &proxy::ProxiedRequest) {
    let table = app.table.load();
    let Some(table) = table.as_deref() else {
        return;
    };
    if table.version == request.table.version {
        return;
    }
    if let Some(route) = table.select(&request.host, request.uri.path()) {
        request.timeout.extend(route.timeout);
    }
}
