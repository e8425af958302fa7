//! Logging to standard output, one record per line.
//!
//! A message starts with the part of the program that logs it, followed by keys and values:
//! `part: event=name key=value`.

use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use snafu::{ResultExt, Snafu};

/// An error from starting the logger.
#[derive(Debug, Snafu)]
#[snafu(display("logs can't be started: {source}"))]
pub struct LogError {
    source: flexi_logger::FlexiLoggerError,
}

/// Starts logging at a level: `error`, `warn`, `info`, `debug` or `trace`.
///
/// The caller must keep the handle for as long as the process logs.
///
/// # Errors
///
/// Returns [`LogError`] if the level is unknown or a logger has already been started.
pub fn start(level: &str) -> Result<LoggerHandle, LogError> {
    Logger::try_with_str(level)
        .and_then(|logger| logger.format(format).log_to_stdout().start())
        .context(LogSnafu)
}

fn format(
    write: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(write, "{time} {:5} {}", record.level(), record.args())
}
