//! Path of a request through the traffic threads, from its head to its
//! response.

pub(super) mod attempt_failure;
pub(super) mod attempt_history;
pub(super) mod crash_check;
pub(super) mod discarding_body;
pub(super) mod entry_point_response;
pub(super) mod header_names;
pub(super) mod in_flight_guard;
pub(super) mod organisation_gate;
pub(super) mod outcome_report;
pub(super) mod outcome_reporter;
pub(super) mod parts;
pub(super) mod payload;
pub(super) mod permit;
pub(super) mod placement;
pub(super) mod prepared_request;
pub(super) mod reply;
pub(super) mod request_body;
pub(super) mod request_head;
pub(super) mod request_id_generator;
pub(super) mod response_body;
pub(super) mod retry_after;
pub(super) mod runner;
pub(super) mod selected_server;
pub(super) mod server_client;
pub(super) mod server_report;
pub(super) mod server_runtime;
pub(super) mod service_runtime;
pub(super) mod slot_client;
pub(super) mod stored_response;
pub(super) mod traffic_handler;
pub(super) mod vm_gate;
