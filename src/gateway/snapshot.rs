//! What the control thread has last published to the traffic thread.

use std::sync;

use crate::gateway;

/// What the control thread has last published to the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Whether the registry has been read or pulled as a whole.
    pub is_registry_known: bool,
    /// The routes in force; nothing before the first configuration.
    pub routes: Option<sync::Arc<gateway::RouteIndex>>,
    /// This VM's share of each service's retry slack, in thousandths of a
    /// retry.
    pub retry_slack_milli: u64,
    /// Entry VMs that callers may be told of, this one included unless it
    /// leaves.
    pub vms: Vec<gateway::EntryVm>,
}

impl Snapshot {
    /// Tells whether requests can be served by it.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_registry_known && self.routes.is_some()
    }
}
