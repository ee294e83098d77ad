//! Reading histories and runs.

use std::{fs, io, path};

use snafu::ResultExt as _;

use crate::{backend, caller};

/// Why a history or the runs of a server cannot be read.
#[derive(Debug, snafu::Snafu)]
pub enum LoadError {
    /// A line is no JSON of the kind expected.
    #[snafu(display("{location}, line {line}: {source}"))]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// The file or the URL.
        location: String,
        /// What does not fit.
        source: serde_json::Error,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
}

/// Reads a caller's history.
///
/// # Errors
///
/// Fails if the file cannot be read or a line does not fit.
pub fn load_attempts(path: &path::Path) -> Result<Vec<caller::HistoryRecord>, LoadError> {
    load_lines(path)
}

/// Reads a server's run log. Lines cut short by a crash are left out.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn load_run_log(path: &path::Path) -> Result<Vec<backend::RunRecord>, LoadError> {
    let log = backend::RunLog::read(path).context(ReadSnafu { path })?;
    Ok(log.records().to_vec())
}

/// Reads what a server's `/control/runs` answered.
///
/// # Errors
///
/// Fails if the answer does not fit.
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
