//! Calls between entry VMs: the server side, slot dispatching and the queries
//! of neighbours.

pub(super) mod neighbours;
pub(super) mod peer_handler;
pub(super) mod slot_server;
