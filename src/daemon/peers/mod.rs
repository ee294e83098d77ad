//! What this VM does for other entry VMs.

pub(super) mod neighbours;
pub(super) mod peer_handler;
pub(super) mod slot_server;
