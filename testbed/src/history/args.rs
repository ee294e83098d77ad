//! Arguments of `check-history`.

use std::path;

/// Checks the histories of callers against the run logs of backend servers.
/// Exit code 0: no violation; 1: at least one violation; 2: an input could not
/// be read.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// URL of a server's runs, such as `http://127.0.0.1:8001/control/runs`.
    #[options(free)]
    pub runs: Vec<String>,
    /// History file of a caller; may be repeated.
    #[options(no_short, meta = "FILE")]
    pub history: Vec<path::PathBuf>,
    /// Run log file of a server that no longer runs; may be repeated.
    #[options(no_short, meta = "FILE")]
    pub run_log: Vec<path::PathBuf>,
    /// Accepts responses of servers whose runs are missing.
    #[options(no_short)]
    pub allow_missing_runs: bool,
}
