//! Logs: one line each on standard output, with its part as a fixed prefix, then key and value.

use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use snafu::{ResultExt, Snafu};

/// A level that the logger does not know.
#[derive(Debug, Snafu)]
#[snafu(display("logs can't be started: {source}"))]
pub struct LogError {
    source: flexi_logger::FlexiLoggerError,
}

/// Starts logging at a level: `error`, `warn`, `info`, `debug` or `trace`.
///
/// The handle must be kept for as long as the process logs.
///
/// # Errors
///
/// [`LogError`] where the level is not known or a logger has been started already.
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
