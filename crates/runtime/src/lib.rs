//! I/O that the binaries share: HTTP, settings, logs, metrics and signals.
//!
//! * [`server`]: an HTTP server for gotham routers, with graceful shutdown.
//! * [`client`]: an HTTP client that never retries a request on its own.
//! * [`body`]: the bodies of responses, which have a bounded size.
//! * [`settings`]: YAML settings files that are validated as a whole.
//! * [`program`]: the main function of programs with a settings file.
//! * [`rate_limiter`]: a rate limiter for bytes.
//! * [`standstill`]: finds out when the process did not run.
//! * [`announcements`]: what the process knows of announced versions of weights.
//! * [`logs`], [`metrics`], [`process`]: logging, metrics and signal handling.

pub mod acceptance;
pub mod announcements;
pub mod body;
mod carriers;
pub mod client;
mod client_error;
mod connector;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod program;
pub mod rate_limiter;
pub mod server;
pub mod settings;
mod short_reads;
pub mod standstill;
pub mod vm_limits;
