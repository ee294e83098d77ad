//! The control thread.
//!
//! It follows the platform's store and the membership of the entry VMs, and
//! publishes snapshots to the traffic thread.

pub(super) mod compact_routes;
pub(super) mod control;
pub(super) mod control_event;
pub(super) mod datagram_socket;
pub(super) mod fleet_message;
pub(super) mod fleet_service;
mod health_check;
pub(super) mod members;
pub(super) mod pulled_configuration;
pub(super) mod store_cache;
pub(super) mod store_reads;
pub(super) mod vm_discovery;
