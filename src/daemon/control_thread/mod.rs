//! The control thread: applies configuration, membership, server health and
//! rehearsals, and publishes snapshots for the traffic threads.

pub(super) mod configuration_control;
pub(super) mod control;
pub(super) mod control_event;
pub(super) mod ejection_lease;
pub(super) mod health_control;
pub(super) mod health_messages;
pub(super) mod membership_control;
pub(super) mod operator_service;
pub(super) mod rehearsals;
pub(super) mod server_probe;
pub(super) mod service_health;
pub(super) mod shared_quarantine;
pub(super) mod snapshot;
pub(super) mod vm_status;
