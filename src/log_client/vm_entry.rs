//! Entry of the platform's VM list.

use std::net;

/// Entry VM in the platform's VM list. The list lags behind the actual
/// state of the VMs.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct VmEntry {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Unique id of the VM.
    pub id: String,
    /// Whether the VM is being shut down.
    #[serde(default)]
    pub leaving: bool,
    /// Address where operators read the VM's status; `None` if the list has
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_address: Option<net::SocketAddr>,
    /// Address that other entry VMs connect to.
    pub peer_address: net::SocketAddr,
    /// Region of the VM.
    pub region: String,
}
