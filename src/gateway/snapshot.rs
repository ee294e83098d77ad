//! State that the control thread publishes to the traffic thread.

use std::sync;

use crate::gateway;

/// State that the control thread publishes to the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Time at which the configuration was last known to be the newest, in milliseconds
    /// of the process clock; `None` if it never was.
    pub configuration_confirmed_ms: Option<u64>,
    /// Whether requests may be served by keys, as [`gateway::StartCheck`] decides.
    /// Always `true` for a configuration without organisations.
    pub is_start_checked: bool,
    /// Whether the complete registry has been read or pulled at least once.
    pub is_registry_known: bool,
    /// Newest version of the configuration that this VM has or has heard of.
    pub newest_known_version: u64,
    /// The routes in force; `None` before the first configuration.
    pub routes: Option<sync::Arc<gateway::RouteIndex>>,
    /// This VM's share of each service's retry slack, in thousandths of a retry.
    pub retry_slack_milli: u64,
    /// Entry VMs that can be returned to callers, including this VM unless it is
    /// shutting down.
    pub vms: sync::Arc<[gateway::EntryVm]>,
}

impl Snapshot {
    /// Returns whether the snapshot suffices to serve requests.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_registry_known && self.routes.is_some()
    }

    /// Returns whether requests may be served by the snapshot.
    #[must_use]
    pub const fn can_serve(&self) -> bool {
        self.is_complete() && self.is_start_checked
    }

    /// Returns the time since the configuration was last known to be the newest, in
    /// milliseconds; `None` if it never was.
    #[must_use]
    pub fn confirmation_age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.configuration_confirmed_ms?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }
}
