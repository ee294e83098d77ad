//! Response to a caller that queries the entry points.

use std::net;

/// Response to a caller that queries the entry points.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPointResponse {
    /// Version of the configuration in force on the responding VM; `None` if it
    /// has none.
    pub configuration_version: Option<String>,
    /// Entry points in order of preference.
    pub entry_points: Vec<EntryPoint>,
}

/// Address of an entry VM that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPoint {
    /// Address to connect to.
    pub address: net::SocketAddr,
    /// Availability zone of the entry VM.
    pub availability_zone: String,
    /// Prefix that the caller puts before its own idempotency key, separated by
    /// a dot. `None` if the VM has no witness and so accepts no keyed requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_prefix: Option<String>,
    /// Time for which the caller may use the address, in milliseconds from now.
    pub lifetime_ms: u64,
}
