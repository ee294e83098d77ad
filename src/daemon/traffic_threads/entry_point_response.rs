//! The answer to a caller that asks which addresses to use.

use std::net;

/// The answer to a caller that asks which addresses to use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPointResponse {
    /// The configuration that the answering VM has in force.
    pub configuration_version: Option<String>,
    /// Addresses, best first.
    pub entry_points: Vec<EntryPoint>,
}

/// One address that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPoint {
    /// Address to connect to.
    pub address: net::SocketAddr,
    /// The availability zone of the VM behind the address.
    pub availability_zone: String,
    /// What to put before the caller's own idempotency key, with a dot between.
    /// Missing where the VM has no witness: it takes no keyed requests now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_prefix: Option<String>,
    /// How long the caller may use the address, in milliseconds from now.
    pub lifetime_ms: u64,
}
