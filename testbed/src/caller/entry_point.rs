//! Entry point that the fleet assigns to callers.

use std::net;

/// Entry point that the fleet assigns to callers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EntryPoint {
    /// Address for callers to connect to.
    pub address: net::SocketAddr,
    /// Availability zone of the entry VM.
    #[serde(default)]
    pub availability_zone: String,
    /// Prefix for idempotency keys sent through this entry point.
    #[serde(default)]
    pub key_prefix: String,
    /// Time that the address may be used, in milliseconds from the response.
    pub lifetime_ms: u64,
}
