//! Scheduled rehearsal.

use crate::config_fold;

/// Scheduled rehearsal as determined by the records of the log.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Rehearsal {
    /// Effect on the backend servers.
    pub effect: config_fold::RehearsalEffect,
    /// Reason of the early end, or `None` if it was not ended early.
    pub ended_early: Option<String>,
    /// Latest end, in milliseconds since the Unix epoch by the log's clock.
    pub ends_unix_ms: u64,
    /// Offset of the record that scheduled it.
    pub offset: u64,
    /// Operator who scheduled it.
    pub operator: String,
    /// Ids of the affected backend servers of the service.
    pub server_ids: Vec<String>,
    /// Name of the service.
    pub service: String,
    /// Start, in milliseconds since the Unix epoch by the log's clock.
    pub starts_unix_ms: u64,
    /// State of the fleet when it was scheduled, or `None` if it was not queried.
    pub state_before: Option<config_fold::FleetState>,
}

impl Rehearsal {
    /// Returns whether the rehearsal runs at `log_unix_ms` by the log's clock.
    ///
    /// No record is needed to end it, so that it also ends if the operator or the
    /// VMs involved have failed.
    #[must_use]
    pub const fn is_running_at(&self, log_unix_ms: u64) -> bool {
        self.ended_early.is_none()
            && self.starts_unix_ms <= log_unix_ms
            && log_unix_ms < self.ends_unix_ms
    }
}
