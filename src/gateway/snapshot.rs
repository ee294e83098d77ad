//! What the control thread has last published to the traffic thread.

use std::sync;

use crate::gateway;

/// What the control thread has last published to the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The routes in force; nothing before the first configuration.
    pub routes: Option<sync::Arc<gateway::RouteIndex>>,
    /// This VM's share of each service's retry slack, in thousandths of a
    /// retry.
    pub retry_slack_milli: u64,
    /// Entry VMs that callers may be told of, this one included unless it
    /// leaves.
    pub vms: Vec<gateway::EntryVm>,
}
