//! Check of callers' histories against servers' run logs.

mod args;
mod history_check;
mod load;
mod summary;
mod violation;

pub use args::Args;
pub use history_check::HistoryCheck;
pub use load::{LoadError, load_attempts, load_run_log, parse_runs};
pub use summary::Summary;
pub use violation::Violation;
