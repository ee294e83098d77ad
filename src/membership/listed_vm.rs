//! A VM as the platform's VM list shows it.

use std::net;

/// A VM as the platform's VM list shows it. The list lags: it names VMs to
/// try, and says nothing certain of them.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListedVm {
    /// Where other VMs reach it.
    pub address: net::SocketAddr,
    /// Whether the list says that it leaves.
    pub leaving: bool,
    /// Its id.
    pub vm_id: String,
}
