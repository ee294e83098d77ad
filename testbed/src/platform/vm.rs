//! Entry VM on the platform's list.

use std::net;

/// Entry VM on the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address for callers.
    pub caller_address: net::SocketAddr,
    /// Name of the VM.
    pub id: String,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
    /// Address for operators, if the VM has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<net::SocketAddr>,
    /// Address for other entry VMs.
    pub peer_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
}
