//! The record of a member.

use std::net;

use crate::membership;

/// Record of an entry VM in the member table.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Address for messages from other entry VMs.
    pub address: net::SocketAddr,
    /// Availability zone of the VM.
    pub availability_zone: String,
    /// Address for requests of callers.
    pub caller_address: net::SocketAddr,
    /// Number that grows with every start of the daemon at this address.
    pub incarnation: u64,
    /// Region of the VM.
    pub region: String,
    /// State of the member.
    pub state: membership::MemberState,
    /// Version of the state; only the member itself raises it, to refute a
    /// suspicion or to leave.
    pub version: u64,
    /// Id in the platform's VM list.
    pub vm_id: String,
}

/// Estimated size of a record in a message, without its strings.
const FIXED_BYTES: usize = 64;

impl Member {
    /// Returns the mutable part of the record.
    #[must_use]
    pub const fn stamp(&self) -> membership::MemberStamp {
        membership::MemberStamp {
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
            version: self.version,
        }
    }

    /// Returns the estimated size of the record in a message.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        FIXED_BYTES + self.availability_zone.len() + self.region.len() + self.vm_id.len()
    }
}
