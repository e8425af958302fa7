//! Lists the holes of played days.

use std::{fs, io, path, process};

use pimentohook_holes::{hole, report, settings, table};
use snafu::{ResultExt as _, Snafu};

/// The error of a file.
#[derive(Debug, Snafu)]
enum FileError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        path: path::PathBuf,
        source: io::Error,
    },
    /// The file is no report.
    #[snafu(display("{}: {source}", path.display()))]
    Decode {
        path: path::PathBuf,
        source: report::ReportError,
    },
}

fn main() -> process::ExitCode {
    let settings = settings::Settings::from(&settings::command().get_matches());
    match list(&settings) {
        Ok(true) => process::ExitCode::FAILURE,
        Ok(false) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pimentohook-holes: {error}");
            process::ExitCode::from(2)
        }
    }
}

/// Lists the holes of all reports, and returns whether there are any.
fn list(settings: &settings::Settings) -> Result<bool, FileError> {
    let reports = settings.reports.iter().map(|path| read(path));
    let reports = reports.collect::<Result<Vec<_>, _>>()?;
    let holes = reports.iter().map(|(day, report)| {
        let holes = hole::find(report, &settings.rule);
        (day.clone(), holes)
    });
    let holes: Vec<_> = holes.collect();
    print!("{}", table::write(&holes));
    Ok(holes.iter().any(|(_, holes)| !holes.is_empty()))
}

/// Reads a report, with the name of its day.
fn read(path: &path::Path) -> Result<(String, report::Report), FileError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let report = report::decode(&text).context(DecodeSnafu { path })?;
    let day = path.file_stem().unwrap_or_default().to_string_lossy();
    Ok((day.into_owned(), report))
}
