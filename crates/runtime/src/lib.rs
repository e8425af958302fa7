//! What the binaries share beside decisions: HTTP, settings, logs, metrics and signals.
//!
//! * [`server`]: the accept loop in front of a gotham router, with graceful shutdown.
//! * [`client`]: an HTTP client that never sends a request twice by itself.
//! * [`settings`]: YAML files checked whole.
//! * [`program`]: the main function of programs with a settings file.
//! * [`rate_limiter`]: bytes held to a rate.
//! * [`logs`], [`metrics`], [`process`]: the rest of a binary's shell.

pub mod client;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod program;
pub mod rate_limiter;
pub mod server;
pub mod settings;
