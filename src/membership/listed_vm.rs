//! An entry of the platform's VM list.

use std::net;

/// Entry of the platform's VM list.
///
/// The list lags behind: it only yields addresses to ping, and its entries may
/// be outdated.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListedVm {
    /// Address for messages from other entry VMs.
    pub address: net::SocketAddr,
    /// Whether the list marks the VM as leaving.
    pub leaving: bool,
    /// Id of the VM.
    pub vm_id: String,
}
