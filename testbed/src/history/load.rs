//! Input of histories and run logs.

use std::{fs, io, path};

use snafu::ResultExt as _;

use crate::{backend, caller};

/// Errors of reading a history or the runs of a server.
#[derive(Debug, snafu::Snafu)]
pub enum LoadError {
    /// A line is not the expected JSON.
    #[snafu(display("{location}, line {line}: {source}"))]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// Path of the file, or URL.
        location: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Reads a caller's history.
///
/// # Errors
///
/// Returns an error if the file cannot be read or a line is invalid.
pub fn load_attempts(path: &path::Path) -> Result<Vec<caller::HistoryRecord>, LoadError> {
    load_lines(path)
}

/// Reads a server's run log. Lines truncated by a crash are skipped.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn load_run_log(path: &path::Path) -> Result<Vec<backend::RunRecord>, LoadError> {
    let log = backend::RunLog::read(path).context(ReadSnafu { path })?;
    Ok(log.records().to_vec())
}

/// Parses the body of a server's `/control/runs` response.
///
/// # Errors
///
/// Returns an error if the body is invalid.
pub fn parse_runs(location: &str, body: &[u8]) -> Result<Vec<backend::RunRecord>, LoadError> {
    serde_json::from_slice(body).context(LineSnafu {
        line: 1_usize,
        location,
    })
}

fn load_lines<T>(path: &path::Path) -> Result<Vec<T>, LoadError>
where
    T: serde::de::DeserializeOwned,
{
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| {
            serde_json::from_str(line).context(LineSnafu {
                line: index + 1,
                location: path.display().to_string(),
            })
        })
        .collect()
}
