//! How long a request may take: the time that its caller waits and the timeout of its route,
//! whichever is less.
//!
//! A route's timeout can change while a request is under way. A request may last as long as any of the
//! configurations allows that were in force meanwhile or may still be used when it arrived.

use std::{sync::atomic, time};

use super::{app, proxy};

/// Divisor of the grace period of a configuration. An earlier configuration holds for requests that
/// arrive within the quotient: the change was acknowledged before this entry heard of it.
const GRACE_DIVISOR: u32 = 2;

/// The longest time that a request may take whose caller does not say how long it waits.
const LONGEST: time::Duration = time::Duration::from_mins(1);

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

    /// Returns the longest that the timeout may become while the request is under way.
    #[must_use]
    pub fn longest(&self) -> time::Duration {
        self.caller.unwrap_or(LONGEST).max(self.get())
    }

    /// Records another timeout of the route; a shorter one changes nothing.
    pub fn extend(&self, route: time::Duration) {
        let timeout = self.caller.unwrap_or(route).min(route);
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let ordering = atomic::Ordering::Relaxed;
        self.current_ms.fetch_max(timeout_ms, ordering);
    }
}

/// Returns the time until the end of a request if its timeout becomes as long as it may.
#[must_use]
pub fn longest_remaining(request: &proxy::ProxiedRequest) -> time::Duration {
    let deadline = request.arrived_at + request.timeout.longest();
    let deadline = request.shutdown.limit(deadline);
    deadline.saturating_duration_since(time::Instant::now())
}

/// Waits until the time of a request is over but for `margin`, by each configuration that holds for it
/// by then, or until this entry ends.
pub async fn until_over(app: &app::App, request: &proxy::ProxiedRequest, margin: time::Duration) {
    loop {
        let timeout = request.timeout.get();
        let deadline = request.arrived_at + timeout.saturating_sub(margin);
        request.shutdown.wait_until(deadline).await;
        follow_configuration(app, request);
        if request.timeout.get() == timeout {
            return;
        }
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
