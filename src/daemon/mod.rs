//! The daemon: feeds events to the state machines and carries out their
//! actions.

mod header_names;
mod reply;
mod request_body;
mod request_head;
mod server_client;
