//! Request for a slot of a backend server.

/// Request to a service's dispatcher for a slot of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SlotRequest {
    /// Id of a server that the request must not be sent to; `None` if it may be sent
    /// to any server.
    pub excluded_server_id: Option<String>,
    /// Expected run time of the request, in milliseconds.
    #[serde(rename = "expected_ms")]
    pub expected_run_ms: u64,
    /// Time left until the request's deadline, in milliseconds.
    #[serde(rename = "left_ms")]
    pub time_left_ms: u64,
    /// Id of the request, unique on the entry VM that sends it.
    pub request_id: u64,
}
