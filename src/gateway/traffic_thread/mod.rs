//! The traffic thread, which serves the requests of callers.

mod allowance_guard;
mod attempt;
pub(super) mod attempt_history;
pub(super) mod backend_connections;
pub(super) mod body_read;
pub(super) mod caller_body;
pub(super) mod caller_identity;
pub(super) mod caller_listener;
pub(super) mod caller_stream;
mod caller_upload;
mod closing;
pub(super) mod held_memory;
pub(super) mod in_flight;
mod observed_body;
pub(super) mod parts_body;
pub(super) mod proxy;
pub(super) mod relay;
pub(super) mod relay_exchange;
pub(super) mod request_log;
pub(super) mod request_queues;
pub(super) mod response;
pub(super) mod response_stream;
pub(super) mod routed_request;
pub(super) mod server_choice;
pub(super) mod server_statement;
pub(super) mod status_endpoints;
pub(super) mod timed_attempt;
