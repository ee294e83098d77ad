//! State of an entry VM that its neighbours pass on to callers.

use std::net;

use crate::claims;

/// State of an entry VM. Neighbours use it to list the VM as an entry point for
/// callers.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct KeyPrefixReply {
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address that callers connect to.
    pub caller_address: net::SocketAddr,
    /// Identity of the VM's daemon process.
    pub identity: claims::VmIdentity,
    /// Prefix of the keys whose home is this VM; `None` while the VM has no
    /// witness or is leaving.
    pub key_prefix: Option<String>,
    /// Whether the VM accepts new callers.
    pub takes_callers: bool,
}
