//! Arguments of `standin-platform`.

use std::net;

/// Runs a log service and a VM list in memory.
#[derive(Clone, Debug, gumdrop::Options)]
pub struct Args {
    /// Prints this help.
    pub help: bool,
    /// Address to listen on.
    #[options(required, no_short, meta = "IP:PORT")]
    pub listen: Option<net::SocketAddr>,
    /// Retention time of records, in milliseconds; 0 keeps them forever.
    #[options(no_short, meta = "MS", default = "0")]
    pub retention_ms: u64,
    /// Delay until a change of the VM list is visible, in milliseconds.
    #[options(no_short, meta = "MS", default = "0")]
    pub vm_list_lag_ms: u64,
}
