//! Outcomes that one entry VM observed with a service's backend servers.

use crate::health;

/// Outcomes that one entry VM observed with a service's backend servers.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Summary {
    /// Distinguishes the runs of the sending process.
    pub incarnation: u64,
    /// Increases with each summary of one incarnation.
    pub sequence: u64,
    /// Servers that have changed since the last summary. An urgent summary
    /// covers only the suspected ones.
    pub servers: Vec<health::ServerSummary>,
    /// Outcomes with all servers, so that the receiver can compare the
    /// suspected servers with the others at once.
    pub totals: health::OutcomeTotals,
}
