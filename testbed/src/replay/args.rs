//! Arguments of `replay-load`.

/// Replays a scenario's load under each of its policies and prints a table of
/// the results.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Scenario file (YAML).
    #[options(free, required)]
    pub scenario: String,
    /// Writes one line per policy, service and two-second window to this file.
    #[options(no_short, meta = "FILE")]
    pub csv: Option<String>,
    /// Plots the goodput of all policies over time into this file (SVG).
    #[options(no_short, meta = "FILE")]
    pub plot: Option<String>,
    /// Number of seeds to replay, beginning with the scenario's seed; the counts
    /// of all seeds are summed.
    #[options(no_short, meta = "COUNT", default = "1")]
    pub seeds: u64,
}
